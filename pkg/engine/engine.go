// Package engine schedules the requests and adapters of one model engine, on
// the VM that holds it: which requests may be sent to the engine, which adapters
// it loads and unloads, and in which order. Every request is admitted here
// first, so the adapters in use, the queued work and the free capacity are known
// exactly.
//
// It is built for many rare adapters and a few popular ones that compete for the
// few adapter slots of each engine, with bursts of more prompts than the engine
// can prefill in time.
package engine

import (
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/call"
	"github.com/tanagerlb/tanagerlb/pkg/demand"
)

// Config configures a Scheduler.
type Config struct {
	BatchSize    int           // requests that run at once
	KVCapacity   int           // KV cache capacity in tokens
	AdapterSlots int           // adapters that are loaded or loading at once
	MaxLoads     int           // adapters that load at once
	ColdLoad     time.Duration // expected time to load an adapter from the weight store
	WarmLoad     time.Duration // expected time to load an adapter that was unloaded recently
	WarmAdapters int           // number of unloaded adapters that still load fast
	MemoryMB     float64       // MB for base models and adapters; 0 for no limit
	Models       []Model       // base models of the service; an empty engine loads the first one
	MaxStale     time.Duration // how long an older version of an adapter may still be used
	ReportLag    time.Duration // maximum age of the state in a report
	Unfenced     bool          // orders are sent only until the time set by Confirm, as the engine does not check fencing tokens
}

// Name identifies an adapter of a base model. Adapter is empty for the base
// model itself.
type Name struct{ Model, Adapter string }

// Request is a request for admission to the engine.
type Request struct {
	ID           string
	Name         Name
	PromptTokens int
	MaxTokens    int         // maximum number of tokens to generate
	PromptParts  []call.Part // sections of the prompt, in order
	Urgency      int         // 0 is the most urgent
	Objective    time.Time   // when the first token is due
	UsefulUntil  time.Time   // when a first token becomes useless; extended if the engine cannot be that fast
	Deadline     time.Time   // when the whole answer becomes useless
	MayQueue     bool        // no better engine is known, so the request may be queued
	FirstChoice  bool        // this engine is asked first; counts towards the adapter's demand
	Spread       int         // engines across which the adapter's requests are divided now

	prefill int // prompt tokens that are not in the engine's prefix cache
}

// admitBy returns when a request has to be admitted for its first token to be on
// time; the queue is sorted by it. A long prompt has to be admitted earlier, as
// its prefill takes longer. Of two requests that arrive together, the more
// urgent one has a head start.
func (r *Request) admitBy() time.Time {
	return r.Objective.Add(time.Duration(r.Urgency)*urgencyDelay - nominalTTFT(r.prefill))
}

// Decision is the decision on a request: Admitted, Queued or Refused.
type Decision interface{ decision() }

// Admitted admits a request: it may be sent to the engine now.
type Admitted struct{ Version int64 }

// Refused rejects a request.
type Refused struct {
	Reason   Reason
	Wait     time.Duration // expected time to the first token, or until the engine may take requests again
	LoadWait time.Duration // part of Wait that is the load of the adapter
}

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Refused) decision()  {}

// Reason is the reason why a request was refused.
type Reason string

// Reasons for a refusal.
const (
	Busy      Reason = "busy"     // another engine is likely faster
	TooLate   Reason = "hopeless" // the first token would come too late
	Unhealthy Reason = "silent"   // the last requests to the engine failed
	Closed    Reason = "closed"   // the engine accepts no new requests
	NoMemory  Reason = "no room"  // other base models in use take up the engine's memory
)

// Action is a Reply, Load, Unload or Poll, to be carried out by the caller of
// Next.
type Action interface{ action() }

// Reply reports the decision on a queued request.
type Reply struct {
	ID       string
	Decision Decision
}

// Load is an order to load an adapter or a base model.
type Load struct {
	Name           Name
	Version        int64 // 0 for the newest
	ExpectedOrders int64 // orders that the engine must have accepted before
}

// Unload is an order to unload an adapter or a base model.
type Unload struct {
	Name           Name
	ExpectedOrders int64 // orders that the engine must have accepted before
}

// Poll fetches the engine's report.
type Poll struct{}

func (Reply) action()  {}
func (Load) action()   {}
func (Unload) action() {}
func (Poll) action()   {}

type state int

const (
	loading state = iota
	resident
	unloading
)

