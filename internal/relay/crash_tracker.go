package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/pkg/call"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// CrashTracker tracks poison requests, which crash the upstreams that run them, and
// tells which requests are blocked.
type CrashTracker interface {
	// Admit tells whether a request that has just arrived may run. causes are what may
	// make it crash upstreams. When the time for which one of them was blocked is over,
	// one run at a time is admitted.
	Admit(now time.Time, causes []crash.Cause) Block
	// Blocked tells whether an admitted request has been blocked since.
	Blocked(now time.Time, causes []crash.Cause) Block
	// ReportBroken reports a run that ended without a complete answer; the upstream
	// may have crashed.
	ReportBroken(r BrokenRun)
	// ReportUnreachable reports that no connection to an upstream could be opened because of err,
	// and when the attempt began.
	ReportUnreachable(began time.Time, u roster.Upstream, err error)
	// ReportWriting reports a run that has brought provedEvents events. Of its causes it has the
	// parts of its prompt only: they would have crashed the upstream before.
	ReportWriting(now time.Time, r CompletedRun)
	// ReportCompleted reports a run that ended with a complete answer.
	ReportCompleted(now time.Time, r CompletedRun)
}

// Block tells for how long a request is blocked, and why. The zero value is that of a
// request that may run.
type Block struct {
	Remaining time.Duration
	Cause     crash.Cause
}

// CompletedRun is a run of a request that ended with a complete answer.
type CompletedRun struct {
	Request  string // id of the request
	Causes   []crash.Cause
	Caller   netip.Addr // address that the request came from
	Upstream roster.Upstream
	Sent     time.Time // when the request was sent to the upstream
	Status   int       // HTTP status of the answer
	Framed   bool      // the answer had a length or came in chunks; otherwise it ended with its connection, as one does whose upstream crashes
}

// BrokenRun is a run of a request that ended without a complete answer.
type BrokenRun struct {
	Request  string        // id of the request
	Causes   []crash.Cause // what may have crashed the upstream; the request and its caller first
	Parts    []call.Part   // parts of the prompt that other requests may have too
	Caller   netip.Addr    // address that the request came from
	Upstream roster.Upstream
	Sent     time.Time // when the request was sent to the upstream
	Heard    time.Time // when something last arrived from the upstream, for any request
	Silent   bool      // the upstream left the connection open and sent nothing
	// Early tells, for a request that ended before the upstream had quietTime to answer, when
	// something last arrived from the upstream; nil for others.
	Early func() time.Time
}

// quietTime is how long an upstream has to be silent before a request ends by its
// deadline or its caller for the upstream to count as one that may have crashed.
const quietTime = 500 * time.Millisecond

// reasonPoison is the reason with which a blocked request is refused.
const reasonPoison = "request crashes upstreams"

// credentialHeaders are the headers that tell an upstream who the caller is.
var credentialHeaders = []string{"Authorization", "Cookie"}

// maxParts bounds the parts of a prompt that are held to be causes.
const maxParts = 64

// causes returns what may make the request crash upstreams: the request, which its caller
// may repeat, its content, which others may send too or which the caller may send from
// another address, and the parts of its prompt that other requests may have too.
func (x *exchange) causes() []crash.Cause {
	if x.suspects != nil {
		return x.suspects
	}
	content := x.contentHash()
	repeat := xxhash.Sum64String(fmt.Sprintf("%x\x00%s", content, x.caller()))
	x.suspects = []crash.Cause{{Kind: crash.Repeat, Print: crash.Fingerprint(repeat)}, {Kind: crash.Content, Print: crash.Fingerprint(content)}}
	if x.service.Engine == nil {
		return x.suspects
	}
	parts := x.call.SharedParts()
	for _, p := range parts[:min(len(parts), maxParts)] {
		x.suspects = append(x.suspects, crash.Cause{Kind: crash.Part, Print: crash.Fingerprint(xxhash.Sum64String("part " + p.String()))})
	}
	return x.suspects
}

// cleared returns the causes that a complete answer with a status clears: no parts, unless
// an engine has generated on them.
func (x *exchange) cleared(status int) []crash.Cause {
	if status == http.StatusOK {
		return x.causes()
	}
	return x.causes()[:partsFrom]
}

// partsFrom is the index of the first part in exchange.causes.
const partsFrom = 2

