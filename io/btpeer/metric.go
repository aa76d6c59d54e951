package btpeer

import "github.com/rcrowley/go-metrics"

// Names of the counters.
const (
	MetricDialled       = "peer.dialled"
	MetricDialFailed    = "peer.dial_failed"
	MetricBackedOff     = "peer.backed_off"
	MetricAccepted      = "peer.accepted"
	MetricConnRefused   = "peer.connection_refused"
	MetricOpened        = "peer.streams_opened"
	MetricServed        = "peer.streams_served"
	MetricStreamRefused = "peer.streams_refused"
	MetricUnknownKind   = "peer.unknown_kind"
	MetricMalformed     = "peer.malformed"
	MetricTooLarge      = "peer.too_large"
	MetricIdentity      = "peer.identity_refused"
	MetricFailed        = "peer.handler_failed"
	MetricPanicked      = "peer.handler_panicked"
	MetricLost          = "peer.connections_lost"
)

type counters struct {
	dialled, dialFailed, backedOff, accepted, connRefused metrics.Counter
	opened, served, streamRefused, unknownKind            metrics.Counter
	malformed, tooLarge, identity                         metrics.Counter
	failed, panicked, lost                                metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return counters{
		dialled:       counter(MetricDialled),
		dialFailed:    counter(MetricDialFailed),
		backedOff:     counter(MetricBackedOff),
		accepted:      counter(MetricAccepted),
		connRefused:   counter(MetricConnRefused),
		opened:        counter(MetricOpened),
		served:        counter(MetricServed),
		streamRefused: counter(MetricStreamRefused),
		unknownKind:   counter(MetricUnknownKind),
		malformed:     counter(MetricMalformed),
		tooLarge:      counter(MetricTooLarge),
		identity:      counter(MetricIdentity),
		failed:        counter(MetricFailed),
		panicked:      counter(MetricPanicked),
		lost:          counter(MetricLost),
	}
}
