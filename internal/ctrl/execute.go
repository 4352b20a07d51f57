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
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/place"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

const (
	readPause       = 200 * time.Millisecond // pause after a failed read of the log
	probeTimeout    = 400 * time.Millisecond // timeout of each of the two probe attempts
	bidTimeout      = 300 * time.Millisecond // timeout of requests for bids
	peerTimeout     = time.Second            // timeout of other requests to peers
	adapterAttempts = 3                      // maximum attempts at a load or unload if responses are lost
	adapterPause    = 100 * time.Millisecond // pause between attempts at a load or unload
)

// execute carries out an action. A slow action runs in a goroutine of its own.
func (l *Loop) execute(ctx context.Context, a node.Action) {
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
	case node.FetchDocuments:
		go (&fetchJob{loop: l, action: a, have: l.Heartbeat().Versions}).run(ctx)
	case node.Poll:
		l.poll(ctx, a)
	case node.Load:
		go (&adapterJob{loop: l, load: &a}).run(ctx)
	case node.Unload:
		go (&adapterJob{loop: l, unload: &a}).run(ctx)
	case node.RequestPermit:
		go (&permitJob{loop: l, action: a}).run(ctx)
	case node.ReleasePermit:
		go (&releaseJob{loop: l, action: a}).run(ctx)
	case node.RequestBids:
		go (&bidsJob{loop: l, action: a, self: l.view.Load().Self.Name}).run(ctx)
	case node.NotifyEvicted:
		go (&evictionJob{loop: l, action: a}).run(ctx)
	case node.RunKeyed:
		l.runner.Run(ctx, a.Call)
	case node.RecordIgnored:
		l.config.Metrics.RecordIgnored(a.Stream)
		l.config.Logger.Warn("log: skipped an unusable record", zap.String("stream", a.Stream), zap.Error(a.Err))
	case node.CrashDetected:
		l.logCrash(a)
	case node.ShutdownComplete:
		l.config.OnShutdownComplete()
	default:
		l.deliver(a)
	}
}

// logCrash logs the crash of an engine with the requests that may have been the
// cause.
func (l *Loop) logCrash(a node.CrashDetected) {
	l.config.Metrics.CrashLearned("owner")
	l.config.Logger.Warn("engine: crashed", zap.String("engine", a.Engine), zap.Int("running", a.Running),
		zap.Int("suspects", a.Suspects), zap.Strings("blocked", crash.Texts(a.Blocked)))
}