// provedEvents is the number of events after which the parts of a prompt are known not to crash
// the engine: one that does so crashes it when the engine begins to write an answer.
const provedEvents = 3

// reportWriting tells the CrashTracker that an engine has written provedEvents events.
func (x *exchange) reportWriting(r *sentRun) {
	parts := x.causes()[partsFrom:]
	if len(parts) == 0 {
		return
	}
	x.config.CrashTracker.ReportWriting(time.Now(), CompletedRun{
		Request: x.call.ID, Causes: parts, Caller: x.caller(), Upstream: r.upstream, Sent: r.sent, Status: http.StatusOK, Framed: true,
	})
}

// print returns the fingerprint of the request and its caller, for logs.
func (x *exchange) print() crash.Fingerprint { return x.causes()[0].Print }

// contentHash returns a hash of what the upstream gets of the request, without the
// headers that differ between the repeats of a request.
func (x *exchange) contentHash() uint64 {
	d := xxhash.New()
	for _, part := range []string{x.r.Method, x.r.Host, x.r.RequestURI, x.call.Model, x.call.Adapter} {
		_, _ = d.WriteString(part + "\x00") // never fails
	}
	for _, name := range credentialHeaders {
		_, _ = d.WriteString(strings.Join(x.r.Header.Values(name), "\x00") + "\x00") // never fails
	}
	_, _ = d.Write(x.body)
	return d.Sum64()
}

// caller returns the address that the request came from; the zero value if it is not known.
func (x *exchange) caller() netip.Addr {
	address, err := netip.ParseAddrPort(x.r.RemoteAddr)
	if err != nil {
		return netip.Addr{} // only in tests that have no connection
	}
	return address.Addr().Unmap()
}

// refuseArrived refuses the request, which has just arrived, if it is blocked because it
// crashed too many upstreams. It reports whether the request was refused.
func (x *exchange) refuseArrived() bool {
	return x.refusePoison(x.config.CrashTracker.Admit(time.Now(), x.causes()))
}

// blocked tells whether a request that is about to be sent is blocked: that may have
// happened while it waited, or because of its last send.
func (x *exchange) blocked() Block {
	return x.config.CrashTracker.Blocked(time.Now(), x.causes())
}

// refusePoison refuses the request if it is blocked, and reports whether it is.
func (x *exchange) refusePoison(b Block) bool {
	if b.Remaining <= 0 {
		return false
	}
	x.blockedBy = b.Cause
	x.refuse(reasonPoison, b.Remaining)
	return true
}

// reportBroken tells the CrashTracker that a run ended without a complete answer because
// of err. If the upstream did not end it, that counts only if the upstream is silent.
func (x *exchange) reportBroken(r *sentRun, err error) {
	ended := x.ctxDone() || x.callerGone()
	silent := ended || errors.Is(err, context.DeadlineExceeded)
	if silent && !r.silent() {
		return
	}
	causes := x.causes()
	if r.events >= provedEvents {
		causes = causes[:partsFrom]
	}
	broken := BrokenRun{
		Request: x.call.ID, Causes: causes, Parts: x.call.SharedParts(), Caller: x.caller(), Upstream: r.upstream, Sent: r.sent, Heard: r.sign.time(), Silent: silent,
	}
	quiet := time.Since(r.heard)
	switch {
	case !ended || quiet >= quietTime:
		x.config.CrashTracker.ReportBroken(broken)
	case r.heard.Equal(r.sent): // otherwise the upstream has run it without a crash
		broken.Early = r.sign.time
		time.AfterFunc(quietTime-quiet, (&earlyReport{tracker: x.config.CrashTracker, run: r, broken: broken}).send)
	}
}

// earlyReport reports a run that ended early, once the upstream has had quietTime to answer.
type earlyReport struct {
	tracker CrashTracker
	run     *sentRun
	broken  BrokenRun
}

func (e *earlyReport) send() {
	if !e.run.silent() {
		return
	}
	e.broken.Heard = e.run.sign.time()
	e.tracker.ReportBroken(e.broken)
}

// reportUnanswered tells the CrashTracker of a send that failed before the headers
// of the answer arrived.
func (x *exchange) reportUnanswered(r *sentRun, err error) {
	switch {
	case !errors.Is(err, link.ErrNotSent):
		x.reportBroken(r, err)
	case !x.ctxDone() && !x.callerGone():
		x.config.CrashTracker.ReportUnreachable(r.sent, r.upstream, err)
	}
}
