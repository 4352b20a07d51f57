package edge

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/credit"
	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/fence"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/loads"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
	"github.com/tanagerlb/tanagerlb/pkg/route"
	"github.com/tanagerlb/tanagerlb/platform"
)

// event is an input of the control loop.
type event interface{ event() }

// packetReceived is a packet from a peer or from this VM itself. from is the zero
// value for a packet from this VM.
type packetReceived struct {
	from   netip.AddrPort
	packet packet
}

// orderDone is the result of an order to an engine: to load or unload an adapter
// or a base model.
type orderDone struct {
	engine      string
	held        *heldEngine // the engine as it was held when the order was sent
	token       int64
	action      engine.Action
	result      engine.OrderResult
	fenced      bool // the engine rejected the order: it has seen a higher fencing token
	misdirected bool // another upstream uses the address now
}

// reportDone is the result of a request for an engine's status report.
type reportDone struct {
	engine string
	held   *heldEngine // the engine as it was held when the report was requested
	report platform.Report
	err    error
}

// claimDone is the result of writing claims to the fleet topic, to claim engines
// or to give them up.
type claimDone struct {
	era int64 // era of the store in which they were written
	err error
}

// leave makes the VM leave the fleet: it stops accepting new callers and gives up
// its engines.
type leave struct{}

// reloaded carries settings that the platform changed.
type reloaded struct{ settings platform.Settings }

func (reloaded) event()       {}
func (topicListing) event()   {}
func (recordsRead) event()    {}
func (packetReceived) event() {}
func (orderDone) event()      {}
func (reportDone) event()     {}
func (claimDone) event()      {}
func (leave) event()          {}

// Key prefixes in the fleet topic: keyVM for records of VMs' addresses,
// keyClaim for claims on engines, keyCrash for crashes under requests.
const (
	keyVM    = "vm/"
	keyClaim = "own/"
	keyCrash = "crash/"
)

// Intervals and timeouts of the control loop.
const (
	// probeInterval is the interval between failure detector probes; see
	// gossip.Config. It is also the interval between scheduling rounds while no
	// engine that this VM holds has queued requests.
	probeInterval = 100 * time.Millisecond
	// busyInterval is the interval between scheduling rounds while an engine
	// that this VM holds has queued requests.
	busyInterval = 10 * time.Millisecond
	// listenTime is how long a VM learns about the fleet after its start, from the
	// store and from probes, before it claims engines that it did not hold before.
	listenTime = 1200 * time.Millisecond
	// claimStagger separates the first claims of VMs that start together: a VM waits
	// this long for each live VM whose name sorts before its own, but at most
	// maxClaimStagger.
	claimStagger    = 80 * time.Millisecond
	maxClaimStagger = 3 * time.Second
	// claimInterval is the interval between checks for engines to claim.
	claimInterval = 250 * time.Millisecond
	// claimJitter bounds the random delay that is added before the next attempt
	// after a failed claim. It keeps VMs whose claims conflicted from conflicting
	// again.
	claimJitter = 600 * time.Millisecond
	// claimOutageBackoff is the minimum time between attempts to claim engines
	// while the store does not respond. The wait ends early when a read of the
	// store succeeds again.
	claimOutageBackoff = 1500 * time.Millisecond
	// maxFleetAge is how old the last read of the fleet topic may be when a VM takes
	// engines over from others. After an older read, the topic is read again first.
	maxFleetAge = 100 * time.Millisecond
	// isolationTime is how long a VM that hears none of the other VMs waits before
	// it claims engines, as it may itself be cut off from the fleet by a network
	// partition.
	isolationTime = 15 * time.Second
	// reregisterGrace is the time that upstreams have to register again after an
	// outage of the store: the two seconds that the platform allows, and a margin.
	reregisterGrace = 2500 * time.Millisecond
	// leaseMargin is added to the lease for differences in clock rate and network
	// delay between two VMs.
	leaseMargin = 300 * time.Millisecond
	// deadRetention is how long a dead VM stays in the membership table.
	deadRetention = 20 * time.Second
)

