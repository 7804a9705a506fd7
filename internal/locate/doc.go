// Package locate answers which entry instances a caller should use: a compact
// table maps the caller's address block to an availability zone, and a ranking
// orders the instances for that zone.
package locate

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("locate")
