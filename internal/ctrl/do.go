package ctrl

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/delay"
	"github.com/tanagerlb/tanagerlb/internal/infer"
	"github.com/tanagerlb/tanagerlb/internal/logs"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/place"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

const (
	readPause    = 200 * time.Millisecond // after a failed read of the log
	probeTimeout = 400 * time.Millisecond // of each of the two tries
	bidTimeout   = 300 * time.Millisecond // for bids
	peerTimeout  = time.Second            // of other exchanges between VMs
	orderTries   = 3                      // for an order whose answer was lost
	orderPause   = 100 * time.Millisecond // between these tries
)

// do carries out an action, or starts a job that does.
func (l *Loop) do(ctx context.Context, a node.Action) {
	switch a := a.(type) {
	case node.Follow:
		l.follow(ctx, a.Stream)
	case node.Unfollow:
		l.followers[a.Stream].Stop()
		delete(l.followers, a.Stream)
	case node.Append:
		l.Append(a.Stream, a.Data)
	case node.Probe:
		l.probe(ctx, a)
	case node.Borrow:
		go (&borrowJob{loop: l, action: a, have: l.Self().Versions}).run(ctx)
	case node.Poll:
		l.poll(ctx, a)
	case node.Load:
		go (&orderJob{loop: l, load: &a}).run(ctx)
	case node.Unload:
		go (&orderJob{loop: l, unload: &a}).run(ctx)
	case node.AskPermit:
		go (&permitJob{loop: l, ask: a}).run(ctx)
	case node.ReturnPermit:
		go (&returnJob{loop: l, action: a}).run(ctx)
	case node.AskBids:
		go (&bidsJob{loop: l, action: a, self: l.view.Load().Self.Name}).run(ctx)
	case node.TellEvicted:
		go (&evictedJob{loop: l, action: a}).run(ctx)
	case node.Run:
		l.runner.Run(ctx, a.Call)
	case node.Ignored:
		l.config.Metrics.RecordIgnored(a.Stream)
		l.config.Logger.Warn("log: ignored a record", zap.String("stream", a.Stream), zap.Error(a.Err))
	case node.Left:
		l.config.Left()
	default:
		l.deliver(a)
	}
}

// deliver hands an action to the call that waits for it.
func (l *Loop) deliver(a node.Action) {
	id := ""
	switch a := a.(type) {
	case node.Start:
		id = a.ID
	case node.Refuse:
		id = a.ID
	case node.Answer:
		id = a.ID
	case node.Grant:
		id = PermitID(a.ID)
	case node.Placed:
		id = PlaceID(a.ID)
	case node.Judged:
		id = a.Nonce
	}
	reply, ok := l.waiters[id]
	if !ok {
		l.config.Metrics.AnswerDropped("action")
		return
	}
	delete(l.waiters, id)
	reply <- a
}

// PermitID returns the id under which the grant of a permit is awaited.
func PermitID(id permit.ID) string { return "permit " + id.VM + " " + id.Name }

// PlaceID returns the id under which the place of a request is awaited.
func PlaceID(id string) string { return "place " + id }

// Self returns what this VM tells of itself.
func (l *Loop) Self() Self {
	v := l.view.Load()
	s := Self{VM: v.Self, Leaving: v.Leaving, Log: v.Log, Yields: v.Yields, Versions: map[string]int64{}}
	for service, e := range v.Editions {
		s.Versions[service] = e.Version
	}
	return s
}

func (l *Loop) follow(ctx context.Context, stream string) {
	l.followers[stream] = logs.Follow(ctx, logs.FollowConfig{
		Client: l.config.Log,
		Stream: stream,
		Sink:   l,
		Wait:   l.config.Wait,
		Pause:  readPause,
	})
}

func (l *Loop) probe(ctx context.Context, a node.Probe) {
	if l.probing[a.VM.Name] {
		return
	}
	l.probing[a.VM.Name] = true
	go (&probeJob{loop: l, action: a, self: l.Self()}).run(ctx)
}

func (l *Loop) poll(ctx context.Context, a node.Poll) {
	if l.polling[a.Engine] {
		return
	}
	l.polling[a.Engine] = true
	go (&pollJob{loop: l, action: a}).run(ctx)
}

// probeJob asks a peer for a sign of life, the second time on a fresh
// connection.
type probeJob struct {
	loop   *Loop
	action node.Probe
	self   Self
}

func (j *probeJob) run(ctx context.Context) {
	for _, fresh := range []bool{false, true} {
		try, cancel := context.WithTimeout(ctx, probeTimeout)
		heard, err := j.loop.config.Peers.Probe(try, j.action.VM, j.self, fresh)
		cancel()
		if err == nil {
			j.loop.Post(heard)
			return
		}
	}
	j.loop.config.Metrics.DependencyFailed("peer")
	j.loop.Post(node.Silent{VM: j.action.VM.Name})
}

// borrowJob asks a peer for documents.
type borrowJob struct {
	loop   *Loop
	action node.Borrow
	have   map[string]int64
}

func (j *borrowJob) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	records, err := j.loop.config.Peers.Borrow(ctx, j.action.VM, j.have)
	if err != nil {
		j.loop.config.Metrics.DependencyFailed("peer")
		return
	}
	if len(records) > 0 {
		j.loop.Post(node.Lent{Records: records})
	}
}

