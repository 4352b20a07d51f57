package relay

import (
	"bufio"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/answer"
	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
	"github.com/tanagerlb/tanagerlb/platform"
)

// usefulFactor times the objective is how long after the request's arrival a first
// event is still useful. A request whose first event would come later is refused,
// because it would take engine time from requests that can still be on time.
const usefulFactor = 1.25

// generate reserves a slot at an engine, sends the request there and streams the
// events to the caller. It does so again with another engine if attempt reports
// that another engine should be tried.
func (x *exchange) generate() {
	if !x.findOrigin() {
		return
	}
	if x.resumes() {
		x.sequence.resume(x.call.LastEventID)
	}
	exclude := map[string]bool{}
	for {
		request, wait := x.slotRequest(exclude)
		if wait > 0 {
			x.refuse(reasonLimits, wait)
			return
		}
		if x.software != nil && len(request.Engines) == 0 && request.Spare == nil {
			x.refuse(reasonNoSoftware, retryAfter)
			return
		}
		reservation := x.config.Reserver.Reserve(x.ctx, request)
		slot := reservation.Slot
		x.logPlacement(reservation)
		if x.callerGone() {
			if slot != nil {
				slot.Release(engine.Done)
			}
			x.abandon("caller left")
		}
		if slot == nil {
			x.refuse(string(reservation.Refusal.Reason), reservation.Refusal.Wait)
			return
		}
		if b := x.blocked(); b.Remaining > 0 {
			slot.Release(engine.Done)
			x.refusePoison(b)
			return
		}
		retry := x.attempt(slot)
		if !retry {
			return
		}
		if slot.Upstream.ID != x.loads {
			exclude[slot.Upstream.ID] = true
		}
	}
}

// logPlacement logs the result of a reservation: the engine at which the request
// got a slot, if any, and the replies of the VMs that were asked.
func (x *exchange) logPlacement(r Reservation) {
	upstream, software, version := "", "", int64(0)
	if r.Slot != nil {
		upstream, software, version = r.Slot.Upstream.ID, r.Slot.Upstream.Software, r.Slot.AdapterVersion
	}
	fields := []zap.Field{
		zap.String("request", x.call.ID), zap.String("upstream", upstream),
		zap.String("adapter", x.call.Model+"/"+x.call.Adapter), zap.Int64("adapterVersion", version),
		zap.Strings("asked", r.Replies), zap.Duration("after", time.Since(x.started)),
	}
	if x.route.Resumable {
		fields = append(fields, zap.String("software", software))
	}
	if name := x.organisationName(); name != "" {
		fields = append(fields, zap.String("organisation", name))
	}
	if x.call.LastEventID != "" {
		fields = append(fields, zap.String("stream", x.call.Stream), zap.String("event", x.call.LastEventID))
	}
	if u := r.Reuse; u != nil {
		fields = append(fields, zap.Int("expected", u.Expected), zap.Duration("saved", u.Saved), zap.Duration("cost", u.Cost),
			zap.Duration("otherwise", u.Otherwise), zap.Bool("moved", u.Moved), zap.Int("kept", u.Kept))
		x.countReuse(u)
	}
	x.config.Logger.Info("relay: placed", fields...)
}

// countReuse counts what an engine holds of a prompt that has parts in common with
// others, and whether that moved the request to another engine.
func (x *exchange) countReuse(u *PromptReuse) {
	x.config.Metrics.PromptPlaced(u.Moved)
	if u.Kept >= 0 {
		x.config.Metrics.PromptTokens(u.Kept, max(x.call.PromptTokens-u.Kept, 0))
	}
}

// reasonLimits is the reason with which a request is refused if all upstreams have said that
// they take none now.
const reasonLimits = "upstreams are at their limits"

