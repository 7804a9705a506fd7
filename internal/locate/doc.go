// Package locate determines which instances a caller should use. A compact table
// maps the caller's address to an availability zone by longest prefix match, and
// a ranker orders the instances for that zone.
package locate

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("locate")