// control owns the state of the VM. Only its loop accesses that state; the request
// path reads what the loop publishes in view and directory.
type control struct {
	settings   platform.Settings
	self       gossip.VM
	store      *platform.Store
	engines    *platform.EngineClient
	transport  *transport
	dispatcher *dispatcher
	metrics    *metric.Set
	logger     *zap.Logger
	events     chan event
	view       atomic.Pointer[relay.View]
	directory  atomic.Pointer[directory]
	closeIdle  func(netip.AddrPort)                                                  // closes connections to the address of an upstream that left
	check      func(ctx context.Context, u roster.Upstream, healthPath string) error // returns an error if an upstream's process has ended

	table           *route.Table
	roster          *roster.Table
	fence           *fence.Table
	gossip          *gossip.Table
	running         map[string]gossip.VM // other VMs, as gossip had them last, by name
	versions        map[engine.Name]engine.Version
	versionNumbers  map[engine.Name]int64 // published version numbers; the map is replaced, never modified
	versionsChanged bool                  // versions differ from versionNumbers
	held            map[string]*heldEngine
	newest          map[platform.Topic]map[string]platform.Record // newest record of each key, for peers that cannot reach the store
	fleetEnd        int64                                         // end offset of the fleet topic as read last; -1 before the first read
	fleetReadAt     time.Time                                     // time of the last read of the fleet topic
	turnsBegan      time.Duration                                 // see turn
	operatorOffset  int64                                         // offset up to which the operator topic was read
	behind          behind
	fetching        map[platform.Topic]bool  // records are being fetched from a peer
	outdated        bool                     // peers have a newer configuration that this VM cannot get
	editions        editions                 // large records of the operator topic
	peers           *http.Client             // for calls to peers
	decoder         *decoder                 // of large records of the operator topic
	lender          *lender                  // of records of the operator topic
	upstreamsOffset int64                    // offset up to which records of the upstreams topic were applied
	feeds           map[platform.Topic]*feed // readers of the store's topics
	breaker         breaker                  // of calls to the store
	storeEra        storeEra
	storeUptime     storeUptime
	announce        *announceJob // writes this VM's addresses to the store; nil in tests
	poison          *poison
	limits          *limits
	origins         *origins
	software        software
	fresh           fresh                                     // of the upstreams
	keyAge          keyAge                                    // how old what this VM knows of keys is
	credit          *credit.Keeper                            // quotas of organisations; nil in tests of other parts
	creditPeers     atomic.Pointer[map[string]netip.AddrPort] // addresses of the VMs that may own quotas
	creditFleet     creditFleet
	decoding        decoding                  // large records of the operator topic that are being decoded
	loadLimiters    map[string]*loads.Limiter // limits on loads of base models, by service
	confirmedAt     time.Duration             // start of the last read that covered all claims, as time since the boot of the machine
	claiming        bool
	renewedAt       time.Time // time at which claims of an earlier era were last written again
	claimAfter      time.Time // time before which no claim is written, after a failed attempt
	leaving         bool
	started         time.Time
	mostHeard       int                        // largest number of VMs that this VM has heard of at a time, this one included
	aloneSince      time.Time                  // time since which no other live VM is known
	recent          map[platform.Topic]*recent // what was read lately
	role            role                       // of this VM, as it was found last
	positionsAt     time.Time                  // when this VM last sent, or passed on, how far the topics were read
	roleAt          time.Time                  // time of the last look at it
	claimCheckedAt  time.Time                  // time of the last check for engines to claim
	reconcileAfter  time.Time                  // time before which changes of other VMs and upstreams are collected
	reconcileDue    bool                       // such changes were made since the last reconciliation
}

// heldEngine is an engine on which this VM holds the claim. Only the holder
// schedules the engine: it grants slots (rights to run one request in the engine's
// batch), and orders loads and unloads of adapters and base models.
type heldEngine struct {
	upstream  roster.Upstream
	scheduler *engine.Scheduler
	token     int64
	waiters   map[string]netip.AddrPort // senders of queued slot requests, by request ID
}

