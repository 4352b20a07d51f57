package relay

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// CrashTracker tracks poison requests, which crash the upstreams that run them, and
// tells which requests are blocked.
type CrashTracker interface {
	// Admit returns 0 if a request with fingerprint f that has just arrived may run,
	// and otherwise after what time it may be tried again. When the time for which it
	// was blocked is over, one run at a time is admitted.
	Admit(now time.Time, f crash.Fingerprint) time.Duration
	// BlockedFor returns how long after now an admitted request with fingerprint f
	// stays blocked, or 0 if the request may run.
	BlockedFor(now time.Time, f crash.Fingerprint) time.Duration
	// ReportBroken reports a run that ended without a complete answer; the upstream
	// may have crashed.
	ReportBroken(r BrokenRun)
	// ReportUnreachable reports that no connection to an upstream could be opened.
	ReportUnreachable(upstream string)
	// ReportCompleted reports a run that ended with a complete answer.
	ReportCompleted(now time.Time, r CompletedRun)
}

// CompletedRun is a run of a request that ended with a complete answer.
type CompletedRun struct {
	Request     string // id of the request
	Fingerprint crash.Fingerprint
	Caller      netip.Addr // address that the request came from
	Upstream    string     // id of the upstream
	Status      int        // HTTP status of the answer
}

// BrokenRun is a run of a request that ended without a complete answer.
type BrokenRun struct {
	Request     string // id of the request
	Fingerprint crash.Fingerprint
	Caller      netip.Addr // address that the request came from
	Upstream    roster.Upstream
	Sent        time.Time // when the request was sent to the upstream
	Heard       time.Time // when something last arrived from the upstream, for any request
	Silent      bool      // the upstream left the connection open and sent nothing
}

// quietTime is how long an upstream has to be silent before a request ends by its
// deadline or its caller for the upstream to count as one that may have crashed.
const quietTime = 500 * time.Millisecond

// reasonPoison is the reason with which a blocked request is refused.
const reasonPoison = "request crashes upstreams"

// credentialHeaders are the headers that tell an upstream who the caller is.
var credentialHeaders = []string{"Authorization", "Cookie"}

// fingerprint returns a hash of what the upstream gets of the request, without the
// headers that differ between the repeats of a request. The caller's address is not
// part of it: upstreams don't see it, and it changes.
func (x *exchange) fingerprint() crash.Fingerprint {
	if x.print != 0 {
		return x.print
	}
	d := xxhash.New()
	for _, part := range []string{x.r.Method, x.r.Host, x.r.RequestURI, x.call.Model, x.call.Adapter} {
		_, _ = d.WriteString(part + "\x00") // never fails
	}
	for _, name := range credentialHeaders {
		_, _ = d.WriteString(strings.Join(x.r.Header.Values(name), "\x00") + "\x00") // never fails
	}
	_, _ = d.Write(x.body)
	x.print = crash.Fingerprint(d.Sum64())
	return x.print
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
	remaining := x.config.CrashTracker.Admit(time.Now(), x.fingerprint())
	if remaining > 0 {
		x.refuse(reasonPoison, remaining)
	}
	return remaining > 0
}

// blockedFor returns how long a request that is about to be sent stays blocked, or 0: it
// may have been blocked while it waited, or because of its last send.
func (x *exchange) blockedFor() time.Duration {
	return x.config.CrashTracker.BlockedFor(time.Now(), x.fingerprint())
}

// reportBroken tells the CrashTracker that a run ended without a complete answer because
// of err. If the upstream did not end it, that counts only if the upstream is silent.
func (x *exchange) reportBroken(r *sentRun, err error) {
	ended := x.ctxDone() || x.callerGone()
	silent := ended || errors.Is(err, context.DeadlineExceeded)
	if (silent && !r.silent()) || (ended && time.Since(r.heard) < quietTime) {
		return
	}
	x.config.CrashTracker.ReportBroken(BrokenRun{
		Request: x.call.ID, Fingerprint: x.fingerprint(), Caller: x.caller(), Upstream: r.upstream, Sent: r.sent, Heard: r.sign.time(), Silent: silent,
	})
}

// reportUnanswered tells the CrashTracker of a send that failed before the headers
// of the answer arrived.
func (x *exchange) reportUnanswered(r *sentRun, err error) {
	switch {
	case !errors.Is(err, link.ErrNotSent):
		x.reportBroken(r, err)
	case !x.ctxDone() && !x.callerGone():
		x.config.CrashTracker.ReportUnreachable(r.upstream.ID)
	}
}
