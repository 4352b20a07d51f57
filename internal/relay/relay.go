// Package relay is the reverse proxy of tanagerlb edge. It runs on the VM that a
// caller connects to, forwards the caller's requests to upstreams and passes the
// answers back.
package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/tanagerlb/tanagerlb/internal/answer"
	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/pkg/call"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/health"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/retry"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
	"github.com/tanagerlb/tanagerlb/pkg/route"
	"github.com/tanagerlb/tanagerlb/platform"
)

// View is an immutable snapshot of the configuration and the upstreams. It is
// used to route requests.
type View struct {
	Table       *route.Table                 // nil before the first configuration
	Outdated    bool                         // other VMs have a newer configuration, which this one cannot get
	Upstreams   map[string][]roster.Upstream // available upstreams by service, sorted by id
	UpstreamIDs map[string][]string          // ids of the upstreams in Upstreams, in the same order
	Retries     retry.Share                  // this VM's share of the limit on retries
	ByModel     map[string]map[string]Group  // engines that have a base model loaded, by service and model; only for services with several base models
}

// Group is a subset of the upstreams of a service.
type Group struct {
	Upstreams []roster.Upstream // sorted by id
	IDs       []string          // ids of Upstreams, in the same order
}

// Available reports whether an upstream of a service takes new requests.
func (v *View) Available(service, id string) bool {
	_, ok := slices.BinarySearch(v.UpstreamIDs[service], id)
	return ok
}

// engines returns the engines to ask for a slot for a base model. It also returns a
// spare engine, which may load the model if none of these engines has a free slot
// in time, or nil if there is no spare engine.
func (v *View) engines(service, model string) (Group, *roster.Upstream) {
	all := Group{Upstreams: v.Upstreams[service], IDs: v.UpstreamIDs[service]}
	groups, perModel := v.ByModel[service]
	if !perModel {
		return all, nil
	}
	group, ok := groups[model]
	if !ok { // no engine has the model loaded: rendezvous hashing makes all VMs choose the same engine to load it
		group.IDs = rank.Top(model, all.IDs, 1)
		group.Upstreams = all.subset(group.IDs)
	}
	others := slices.DeleteFunc(slices.Clone(all.IDs), func(id string) bool {
		_, holds := slices.BinarySearch(group.IDs, id)
		return holds
	})
	if spare := all.subset(rank.Top(model, others, 1)); len(spare) > 0 {
		return group, &spare[0]
	}
	return group, nil
}

// with returns the upstreams with a version of their software.
func (g Group) with(software string) Group {
	var list Group
	for i, u := range g.Upstreams {
		if u.Software == software {
			list.Upstreams, list.IDs = append(list.Upstreams, u), append(list.IDs, g.IDs[i])
		}
	}
	return list
}

// subset returns the upstreams that have one of the ids.
func (g Group) subset(ids []string) []roster.Upstream {
	var list []roster.Upstream
	for _, id := range ids {
		if i, ok := slices.BinarySearch(g.IDs, id); ok {
			list = append(list, g.Upstreams[i])
		}
	}
	return list
}

// Config holds the settings of a Handler and the components that it uses.
type Config struct {
	Zone         string
	View         func() *View
	Reserver     Reserver
	Pool         *link.Pool
	Metrics      *metric.Set
	Logger       *zap.Logger
	Retries      retry.Config
	Health       health.Config
	CrashTracker CrashTracker
	Pacer        Pacer
	Origins      Origins
	Leaving      func(roster.Upstream)      // is told of an upstream whose answer says that it leaves
	Fresh        func(context.Context) bool // waits until the upstreams in View were read recently; returns false if that takes too long
	// Vouch reports whether the keys in View are known to be recent, and otherwise when to try
	// again. It is called before View; nil if keys never expire.
	Vouch  func() (ok bool, retryAfter time.Duration)
	Quotas Quotas // nil for no limits
	// HeadSize returns the size of a request's head as sent; nil if only its parsed form is known.
	HeadSize func(*http.Request) int
	// Hold waits until there is room for bytes of the answer to the request with a context; nil if
	// there always is. Its error, and one of a read of a request's body, may be a noRoom.
	Hold func(ctx context.Context, size int64) error
}

// noRoom is an error of a lack of memory for what callers hold.
type noRoom interface {
	error
	RetryAfter() time.Duration
}