// adapter is the state of one adapter of the engine, as far as this VM knows it.
type adapter struct {
	state      state
	version    int64
	refs       int       // requests in flight that use it
	readyAt    time.Time // when its load is expected to end
	loadStart  time.Time // when its load was ordered
	warm       bool      // it had been unloaded recently, so its load is expected to be fast
	lastUsed   time.Time // when a request for it was last admitted
	served     bool      // a request has run on it
	previous   *adapter  // version that the loading one replaces; nil for none
	staleSince time.Time // when a newer version was published; zero if there is none
}

// inflightRequest is a request that was admitted and has not ended.
type inflightRequest struct {
	Request
	admitted     time.Time
	expectedTTFT time.Duration // expected time to first token at an engine of the nominal prefill rate
	started      bool          // the first token has arrived
}

// Scheduler schedules one engine. Its methods must not be called concurrently.
type Scheduler struct {
	config         Config
	ordersFrom     time.Time // when the first order may be sent
	closed         bool      // the engine accepts no new requests
	known          bool      // a report of the engine has been read
	orderPending   bool      // an order or the fetch of a report is in progress
	acceptedOrders int64     // orders that the engine has accepted since its start
	lastAcceptedAt time.Time // when it accepted the last one
	pollAt         time.Time // when the report is to be fetched; zero if no fetch is planned
	models         map[string]bool
	loadingModel   string               // base model that is being loaded
	modelLoadStart time.Time            // when the load of the base model was ordered
	lastRequested  map[string]time.Time // when a request for a base model last arrived
	adapters       map[Name]*adapter
	unloadedAt     map[Name]time.Time // when an adapter was unloaded
	newest         map[Name]Version   // newest versions that operators published
	meters         map[Name]*demand.Meter
	inflight       map[string]*inflightRequest
	queue          []*Request
	prefixes       *prefixCache
	prefillBacklog int           // prompt tokens that were sent and are not prefilled yet
	avgPrefill     float64       // moving average of the tokens to prefill of a request
	reservedTokens int           // tokens that the requests in flight may come to hold
	slowdown       float64       // moving average of observed over expected time to first token
	avgDuration    time.Duration // moving average of a request's time at the engine
	minTTFT        time.Duration // time to first token of an idle engine
	failures       int           // consecutive failed requests
	probeAt        time.Time     // when a failing engine may get the next probe request
	probeID        string        // id of the probe request to a failing engine; empty for none
	cold           loadTiming    // timing of loads from the weight store
	warm           loadTiming    // timing of loads of recently unloaded adapters
	confirmedUntil time.Time     // time until which orders may be sent, if Config.Unfenced is set
	pausedUntil    time.Time     // time until which no order is sent, after an unclear result or a deferred load
	backoff        time.Duration // length of the last pause after an unclear result
	uncertain      bool          // an order was rejected, so the count of orders is wrong until the next report
}

// Parameters of the scheduling.
const (
	// prefillRate is the number of prompt tokens that an engine is assumed to
	// prefill in a millisecond. Differences between engines show in the slowdown.
	prefillRate = 20.0
	// baseTTFT is the time to first token on top of the prefill.
	baseTTFT = 60 * time.Millisecond
	// prefillWindow is the number of prompt tokens that an engine may have
	// waiting for prefill, on top of those that it prefills within the time to
	// first token of an idle engine. With more, the engine spends its steps on
	// prefill and the running streams slow down.
	prefillWindow = 1536
	// minTTFTRise is how far the minimum time to first token moves towards each
	// slower observation, as a share of the difference, so that it follows an
	// engine that became slower.
	minTTFTRise = 0.01
	// urgencyDelay is the delay in the queue for each level of lower urgency. It
	// is a head start only, so that no kind of request starves.
	urgencyDelay = 25 * time.Millisecond
	// lateFactor is the multiple of its shortest possible time to first token
	// that a request may take even if that makes it late: a long prompt is late
	// even at an idle engine.
	lateFactor = 1.5
	// kvCacheShare is the share of the KV cache that requests in flight may
	// reserve. Prompts that share parts take less than they reserve.
	kvCacheShare = 1.0
	// averageWeight is the weight of one observation in the moving averages.
	averageWeight = 0.1
	// waitShare is the share of the time left to the objective that a request
	// may wait here while another engine might be faster.
	waitShare = 0.3
	// failureLimit is the number of consecutive failures after which an engine
	// gets only single probe requests.
	failureLimit = 3
	// probeInterval is the time between two probe requests to a failing engine.
	probeInterval = 500 * time.Millisecond
	// missingRetry is the time until an adapter that was not loaded as expected
	// is tried again.
	missingRetry = 60 * time.Millisecond
	// staleShare is the share of Config.MaxStale for which requests are still
	// admitted to the old version of an adapter, so that engines do not all
	// replace it at once.
	staleShare = 0.2
	// minSlowdown and maxSlowdown bound one observation of the slowdown.
	minSlowdown, maxSlowdown = 0.3, 20
	// coldFactor is the initial factor on the expected time of a load from the
	// weight store: engines that start empty together all load at once.
	// coldFactorRise is its growth with each load that took longer, and
	// maxColdFactor its upper bound.
	coldFactor, coldFactorRise, maxColdFactor = 1.5, 1.15, 4.0
	// warmFactorRise is the growth of the factor for loads of recently unloaded
	// adapters. Some engines load them no faster than others, and each load that
	// is expected too early costs a retry.
	warmFactorRise = 2.0
	// loadFactorDecay is what a factor is multiplied by after each load that was
	// done in time.
	loadFactorDecay = 0.98
	// spreadShare is the share of an engine's capacity that the requests for
	// one adapter may take before they are divided across more engines.
	spreadShare = 0.1
	// maxSpread is the maximum number of engines across which one adapter's
	// requests are divided.
	maxSpread = 200
	// maxMeters is the maximum number of adapters whose demand is remembered.
	maxMeters = 20_000
)

