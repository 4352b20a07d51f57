// Package ctrl provides the control thread of a VM: one goroutine that owns
// the decisions, carries out their actions through ports, and publishes
// immutable views for traffic.
package ctrl

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/infer"
	"github.com/tanagerlb/tanagerlb/internal/logs"
	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/pkg/claim"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/place"
	"github.com/tanagerlb/tanagerlb/pkg/record"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// Peers is the port to the other VMs.
type Peers interface {
	// Probe asks a VM for a sign of life; fresh asks on a new connection.
	Probe(ctx context.Context, vm member.VM, self Self, fresh bool) (node.Heard, error)
	// Borrow asks a VM for the document records that are newer than have.
	Borrow(ctx context.Context, vm member.VM, have map[string]int64) ([]record.Record, error)
	// Ask asks the granter for a permit and tells whether it was granted.
	Ask(ctx context.Context, vm member.VM, ask permit.Ask) (bool, error)
	// Return gives a permit back to the granter.
	Return(ctx context.Context, vm member.VM, id permit.ID) error
	// Bids asks the owner of engines for bids on an adapter.
	Bids(ctx context.Context, owner node.BidOwner, a spec.Adapter) ([]place.Bid, error)
	// Evicted tells the directory of an adapter that an engine unloads it.
	Evicted(ctx context.Context, vm member.VM, e node.Evicted) error
}

// Runner is the port that runs keyed calls.
type Runner interface {
	Run(ctx context.Context, call keys.Call)
}

// Self is what a VM tells of itself.
type Self struct {
	VM       member.VM
	Leaving  bool
	Versions map[string]int64
	Log      bool
	Yields   []claim.Yield
}

// Config sets up a Loop.
type Config struct {
	Node    node.Config
	Log     *logs.Client
	Group   time.Duration // least time between two appends to a stream
	Wait    time.Duration // for which a read waits at the tail of a stream
	Peers   Peers
	Engines infer.Engines
	Metrics *metric.Set
	Logger  *zap.Logger
	Left    func() // called once the graceful shutdown is complete
}

// queue is the number of events that may wait for the control thread.
const queue = 4096

type message struct {
	event node.Event
	id    string // of the call that waits for an action, if any
	reply chan node.Action
	query func(now time.Time, n *node.Node)
}

// Loop is the control thread of one VM.
type Loop struct {
	config    Config
	node      *node.Node
	messages  chan message
	view      atomic.Pointer[node.View]
	waiters   map[string]chan node.Action
	followers map[string]*logs.Follower
	probing   map[string]bool
	polling   map[string]bool
	appender  *logs.Appender
	runner    Runner
	done      chan struct{}
}

// New returns a loop that is not running yet.
func New(c Config) *Loop {
	l := &Loop{
		config:    c,
		node:      node.New(c.Node),
		messages:  make(chan message, queue),
		waiters:   map[string]chan node.Action{},
		followers: map[string]*logs.Follower{},
		probing:   map[string]bool{},
		polling:   map[string]bool{},
		done:      make(chan struct{}),
	}
	l.publish(time.Now())
	return l
}

// Start runs the loop until ctx is done. The runner runs keyed calls.
func (l *Loop) Start(ctx context.Context, runner Runner) {
	l.runner = runner
	l.appender = logs.NewAppender(ctx, logs.AppendConfig{
		Client: l.config.Log,
		Sink:   l,
		Every:  l.config.Group,
		Most:   queue,
	})
	go l.loop(ctx)
}

// View returns the present view.
func (l *Loop) View() *node.View { return l.view.Load() }

// Post hands an event to the control thread.
func (l *Loop) Post(e node.Event) { l.send(message{event: e}) }

// Ask hands an event to the control thread and returns the channel on which
// the first action for the call with the given id will come.
func (l *Loop) Ask(id string, e node.Event) <-chan node.Action {
	reply := make(chan node.Action, 1)
	l.send(message{event: e, id: id, reply: reply})
	return reply
}

// Expect returns the channel on which the next action with the given id will
// come, without an event.
func (l *Loop) Expect(id string) <-chan node.Action {
	reply := make(chan node.Action, 1)
	l.send(message{id: id, reply: reply})
	return reply
}

// Forget drops the wait for an action.
func (l *Loop) Forget(id string) { l.send(message{id: id}) }

// Query runs a function on the control thread and waits for it.
func (l *Loop) Query(query func(now time.Time, n *node.Node)) {
	done := make(chan struct{})
	l.send(message{query: func(now time.Time, n *node.Node) {
		query(now, n)
		close(done)
	}})
	select {
	case <-done:
	case <-l.done:
	}
}

// Place places a request, if this VM is the directory of its adapter.
func (l *Loop) Place(ctx context.Context, ask node.PlaceAsked) (node.Placed, error) {
	id := PlaceID(ask.ID)
	reply := l.Ask(id, ask)
	select {
	case a := <-reply:
		placed, _ := a.(node.Placed)
		return placed, nil
	case <-ctx.Done():
		l.Forget(id)
		return node.Placed{}, ctx.Err()
	}
}

// Bids returns the bids of this VM's engines for an adapter.
func (l *Loop) Bids(a spec.Adapter, engines []string) []place.Bid {
	var bids []place.Bid
	l.Query(func(now time.Time, n *node.Node) { bids = n.Bids(now, a, engines) })
	return bids
}

// Append hands a record to the log.
func (l *Loop) Append(stream string, data []byte) {
	l.config.Metrics.RecordAppended(stream)
	l.appender.Append(stream, data)
}

func (l *Loop) send(m message) {
	select {
	case l.messages <- m:
	case <-l.done:
	}
}

func (l *Loop) loop(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(l.config.Node.Timing.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.messages:
			l.handle(ctx, m)
		case <-ticker.C:
			l.step(ctx, node.Tick{})
		}
	}
}

func (l *Loop) handle(ctx context.Context, m message) {
	switch {
	case m.query != nil:
		m.query(time.Now(), l.node)
		return
	case m.reply != nil:
		l.waiters[m.id] = m.reply
	case m.id != "":
		delete(l.waiters, m.id)
	}
	if m.event != nil {
		l.step(ctx, m.event)
	}
}

// step takes an event and carries out what was decided.
func (l *Loop) step(ctx context.Context, e node.Event) {
	now := time.Now()
	l.observe(e)
	actions := l.node.Step(now, e)
	l.publish(now)
	for _, a := range actions {
		l.do(ctx, a)
	}
}

// observe notes that a job which the loop started has ended.
func (l *Loop) observe(e node.Event) {
	switch e := e.(type) {
	case node.Heard:
		delete(l.probing, e.VM.Name)
	case node.Silent:
		delete(l.probing, e.VM)
	case node.Reported:
		delete(l.polling, e.Engine)
	case node.Down:
		delete(l.polling, e.Engine)
	}
}

func (l *Loop) publish(now time.Time) {
	if view, changed := l.node.View(now); changed {
		l.view.Store(view)
	}
}

// LogRead takes what was read of a stream.
func (l *Loop) LogRead(stream string, sent time.Time, batch record.Batch) {
	l.Post(node.LogRead{Stream: stream, Sent: sent, Batch: batch})
}

// LogFailed takes that a stream could not be read or appended to.
func (l *Loop) LogFailed(stream string, err error) {
	l.config.Metrics.DependencyFailed("log")
	l.config.Logger.Debug("log: request failed", zap.String("stream", stream), zap.Error(err))
	l.Post(node.LogFailed{Stream: stream})
}