// Handler is the HTTP handler for callers' requests. It keeps the health of the
// upstreams and the retry budgets of the services.
type Handler struct {
	config      Config
	drain       atomic.Pointer[Drain] // nil unless the VM leaves
	base        context.Context       //nolint:containedctx // parent of the requests' contexts; see BaseContext
	end         context.CancelCauseFunc
	active      atomic.Int64
	mu          sync.Mutex
	tracker     *health.Tracker
	budget      *retry.Budget
	lifeSigns   lifeSigns
	longAnswers *semaphore.Weighted
	headerLog   headerLog
	pauses      pauses
}

// New returns a handler that has not yet recorded the results of any upstream.
func New(c Config) *Handler {
	base, end := context.WithCancelCause(context.Background())
	return &Handler{config: c, base: base, end: end, tracker: health.New(c.Health), budget: retry.New(time.Now(), c.Retries), lifeSigns: lifeSigns{started: time.Now(), at: map[string]*lifeSign{}}, longAnswers: semaphore.NewWeighted(maxLongAnswers)}
}

// Drain tells how a VM leaves.
type Drain struct {
	TakeUntil time.Time // requests that have arrived by then are forwarded, later ones are refused
	EndAt     time.Time // requests that are still in progress then are answered at once
}

// StartDrain makes the handler close the caller's connection after each further
// answer, so that callers reconnect to another VM.
func (h *Handler) StartDrain(now time.Time, d Drain) {
	h.drain.Store(&d)
	time.AfterFunc(d.EndAt.Sub(now), func() { h.end(errEnding) })
}

// errEnding is why the contexts of requests end that are in progress at Drain.EndAt.
var errEnding = errors.New("process is about to end")

// BaseContext is the http.Server.BaseContext of the server that calls the handler.
func (h *Handler) BaseContext(net.Listener) context.Context { return h.base }

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// Decay reduces the weight of old results in the health of upstreams. It must be
// called once a second.
func (h *Handler) Decay(now time.Time) {
	h.lifeSigns.expire(now)
	h.pauses.expire(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Decay()
}

const (
	// defaultTimeout applies to a request without a deadline on a route without
	// a timeout.
	defaultTimeout = 30 * time.Second
	// bodyTimeout is the time limit for reading a request body.
	bodyTimeout = 10 * time.Second
	// defaultBodyBytes limits a request body if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// retryAfter is the delay after which callers should try again if no upstream
	// can take the request or the configuration is missing.
	retryAfter = 500 * time.Millisecond
	// answerMargin is subtracted from the deadline to leave time for the answer to
	// reach the caller.
	answerMargin = 20 * time.Millisecond
)

// exchange is the state of one request from a caller.
type exchange struct {
	*Handler
	w           http.ResponseWriter
	r           *http.Request
	call        call.Call
	route       *route.Route
	service     *route.Service
	body        []byte
	started     time.Time
	deadline    time.Time
	ctx         context.Context //nolint:containedctx // has the lifetime of the request
	view        *View           // at the arrival of the request; its configuration applies until the end
	sends       int             // number of times that the request was sent to an upstream
	sentOn      link.Sends      // connections on which it was sent
	run         *sentRun        // last run
	mayHaveRun  bool            // an upstream may have run the request
	headersSent bool            // status and headers were written to the caller
	loads       string          // engine that had not loaded the adapter yet and is tried once more; "" before
	lastID      string          // id of the last event written to the caller
	sequence    sequence        // of the events that the caller has
	software    *string         // version of the engines' software at which the stream may go on; nil for any
	suspects    []crash.Cause   // nil before the first call of causes
	identity    identity
	blockedBy   crash.Cause // if it was refused because it crashes upstreams
}

// ServeHTTP forwards one request to an upstream and passes the answer back, or
// answers with an error.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	x := &exchange{Handler: h, w: w, r: r, call: platform.ParseCall(r.Header), started: time.Now(), identity: h.vouch()}
	x.view = h.config.View()
	x.announceIdleTime()
	defer x.returnQuota()
	if x.view.Table == nil {
		x.refuse("no configuration yet", retryAfter)
		return
	}
	if x.view.Outdated {
		x.refuse("configuration is outdated", retryAfter)
		return
	}
	if limit := x.view.Table.Limits.HeaderBytes; limit > 0 && h.headSize(r) > limit {
		x.reject(http.StatusRequestHeaderFieldsTooLarge, "headers are too large")
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	x.route = x.view.Table.Find(r.Host, path)
	if x.route == nil {
		x.reject(http.StatusNotFound, "no route")
		return
	}
	if !x.identify() {
		return
	}
	name := x.route.PickService(rand.Float64()) //nolint:gosec // random traffic split, not security
	x.service = x.view.Table.Service(name)
	if x.service == nil {
		x.refuse("service is not configured", retryAfter)
		return
	}
	if !x.readBody() || x.refuseLate(time.Now()) || x.refuseArrived() || !x.takeQuota() {
		return
	}
	x.serve()
}

// reasonLeaving is the reason with which a request is refused that arrives too late at a VM that
// leaves.
const reasonLeaving = "VM is leaving"

// refuseLate refuses the request if the VM leaves and the request, which has arrived as a whole,
// is too late to be forwarded. It reports whether the request was refused. The caller may try
// another VM at once.
func (x *exchange) refuseLate(now time.Time) bool {
	d := x.drain.Load()
	if d == nil || !now.After(d.TakeUntil) {
		return false
	}
	x.refuse(reasonLeaving, 0)
	return true
}

// idleTimeShare is the share of the idle timeout for which callers may keep a connection idle. In
// the rest of it, a request that they send at the last moment arrives.
const idleTimeShare = 0.8

// announceIdleTime tells the caller for how long the connection may be used again, in whole
// seconds, or that it will be closed.
func (x *exchange) announceIdleTime() {
	h := x.w.Header()
	if x.drain.Load() != nil {
		h.Set("Connection", "close")
		h.Del("Keep-Alive")
		return
	}
	if x.view.Table == nil {
		return
	}
	if seconds := int(idleTimeShare * x.view.Table.Limits.IdleTimeout.Seconds()); seconds > 0 {
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
}

func (h *Handler) headSize(r *http.Request) int {
	if h.config.HeadSize == nil {
		return headerSize(r)
	}
	return h.config.HeadSize(r)
}

// headerSize returns the size of the request line and the headers in bytes.
func headerSize(r *http.Request) int {
	const line, field = len("  HTTP/1.1\r\n"), len(": \r\n")
	total := line + len(r.Method) + len(r.RequestURI) + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + field + len(value)
		}
	}
	return total
}

