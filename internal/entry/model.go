package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/delay"
	"github.com/tanagerlb/tanagerlb/internal/owner"
	"github.com/tanagerlb/tanagerlb/internal/peer"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/retry"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// ModelCall is a call to a model service, which is served by model engines.
type ModelCall struct {
	Service   string
	Call      string
	Adapter   string
	Prompt    string
	MaxTokens int
	Caller    string // name of the caller, for its retry budget
}

// ModelAnswer is the complete result of a ModelCall.
type ModelAnswer struct {
	Text    string
	Tokens  int
	Adapter spec.Adapter
	Version int64 // version of the document that the call was admitted under
}

// Emit receives one token of a streamed answer. The offset is the number of tokens
// before it. An error ends the call.
type Emit func(offset int, text string) error

// avoidFor is how long after a failure an unreachable engine is avoided when
// engines are chosen without the directory, because the directory does not answer.
// An avoided engine is chosen only if all other candidates were tried or are
// avoided.
const avoidFor = time.Second

// Complete runs a model call. If emit is nil, the answer is collected and returned
// as a whole. Otherwise each token is passed to emit once, in order.
func (e *Entry) Complete(ctx context.Context, c ModelCall, emit Emit) (*ModelAnswer, *Refusal) {
	e.active.Add(1)
	defer e.active.Add(-1)
	if e.config.View().Leaving {
		return nil, e.refuse(Refused, keys.NotRun, VMLeaving, retryDelay)
	}
	revision, call, refusal := e.admit(c.Service, c.Call, spec.Model)
	if refusal != nil {
		return nil, refusal
	}
	adapter, ok := revision.Adapter(c.Adapter)
	if !ok {
		return nil, e.refuse(Invalid, keys.NotRun, NoAdapter, noDelay)
	}
	now := time.Now()
	m := &modelRun{
		entry:    e,
		call:     c,
		revision: revision,
		collect:  emit == nil,
		emit:     emit,
		tried:    map[string]bool{},
		deadline: now.Add(call.Deadline),
	}
	m.request = owner.Request{
		Service:     c.Service,
		Adapter:     adapter,
		Prompt:      c.Prompt,
		MaxTokens:   c.MaxTokens,
		Urgency:     call.UrgencyLevel(),
		Arrived:     now,
		Deadline:    m.deadline,
		Fingerprint: crash.Fingerprint(fingerprint(c.Service, c.Adapter, c.Prompt)),
	}
	ctx, cancel := context.WithDeadline(ctx, m.deadline)
	defer cancel()
	m.budgets = e.creditBudgets(c.Caller, c.Service)
	return m.run(ctx)
}

// modelRun is the state of a model call across its attempts. It implements
// owner.Sink and receives the tokens of each attempt.
type modelRun struct {
	entry    *Entry
	call     ModelCall
	revision *docs.Revision
	request  owner.Request
	collect  bool            // the answer is collected, not streamed
	emit     Emit            // nil if collect is set
	tried    map[string]bool // engines on which an attempt failed
	deadline time.Time
	budgets  []string        // names of the retry budgets
	engine   string          // engine of the current attempt
	text     strings.Builder // collected answer
	received int             // tokens received
	ran      bool            // an engine may have received the request
	emitErr  error           // error of emit; the caller is gone
}

// run makes attempts until one returns the complete answer or no further attempt
// is allowed.
func (m *modelRun) run(ctx context.Context) (*ModelAnswer, *Refusal) {
	for number := 1; ; number++ {
		result := m.attempt(ctx)
		if result.Reason == "" && result.Tokens == m.received {
			m.entry.config.Metrics.Answered("model")
			return &ModelAnswer{Text: m.text.String(), Tokens: m.received, Adapter: m.request.Adapter, Version: m.revision.Version}, nil
		}
		m.ran = m.ran || result.Started || result.Reason == peer.PeerTimeout
		if result.Reason == "" {
			result.Reason = owner.AnswerIncomplete
		}
		decision := m.entry.nextAttempt(time.Now(), retry.Attempt{
			Number:   number,
			Free:     ownershipChange(result.Reason),
			Unsent:   !m.ran,
			Final:    m.final(ctx, result.Reason),
			Deadline: m.deadline,
		}, m.budgets...)
		switch d := decision.(type) {
		case retry.TryAgain:
			m.entry.config.Metrics.Retried(string(result.Reason))
			if m.ran {
				m.entry.config.Metrics.FurtherAttempt(m.call.Service)
			}
			if !delay.Wait(ctx, d.After) {
				return nil, m.refusal(owner.Canceled, result.RetryAfter)
			}
		case retry.GiveUp:
			m.entry.config.Metrics.GaveUp(string(d.Reason))
			return nil, m.refusal(result.Reason, result.RetryAfter)
		}
	}
}

// refusal returns the refusal of a call after its last attempt. The call counts as
// not run only if no engine can have received the request.
func (m *modelRun) refusal(reason node.Reason, after time.Duration) *Refusal {
	class, outcome := Refused, keys.NotRun
	if m.ran {
		class, outcome = Unknown, keys.Unknown
	}
	if reason == node.Blocked {
		class = Invalid
	}
	return m.entry.refuse(class, outcome, string(reason), max(after, retryDelay))
}

// ownershipChange reports whether an attempt failed because the engine's ownership
// is changing or its owner's lease has expired. The request did not run in these
// cases, so a retry costs no tokens of the retry budgets.
func ownershipChange(reason node.Reason) bool {
	switch reason {
	case node.NotOwner, node.OwnerNotReady, node.Handover, node.NoLease:
		return true
	default:
		return false
	}
}