var meterConfig = demand.Config{HalfLife: 8 * time.Second, MinAge: time.Second}

// New returns the scheduler of an engine whose state is not known yet. The first
// order may be sent at ordersFrom.
func New(c Config, ordersFrom time.Time) *Scheduler {
	return &Scheduler{
		config: c, ordersFrom: ordersFrom, slowdown: 1, minTTFT: baseTTFT, avgDuration: time.Second,
		cold:   loadTiming{expected: c.ColdLoad, factor: coldFactor, rise: coldFactorRise, maxFactor: maxColdFactor},
		warm:   loadTiming{expected: c.WarmLoad, factor: 1, rise: warmFactorRise, maxFactor: max(maxColdFactor*float64(c.ColdLoad)/float64(max(c.WarmLoad, 1)), 1)},
		models: map[string]bool{}, lastRequested: map[string]time.Time{}, adapters: map[Name]*adapter{}, unloadedAt: map[Name]time.Time{},
		newest: map[Name]Version{}, meters: map[Name]*demand.Meter{}, inflight: map[string]*inflightRequest{}, prefixes: newPrefixCache(c.KVCapacity),
	}
}

// Admit decides on the admission of a request at now. It is idempotent: a
// second call with the same id changes nothing and returns the request's
// current status.
func (s *Scheduler) Admit(now time.Time, r Request) Decision {
	if p, ok := s.inflight[r.ID]; ok {
		return Admitted{Version: s.version(p.Name)}
	}
	if s.closed {
		return Refused{Reason: Closed}
	}
	s.lastRequested[r.Name.Model] = now
	if !s.loadable(now, r.Name.Model) {
		return Refused{Reason: NoMemory, Wait: modelIdleTime}
	}
	r.prefill = s.prefixes.uncached(r.Name, r.PromptTokens, r.PromptParts)
	wait := s.estimateTTFT(now, &r)
	for _, q := range s.queue {
		if q.ID == r.ID {
			return Queued{Wait: wait}
		}
	}
	if r.FirstChoice {
		s.countDemand(now, r.Name)
	}
	if s.failures >= failureLimit && (now.Before(s.probeAt) || s.probeID != "") {
		return Refused{Reason: Unhealthy, Wait: max(s.probeAt.Sub(now), 0)}
	}
	left := r.Objective.Sub(now)
	if !r.MayQueue && wait > time.Duration(waitShare*float64(left)) {
		return Refused{Reason: Busy, Wait: wait, LoadWait: s.loadDelay(now, r.Name)}
	}
	if now.Add(wait).After(s.usefulUntil(now, &r)) {
		return Refused{Reason: TooLate, Wait: wait}
	}
	if s.canAdmit(now, &r) {
		return s.admit(now, &r)
	}
	s.queue = append(s.queue, &r)
	return Queued{Wait: wait}
}

// canAdmit reports whether a request can be admitted now.
func (s *Scheduler) canAdmit(now time.Time, r *Request) bool {
	if !s.usable(now, r.Name) {
		return false
	}
	if s.failures >= failureLimit && s.probeID != "" {
		return false
	}
	if len(s.inflight) == 0 {
		return true
	}
	window := prefillWindow + int(prefillRate*float64(s.minTTFT)/float64(time.Millisecond))
	return len(s.inflight) < s.config.BatchSize && (s.prefillBacklog+r.prefill <= window || s.prefillBacklog <= window/2) &&
		float64(s.reservedTokens+r.PromptTokens+r.MaxTokens) <= kvCacheShare*float64(s.config.KVCapacity)
}

