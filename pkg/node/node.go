// Package node provides the control logic of one VM of `tanagerlb serve` as a
// deterministic state machine: Node.Step takes an event and the current time and
// returns actions. It has no goroutines, sockets, clock or random source of its
// own, so another program can embed it and supply these.
//
// Each engine has an owner, the VM whose claim to it is in force (package claim).
// Only the owner sends requests to the engine and orders it to load and unload
// adapters.
package node

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/claim"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/demand"
	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/place"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
)

// Config holds the identity of a Node's VM and the settings of the Node.
type Config struct {
	Self       member.VM
	BaseModels []string // base models that documents may name; empty allows any
	Weights    slots.Weights
	Store      Store
	Keys       Keys
	Timing     Timing
}

// Store describes the weight store, from which engines load adapters.
type Store struct {
	LoadRate float64       // maximum loads per second, for the whole fleet
	MaxLoads int           // maximum loads in progress, for the whole fleet
	LoadTime time.Duration // expected duration of a load
}

// Keys configures how idempotency keys are kept.
type Keys struct {
	Partitions    int           // log streams over which the keys are spread
	Lifetime      time.Duration // lifetime of a key
	MaxClockSkew  time.Duration // bound on the clock skew between VMs and callers
	MaxKeys       int           // maximum keys in memory
	MaxReplyBytes int           // maximum size in bytes of a reply body that is kept to answer repeated calls; a longer body is not kept
}

// Timing sets the intervals, timeouts and limits of a Node.
type Timing struct {
	Tick              time.Duration // interval between ticks
	Probe             time.Duration // interval between heartbeat requests to a peer
	Poll              time.Duration // interval between requests for an engine's status report
	Lease             time.Duration // duration of a read lease
	Drift             time.Duration // bound on clock drift and scheduling delays during a lease
	Grace             time.Duration // time for which a listed VM counts as live before its first heartbeat
	HandoverDelay     time.Duration // time for which another VM must be an engine's preferred owner before the engine is handed over to it
	StarvationTimeout time.Duration // waiting time of an urgent request after which another adapter is drained to make room (see slots.Config)
	LoadBackoff       time.Duration // pause after the first failed load of an adapter
	Demand            demand.Config // long-term demand estimate; decides which adapters stay loaded
	ShortDemand       demand.Config // short-term demand estimate; decides over how many engines an adapter is spread
	MaxFill           float64       // share of an engine's batch that one adapter may fill before it is spread over more engines
	QueueTTL          time.Duration // time for which the queue length in a bid is trusted
	BidCount          int           // number of engines that are asked for bids on an adapter
	SuspectTTL        time.Duration // time for which a request stays a suspect after it ran during an engine's crash
	Block             time.Duration // time for which a request is blocked after the second crash; doubled for each further one
	MaxBlock          time.Duration // longest time for which a request is blocked; the time grows with each further crash
	Reappend          time.Duration // time after which a record about a crash that was not read back is appended again
	LogRetention      time.Duration // time for which the log keeps a record
	MaxQueue          int           // maximum requests that wait for an engine
	ProbePeers        int           // number of peers that a VM probes every Probe interval (see probeTargets)
	PermitTTL         time.Duration // time after which a load permit expires if it is not released
}

// Defaults returns the default Timing, for fleets of 6 to 9 VMs (see
// docs/CAPACITY.md).
func Defaults() Timing {
	return Timing{
		Tick:              50 * time.Millisecond,
		Probe:             400 * time.Millisecond,
		Poll:              500 * time.Millisecond,
		Lease:             2 * time.Second,
		Drift:             500 * time.Millisecond,
		Grace:             2 * time.Second,
		HandoverDelay:     10 * time.Second,
		StarvationTimeout: 1 * time.Second,
		LoadBackoff:       500 * time.Millisecond,
		Demand:            demand.Config{HalfLife: 10 * time.Minute, MinAge: 10 * time.Minute},
		ShortDemand:       demand.Config{HalfLife: 30 * time.Second, MinAge: 10 * time.Second},
		MaxFill:           0.6,
		QueueTTL:          200 * time.Millisecond,
		BidCount:          12,
		SuspectTTL:        30 * time.Minute,
		Block:             time.Minute,
		MaxBlock:          3 * 24 * time.Hour,
		Reappend:          2 * time.Second,
		LogRetention:      time.Hour,
		MaxQueue:          512,
		ProbePeers:        8,
		PermitTTL:         5 * time.Second,
	}
}