// pollJob asks an engine for its report, the second time on a fresh
// connection.
type pollJob struct {
	loop   *Loop
	action node.Poll
}

func (j *pollJob) run(ctx context.Context) {
	for range 2 {
		report, err := j.loop.config.Engines.Report(ctx, j.action.Address)
		if err == nil {
			reported := node.Reported{Engine: j.action.Engine, Boot: report.Boot}
			for _, r := range report.Instances {
				reported.Instances = append(reported.Instances, node.Resident(r))
			}
			j.loop.Post(reported)
			return
		}
		j.loop.config.Engines.Fresh()
	}
	j.loop.config.Metrics.DependencyFailed("engine")
	j.loop.Post(node.Down{Engine: j.action.Engine})
}

// orderJob orders an engine to load or unload an adapter. Orders are
// idempotent, so one whose answer was lost is given again.
type orderJob struct {
	loop   *Loop
	load   *node.Load
	unload *node.Unload
}

func (j *orderJob) run(ctx context.Context) {
	var err error
	for range orderTries {
		if err = j.give(ctx); err == nil || !infer.Doubtful(err) || errors.Is(err, context.DeadlineExceeded) {
			break
		}
		j.loop.config.Engines.Fresh()
		delay.Wait(ctx, orderPause)
	}
	result := "ok"
	if err != nil {
		result = "failed"
		j.loop.config.Logger.Info("engine: order failed", zap.Error(err))
	}
	if j.load != nil {
		j.loop.config.Metrics.EngineOrder("load", result)
		j.loop.Post(node.LoadEnded{Engine: j.load.Engine, Instance: j.load.Instance, OK: err == nil})
		return
	}
	j.loop.config.Metrics.EngineOrder("unload", result)
	j.loop.Post(node.UnloadEnded{Engine: j.unload.Engine, Instance: j.unload.Instance, OK: err == nil})
}

func (j *orderJob) give(ctx context.Context) error {
	if j.load != nil {
		o := infer.Order{Instance: j.load.Instance.String(), Path: path(j.load.Instance.Adapter), Fence: j.load.Fence}
		return j.loop.config.Engines.Load(ctx, j.load.Address, o)
	}
	o := infer.Order{Instance: j.unload.Instance.String(), Fence: j.unload.Fence}
	return j.loop.config.Engines.Unload(ctx, j.unload.Address, o)
}

// path returns where an adapter's weights are in the weight store.
func path(a spec.Adapter) string { return a.Name + "/" + a.Version }

// permitJob asks the granter for a permit.
type permitJob struct {
	loop *Loop
	ask  node.AskPermit
}

func (j *permitJob) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	granted, err := j.loop.config.Peers.Ask(ctx, j.ask.Granter, j.ask.Ask)
	if err != nil {
		j.loop.config.Metrics.DependencyFailed("granter")
		return
	}
	if granted {
		j.loop.Post(node.PermitGranted{ID: j.ask.Ask.ID})
	}
}

// returnJob gives a permit back to the granter.
type returnJob struct {
	loop   *Loop
	action node.ReturnPermit
}

func (j *returnJob) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := j.loop.config.Peers.Return(ctx, j.action.Granter, j.action.ID); err != nil {
		j.loop.config.Metrics.DependencyFailed("granter")
	}
}

// bidsJob asks the owners of engines for bids, all at once.
type bidsJob struct {
	loop   *Loop
	action node.AskBids
	self   string
	mu     sync.Mutex
	bids   []place.Bid
	asks   sync.WaitGroup
}

func (j *bidsJob) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bidTimeout)
	defer cancel()
	for _, owner := range j.action.Owners {
		j.asks.Add(1)
		go (&bidAsk{job: j, owner: owner}).run(ctx)
	}
	j.asks.Wait()
	slices.SortFunc(j.bids, func(a, b place.Bid) int { return strings.Compare(a.Engine, b.Engine) })
	j.loop.Post(node.BidsTaken{Service: j.action.Service, Adapter: j.action.Adapter, Bids: j.bids})
}

// bidAsk asks one owner.
type bidAsk struct {
	job   *bidsJob
	owner node.BidOwner
}

func (a *bidAsk) run(ctx context.Context) {
	defer a.job.asks.Done()
	var bids []place.Bid
	if a.owner.VM.Name == a.job.self {
		bids = a.job.loop.Bids(a.job.action.Adapter, a.owner.Engines)
	} else {
		var err error
		if bids, err = a.job.loop.config.Peers.Bids(ctx, a.owner, a.job.action.Adapter); err != nil {
			a.job.loop.config.Metrics.DependencyFailed("bids")
		}
	}
	a.job.mu.Lock()
	defer a.job.mu.Unlock()
	a.job.bids = append(a.job.bids, bids...)
}

// evictedJob tells a directory of an eviction. If that fails, the directory
// learns it with the next bids.
type evictedJob struct {
	loop   *Loop
	action node.TellEvicted
}

func (j *evictedJob) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := j.loop.config.Peers.Evicted(ctx, j.action.Directory, j.action.Evicted); err != nil {
		j.loop.config.Metrics.DependencyFailed("directory")
	}
}
