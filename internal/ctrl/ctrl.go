// Package ctrl provides the control loop of a VM that runs `tanagerlb serve`. A
// single goroutine feeds events to the state machine in package node and executes
// the actions that the state machine returns. It publishes immutable views of the
// state, which request handlers read without locks.
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

// Peers sends requests to the other VMs.
type Peers interface {
	// Probe sends a heartbeat to a VM and returns the heartbeat that the VM answers
	// with. If fresh is set, Probe uses a new connection.
	Probe(ctx context.Context, vm member.VM, self Heartbeat, fresh bool) (node.PeerHeartbeat, error)
	// FetchDocuments fetches service documents from a VM if this VM cannot read the
	// log or lags behind it. It returns the records of the documents that are newer
	// than the versions in have, which is keyed by service.
	FetchDocuments(ctx context.Context, vm member.VM, have map[string]int64) ([]record.Record, error)
	// RequestPermit requests a load permit from the granter, the VM that limits
	// loads from the weight store, and reports whether the permit was granted.
	RequestPermit(ctx context.Context, vm member.VM, request permit.Request) (bool, error)
	// ReleasePermit releases a permit, or cancels the request for one.
	ReleasePermit(ctx context.Context, vm member.VM, id permit.ID) error
	// Bids requests bids on an adapter from the VM that owns the given engines. It
	// returns one bid for each engine that can take requests. A bid states the cost
	// of taking the adapter and how busy the engine is.
	Bids(ctx context.Context, owner node.BidOwner, a spec.Adapter) ([]place.Bid, error)
	// NotifyEvicted tells an adapter's directory that an engine unloads the
	// adapter. The directory is the VM that chooses the engines for the adapter's
	// requests.
	NotifyEvicted(ctx context.Context, vm member.VM, e node.Evicted) error
}

// Runner runs a call that carries an idempotency key. The control loop calls Run
// when the state machine has decided that the call is to be run.
type Runner interface {
	Run(ctx context.Context, call keys.Call)
}

// Heartbeat is the content of a heartbeat that a VM sends.
type Heartbeat struct {
	VM       member.VM
	Leaving  bool
	Versions map[string]int64 // document versions in force, by service
	LogUp    bool             // the VM can read the log
	Yields   []claim.Yield    // statements that the VM gives no more orders to engines that it lost
}

// Config holds the settings and dependencies of a Loop.
type Config struct {
	Node               node.Config
	Log                *logs.Client
	AppendInterval     time.Duration // minimum time between two appends to a stream
	ReadWait           time.Duration // maximum time that a read at the end of a stream waits for new records
	Peers              Peers
	Engines            infer.Engines
	Metrics            *metric.Set
	Logger             *zap.Logger
	OnShutdownComplete func() // called when the graceful shutdown is complete
}

// queueSize is the capacity of the control loop's message queue, and the maximum
// number of records that wait to be appended to a stream.
const queueSize = 4096

// message is sent to the control loop. It is one of: an event (event); the start of
// a wait for an action (id and reply), with or without an event; the end of such a
// wait (id without reply); a query (query).
type message struct {
	event node.Event
	id    string           // ID of the call that waits for an action, if any
	reply chan node.Action // receives the action; nil cancels the wait of the call with this ID
	query func(now time.Time, n *node.Node)
}

// Loop is the control loop of one VM.
type Loop struct {
	config    Config
	node      *node.Node
	messages  chan message
	view      atomic.Pointer[node.View]
	waiters   map[string]chan node.Action // by ID of the call
	followers map[string]*logs.Follower   // by stream
	probing   map[string]bool             // VMs with a probe in progress
	polling   map[string]bool             // engines with a poll in progress
	appender  *logs.Appender
	runner    Runner
	done      chan struct{}
}

// New returns a Loop that does nothing until Start is called. Its first view is
// already published.
func New(c Config) *Loop {
	l := &Loop{
		config:    c,
		node:      node.New(c.Node),
		messages:  make(chan message, queueSize),
		waiters:   map[string]chan node.Action{},
		followers: map[string]*logs.Follower{},
		probing:   map[string]bool{},
		polling:   map[string]bool{},
		done:      make(chan struct{}),
	}
	l.publish(time.Now())
	return l
}