func (c *control) loop(ctx context.Context) {
	c.started, c.aloneSince = time.Now(), time.Now()
	probes := time.NewTicker(probeInterval)
	defer probes.Stop()
	fast := true // engines are scheduled every busyInterval
	wake := time.NewTicker(busyInterval)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.handle(ctx, time.Now(), e)
		case <-probes.C:
			c.tick(ctx, time.Now())
		case <-wake.C:
			c.reconcileCollected(time.Now())
			c.scheduleAll(ctx, time.Now())
		}
		// The ticker is reset only when the interval changes: a reset at each
		// event would delay the next scheduling round.
		if busy := c.busy(); busy != fast {
			fast = busy
			wake.Reset(map[bool]time.Duration{true: busyInterval, false: probeInterval}[busy])
		}
	}
}

func (c *control) post(e event) { c.events <- e }

func (c *control) busy() bool {
	for _, h := range c.held {
		if h.scheduler.QueueLen() > 0 {
			return true
		}
	}
	return false
}

func (c *control) handle(ctx context.Context, now time.Time, e event) {
	defer c.publishProof()
	if c.handlePoison(ctx, now, e) || c.handleAnswer(now, e) || c.handleStore(ctx, now, e) {
		return
	}
	switch e := e.(type) {
	case topicListing:
		c.applyListing(ctx, now, e)
	case recordsRead:
		if !c.applyRead(now, e) {
			return
		}
	case packetReceived:
		c.handlePacket(ctx, now, e)
		return
	case orderDone:
		c.orderDone(ctx, now, e)
		return
	case reportDone:
		c.reportDone(ctx, now, e)
		return
	case stateRequest:
		c.replyState(now, e.reply)
		return
	case changeDecoded:
		c.applyChange(now, e)
	case stateReceived:
		c.applyState(now, e.state)
	case leave:
		c.leave(ctx, now)
	case reloaded:
		c.reload(e.settings)
	}
	c.reconcile(now)
	if r, ok := e.(recordsRead); ok && r.topic == platform.FleetTopic {
		c.claimEngines(ctx, now)
	}
	c.scheduleAll(ctx, now)
}

// handleAnswer handles the events about what upstreams say of themselves in their answers.
// It returns false for any other event.
func (c *control) handleAnswer(now time.Time, e event) bool {
	switch e := e.(type) {
	case limitObserved:
		c.handleLimit(now, e.upstream, e.Observation)
	case leavingAnswered:
		c.noteLeaving(now, e)
	default:
		return false
	}
	return true
}

// handleStore handles the events of the store's records after which nothing has to be
// reconciled. It returns false for any other event.
func (c *control) handleStore(ctx context.Context, now time.Time, e event) bool {
	switch e := e.(type) {
	case eraSeen:
		c.noteEra(now, e.era, "response")
	case claimDone:
		c.noteClaimDone(now, e)
	case recordsRequest:
		c.lendRecords(now, e)
	case recordsFetched:
		c.applyFetched(ctx, now, e)
	case softwareSaved:
		c.noteSoftwareSaved(now, e)
	case operatorProof:
		c.keyAge.tracker.Prove(e.point, c.appliedPosition())
	default:
		return false
	}
	return true
}

func (c *control) noteClaimDone(now time.Time, e claimDone) {
	c.claiming = false
	if e.err != nil {
		c.logger.Info("claim: cannot write claims", zap.Error(e.err))
		c.claimAfter = now.Add(claimBackoff(e.err) + rand.N(claimJitter)) //nolint:gosec // jitter
	}
	c.noteEra(now, e.era, "append")
	c.feeds[platform.FleetTopic].refresh()
}

// claimBackoff returns the minimum time before the next attempt to claim
// engines, after a write of claims failed with err. After a conflict it is 0,
// as the store does respond.
func claimBackoff(err error) time.Duration {
	if errors.Is(err, platform.ErrConflict) {
		return 0
	}
	return claimOutageBackoff
}

