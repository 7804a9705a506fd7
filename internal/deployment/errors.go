package deployment

import "github.com/zeebo/errs"

// Error is the class of errors about the description of a deployment.
var Error = errs.Class("deployment")
