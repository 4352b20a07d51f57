// Package metric provides the counters and histograms of one VM.
package metric

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Set holds the metrics of one VM.
type Set struct{ set *metrics.Set }

// New returns an empty set.
func New() *Set { return &Set{set: metrics.NewSet()} }

func (s *Set) count(name, label, value string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("tanagerlb_%s_total{%s=%q}", name, label, value)).Inc()
}

// Refused counts a refusal to a caller.
func (s *Set) Refused(reason string) { s.count("refusals", "reason", reason) }

// Retried counts a further attempt of a call.
func (s *Set) Retried(reason string) { s.count("retries", "reason", reason) }

// GaveUp counts a call that is not tried again.
func (s *Set) GaveUp(reason string) { s.count("gave_up", "reason", reason) }

// Done counts a call that was answered whole.
func (s *Set) Done(kind string) { s.count("done", "kind", kind) }

// Ignored counts a log record that could not be used.
func (s *Set) Ignored(stream string) { s.count("ignored_records", "stream", stream) }

// Ordered counts an order to an engine and how it ended.
func (s *Set) Ordered(order, result string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("tanagerlb_orders_total{order=%q,result=%q}", order, result)).Inc()
}

// Failed counts a failed exchange with another system.
func (s *Set) Failed(part string) { s.count("failures", "part", part) }

// Dropped counts an answer that matched no call.
func (s *Set) Dropped(kind string) { s.count("dropped_answers", "kind", kind) }

// Appended counts a record handed to the log.
func (s *Set) Appended(stream string) { s.count("appended_records", "stream", stream) }

// Stalled records the time that a request waited for its adapter's load.
func (s *Set) Stalled(urgency string, d time.Duration) {
	name := fmt.Sprintf("tanagerlb_load_stall_seconds{urgency=%q}", urgency)
	s.set.GetOrCreateHistogram(name).Update(d.Seconds())
}

// Filled records how full an engine's batch is when a request starts, from 0
// to 1.
func (s *Set) Filled(share float64) {
	s.set.GetOrCreateHistogram("tanagerlb_batch_fill").Update(share)
}

// Latency records the time from a request to the end of its answer.
func (s *Set) Latency(kind string, d time.Duration) {
	s.set.GetOrCreateHistogram(fmt.Sprintf("tanagerlb_request_seconds{kind=%q}", kind)).Update(d.Seconds())
}

// First records the time from a request to the first event of its stream.
func (s *Set) First(urgency int, d time.Duration) {
	s.set.GetOrCreateHistogram(fmt.Sprintf("tanagerlb_first_event_seconds{urgency=\"%d\"}", urgency)).Update(d.Seconds())
}

// Connected counts a new connection to an upstream.
func (s *Set) Connected() { s.set.GetOrCreateCounter("tanagerlb_connections_total").Inc() }

// Write writes all metrics in Prometheus text format.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
