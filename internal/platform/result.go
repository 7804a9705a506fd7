package platform

// ResultOf returns the result label of a call in the metrics.
func ResultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case NotFound.Has(err):
		return "not found"
	case Conflict.Has(err):
		return "conflict"
	case Throttled.Has(err):
		return "throttled"
	case Invalid.Has(err):
		return "invalid"
	case Compacted.Has(err):
		return "compacted"
	default:
		return "unavailable"
	}
}