// final reports whether a further attempt cannot succeed.
func (m *modelRun) final(ctx context.Context, reason node.Reason) bool {
	if ctx.Err() != nil || m.emitErr != nil {
		return true
	}
	switch reason {
	case node.Blocked, owner.Canceled, node.Reason(slots.DeadlinePassed), node.Reason(slots.LoadTooSlow), node.Reason(slots.Overload):
		return true
	default:
		return false
	}
}

func (m *modelRun) attempt(ctx context.Context) owner.Result {
	now := time.Now()
	view := m.entry.config.View()
	target, ok := m.place(ctx, now, view)
	if m.engine == "" {
		clear(m.tried)
		return owner.Result{Reason: NoEngine}
	}
	if !ok {
		return owner.Result{Reason: node.NotOwner}
	}
	m.prepare()
	result := m.send(ctx, view, target)
	m.recordFailure(now, result.Reason)
	return result
}

// prepare sets up the next attempt. A collected answer is generated again from the
// beginning. A streamed answer resumes after the last token received.
func (m *modelRun) prepare() {
	m.request.ID = m.entry.NewID()
	m.request.Engine = m.engine
	if m.collect {
		m.received = 0
		m.text.Reset()
	}
	m.request.Offset = m.received
}

func (m *modelRun) send(ctx context.Context, view *node.View, target member.VM) owner.Result {
	if target.Name == view.Self.Name {
		return m.entry.config.Owner.Complete(ctx, m.request, m)
	}
	return m.entry.config.Peers.Complete(ctx, target, m.request, m)
}

// place chooses the engine of the next attempt and returns the VM that owns the
// engine. It asks the directory of the adapter. If the directory does not answer,
// place chooses the engine by rendezvous hashing; it then returns false if no known
// VM still runs the incarnation that claimed the engine.
func (m *modelRun) place(ctx context.Context, now time.Time, view *node.View) (member.VM, bool) {
	placed, err := m.askDirectory(ctx, view)
	if err == nil {
		m.engine, m.request.ExpectedRate = placed.Engine, placed.ExpectedRate
		return placed.Owner, true
	}
	m.entry.config.Metrics.DependencyFailed("directory")
	m.request.ExpectedRate = 0
	engines := Engines(m.revision)
	m.entry.mu.Lock()
	defer m.entry.mu.Unlock()
	m.engine = m.entry.fallback.Pick(now, m.request.Adapter.String(), engines, m.tried)
	target := view.Owners[m.engine]
	return target.VM, target.Current
}

// placeTimeout is the timeout of a request to a directory.
const placeTimeout = 500 * time.Millisecond

// errNoDirectory is returned if no VM is known as the directory of an adapter.
var errNoDirectory = errors.New("no VM is known as the directory of the adapter")

// askDirectory asks the directory of the adapter to choose the engine of the next
// attempt.
func (m *modelRun) askDirectory(ctx context.Context, view *node.View) (node.Placed, error) {
	directory, ok := view.Directory(m.call.Service, m.request.Adapter)
	if !ok {
		return node.Placed{}, errNoDirectory
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	request := node.PlaceRequested{
		ID:      m.entry.NewID(),
		Service: m.call.Service,
		Adapter: m.request.Adapter,
		Tried:   slices.Sorted(maps.Keys(m.tried)),
	}
	if directory.Name == view.Self.Name {
		return m.entry.config.Place(ctx, request)
	}
	return m.entry.config.Peers.Place(ctx, directory, request)
}

// Engines returns the fleet-wide names of the engines that a document lists.
func Engines(revision *docs.Revision) []string {
	names := make([]string, len(revision.Document.Engines))
	for i, engine := range revision.Document.Engines {
		names[i] = node.EngineName(revision.Service, engine.Name)
	}
	return names
}

// recordFailure excludes the engine of a failed attempt from further attempts of
// the call. It ignores changes of ownership and cancelled calls, which are not
// failures of the engine. After a crash, it marks the request as a suspect. If the
// engine is unreachable, calls that choose an engine without the directory avoid it
// for the duration avoidFor.
func (m *modelRun) recordFailure(now time.Time, reason node.Reason) {
	if reason == "" || ownershipChange(reason) || reason == owner.Canceled {
		return
	}
	if reason == node.EngineCrashed {
		m.request.Suspect = true
	}
	m.tried[m.engine] = true
	if unreachable(reason) {
		m.entry.mu.Lock()
		m.entry.fallback.Avoid(now, m.engine, avoidFor)
		m.entry.mu.Unlock()
	}
}

// unreachable reports whether a failure suggests that the engine or its owner
// does not respond.
func unreachable(reason node.Reason) bool {
	switch reason {
	case node.EngineDown, node.EngineCrashed, owner.EngineTimeout, peer.PeerTimeout:
		return true
	default:
		return false
	}
}

// Started implements owner.Sink. It records that an engine may receive the
// request.
func (m *modelRun) Started() { m.ran = true }

// Token implements owner.Sink. A token that is out of order ends the attempt,
// because the answer would have a gap or a repeated token.
func (m *modelRun) Token(offset int, text string) error {
	if offset != m.received {
		m.entry.config.Metrics.AnswerDropped("token")
		return owner.ErrOutOfOrder
	}
	m.received++
	if m.collect {
		m.text.WriteString(text)
		return nil
	}
	if err := m.emit(offset, text); err != nil {
		m.emitErr = err
		return err
	}
	return nil
}
