package relay

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/pkg/health"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
	"github.com/tanagerlb/tanagerlb/pkg/route"
	"github.com/tanagerlb/tanagerlb/platform"
)

const (
	// attemptFactor times the route's objective is the time limit of one attempt
	// at a safe request. The last attempt that the route allows has no such limit.
	attemptFactor = 2
	// maxSends limits how often one request is sent. After a send that provably
	// did not run the request, this limit applies instead of the route's limit of
	// attempts. After any other send, upstreams without engines are subject to
	// both limits, and engines only to the route's.
	maxSends = 4
)

// result is the outcome of one send to an upstream.
type result struct {
	outcome  health.Outcome
	silent   bool // the tracker was told that the upstream is silent
	reason   string
	notRun   bool // the upstream did not run the request
	another  bool // the upstream takes no requests, so that this one was not sent; another one may
	status   int
	response *http.Response // nil unless the answer is complete
	body     []byte
}

// forward sends a request to an upstream of a service without engines. If the send
// fails and a retry is allowed, forward sends the request to another upstream. Once
// all upstreams have been tried, each may be tried again.
func (x *exchange) forward() {
	tried := map[string]bool{}
	var last result
	var lastUpstream string
	for {
		if x.sends > 0 && x.refusePoison(x.blocked()) {
			return
		}
		u, wait, ok := x.pickUpstream(tried)
		switch {
		case ok:
		case last.response != nil:
			x.finish(lastUpstream, last)
			return
		case wait > 0:
			x.refuse(reasonLimits, wait)
			return
		default:
			x.refuse("no upstream", retryAfter)
			return
		}
		sent := time.Now()
		r := x.send(u)
		outcome := r.outcome
		if r.silent {
			outcome = health.Abandoned // one failure, which is counted
		}
		x.mu.Lock()
		x.tracker.End(time.Now(), u.ID, outcome, time.Since(sent))
		x.mu.Unlock()
		if x.callerGone() {
			x.abandon(r.reason)
		}
		tried[u.ID] = true
		x.mayHaveRun = x.mayHaveRun || !r.notRun
		if r.outcome == health.Success || !x.shouldResend(u, r) {
			x.finish(u.ID, r)
			return
		}
		if r.response != nil {
			last, lastUpstream = r, u.ID
		}
		if len(tried) >= len(x.config.View().Upstreams[x.service.Name]) {
			clear(tried)
		}
	}
}

// pickUpstream chooses an upstream that has not been tried, that wants requests and whose
// limit allows one, and counts the request as in flight there. It returns false if there is
// none, and after what time to try again if upstreams have said so.
func (x *exchange) pickUpstream(tried map[string]bool) (u roster.Upstream, wait time.Duration, ok bool) {
	upstreams := x.config.View().Upstreams[x.service.Name]
	candidates := make([]health.Candidate, len(upstreams))
	for i, u := range upstreams {
		candidates[i] = health.Candidate{ID: u.ID, Zone: u.Zone}
	}
	wait, paused := x.pauses.shortest(time.Now(), upstreams)
	skip := maps.Clone(tried)
	maps.Copy(skip, paused)
	for {
		x.mu.Lock()
		id, ok := x.tracker.Pick(time.Now(), x.config.Zone, candidates, skip)
		x.mu.Unlock()
		if !ok {
			return roster.Upstream{}, wait, false
		}
		w := x.config.Pacer.Take(x.ctx, id, x.organisationName())
		if w <= 0 {
			i := slices.IndexFunc(upstreams, func(u roster.Upstream) bool { return u.ID == id })
			return upstreams[i], 0, true
		}
		if wait == 0 || w < wait {
			wait = w
		}
		skip[id] = true
		x.mu.Lock()
		x.tracker.End(time.Now(), id, health.Abandoned, 0)
		x.mu.Unlock()
	}
}

// send sends the request to an upstream once and reads the complete answer.
func (x *exchange) send(u roster.Upstream) result {
	x.sends++
	ctx := x.ctx
	if x.route.Kind == route.Safe && x.route.Objective > 0 && x.sends < x.route.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptFactor*x.route.Objective)
		defer cancel()
	}
	request := x.outbound(u, platform.ForwardOptions{Timeout: time.Until(x.deadline)})
	run := x.beginRun(time.Now(), u)
	silent := false
	request.Silent = func() {
		silent = true
		x.logSilent(u)
		x.mu.Lock()
		defer x.mu.Unlock()
		x.tracker.Silent(time.Now(), u.ID)
	}
	e, err := x.config.Pool.Do(ctx, u.Address, request)
	if unsent, another := isUnsent(err); unsent {
		x.sends--
		return result{outcome: health.Abandoned, reason: errStale.Error(), notRun: true, another: another}
	}
	if err != nil {
		x.reportUnanswered(run, err)
		return result{outcome: health.Failed, silent: silent, reason: err.Error(), notRun: errors.Is(err, link.ErrNotSent), status: http.StatusBadGateway}
	}
	run.note(time.Now())
	reply := platform.ParseResponse(e.Response.StatusCode, e.Response.Header)
	if !x.isAnswer(u, e, reply) {
		e.Close(time.Now(), false)
		return result{outcome: health.Failed, reason: "answer to another request", status: http.StatusBadGateway}
	}
	x.observe(run, reply)
	if reply.NotExecuted {
		discard(e)
		return result{outcome: health.Refused, reason: "upstream did not run it", notRun: true, status: http.StatusServiceUnavailable}
	}
	if reason := x.defect(e.Response, reply); reason != "" {
		e.Close(time.Now(), false)
		return result{outcome: health.Failed, reason: reason, status: http.StatusBadGateway}
	}
	body, err := x.readAnswer(e)
	if err != nil {
		x.reportBroken(run, err)
		return result{outcome: health.Failed, reason: err.Error(), status: http.StatusBadGateway}
	}
	r := result{status: e.Response.StatusCode, response: e.Response, body: body}
	if r.status >= http.StatusInternalServerError {
		r.outcome, r.reason = health.ServerError, "upstream failed"
	}
	return r
}

// shouldResend reports whether to send a request again after a failed send. If so,
// it charges the retry budget, unless no byte of the request reached the upstream.
func (x *exchange) shouldResend(u roster.Upstream, r result) bool {
	if x.ctxDone() {
		return false
	}
	if r.outcome == health.Abandoned {
		return r.another
	}
	if r.notRun && r.outcome == health.Failed && x.sends < maxSends {
		return true // no byte of the request reached the upstream, so the retry budget is not charged
	}
	if !r.notRun && (!x.route.Retryable() || x.sends >= x.route.MaxAttempts) {
		return false
	}
	return x.sends < maxSends && x.allowRetry(u.ID, r.reason)
}

// finish answers the caller with the result of the last send.
func (x *exchange) finish(upstream string, r result) {
	switch {
	case r.response != nil:
		x.copyHeaders(r.response)
		x.w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
		x.w.WriteHeader(r.status)
		_, _ = x.w.Write(r.body) // fails only if the caller disconnected
		x.recordAnswer(upstream, r.response)
	case r.notRun:
		x.refuse(r.reason, retryAfter)
	case x.ctxDone():
		x.fail(http.StatusGatewayTimeout, "deadline passed at upstream")
	default:
		x.config.Logger.Info("relay: upstream failed", zap.String("request", x.call.ID),
			zap.String("upstream", upstream), zap.String("reason", r.reason))
		x.fail(http.StatusBadGateway, "upstream broke off")
	}
}
