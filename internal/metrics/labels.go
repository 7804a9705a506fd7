package metrics

import (
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"sycamoreledge.example/internal/work"
)

// other stands for values that are not in the list of a label.
const other = "other"

// labelSet is a comparable set of label values.
type labelSet interface {
	attributes() []attribute.KeyValue
}

type requestLabels struct {
	service string
	kind    work.Kind
	outcome work.Outcome
	reason  string
}

func (l requestLabels) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("service", l.service),
		attribute.String("kind", string(l.kind)),
		attribute.String("outcome", l.outcome.String()),
		attribute.String("reason", l.reason),
	}
}

type latencyLabels struct {
	service string
	kind    work.Kind
	outcome work.Outcome
}

func (l latencyLabels) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("service", l.service),
		attribute.String("kind", string(l.kind)),
		attribute.String("outcome", l.outcome.String()),
	}
}

type callLabels struct {
	call, result string
}

func (l callLabels) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("call", l.call),
		attribute.String("result", l.result),
	}
}

// labelCache keeps the encoded form of label sets, since encoding one costs
// more than counting. Its size is bounded as the values of the labels are.
type labelCache struct {
	sets sync.Map // labelSet to metric.MeasurementOption
}

func (c *labelCache) get(set labelSet) metric.MeasurementOption {
	if option, ok := c.sets.Load(set); ok {
		return option.(metric.MeasurementOption)
	}
	option := metric.WithAttributeSet(attribute.NewSet(set.attributes()...))
	c.sets.Store(set, option)
	return option
}

var knownReasons = setOf(
	work.ReasonBadRequest, work.ReasonCanceled, work.ReasonDeadline, work.ReasonHeadroom,
	work.ReasonHomeUnreachable, work.ReasonHomeReplaced, work.ReasonKeyConflict,
	work.ReasonKeyExpired, work.ReasonKeyInvalid, work.ReasonLinkCap, work.ReasonNoOwner,
	work.ReasonNoUpstream, work.ReasonNotOwner, work.ReasonNotReady, work.ReasonPeerUnreachable,
	work.ReasonPeerBroken, work.ReasonPlatformUnreachable, work.ReasonQueueFull,
	work.ReasonShiftCap, work.ReasonTableFull, work.ReasonUnknownService,
	work.ReasonUpstreamBroken, work.ReasonUpstreamConnect,
	work.ReasonUpstreamOverlong, work.ReasonUpstreamShed, work.ReasonUpstreamTimeout,
)

var (
	knownCalls   = setOf("get", "list", "put", "delete", "watch", "probe", "instances")
	knownResults = setOf("ok", "not found", "conflict", "throttled", "unavailable", "invalid", "compacted")
)

func setOf[T comparable](values ...T) map[T]bool {
	set := make(map[T]bool, len(values))
	for _, value := range values {
		set[value] = true
	}
	return set
}

func boundedReason(reason work.Reason) string {
	if reason == "" || knownReasons[reason] {
		return string(reason)
	}
	return other
}

func boundedCall(call string) string     { return bounded(knownCalls, call) }
func boundedResult(result string) string { return bounded(knownResults, result) }

func bounded(known map[string]bool, value string) string {
	if known[value] {
		return value
	}
	return other
}
