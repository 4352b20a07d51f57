// Package metric holds the Prometheus counters and histograms of one VM.
package metric

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Set is the set of metrics of one VM. It is safe for concurrent use.
type Set struct{ set *metrics.Set }

// New returns an empty set.
func New() *Set { return &Set{set: metrics.NewSet()} }

// count increments a counter with one label.
func (s *Set) count(name, label, value string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("tanagerlb_%s_total{%s=%q}", name, label, value)).Inc()
}

// Refused counts a request that was refused, by its reason.
func (s *Set) Refused(reason string) { s.count("refusals", "reason", reason) }

// ClientRefused counts a connection or a request of a client for which a server had no room, or a
// connection that gave way to others, by the reason.
func (s *Set) ClientRefused(server, what, reason string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("tanagerlb_client_refusals_total{server=%q,what=%q,reason=%q}", server, what, reason)).Inc()
}

// Retried counts a retry of a request, by the reason of the preceding failure.
func (s *Set) Retried(reason string) { s.count("retries", "reason", reason) }

// FirstAttempt counts a request that is sent to a service.
func (s *Set) FirstAttempt(service string) { s.count("first_attempts", "service", service) }

// FurtherAttempt counts a retry that is sent to a service.
func (s *Set) FurtherAttempt(service string) { s.count("further_attempts", "service", service) }

// GaveUp counts a failed request, or a retry that was not allowed, by its reason.
func (s *Set) GaveUp(reason string) { s.count("gave_up", "reason", reason) }

// QuotaDecided counts a decision on a request by the quota of its organisation.
func (s *Set) QuotaDecided(organisation, decision string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("tanagerlb_quota_decisions_total{organisation=%q,decision=%q}", organisation, decision)).Inc()
}

// PromptPlaced counts a request whose prompt has parts in common with others, by whether
// what engines hold of it has moved it to another engine.
func (s *Set) PromptPlaced(moved bool) { s.count("prompts_placed", "moved", strconv.FormatBool(moved)) }

// PromptTokens counts the tokens of such a prompt that an engine holds and those that it
// has to read, as its holder says.
func (s *Set) PromptTokens(held, unread int) {
	s.set.GetOrCreateCounter(`tanagerlb_prompt_tokens_total{state="held"}`).Add(held)
	s.set.GetOrCreateCounter(`tanagerlb_prompt_tokens_total{state="unread"}`).Add(unread)
}

// UpstreamLeft counts a request whose upstream had left by the time of the send.
func (s *Set) UpstreamLeft(service string) { s.count("left_upstreams", "service", service) }

// UpstreamSilent counts requests that their upstream did not acknowledge for a time.
func (s *Set) UpstreamSilent(service string) { s.count("silent_upstreams", "service", service) }

// AnswersSkipped counts answers of an upstream that came when the answer to a later request was
// expected.
func (s *Set) AnswersSkipped(count int) {
	s.set.GetOrCreateCounter("tanagerlb_skipped_answers_total").Add(count)
}

// Answered counts a request that was answered completely, by its kind.
func (s *Set) Answered(kind string) { s.count("done", "kind", kind) }

// Suspected counts a request that may have crashed an upstream, by what became of
// the suspicion.
func (s *Set) Suspected(state string) { s.count("crash_suspects", "state", state) }

// SuspectsForgotten counts requests that broke off with an upstream that is not known to
// have crashed.
func (s *Set) SuspectsForgotten(count int) {
	s.set.GetOrCreateCounter(`tanagerlb_crash_suspects_total{state="forgotten"}`).Add(count)
}

// CrashLearned counts an upstream crash under which requests broke off, by how the
// VM learned of it.
func (s *Set) CrashLearned(source string) { s.count("crashes", "learned", source) }

// HeaderIgnored counts a header of an upstream's answer whose value is invalid.
func (s *Set) HeaderIgnored(name string) { s.count("ignored_headers", "header", name) }

// StreamResumed counts a request that resumes a stream, by how it is known which software began
// the stream.
func (s *Set) StreamResumed(source string) { s.count("resumed_streams", "source", source) }

// RecordIgnored counts an invalid record that was read from a stream of the log.
func (s *Set) RecordIgnored(stream string) { s.count("ignored_records", "stream", stream) }

// StoreRestored counts that the platform's store came back from a copy.
func (s *Set) StoreRestored() { s.set.GetOrCreateCounter("tanagerlb_store_restores_total").Inc() }

// EngineOrder counts an order to an engine to load or unload an adapter, by its
// result.
func (s *Set) EngineOrder(order, result string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("tanagerlb_orders_total{order=%q,result=%q}", order, result)).Inc()
}

// DependencyFailed counts a failed request to a dependency, such as the log, an
// engine or another VM.
func (s *Set) DependencyFailed(part string) { s.count("failures", "part", part) }

// AnswerDropped counts a result that is discarded: an action of the control loop
// that no call waits for, or a token that arrives out of order.
func (s *Set) AnswerDropped(kind string) { s.count("dropped_answers", "kind", kind) }

// RecordAppended counts a record that was queued to be appended to a stream of the
// log.
func (s *Set) RecordAppended(stream string) { s.count("appended_records", "stream", stream) }

// LoadStall records how long a request waited for its adapter to be loaded.
func (s *Set) LoadStall(urgency string, d time.Duration) {
	name := fmt.Sprintf("tanagerlb_load_stall_seconds{urgency=%q}", urgency)
	s.set.GetOrCreateHistogram(name).Update(d.Seconds())
}

// BatchFill records the share of an engine's batch that is in use when a request
// starts, from 0 to 1.
func (s *Set) BatchFill(ratio float64) {
	s.set.GetOrCreateHistogram("tanagerlb_batch_fill").Update(ratio)
}

// Latency records the time from the arrival of a request to the end of its
// answer.
func (s *Set) Latency(kind string, d time.Duration) {
	s.set.GetOrCreateHistogram(fmt.Sprintf("tanagerlb_request_seconds{kind=%q}", kind)).Update(d.Seconds())
}

// FirstEvent records the time from the arrival of a request to the first event of
// its answer.
func (s *Set) FirstEvent(urgency int, d time.Duration) {
	s.set.GetOrCreateHistogram(fmt.Sprintf("tanagerlb_first_event_seconds{urgency=\"%d\"}", urgency)).Update(d.Seconds())
}

// ConnectionOpened counts a connection that was opened to an upstream.
func (s *Set) ConnectionOpened() { s.set.GetOrCreateCounter("tanagerlb_connections_total").Inc() }

// Write writes all metrics in Prometheus text format.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