// serve forwards a request whose body has been read.
func (x *exchange) serve() {
	timeout := x.call.Timeout(x.route.Timeout, defaultTimeout)
	x.deadline = x.started.Add(timeout - answerMargin)
	if d := x.drain.Load(); d != nil {
		x.deadline = earlier(x.deadline, d.EndAt)
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	x.creditBudget()
	if x.service.Engine != nil {
		x.generate()
		return
	}
	x.forward()
}

// reasonNoRoom is the reason with which a request is refused whose body has no room in memory.
const reasonNoRoom = "no room for the body"

// readBody reads the body within the limits of size and time. If that fails, it
// answers the caller and returns false.
func (x *exchange) readBody() bool {
	if x.r.Body == nil || x.r.ContentLength == 0 {
		return true
	}
	limit := x.view.Table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	control := http.NewResponseController(x.w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		x.config.Logger.Warn("relay: cannot set the read deadline of a request body", zap.Error(err))
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err != nil {
		x.refuseBody(err)
		return false
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		x.config.Logger.Warn("relay: cannot clear the read deadline of a connection", zap.Error(err))
	}
	x.body = body
	return true
}

// refuseBody answers a request whose body could not be read.
func (x *exchange) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	var full noRoom
	switch {
	case errors.As(err, &full):
		x.config.Metrics.Refused(reasonNoRoom) // not logged, as crowds of callers may be refused
		x.w.Header().Set("Connection", "close")
		x.w.Header().Set("Retry-After", formatSeconds(full.RetryAfter()))
		x.answer(http.StatusServiceUnavailable, reasonNoRoom)
	case errors.As(err, &tooLarge):
		x.reject(http.StatusRequestEntityTooLarge, "body is too large")
	default:
		x.reject(http.StatusBadRequest, "body cannot be read")
	}
}

// outbound returns the request to send to an upstream.
func (x *exchange) outbound(u roster.Upstream, o platform.ForwardOptions) link.Request {
	o.Upstream, o.Identified, o.Tenant = u.ID, x.view.Table.Organisations != nil, x.organisationName()
	return link.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: platform.ForwardHeader(x.r.Header, o), Body: x.body,
		Confirm: func() error { return x.confirm(u) }, Sends: &x.sentOn, NewConn: x.call.ID == "",
		IsAnswer: func(h http.Header) bool { id := platform.ResponseID(h); return id == "" || id == x.call.ID },
	}
}