// slotRequest describes the request for the holders of the engines, which decide
// whether to grant it a slot. The holder of an engine is the VM whose claim on the
// engine is in force; it alone schedules the engine. If no engine wants requests, wait is
// the time until one does.
func (x *exchange) slotRequest(exclude map[string]bool) (request SlotRequest, wait time.Duration) {
	objective := x.route.Objective
	if objective <= 0 {
		objective = time.Until(x.deadline)
	}
	group, spare := x.config.View().engines(x.service.Name, x.call.Model)
	if x.software != nil {
		group = group.with(*x.software)
		if spare != nil && spare.Software != *x.software {
			spare = nil
		}
	}
	candidates := group.Upstreams
	if spare != nil {
		candidates = append(slices.Clone(candidates), *spare)
	}
	wait, paused := x.pauses.shortest(time.Now(), candidates)
	if len(paused) > 0 {
		exclude = maps.Clone(exclude)
		maps.Copy(exclude, paused)
	}
	if slices.ContainsFunc(candidates, func(u roster.Upstream) bool { return !exclude[u.ID] }) {
		wait = 0
	}
	usefulUntil := earlier(x.started.Add(time.Duration(usefulFactor*float64(objective))), x.deadline)
	if x.call.LastEventID != "" { // the caller has the first events, and waits for the others
		usefulUntil = x.deadline
	}
	return SlotRequest{
		Service: x.service.Name, Engines: group.Upstreams, IDs: group.IDs, Spare: spare, Exclude: exclude,
		Name: engine.Name{Model: x.call.Model, Adapter: x.call.Adapter}, PromptParts: x.call.PromptParts,
		PromptTokens: x.call.PromptTokens, MaxTokens: x.call.MaxTokens, KVCapacity: x.kvCapacity(), Urgency: x.urgency(), Organisation: x.organisationName(),
		Objective: x.started.Add(objective), UsefulUntil: usefulUntil, Deadline: x.deadline,
	}, wait
}