const (
	// reconcileSpacing times the number of VMs and upstreams is the least time between two
	// reconciliations for changes that come one by one, as in a start or loss of many VMs.
	// A reconciliation takes about a twentieth of it.
	reconcileSpacing = 50 * time.Microsecond
	// smallFleet is the number of VMs and upstreams up to which each change is reconciled at
	// once.
	smallFleet = 100
)

// reconcileSoon reconciles, unless that was done a moment ago. If so, the change is collected
// with those that follow.
func (c *control) reconcileSoon(now time.Time) {
	if now.Before(c.reconcileAfter) {
		c.reconcileDue = true
		return
	}
	c.reconcile(now)
}

// reconcileCollected reconciles the changes that reconcileSoon has collected, when it is time.
func (c *control) reconcileCollected(now time.Time) {
	if c.reconcileDue {
		c.reconcileSoon(now)
	}
}

// reconcile brings the held engines and the published state in line with the
// current claims, upstreams and membership.
func (c *control) reconcile(now time.Time) {
	c.reconcileDue = false
	if size := c.roster.Len() + c.gossip.Len(); size > smallFleet {
		c.reconcileAfter = now.Add(time.Duration(size) * reconcileSpacing)
	}
	for _, u := range c.roster.Expire(now) {
		c.forgetLimit(u.ID)
		c.logger.Info("upstream: gone", zap.String("upstream", u.ID))
		if u.Draining { // it left as planned
			delete(c.poison.pending, u.ID)
			continue
		}
		c.noteCrash(now, u.ID, now, learnedFromMissingEntry)
	}
	c.endRestarted()
	for id, h := range c.held {
		claim, ok := c.fence.Get(id)
		u, known := c.roster.Get(id)
		if !ok || !known || !c.isOwn(claim) || (claim.Token != h.token && now.Before(claim.OrdersFrom(c.lease()))) {
			c.release(id, h, ok && known)
			continue
		}
		if claim.Token != h.token {
			c.logger.Info("claim: engine is held by a new claim", zap.String("upstream", id), zap.Int64("token", claim.Token), zap.Int64("old", h.token))
			h.token = claim.Token
		}
		h.upstream = u
		if u.Draining {
			h.scheduler.Close()
		}
	}
	for _, u := range c.engineUpstreams() {
		claim, ok := c.fence.Get(u.ID)
		if _, held := c.held[u.ID]; !ok || held || !c.isOwn(claim) || !c.fence.Present(claim) {
			continue
		}
		c.hold(now, u, claim)
	}
	c.publish()
}

// lease returns how long a new holder waits for the lease of the one before.
func (c *control) lease() time.Duration {
	lease := c.settings.Bounds.Lease + leaseMargin
	if !c.settings.Bounds.Fenced {
		lease += confirmTime
	}
	return lease
}

func (c *control) isOwn(a fence.ActiveClaim) bool {
	return a.VM == c.self.Name && a.Boot == c.self.Boot && !a.Released
}

// release stops scheduling an engine. known tells whether this VM still knows
// the upstream and a claim on it; if not, the idle connections to the upstream
// are closed.
func (c *control) release(id string, h *heldEngine, known bool) {
	for requestID, to := range h.waiters {
		c.dispatcher.reply(to, newSlotReply(requestID, engine.Refused{Reason: engine.Closed}))
	}
	delete(c.held, id)
	if !known && c.closeIdle != nil {
		c.closeIdle(h.upstream.Address)
	}
	c.logger.Info("claim: engine is released", zap.String("upstream", id), zap.Int64("token", h.token))
}

// Engine parameters that the platform does not provide.
const (
	modelLoadTime      = time.Second            // expected load time of a base model, if the configuration has none
	coldLoadTime       = 270 * time.Millisecond // expected load time of an adapter from the weight store
	warmLoadTime       = 30 * time.Millisecond  // expected load time of an adapter that the engine held recently
	cachedAdapters     = 100                    // number of unloaded adapters that an engine caches for warm loads
	maxConcurrentLoads = 2                      // concurrent loads of adapters per engine; more slow each other down at the weight store
	reportLag          = 300 * time.Millisecond // age of the data in an engine's report
)