// errLeft is the error of a send to an upstream that has left since it was chosen.
var errLeft = errors.New("upstream has left")

// errPaused is the error of a send to an upstream that wants no requests for a while.
var errPaused = errors.New("upstream wants no requests")

// errStale is the error of a send while it is not known which upstreams have left.
var errStale = errors.New("upstreams were not read in time")

// confirm returns errLeft if an upstream takes no more requests, errPaused if it wants none for
// a while, and errStale if it is not known whether it has left. It is called right before
// each send: the upstream may have been chosen seconds ago.
func (x *exchange) confirm(u roster.Upstream) error {
	if !x.config.Fresh(x.ctx) {
		return errStale
	}
	if !x.config.View().Available(x.service.Name, u.ID) {
		x.config.Metrics.UpstreamLeft(x.service.Name)
		x.config.Logger.Info("relay: not sent to an upstream that has left", zap.String("request", x.call.ID), zap.String("upstream", u.ID),
			zap.Int("sends", x.sends), zap.Duration("after", time.Since(x.started)))
		return errLeft
	}
	if x.pauses.remaining(time.Now(), u) > 0 {
		return errPaused
	}
	return nil
}

// isUnsent reports whether err is that of a send that confirm has stopped, and whether to try
// another upstream.
func isUnsent(err error) (unsent, another bool) {
	another = errors.Is(err, errLeft) || errors.Is(err, errPaused)
	return another || errors.Is(err, errStale), another
}

// creditBudget adds to the service's retry budget. It is called once for each
// request, before the first attempt.
func (x *exchange) creditBudget() {
	x.config.Metrics.FirstAttempt(x.service.Name)
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.budget.Divide(now, x.view.Retries) {
		x.config.Logger.Info("relay: share of the retry budget changed", zap.Int("vms", x.view.Retries.VMs),
			zap.Float64("ratio", x.view.Retries.Limit.Ratio), zap.Float64("slack", x.view.Retries.Limit.Slack))
	}
	x.budget.Deposit(now, x.service.Name)
}

// allowRetry reports whether the retry budget and the deadline allow another
// attempt after one at an upstream. If they do, it charges the budget for it.
func (x *exchange) allowRetry(upstream, reason string) bool {
	now := time.Now()
	x.mu.Lock()
	decision := x.budget.Decide(now, retry.Attempt{Number: 1, Deadline: x.deadline}, x.service.Name)
	balance := x.budget.Balance(now, x.service.Name)
	x.mu.Unlock()
	fields := []zap.Field{
		zap.String("request", x.call.ID), zap.String("service", x.service.Name), zap.String("upstream", upstream),
		zap.String("reason", reason), zap.Int("sends", x.sends), zap.Duration("left", x.deadline.Sub(now)), zap.Float64("balance", balance),
	}
	if giveUp, ok := decision.(retry.GiveUp); ok {
		x.config.Metrics.GaveUp(string(giveUp.Reason))
		x.config.Logger.Info("relay: not sent again", append(fields, zap.String("limit", string(giveUp.Reason)))...)
		return false
	}
	x.config.Metrics.Retried(reason)
	x.config.Metrics.FurtherAttempt(x.service.Name)
	x.config.Logger.Info("relay: sent again", fields...)
	return true
}

// callerGone reports whether the caller disconnected.
func (x *exchange) callerGone() bool {
	ctx := x.r.Context()
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errEnding)
}

// abandon aborts a request whose caller disconnected. It panics with
// http.ErrAbortHandler, so it does not return.
func (x *exchange) abandon(reason string) {
	x.logOutcome("left", reason, 0)
	panic(http.ErrAbortHandler)
}

// ctxDone reports whether the request's deadline passed, its caller disconnected, or the process
// is about to end.
func (x *exchange) ctxDone() bool { return x.ctx.Err() != nil }

// refuse answers 503 with Retry-After, which tells the caller that no upstream ran
// the request. If an upstream may have run the request, refuse calls fail instead.
func (x *exchange) refuse(reason string, after time.Duration) {
	if x.mayHaveRun {
		x.fail(http.StatusBadGateway, reason)
		return
	}
	x.refuseWith(http.StatusServiceUnavailable, reason, after)
}