func (s *Scheduler) admit(now time.Time, r *Request) Admitted {
	if a, ok := s.adapters[r.Name]; ok {
		a.refs++
		a.state, a.lastUsed = resident, now
	}
	s.prefillBacklog += r.prefill
	s.avgPrefill += averageWeight * (float64(r.prefill) - s.avgPrefill)
	s.inflight[r.ID] = &inflightRequest{Request: *r, admitted: now, expectedTTFT: nominalTTFT(s.prefillBacklog)}
	s.reservedTokens += r.PromptTokens + r.MaxTokens
	if s.failures >= failureLimit {
		s.probeID = r.ID
	}
	return Admitted{Version: s.version(r.Name)}
}

func (s *Scheduler) version(n Name) int64 {
	if a, ok := s.adapters[n]; ok {
		return a.version
	}
	return 0
}

// FirstToken records that the first token of a request arrived, and how long
// after the request was sent.
func (s *Scheduler) FirstToken(id string, after time.Duration) {
	p, ok := s.inflight[id]
	if !ok || p.started {
		return
	}
	s.minTTFT = min(s.minTTFT+time.Duration(minTTFTRise*float64(after-s.minTTFT)), after)
	p.started = true
	s.prefixes.add(p.Name, p.PromptParts)
	s.prefillBacklog -= p.prefill
	observed := min(max(float64(after)/float64(p.expectedTTFT), minSlowdown), maxSlowdown)
	s.slowdown += averageWeight * (observed - s.slowdown)
	s.resetFailures()
}

// Outcome is the way a request ended.
type Outcome int

// Outcomes of a request.
const (
	Done   Outcome = iota // answered, or cancelled by its caller
	NotRun                // not run: the engine answered that the adapter is not loaded or not free
	Failed                // the engine broke off the answer, failed or did not answer
)

// End records the outcome of a request and removes it from the queue or from the
// requests in flight.
func (s *Scheduler) End(now time.Time, id string, o Outcome) {
	s.queue = slices.DeleteFunc(s.queue, func(r *Request) bool { return r.ID == id })
	p, ok := s.inflight[id]
	if !ok {
		return
	}
	s.release(p)
	switch o {
	case Done:
		if p.started {
			s.resetFailures()
			s.avgDuration += time.Duration(averageWeight * float64(now.Sub(p.admitted)-s.avgDuration))
		}
		if a, ok := s.adapters[p.Name]; ok && p.started && !a.served {
			a.served = true
			s.loadTiming(a.warm).inTime()
		}
	case NotRun:
		s.adapterMissing(now, p.Name)
	case Failed:
		s.failures++
		s.probeAt = now.Add(probeInterval)
		s.pollAt = now.Add(probeInterval / 2)
	}
	if s.probeID == id {
		s.probeID = ""
	}
}

func (s *Scheduler) resetFailures() { s.failures, s.probeID = 0, "" }

// release frees what a request in flight has reserved.
func (s *Scheduler) release(p *inflightRequest) {
	delete(s.inflight, p.ID)
	s.reservedTokens -= p.PromptTokens + p.MaxTokens
	if !p.started {
		s.prefillBacklog -= p.prefill
	}
	if a, ok := s.adapters[p.Name]; ok {
		a.refs--
	}
}

// adapterMissing handles an adapter that was not loaded when it was expected to
// be.
func (s *Scheduler) adapterMissing(now time.Time, n Name) {
	if a, ok := s.adapters[n]; ok && a.state != unloading {
		if a.state == resident && now.Sub(a.loadStart) < 2*s.config.ColdLoad {
			s.loadTiming(a.warm).tookLonger()
		}
		a.state, a.readyAt = loading, now.Add(missingRetry)
	}
	if s.pollAt.IsZero() {
		s.pollAt = now.Add(missingRetry / 2)
	}
}

// Version is a version of an adapter that an operator published.
type Version struct {
	Number    int64
	Published time.Time // when this VM learned of it, or earlier
}

// SetNewest records a version of an adapter that an operator published. Versions
// older than the newest known one are ignored.
func (s *Scheduler) SetNewest(n Name, v Version) {
	if v.Number <= s.newest[n].Number {
		return
	}
	s.newest[n] = v
	if a, ok := s.adapters[n]; ok && a.version < v.Number && a.staleSince.IsZero() {
		a.staleSince = v.Published
	}
}