// Node is the state machine of one VM (see Step). It is not safe for concurrent use.
type Node struct {
	config              Config
	members             *member.Table
	documents           *docs.Table
	claims              *claim.Table
	lease               claim.Lease
	crashes             *crash.Tracker
	crashRuns           int64                    // number of runs recorded in crashes by this VM
	unreadCrashes       map[uint64]pendingRecord // records about crashes that were not read back from the log yet, by ID of the run
	keys                *keys.Table
	engines             map[string]*ownedEngine     // engines that this VM owns, by name
	retired             map[string]*ownedEngine     // engines that this VM no longer owns and whose last yield it has not appended yet, by name
	known               map[string]docEntry         // engines in the documents in force, by name
	calls               map[string]call             // model calls that wait or run here, by ID
	followed            map[string]bool             // streams that this VM reads
	caughtUp            map[string]bool             // streams that were read up to the tail at least once
	pendingClaims       map[string]time.Time        // append times of the claims that were not read back from the log yet, by name
	preferredOwners     map[string]string           // cached results of preferredOwner, by name
	preferredFor        []string                    // candidates for which preferredOwners is valid
	logPeers            map[string]peerLog          // what peers reported about the log, by VM name
	versions            map[string]map[string]int64 // document versions of peers, by VM name and service
	failed              map[string]bool             // streams whose last access failed
	logUpSince          time.Time                   // since when the claim stream is readable (see readable); zero if it is not
	directories         map[string]*place.Directory // directories of adapters, by service
	awaitingBids        map[placeKey][]string       // IDs of the calls that wait for bids
	permitRequests      map[permit.ID]*permitRequest
	permitReleases      []permit.ID          // permits to release and requests to cancel
	granter             *permit.Granter      // nil if this VM is not the granter
	granterFencingToken int64                // fencing token of the granter's claim
	lastProbe           map[string]time.Time // when each peer was last probed, by VM name
	lastExtraProbe      time.Time            // when a peer beyond the first Timing.ProbePeers was last probed (see probeTargets)
	lastFetch           time.Time            // when a peer was last asked for documents
	misplacedSince      map[string]time.Time // since when another VM is the preferred owner of an engine (or the role of granter) that this VM owns, by name
	lastReappend        map[string]time.Time // when reappend last ran, under the key ""
	view                *View
	viewBuiltAt         time.Time // when the view was built
	viewStale           bool      // the view is outdated
	started             time.Time
	shutdownComplete    bool // ShutdownComplete was returned
}

// call is a model call that waits for an engine of this VM or runs on it.
type call struct {
	engine      string
	fingerprint crash.Fingerprint
	suspect     bool
	running     bool
	startedAt   time.Time // when the call was sent to the engine
	deadline    time.Time
	instance    slots.Instance // adapter instance on which the call runs
	boot        string         // incarnation of the engine on which the call runs
}

// peerLog is what a peer reported about the log in its last heartbeat.
type peerLog struct {
	up   bool // the peer can read the log
	zone string
	at   time.Time // when the heartbeat arrived
}

// New returns a node that knows no other VM.
func New(c Config) *Node {
	t := c.Timing
	return &Node{
		config:    c,
		members:   member.New(member.Config{Self: c.Self, Grace: t.Grace, Retention: memberRetention}),
		documents: docs.New(docs.Config{BaseModels: c.BaseModels}),
		claims:    claim.New(),
		lease:     claim.Lease{Length: t.Lease, Drift: t.Drift},
		crashes: crash.NewTracker(crash.TrackerConfig{
			Crashes: plainThreshold, Alone: blockThreshold, Block: t.Block, MaxBlock: t.MaxBlock, TTL: t.SuspectTTL, MaxCauses: maxSuspects,
		}),
		unreadCrashes: map[uint64]pendingRecord{},
		keys: keys.New(keys.Config{
			Boot:          c.Self.Boot,
			Partitions:    c.Keys.Partitions,
			Lifetime:      c.Keys.Lifetime,
			MaxClockSkew:  c.Keys.MaxClockSkew,
			MaxKeys:       c.Keys.MaxKeys,
			MaxReplyBytes: c.Keys.MaxReplyBytes,
		}),
		engines:         map[string]*ownedEngine{},
		retired:         map[string]*ownedEngine{},
		known:           map[string]docEntry{},
		calls:           map[string]call{},
		followed:        map[string]bool{},
		caughtUp:        map[string]bool{},
		pendingClaims:   map[string]time.Time{},
		preferredOwners: map[string]string{},
		logPeers:        map[string]peerLog{},
		versions:        map[string]map[string]int64{},
		failed:          map[string]bool{},
		directories:     map[string]*place.Directory{},
		awaitingBids:    map[placeKey][]string{},
		permitRequests:  map[permit.ID]*permitRequest{},
		lastProbe:       map[string]time.Time{},
		misplacedSince:  map[string]time.Time{},
		lastReappend:    map[string]time.Time{},
		viewStale:       true,
	}
}