// refuseWith answers a request that no upstream ran with a status that promises this.
func (x *exchange) refuseWith(status int, reason string, after time.Duration) {
	x.config.Metrics.Refused(reason)
	x.logOutcome("refused", reason, status)
	x.w.Header().Set("Retry-After", formatSeconds(after))
	x.answer(status, reason)
}

func formatSeconds(after time.Duration) string {
	return strconv.FormatFloat(max(after, time.Millisecond).Seconds(), 'f', 3, 64)
}

// fail answers a request that an upstream may have run. If part of the answer
// was already written, it aborts the connection.
func (x *exchange) fail(status int, reason string) {
	x.config.Metrics.GaveUp(reason)
	x.logOutcome("failed", reason, status)
	if x.headersSent {
		panic(http.ErrAbortHandler) // otherwise the truncated answer would look complete
	}
	x.answer(status, reason)
}

// reject answers an invalid request.
func (x *exchange) reject(status int, reason string) {
	x.config.Metrics.Refused(reason)
	x.logOutcome("rejected", reason, status)
	x.answer(status, reason)
}

// answer writes a plain text answer. If the caller disconnected, it aborts the
// connection instead.
func (x *exchange) answer(status int, reason string) {
	if x.callerGone() {
		panic(http.ErrAbortHandler)
	}
	x.w.Header().Set("Content-Type", "text/plain")
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, reason+"\n") // fails only if the caller disconnected
}

// logOutcome logs the end of a request that was refused, rejected, aborted or
// failed.
func (x *exchange) logOutcome(outcome, reason string, status int) {
	fields := []zap.Field{
		zap.String("request", x.call.ID), zap.String("reason", reason), zap.Int("status", status),
		zap.Duration("after", time.Since(x.started)), zap.Int("sends", x.sends),
	}
	if x.sends > 0 || reason == reasonPoison {
		fields = append(fields, zap.Stringer("print", x.print()))
	}
	if reason == reasonPoison {
		fields = append(fields, zap.Stringer("cause", x.blockedBy.Kind), zap.Stringer("causePrint", x.blockedBy.Print))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.Int64("version", x.view.Table.Version))
	}
	if name := x.organisationName(); name != "" {
		fields = append(fields, zap.String("organisation", name))
	}
	x.config.Logger.Info("relay: "+outcome, fields...)
}

// recordAnswer reports, counts and logs a complete answer of an upstream.
func (x *exchange) recordAnswer(upstream string, response *http.Response) {
	if response.StatusCode < http.StatusInternalServerError { // otherwise it may have failed before it ran
		x.config.CrashTracker.ReportCompleted(time.Now(), CompletedRun{
			Request: x.call.ID, Causes: x.cleared(response.StatusCode), Caller: x.caller(), Upstream: x.run.upstream, Sent: x.run.sent,
			Status: response.StatusCode, Framed: answer.IsFramed(response),
		})
	}
	x.logAnswered(upstream, response)
}

// logAnswered counts and logs a complete answer of an upstream.
func (x *exchange) logAnswered(upstream string, response *http.Response) {
	x.config.Metrics.Answered(x.route.Kind.String())
	x.config.Metrics.Latency(x.route.Kind.String(), time.Since(x.started))
	x.config.Logger.Info("relay: answered", zap.String("request", x.call.ID), zap.String("upstream", upstream),
		zap.Int("status", response.StatusCode), zap.Duration("after", time.Since(x.started)), zap.Int("sends", x.sends),
		zap.String("route", x.route.Name), zap.Int64("version", x.view.Table.Version))
}

// sendHeaders sends the status and the headers of an upstream's answer to the caller.
func (x *exchange) sendHeaders(response *http.Response) {
	x.headersSent = true
	x.copyHeaders(response)
	x.w.WriteHeader(response.StatusCode)
}

// copyHeaders copies the headers of an upstream's answer to the answer for the
// caller, except for hop-by-hop headers and Content-Length.
func (x *exchange) copyHeaders(from *http.Response) {
	h := x.w.Header()
	for name, values := range platform.StripHopByHop(from.Header) {
		h[name] = values
	}
	h.Del("Content-Length")
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing a content type
	}
	if x.drain.Load() != nil { // it may have begun meanwhile
		x.announceIdleTime()
	}
}