// deliver sends an action to the call that waits for it. If no call waits, the
// action is counted as dropped.
func (l *Loop) deliver(a node.Action) {
	id := ""
	switch a := a.(type) {
	case node.Start:
		id = a.ID
	case node.Refuse:
		id = a.ID
	case node.Answer:
		id = a.ID
	case node.GrantPermit:
		id = PermitID(a.ID)
	case node.Placed:
		id = PlaceID(a.ID)
	case node.ProposalDecided:
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

// PermitID returns the ID under which Ask waits for the grant of a permit.
func PermitID(id permit.ID) string { return "permit " + id.VM + " " + id.Name }

// PlaceID returns the ID under which Ask waits for the placement of a request.
func PlaceID(id string) string { return "place " + id }

// Heartbeat returns the content of this VM's next heartbeat.
func (l *Loop) Heartbeat() Heartbeat {
	v := l.view.Load()
	heartbeat := Heartbeat{VM: v.Self, Leaving: v.Leaving, LogUp: v.LogUp, Yields: v.Yields, Versions: map[string]int64{}}
	for service, revision := range v.Revisions {
		heartbeat.Versions[service] = revision.Version
	}
	return heartbeat
}

func (l *Loop) follow(ctx context.Context, stream string) {
	l.followers[stream] = logs.Follow(ctx, logs.FollowConfig{
		Client:     l.config.Log,
		Stream:     stream,
		Sink:       l,
		ReadWait:   l.config.ReadWait,
		RetryPause: readPause,
	})
}

func (l *Loop) probe(ctx context.Context, a node.Probe) {
	if l.probing[a.VM.Name] {
		return
	}
	l.probing[a.VM.Name] = true
	go (&probeJob{loop: l, action: a, self: l.Heartbeat()}).run(ctx)
}

func (l *Loop) poll(ctx context.Context, a node.Poll) {
	if l.polling[a.Engine] {
		return
	}
	l.polling[a.Engine] = true
	go (&pollJob{loop: l, action: a}).run(ctx)
}

// probeJob sends a heartbeat to a peer. If the peer does not answer, the job tries
// once more on a new connection.
type probeJob struct {
	loop   *Loop
	action node.Probe
	self   Heartbeat
}

func (j *probeJob) run(ctx context.Context) {
	for _, fresh := range []bool{false, true} {
		attempt, cancel := context.WithTimeout(ctx, probeTimeout)
		heartbeat, err := j.loop.config.Peers.Probe(attempt, j.action.VM, j.self, fresh)
		cancel()
		if err == nil {
			j.loop.Post(heartbeat)
			return
		}
	}
	j.loop.config.Metrics.DependencyFailed("peer")
	j.loop.Post(node.PeerUnreachable{VM: j.action.VM.Name})
}

// fetchJob fetches document records from a peer, because this VM cannot read the
// log or lags behind it.
type fetchJob struct {
	loop   *Loop
	action node.FetchDocuments
	have   map[string]int64 // document versions of this VM, by service
}

func (j *fetchJob) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	records, err := j.loop.config.Peers.FetchDocuments(ctx, j.action.VM, j.have)
	if err != nil {
		j.loop.config.Metrics.DependencyFailed("peer")
		return
	}
	if len(records) > 0 {
		j.loop.Post(node.DocumentsFetched{Records: records})
	}
}

// pollJob fetches the status report of an engine: its incarnation and its loaded
// adapters. If the engine does not answer, the job tries once more on a new
// connection.
type pollJob struct {
	loop   *Loop
	action node.Poll
}

func (j *pollJob) run(ctx context.Context) {
	for range 2 {
		report, err := j.loop.config.Engines.Report(ctx, j.action.Address)
		if err == nil {
			reported := node.EngineReported{Engine: j.action.Engine, Boot: report.Boot}
			for _, r := range report.Instances {
				reported.Instances = append(reported.Instances, node.ReportedInstance(r))
			}
			j.loop.Post(reported)
			return
		}
		j.loop.config.Engines.CloseIdle()
	}
	j.loop.config.Metrics.DependencyFailed("engine")
	j.loop.Post(node.EngineUnreachable{Engine: j.action.Engine})
}

// adapterJob requests an engine to load or unload an adapter. If the response is
// lost, it sends the request again, except after a timeout. Sending it again is
// safe because the requests are idempotent.
type adapterJob struct {
	loop   *Loop
	load   *node.Load   // nil to unload
	unload *node.Unload // nil to load
}

func (j *adapterJob) run(ctx context.Context) {
	var err error
	for range adapterAttempts {
		if err = j.send(ctx); err == nil || !infer.MayHaveApplied(err) || errors.Is(err, context.DeadlineExceeded) {
			break
		}
		j.loop.config.Engines.CloseIdle()
		delay.Wait(ctx, adapterPause)
	}
	result := "ok"
	if err != nil {
		result = "failed"
		j.loop.config.Logger.Info("engine: load or unload failed", zap.Error(err))
	}
	if j.load != nil {
		j.loop.config.Metrics.EngineOrder("load", result)
		j.loop.Post(node.LoadEnded{Engine: j.load.Engine, Instance: j.load.Instance, OK: err == nil})
		return
	}
	j.loop.config.Metrics.EngineOrder("unload", result)
	j.loop.Post(node.UnloadEnded{Engine: j.unload.Engine, Instance: j.unload.Instance, OK: err == nil})
}

func (j *adapterJob) send(ctx context.Context) error {
	if j.load != nil {
		request := infer.AdapterRequest{Instance: j.load.Instance.String(), Path: weightsPath(j.load.Instance.Adapter), FencingToken: j.load.FencingToken}
		return j.loop.config.Engines.Load(ctx, j.load.Address, request)
	}
	request := infer.AdapterRequest{Instance: j.unload.Instance.String(), FencingToken: j.unload.FencingToken}
	return j.loop.config.Engines.Unload(ctx, j.unload.Address, request)
}

// weightsPath returns the path of an adapter's weights in the weight store.
func weightsPath(a spec.Adapter) string { return a.Name + "/" + a.Version }

// permitJob requests a load permit from the granter.
type permitJob struct {
	loop   *Loop
	action node.RequestPermit
}

func (j *permitJob) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	granted, err := j.loop.config.Peers.RequestPermit(ctx, j.action.Granter, j.action.Request)
	if err != nil {
		j.loop.config.Metrics.DependencyFailed("granter")
		return
	}
	if granted {
		j.loop.Post(node.PermitGranted{ID: j.action.Request.ID})
	}
}

// releaseJob releases a load permit at the granter.
type releaseJob struct {
	loop   *Loop
	action node.ReleasePermit
}

func (j *releaseJob) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := j.loop.config.Peers.ReleasePermit(ctx, j.action.Granter, j.action.ID); err != nil {
		j.loop.config.Metrics.DependencyFailed("granter")
	}
}

// bidsJob requests bids on an adapter from the owners of the candidate engines, in
// parallel.
type bidsJob struct {
	loop   *Loop
	action node.RequestBids
	self   string     // name of this VM
	mu     sync.Mutex // guards bids
	bids   []place.Bid
	open   sync.WaitGroup // requests in progress
}

func (j *bidsJob) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bidTimeout)
	defer cancel()
	for _, owner := range j.action.Owners {
		j.open.Add(1)
		go (&bidRequest{job: j, owner: owner}).run(ctx)
	}
	j.open.Wait()
	slices.SortFunc(j.bids, func(a, b place.Bid) int { return strings.Compare(a.Engine, b.Engine) })
	j.loop.Post(node.BidsReceived{Service: j.action.Service, Adapter: j.action.Adapter, Bids: j.bids})
}

// bidRequest requests the bids for the engines of one owner.
type bidRequest struct {
	job   *bidsJob
	owner node.BidOwner
}

func (r *bidRequest) run(ctx context.Context) {
	defer r.job.open.Done()
	var bids []place.Bid
	if r.owner.VM.Name == r.job.self {
		bids = r.job.loop.Bids(r.job.action.Adapter, r.owner.Engines)
	} else {
		var err error
		if bids, err = r.job.loop.config.Peers.Bids(ctx, r.owner, r.job.action.Adapter); err != nil {
			r.job.loop.config.Metrics.DependencyFailed("bids")
		}
	}
	r.job.mu.Lock()
	defer r.job.mu.Unlock()
	r.job.bids = append(r.job.bids, bids...)
}

// evictionJob tells the directory of an adapter which engine evicts the adapter. If
// the directory does not get this notice, it learns of the eviction from the next
// bids.
type evictionJob struct {
	loop   *Loop
	action node.NotifyEvicted
}

func (j *evictionJob) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := j.loop.config.Peers.NotifyEvicted(ctx, j.action.Directory, j.action.Evicted); err != nil {
		j.loop.config.Metrics.DependencyFailed("directory")
	}
}
