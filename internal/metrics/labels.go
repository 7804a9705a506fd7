package metrics

import (
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"sycamoreledge.example/internal/work"
)

// otherValue replaces label values outside the known set, which keeps the
// number of time series bounded.
const otherValue = "other"

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

type durationLabels struct {
	service string
	kind    work.Kind
	outcome work.Outcome
}

func (l durationLabels) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("service", l.service),
		attribute.String("kind", string(l.kind)),
		attribute.String("outcome", l.outcome.String()),
	}
}

type platformCallLabels struct {
	call, result string
}

func (l platformCallLabels) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("call", l.call),
		attribute.String("result", l.result),
	}
}

// labelCache caches encoded label sets, because encoding one costs more than
// incrementing a counter. Its size is bounded because all label values are.
type labelCache struct {
	optionsBySet sync.Map // key labelSet, value metric.MeasurementOption
}

func (c *labelCache) get(set labelSet) metric.MeasurementOption {
	if option, ok := c.optionsBySet.Load(set); ok {
		return option.(metric.MeasurementOption)
	}
	option := metric.WithAttributeSet(attribute.NewSet(set.attributes()...))
	c.optionsBySet.Store(set, option)
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
	knownPlatformCalls   = setOf("get", "list", "put", "delete", "watch", "probe", "instances")
	knownPlatformResults = setOf("ok", "not found", "conflict", "throttled", "unavailable", "invalid", "compacted")
)

func setOf[T comparable](values ...T) map[T]bool {
	set := make(map[T]bool, len(values))
	for _, value := range values {
		set[value] = true
	}
	return set
}

func reasonLabel(reason work.Reason) string {
	if reason == "" || knownReasons[reason] {
		return string(reason)
	}
	return otherValue
}

func platformCallLabel(call string) string     { return knownOrOther(knownPlatformCalls, call) }
func platformResultLabel(result string) string { return knownOrOther(knownPlatformResults, result) }

func knownOrOther(known map[string]bool, value string) string {
	if known[value] {
		return value
	}
	return otherValue
}