// Start runs the loop in the background until ctx is done. The loop passes calls
// that carry an idempotency key to runner.
func (l *Loop) Start(ctx context.Context, runner Runner) {
	l.runner = runner
	l.appender = logs.NewAppender(ctx, logs.AppendConfig{
		Client:     l.config.Log,
		Sink:       l,
		Interval:   l.config.AppendInterval,
		MaxPending: queueSize,
	})
	go l.run(ctx)
}

// View returns the view of the state that was published last.
func (l *Loop) View() *node.View { return l.view.Load() }

// Post sends an event to the control loop.
func (l *Loop) Post(e node.Event) { l.send(message{event: e}) }

// Ask sends an event to the control loop and returns the channel that receives
// the first action for the call with the given ID.
func (l *Loop) Ask(id string, e node.Event) <-chan node.Action {
	reply := make(chan node.Action, 1)
	l.send(message{event: e, id: id, reply: reply})
	return reply
}

// Await returns the channel that receives the next action for the call with the
// given ID. Unlike Ask, it sends no event.
func (l *Loop) Await(id string) <-chan node.Action {
	reply := make(chan node.Action, 1)
	l.send(message{id: id, reply: reply})
	return reply
}

// Forget cancels the wait for an action that Ask or Await began.
func (l *Loop) Forget(id string) { l.send(message{id: id}) }

// Query runs a function on the goroutine of the control loop and waits until the
// function returns. If the loop has ended, Query returns at once and the function
// might not run.
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

// Place chooses the engine for a request. This VM must be the directory of the
// request's adapter.
func (l *Loop) Place(ctx context.Context, request node.PlaceRequested) (node.Placed, error) {
	id := PlaceID(request.ID)
	reply := l.Ask(id, request)
	select {
	case a := <-reply:
		placed, _ := a.(node.Placed)
		return placed, nil
	case <-ctx.Done():
		l.Forget(id)
		return node.Placed{}, ctx.Err()
	}
}

// Bids returns the bids on an adapter, one for each of the given engines that this
// VM owns and that can take requests.
func (l *Loop) Bids(a spec.Adapter, engines []string) []place.Bid {
	var bids []place.Bid
	l.Query(func(now time.Time, n *node.Node) { bids = n.Bids(now, a, engines) })
	return bids
}

// Append queues a record to be appended to a stream of the log.
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

func (l *Loop) run(ctx context.Context) {
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

// step applies an event to the state and executes the resulting actions.
func (l *Loop) step(ctx context.Context, e node.Event) {
	now := time.Now()
	l.markEnded(e)
	actions := l.node.Step(now, e)
	l.publish(now)
	for _, a := range actions {
		l.execute(ctx, a)
	}
}

// markEnded checks whether an event is the result of a probe or poll. If so, it
// records that this probe or poll has ended.
func (l *Loop) markEnded(e node.Event) {
	switch e := e.(type) {
	case node.PeerHeartbeat:
		delete(l.probing, e.VM.Name)
	case node.PeerUnreachable:
		delete(l.probing, e.VM)
	case node.EngineReported:
		delete(l.polling, e.Engine)
	case node.EngineUnreachable:
		delete(l.polling, e.Engine)
	}
}

func (l *Loop) publish(now time.Time) {
	if view, changed := l.node.View(now); changed {
		l.view.Store(view)
	}
}

// LogRead passes a batch of records that was read from a stream to the state
// machine. The request for the batch was sent at the time sent.
func (l *Loop) LogRead(stream string, sent time.Time, batch record.Batch) {
	l.Post(node.LogRead{Stream: stream, Sent: sent, Batch: batch})
}

// LogFailed counts and logs the failure of a read or append, and passes it to the
// state machine as an event.
func (l *Loop) LogFailed(stream string, err error) {
	l.config.Metrics.DependencyFailed("log")
	l.config.Logger.Debug("log: request failed", zap.String("stream", stream), zap.Error(err))
	l.Post(node.LogFailed{Stream: stream})
}