// kvCapacity returns the capacity of the KV cache of the service's engines in tokens, or 0 if
// it is not known.
func (x *exchange) kvCapacity() int {
	if x.service.Engine == nil {
		return 0
	}
	return x.service.Engine.KVCapacity
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// attempt sends the request to the engine of the reserved slot and handles the
// answer. It reports whether to try another engine.
func (x *exchange) attempt(slot *Slot) bool {
	x.sends++
	run := x.beginRun(time.Now(), slot.Upstream)
	send := platform.ForwardOptions{
		Timeout: time.Until(x.deadline), Version: slot.AdapterVersion, LastEventID: x.lastID,
	}
	request := x.outbound(slot.Upstream, send)
	request.Silent = func() {
		x.logSilent(slot.Upstream)
		slot.Silent()
	}
	e, err := x.config.Pool.Do(x.ctx, slot.Upstream.Address, request)
	if unsent, another := isUnsent(err); unsent {
		x.sends--
		slot.Release(engine.Done)
		if !another {
			x.refuse(errStale.Error(), retryAfter)
		}
		return another
	}
	if err != nil {
		return x.handleUnanswered(slot, run, err)
	}
	run.note(time.Now())
	reply := platform.ParseResponse(e.Response.StatusCode, e.Response.Header)
	if !x.isAnswer(slot.Upstream, e, reply) {
		e.Close(time.Now(), false)
		return x.handleBroken(slot, "answer to another request", nil)
	}
	x.observe(run, reply)
	switch {
	case reply.NotExecuted:
		discard(e)
		return x.handleNotRun(slot, e.Response.StatusCode)
	case !x.continues(e.Response):
		e.Close(time.Now(), false)
		return x.handleBroken(slot, "answer does not continue the stream", nil)
	case e.Response.StatusCode >= http.StatusInternalServerError && x.retryElsewhere(slot, e):
		return true
	}
	if reason := x.defect(e.Response, reply); reason != "" {
		e.Close(time.Now(), false)
		return x.handleBroken(slot, reason, nil)
	}
	return x.streamEvents(slot, e, run)
}

// resumes reports whether the caller resumes a stream.
func (x *exchange) resumes() bool { return x.call.LastEventID != "" && x.route.Resumable }

// continues reports whether the caller may get the answer after the events that it has. To a
// caller that resumes a stream, an error is an answer too.
func (x *exchange) continues(response *http.Response) bool {
	if isStream(response) {
		return true
	}
	success := response.StatusCode < http.StatusMultipleChoices
	return !x.headersSent && (!x.resumes() || !success)
}

// retryElsewhere handles an engine's error answer (5xx). If the request may be
// tried at another engine, it discards the answer, releases the slot and returns
// true.
func (x *exchange) retryElsewhere(slot *Slot, e *link.Exchange) bool {
	x.mayHaveRun = true
	if !x.retryable() || !x.allowRetry(slot.Upstream.ID, "engine failed") {
		return false
	}
	e.Close(time.Now(), false)
	slot.Release(engine.Failed)
	return true
}

// retryable reports whether the request may be sent again although it may have
// run.
func (x *exchange) retryable() bool {
	return x.route.Retryable() && x.sends < x.route.MaxAttempts && !x.ctxDone() && x.sequence.resumable()
}

// logSilent logs that an upstream does not acknowledge the request.
func (x *exchange) logSilent(u roster.Upstream) {
	x.config.Metrics.UpstreamSilent(x.service.Name)
	x.config.Logger.Info("relay: upstream is silent", zap.String("request", x.call.ID), zap.String("upstream", u.ID),
		zap.Int("sends", x.sends), zap.Duration("after", time.Since(x.started)))
}

// handleUnanswered handles a send that failed before the headers of the answer
// arrived. It reports whether to try another engine.
func (x *exchange) handleUnanswered(slot *Slot, run *sentRun, err error) bool {
	x.reportUnanswered(run, err)
	x.config.Logger.Info("relay: engine did not answer", zap.String("request", x.call.ID),
		zap.String("upstream", slot.Upstream.ID), zap.Error(err))
	if x.callerGone() {
		slot.Release(engine.Done)
		x.abandon("caller left")
	}
	slot.Release(engine.Failed)
	if errors.Is(err, link.ErrNotSent) {
		if x.ctxDone() || x.sends >= maxSends {
			x.refuse("engine cannot be reached", retryAfter)
			return false
		}
		return true
	}
	x.mayHaveRun = true
	if x.ctxDone() {
		x.fail(http.StatusGatewayTimeout, "deadline passed at engine")
		return false
	}
	if x.retryable() && x.allowRetry(slot.Upstream.ID, "engine did not answer") {
		return true
	}
	x.fail(http.StatusBadGateway, "engine did not answer")
	return false
}

// handleNotRun handles an answer that says that the request did not run. It
// reports whether to try another engine.
func (x *exchange) handleNotRun(slot *Slot, status int) bool {
	x.config.Logger.Info("relay: engine did not run it", zap.String("request", x.call.ID),
		zap.String("upstream", slot.Upstream.ID), zap.Int("status", status), zap.Int64("adapter", slot.AdapterVersion))
	slot.Release(engine.NotRun)
	if x.ctxDone() || x.sends >= maxSends || !x.allowRetry(slot.Upstream.ID, "engine did not run it") {
		x.refuse("engine did not run it", retryAfter)
		return false
	}
	// The engine is most likely still loading the adapter, and is tried once more: another one
	// would have to load it too.
	if x.loads == "" && status == http.StatusMisdirectedRequest && x.call.Adapter != "" {
		x.loads = slot.Upstream.ID
	} else {
		x.loads = noEngine
	}
	return true
}

// noEngine is the value of exchange.loads after an engine was tried once more.
const noEngine = "-"

// handleBroken handles an answer that is invalid or breaks off. It reports
// whether to try another engine.
func (x *exchange) handleBroken(slot *Slot, reason string, err error) bool {
	x.mayHaveRun = true
	x.config.Logger.Info("relay: engine broke off", zap.String("request", x.call.ID),
		zap.String("upstream", slot.Upstream.ID), zap.String("reason", reason), zap.String("event", x.lastID),
		zap.Duration("silence", time.Since(x.run.heard)), zap.Error(err))
	if x.callerGone() {
		slot.Release(engine.Done)
		x.abandon("caller left")
	}
	if x.ctxDone() {
		slot.Release(engine.Done)
		x.fail(http.StatusGatewayTimeout, "deadline passed at engine")
		return false
	}
	slot.Release(engine.Failed)
	if x.retryable() && x.allowRetry(slot.Upstream.ID, reason) {
		return true
	}
	x.fail(http.StatusBadGateway, reason)
	return false
}

// streamEvents writes the events of an answer to the caller as they arrive. It
// reports whether to try another engine.
func (x *exchange) streamEvents(slot *Slot, e *link.Exchange, run *sentRun) bool {
	x.mayHaveRun = true
	response := e.Response
	if response.StatusCode != http.StatusOK || response.Header.Get("Content-Type") != "" && !isStream(response) {
		return x.sendComplete(slot, e, run)
	}
	events := bufio.NewReader(response.Body)
	joined := x.headersSent // the answer continues one that another engine began
	disconnected := false
	for {
		event, err := readEvent(events)
		if errors.Is(err, io.EOF) && (run.events > 0 || x.resumedAtEnd(response)) {
			break
		}
		if err != nil {
			e.Close(time.Now(), false)
			x.reportBroken(run, err)
			return x.handleBroken(slot, "stream broke off", err)
		}
		if err := x.sequence.add(event, joined || x.resumes()); err != nil {
			e.Close(time.Now(), false)
			return x.handleBroken(slot, "stream is out of order", err)
		}
		run.note(time.Now())
		if event.isComment && joined {
			continue
		}
		if !event.isComment {
			x.noteEvent(slot, run)
		}
		if !x.headersSent {
			x.noteOrigin(slot.Upstream.Software)
			x.sendHeaders(response)
			x.config.Metrics.FirstEvent(x.route.Urgency, time.Since(x.started))
		}
		if err := x.writeEvent(event); err != nil {
			disconnected = true
			break
		}
	}
	if !x.headersSent { // the caller had all events already
		x.sendHeaders(response)
	}
	disconnected = disconnected || x.callerGone()
	e.Close(time.Now(), !disconnected)
	slot.Release(engine.Done)
	if disconnected {
		x.abandon("caller left")
	}
	if run.events > 0 {
		x.recordAnswer(slot.Upstream.ID, response)
	} else { // the engine has not run anything, so that this clears no cause of crashes
		x.logAnswered(slot.Upstream.ID, response)
	}
	return false
}

// writeEvent writes an event to the caller. It fails only if the caller disconnected.
func (x *exchange) writeEvent(e event) error {
	if _, err := x.w.Write(e.bytes); err != nil {
		return err //nolint:wrapcheck // not passed on
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return err //nolint:wrapcheck // not passed on
	}
	if e.id != "" {
		x.lastID = e.id
	}
	return nil
}

// noteEvent records that an event has arrived.
func (x *exchange) noteEvent(slot *Slot, run *sentRun) {
	if run.events++; run.events == provedEvents {
		x.reportWriting(run)
	}
	if run.events == 1 {
		slot.FirstEvent(run.heard.Sub(run.sent))
	}
}

// resumedAtEnd reports whether an answer without events is a whole one: it resumes a stream, and
// its end is marked.
func (x *exchange) resumedAtEnd(response *http.Response) bool {
	resumed := x.lastID != "" || x.call.LastEventID != ""
	return resumed && x.route.Resumable && answer.IsFramed(response)
}

// sendComplete reads an answer that is not a stream of events and writes it to the
// caller. It reports whether to try another engine.
func (x *exchange) sendComplete(slot *Slot, e *link.Exchange, run *sentRun) bool {
	body, err := x.readAnswer(e)
	if err != nil {
		x.reportBroken(run, err)
		return x.handleBroken(slot, "answer broke off", err)
	}
	if e.Response.StatusCode >= http.StatusInternalServerError {
		slot.Release(engine.Failed)
	} else {
		slot.Release(engine.Done)
	}
	x.recordAnswer(slot.Upstream.ID, e.Response)
	x.sendHeaders(e.Response)
	_, _ = x.w.Write(body) // fails only if the caller disconnected
	return false
}