// memberRetention is how long the node remembers another VM that the platform does
// not list and that sends no heartbeats. After that, the incarnation of that VM
// counts as ended.
const memberRetention = 5 * time.Second

// Step processes an event at now and returns the resulting actions.
func (n *Node) Step(now time.Time, e Event) []Action {
	if n.started.IsZero() {
		n.started = now
	}
	switch e := e.(type) {
	case Tick:
		return n.tick(now)
	case VMListRead, PeerHeartbeat, PeerUnreachable, Leave:
		return n.stepMembers(now, e)
	case LogRead:
		return n.logRead(now, e)
	case LogFailed:
		return n.logFailed(e)
	case DocumentsFetched:
		return n.readDocuments(e.Records)
	case KeyArrived:
		return n.keyActions(n.keys.Begin(now, e.Call))
	case KeyEnded:
		return n.keyActions(n.keys.FinishRun(e.Key, e.Outcome, e.Reason, e.Reply))
	case PermitRequested:
		return n.permitRequested(now, e)
	case PermitReleased:
		return n.permitReleased(now, e)
	case PermitGranted:
		return n.applyGrant(now, e.ID)
	default:
		return n.stepEngines(now, e)
	}
}

// stepMembers processes the events about VMs.
func (n *Node) stepMembers(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case VMListRead:
		n.members.ApplyList(now, e.VMs)
	case PeerHeartbeat:
		return n.applyHeartbeat(now, e)
	case PeerUnreachable:
		n.members.MarkSilent(now, e.VM)
	case Leave:
		n.members.Leave()
		n.keys.Leave()
		clear(n.lastProbe) // makes the next tick probe all peers, which tells them that this VM is leaving
	}
	n.viewStale = true
	return nil
}

// stepEngines processes the events about engines and model calls.
func (n *Node) stepEngines(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case CallArrived:
		return n.callArrived(now, e)
	case CallEnded:
		return n.callEnded(now, e)
	case PlainCrashed:
		return n.plainCrashed(now, e)
	case PlainCompleted:
		return n.clearCrashes(e.Fingerprint)
	case CallWithdrawn:
		return n.callWithdrawn(now, e)
	case LoadEnded:
		return n.loadEnded(now, e)
	case UnloadEnded:
		return n.unloadEnded(now, e)
	case EngineReported:
		return n.engineReported(now, e)
	case EngineUnreachable:
		return n.engineUnreachable(now, e)
	case PlaceRequested:
		return n.placeRequested(now, e)
	case BidsReceived:
		return n.bidsReceived(now, e)
	case Evicted:
		n.directory(e.Service).Evicted(e.Adapter, e.Engine)
		return nil
	default:
		return nil
	}
}

// tick does all periodic work.
func (n *Node) tick(now time.Time) []Action {
	n.watchLog(now)
	n.expireView(now)
	actions := n.follow(now)
	actions = append(actions, n.probe(now)...)
	actions = append(actions, n.fetchDocuments(now)...)
	actions = append(actions, n.claim(now)...)
	actions = append(actions, n.yield(now)...)
	actions = append(actions, n.tickEngines(now)...)
	actions = append(actions, n.tickCrashes(now)...)
	actions = append(actions, n.keyActions(n.keys.Tick(now))...)
	actions = append(actions, n.tickPermits(now)...)
	actions = append(actions, n.reappend(now)...)
	return append(actions, n.completeShutdown()...)
}

// completeShutdown returns ShutdownComplete once, when this VM is leaving and its
// remaining work is done: it owns no engine, has no yield left to append, has no call
// waiting or running, has no work on idempotency keys, and is not the granter.
func (n *Node) completeShutdown() []Action {
	if !n.members.Leaving() || n.shutdownComplete || n.granter != nil || len(n.engines) > 0 || len(n.retired) > 0 || len(n.calls) > 0 || n.keys.Busy() {
		return nil
	}
	n.shutdownComplete = true
	return []Action{ShutdownComplete{}}
}