// hold starts scheduling an engine on which this VM has the claim.
func (c *control) hold(now time.Time, u roster.Upstream, claim fence.ActiveClaim) {
	e := c.table.Service(u.Service).Engine
	startAt := claim.OrdersFrom(c.lease())
	config := engine.Config{
		BatchSize: e.BatchSize, KVCapacity: e.KVCapacity, AdapterSlots: e.AdapterSlots, MaxLoads: maxConcurrentLoads, MemoryMB: e.MemoryMB, Unfenced: !c.settings.Bounds.Fenced,
		Models: models(u.ID, e), ColdLoad: coldLoadTime, WarmLoad: warmLoadTime, WarmAdapters: cachedAdapters, MaxStale: c.settings.Bounds.Versions, ReportLag: reportLag,
	}
	h := &heldEngine{upstream: u, scheduler: engine.New(config, startAt), token: claim.Token, waiters: map[string]netip.AddrPort{}}
	for n, version := range c.versions {
		h.scheduler.SetNewest(n, version)
	}
	h.scheduler.SetLimit(now, c.limits.table.Get(u.ID).Limit)
	c.held[u.ID] = h
	c.logger.Info("claim: engine is held", zap.String("upstream", u.ID), zap.Int64("token", claim.Token),
		zap.String("before", claim.Previous), zap.Duration("orders", max(startAt.Sub(now), 0)))
}

// models returns the base models of an engine in an order that rendezvous hashing
// derives from the engine's id, so that different engines start with different
// models.
func models(id string, e *route.Engine) []engine.Model {
	names := make([]string, len(e.Models))
	byName := make(map[string]engine.Model, len(e.Models))
	for i, m := range e.Models {
		names[i] = m.Name
		byName[m.Name] = engine.Model{Name: m.Name, WeightsMB: m.WeightsMB, AdapterMB: m.AdapterMB, LoadTime: cmp.Or(m.LoadTime, modelLoadTime)}
	}
	list := make([]engine.Model, len(names))
	for i, name := range rank.Order(id, names) {
		list[i] = byName[name]
	}
	return list
}

// tick probes other VMs and checks for engines to claim.
func (c *control) tick(ctx context.Context, now time.Time) {
	probes, changed := c.gossip.Tick(now)
	c.updateBackoff(now)
	c.creditFleet.noteSent(len(probes))
	for _, vm := range probes {
		p := c.newProbe(now)
		c.askForProof(sinceBoot(), p)
		c.transport.send(vm.Peer, packet{Probe: p})
	}
	c.reviewProof(sinceBoot())
	c.tickCredit(now)
	for _, u := range changed {
		c.logger.Info("peer: "+u.Status.String(), zap.String("vm", u.VM.Name), zap.Int64("boot", u.VM.Boot))
	}
	c.gossip.PruneDead(now, deadRetention)
	c.reviewRole(now)
	c.reviewPositions(now)
	c.checkBehind(ctx, now)
	c.expirePoison(now)
	c.reviewCrashes(ctx, now)
	c.reviewSoftware(ctx, now)
	if len(changed) > 0 || c.roster.HasMissing() {
		c.reconcileSoon(now)
	}
	if len(changed) > 0 || now.Sub(c.claimCheckedAt) >= claimInterval {
		c.claimCheckedAt = now
		c.claimEngines(ctx, now)
	}
}

// leave tells the other VMs that this VM is leaving, and gives up its claims.
func (c *control) leave(ctx context.Context, now time.Time) {
	c.leaving = true
	c.gossip.Leave()
	for _, m := range c.gossip.Members() {
		if m.Status.Reachable() {
			c.transport.send(m.VM.Peer, packet{Probe: &probe{From: c.gossip.Self()}})
		}
	}
	var engines []string
	for id := range c.held {
		engines = append(engines, id)
	}
	slices.Sort(engines)
	if len(engines) > 0 {
		c.writeClaims(ctx, engines, c.fleetEnd, true)
	}
	c.logger.Info("vm: leaving", zap.Int("engines", len(engines)), zap.Duration("after", now.Sub(c.started)))
}
