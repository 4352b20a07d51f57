// Package engine schedules the requests and adapters of one model engine for
// tanagerlb edge; package slots does so for tanagerlb serve. The scheduler runs on
// the engine's holder, the VM whose claim on the engine is in force. It decides
// which requests may be sent to the engine, which adapters the engine loads and
// unloads, and in which order. No request is sent to the engine before the scheduler
// has admitted it. The scheduler thus knows exactly which adapters are in use, how
// much work is queued and how much capacity is free.
//
// The scheduler is designed for engines that have few adapter slots (each has room
// for one loaded adapter), many rarely used adapters and a few popular ones, and
// for bursts of more prompts than an engine can prefill in time.
package engine

import (
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/call"
	"github.com/tanagerlb/tanagerlb/pkg/demand"
	"github.com/tanagerlb/tanagerlb/pkg/pace"
)

// Config describes an engine to its Scheduler: the capacity, the base models, the
// expected load times, and the limits on what is sent to the engine.
type Config struct {
	BatchSize    int           // maximum number of requests that run at once
	KVCapacity   int           // KV cache capacity in tokens
	AdapterSlots int           // maximum number of adapters that are loaded or loading at once
	MaxLoads     int           // maximum number of adapters that load at once
	ColdLoad     time.Duration // expected time to load an adapter from the weight store
	WarmLoad     time.Duration // expected time to load an adapter that was unloaded recently
	WarmAdapters int           // number of recently unloaded adapters that the engine can load fast again
	MemoryMB     float64       // memory for base models and adapters in MB; 0 for no limit
	Models       []Model       // base models of the service; an empty engine loads that of the first queued request, or else the first one
	MaxStale     time.Duration // how long an old version of an adapter may be used after a newer one was published
	ReportLag    time.Duration // maximum age of the data in an engine's report
	Unfenced     bool          // the engine does not check fencing tokens, so orders are sent only before the time set by Confirm
}

// Name identifies an adapter of a base model, or the base model itself if Adapter
// is empty.
type Name struct{ Model, Adapter string }

// Request is a request for admission to the engine.
type Request struct {
	ID           string
	Sender       string // run of the process that sends the request to the engine
	Name         Name
	PromptTokens int
	MaxTokens    int         // maximum number of tokens to generate
	PromptParts  []call.Part // sections of the prompt, in order
	Urgency      int         // 0 is the most urgent
	Objective    time.Time   // when the first token is due
	UsefulUntil  time.Time   // when a first token becomes useless; extended if the engine needs longer even without other requests (see lateFactor)
	Deadline     time.Time   // when the whole answer becomes useless
	MayQueue     bool        // no better engine is known, so a long wait in the queue is accepted
	FirstChoice  bool        // this engine is the first one asked to admit the request; only such requests count towards the adapter's demand
	Spread       int         // number of engines across which the adapter's requests are divided now

	prefill int       // prompt tokens that are not in the engine's prefix cache
	queued  time.Time // when it was queued; zero if it was not
}

// admitBy returns the time by which a request has to be admitted for its first
// token to be on time. The queue is sorted by this time. A long prompt has to be
// admitted earlier because its prefill takes longer. A less urgent request gets a
// later time. Of two otherwise equal requests, the more urgent one is thus admitted
// first.
func (r *Request) admitBy() time.Time {
	return r.Objective.Add(time.Duration(r.Urgency)*urgencyDelay - nominalTTFT(r.prefill))
}

// Decision is the decision on a request: Admitted, Queued or Refused.
type Decision interface{ decision() }

// Admitted means that the request may be sent to the engine now. Version is the
// version of its adapter; 0 if that is not known, and for a base model.
type Admitted struct{ Version int64 }

// Refused means that the request must not be sent to this engine.
type Refused struct {
	Reason   Reason
	Wait     time.Duration // expected time to the first token (Busy and TooLate), or time after which to ask again
	LoadWait time.Duration // part of Wait before the adapter is loaded; set only for Busy
}

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Refused) decision()  {}

// Reason is the reason why a request was refused. The strings are fixed: they
// appear in logs and in messages between VMs.
type Reason string

// Reasons for a refusal.
const (
	Busy      Reason = "busy"     // the wait would be long, and another engine is likely faster
	TooLate   Reason = "hopeless" // the first token would come too late
	Unhealthy Reason = "silent"   // the last requests to the engine failed
	Closed    Reason = "closed"   // the engine accepts no new requests
	NoMemory  Reason = "no room"  // other base models in use take up the engine's memory
)

// Action is a Reply, Load, Unload or Poll. The caller of Next carries it out.
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
	ExpectedOrders int64 // number of orders that the engine must have accepted so far; with any other number, it rejects this order
}

// Unload is an order to unload an adapter or a base model.
type Unload struct {
	Name           Name
	ExpectedOrders int64 // number of orders that the engine must have accepted so far; with any other number, it rejects this order
}

// Poll tells the caller of Next to fetch the engine's report.
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
	refs       int       // number of requests in flight that use it
	readyAt    time.Time // when its load is expected to end
	loadStart  time.Time // when its load was ordered
	warm       bool      // it was unloaded recently, so its load is expected to be fast
	lastUsed   time.Time // when a request for it was last admitted
	served     bool      // a request that uses it has been answered since its load
	previous   *adapter  // state before the load of a newer version, restored if the order is rejected or its result is unclear; nil for none
	staleSince time.Time // when a newer version was published; zero if there is none
}

// loaded reports whether the adapter is loaded, or its load should have ended.
func (a *adapter) loaded(now time.Time) bool {
	return a.state == resident || a.state == loading && !now.Before(a.readyAt)
}

// inflightRequest is a request that was admitted and has not ended.
type inflightRequest struct {
	Request
	admitted     time.Time
	expectedTTFT time.Duration // expected time to first token at prefillRate
	started      bool          // its first token has arrived
	silent       bool          // the engine did not acknowledge it for a time
}

// Scheduler schedules one engine. Its methods must not be called concurrently.
type Scheduler struct {
	config         Config
	ordersFrom     time.Time  // no order is sent before this time
	closed         bool       // the engine accepts no new requests
	gate           *pace.Gate // keeps to the rate that the engine names; nil if it names none
	known          bool       // a report of the engine has been applied
	orderPending   bool       // an order or the fetch of a report is in progress
	acceptedOrders int64      // number of orders that the engine has accepted since its start
	lastAcceptedAt time.Time  // when the result of the last accepted order arrived
	pollAt         time.Time  // when the report is to be fetched; zero if no fetch is planned
	models         map[string]bool
	loadingModel   string               // base model that is being loaded
	modelLoadStart time.Time            // when the load of the base model was ordered
	lastRequested  map[string]time.Time // when a request for each base model last arrived
	adapters       map[Name]*adapter
	unloadedAt     map[Name]time.Time // when each recently unloaded adapter was unloaded
	newest         map[Name]Version   // newest versions that operators published
	meters         map[Name]*demand.Meter
	wanted         Name // adapter to load although no request for it is queued; see orderAhead
	inflight       map[string]*inflightRequest
	queue          []*Request
	prefixes       *prefixCache
	prefillBacklog int           // prompt tokens that were sent to the engine and are not prefilled yet
	avgPrefill     float64       // moving average of the number of tokens to prefill per request
	reservedTokens int           // prompt tokens and maximum output tokens of the requests in flight
	slowdown       float64       // moving average of the observed divided by the expected time to first token
	avgDuration    time.Duration // moving average of the time from admission to the end of a request
	minTTFT        time.Duration // estimated time to first token of an idle engine: the minimum of the observed ones, which rises slowly
	failures       int           // consecutive failed requests
	probeAt        time.Time     // when a failing engine may get the next probe request
	probeID        string        // id of the probe request to a failing engine; empty for none
	cold           loadTiming    // timing of loads from the weight store
	warm           loadTiming    // timing of loads of recently unloaded adapters
	confirmedUntil time.Time     // orders may be sent only before this time, if Config.Unfenced is set
	pausedUntil    time.Time     // no order is sent before this time, after an order with an unclear result or a deferred load
	backoff        time.Duration // length of the last pause after an order with an unclear result
	uncertain      bool          // an order was rejected, so acceptedOrders is wrong until the next report
}

// Parameters of the scheduling.
const (
	// prefillRate is the number of prompt tokens that an engine is assumed to
	// prefill in a millisecond. The slowdown accounts for faster or slower engines.
	prefillRate = 20.0
	// baseTTFT is the part of the time to first token that is not prefill.
	baseTTFT = 60 * time.Millisecond
	// prefillWindow is the number of prompt tokens that may wait for prefill at an
	// engine, in addition to the number that it can prefill within
	// Scheduler.minTTFT. If more tokens wait, the engine spends its steps on prefill
	// and the running streams slow down.
	prefillWindow = 1536
	// minTTFTRise sets how fast Scheduler.minTTFT rises: after a slower observation,
	// by this share of the difference. If it did not rise, it would stay too low for
	// an engine that became slower.
	minTTFTRise = 0.01
	// urgencyDelay is added to a request's admitBy time, by which the queue is sorted,
	// for each level of lower urgency. It gives urgent requests only a head start, so
	// that no request starves.
	urgencyDelay = 25 * time.Millisecond
	// lateFactor extends Request.UsefulUntil for long prompts, which are late even at
	// an idle engine. A request may always take up to lateFactor times the time to
	// first token that it would have without other requests.
	lateFactor = 1.5
	// kvCacheShare is the share of the KV cache that requests in flight may
	// reserve. The share that is assumed to hold cached prefixes (prefixCacheShare)
	// is not subtracted. Prompts that share parts take up less of the cache than
	// they reserve.
	kvCacheShare = 1.0
	// averageWeight is the weight of a new observation in the moving averages.
	averageWeight = 0.1
	// waitShare limits the expected time to first token of a request without
	// Request.MayQueue. If it exceeds this share of the time left to the objective,
	// the request is refused as Busy, because another engine might be faster.
	waitShare = 0.3
	// failureLimit is the number of consecutive failures after which an engine
	// counts as failing and gets only one probe request at a time.
	failureLimit = 3
	// probeInterval is the time from a failure to the next probe request to a
	// failing engine.
	probeInterval = 500 * time.Millisecond
	// missingRetry is how long requests for an adapter are held back after the engine
	// has said that the adapter is not loaded, although its load was expected to have
	// ended.
	missingRetry = 60 * time.Millisecond
	// retryShare is the same as a share of the time that the load has taken so far.
	retryShare = 0.5
	// slowLoad times Config.ColdLoad is the estimate of a load from which on reports are fetched
	// that tell whether it has ended sooner.
	slowLoad = 2
	// endedMargin times the time that such a load took is the estimate of the next one: loads
	// that begin together differ.
	endedMargin = 2.0
	// maxLoadTime is how long after its load was ordered an adapter that is not loaded may still
	// be on its way.
	maxLoadTime = 5 * time.Second
	// staleShare is the first part of Config.MaxStale, counted from when the adapter
	// became stale (staleSince). During it, an engine still admits requests for the
	// old version. Engines can thus replace the version at different times, not all
	// at once.
	staleShare = 0.2
	// minSlowdown and maxSlowdown limit a single measured slowdown (observed
	// divided by expected time to first token) before it enters the moving average.
	minSlowdown, maxSlowdown = 0.3, 20
	// coldFactor is the initial factor by which Config.ColdLoad is multiplied to
	// estimate a load. It is above 1 because engines that start empty together all
	// load at once. Each load that takes longer than estimated multiplies the factor
	// by coldFactorRise, up to maxColdFactor.
	coldFactor, coldFactorRise, maxColdFactor = 1.5, 1.15, 8.0
	// warmFactorRise is what the factor on Config.WarmLoad is multiplied by after
	// each load that took longer than estimated. Some engines load recently unloaded
	// adapters no faster than others. Each estimate that is too short costs a retry,
	// as a request is sent before its adapter is loaded.
	warmFactorRise = 2.0
	// loadFactorDecay is what the factor on Config.ColdLoad or Config.WarmLoad is
	// multiplied by after each load that took no longer than estimated.
	loadFactorDecay = 0.95
	// spreadShare is the share of an engine's capacity that the requests for
	// one adapter may take before they are divided across more engines.
	spreadShare = 0.1
	// maxSpread is the maximum number of engines across which one adapter's
	// requests are divided.
	maxSpread = 200
	// maxMeters is the maximum number of adapters whose demand is measured. When a
	// request for one more adapter arrives, all measurements start anew.
	maxMeters = 20_000
)

var meterConfig = demand.Config{HalfLife: 8 * time.Second, MinAge: time.Second}

// New returns the scheduler of an engine whose state is not known yet. The scheduler
// fetches the engine's report first, and sends no order before ordersFrom.
func New(c Config, ordersFrom time.Time) *Scheduler {
	return &Scheduler{
		config: c, ordersFrom: ordersFrom, slowdown: 1, minTTFT: baseTTFT, avgDuration: time.Second,
		cold:   loadTiming{expected: c.ColdLoad, factor: coldFactor, rise: coldFactorRise, maxFactor: maxColdFactor},
		warm:   loadTiming{expected: c.WarmLoad, factor: 1, rise: warmFactorRise, maxFactor: max(maxColdFactor*float64(c.ColdLoad)/float64(max(c.WarmLoad, 1)), 1)},
		models: map[string]bool{}, lastRequested: map[string]time.Time{}, adapters: map[Name]*adapter{}, unloadedAt: map[Name]time.Time{},
		newest: map[Name]Version{}, meters: map[Name]*demand.Meter{}, inflight: map[string]*inflightRequest{}, prefixes: newPrefixCache(c.KVCapacity),
	}
}

// Admit decides at now whether a request is admitted, queued or refused. A second
// call with the id of an admitted or queued request does not admit or queue that
// request again, and returns its current status.
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
	r.queued = now
	s.queue = append(s.queue, &r)
	return Queued{Wait: wait}
}

// canAdmit reports whether the engine can start a request now: the model and adapter
// are usable, a failing engine has no probe request in flight, and the engine's limit on
// the rate, the batch, the prefill window and the KV cache have room. The batch of an engine without
// requests in flight always has room.
func (s *Scheduler) canAdmit(now time.Time, r *Request) bool {
	if !s.usable(now, r.Name) {
		return false
	}
	if s.failures >= failureLimit && s.probeID != "" {
		return false
	}
	if s.gate != nil && !s.gate.Open(now) {
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
	if s.gate != nil {
		s.gate.Pass(now)
	}
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

// FirstToken records that the first token of a request arrived, the given time
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

// Outcome is how a request ended.
type Outcome int

// Outcomes of a request.
const (
	Done   Outcome = iota // answered, or cancelled by its caller
	NotRun                // the engine answered that it did not run the request, for example because the adapter is not loaded or not available
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
	if s.probeID == id {
		s.probeID = ""
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
		if !p.silent {
			s.noteFailure(now)
		}
	}
}

// Silent records that the engine does not acknowledge a request in flight, which may still run. It
// counts as a failure.
func (s *Scheduler) Silent(now time.Time, id string) {
	p, ok := s.inflight[id]
	if !ok || p.silent {
		return
	}
	if s.probeID == id {
		s.probeID = ""
	}
	p.silent = true
	s.noteFailure(now)
}

// EndSender removes the requests of a process that has ended, which cannot end them itself, and
// returns how many were queued or in flight. The engine has dropped them with their connections.
func (s *Scheduler) EndSender(sender string) int {
	before := len(s.queue) + len(s.inflight)
	s.queue = slices.DeleteFunc(s.queue, func(r *Request) bool { return r.Sender == sender })
	for id, p := range s.inflight {
		if p.Sender == sender {
			s.release(p)
			if s.probeID == id {
				s.probeID = ""
			}
		}
	}
	return before - len(s.queue) - len(s.inflight)
}

// noteFailure counts a request that failed or that the engine does not acknowledge.
func (s *Scheduler) noteFailure(now time.Time) {
	s.failures++
	s.probeAt = now.Add(probeInterval)
	s.pollAt = now.Add(probeInterval / 2)
}

func (s *Scheduler) resetFailures() { s.failures, s.probeID = 0, "" }

// release removes a request from those in flight and frees the capacity that it
// reserved.
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

// adapterMissing handles the engine's answer that it did not run a request, although
// the scheduler expected the request's adapter to be usable. Requests for the adapter
// are held back for missingRetry, and a report is fetched before that.
func (s *Scheduler) adapterMissing(now time.Time, n Name) {
	if a, ok := s.adapters[n]; ok && a.state != unloading {
		s.loadContinues(now, a)
	}
	if s.pollAt.IsZero() {
		s.pollAt = now.Add(missingRetry / 2)
	}
}

// loadContinues records that the load of an adapter, which was expected to have ended, has not.
// Requests for the adapter are held back for missingRetry at least, and longer after a long load.
func (s *Scheduler) loadContinues(now time.Time, a *adapter) {
	if elapsed := now.Sub(a.loadStart); !a.served && elapsed < maxLoadTime {
		s.loadTiming(a.warm).tookLonger(elapsed)
		a.state, a.readyAt = loading, now.Add(max(missingRetry, time.Duration(retryShare*float64(elapsed))))
		return
	}
	a.state, a.readyAt = loading, now.Add(missingRetry)
}

// SetLimit sets the limit that the engine names on its requests per second.
func (s *Scheduler) SetLimit(now time.Time, l pace.Limit) {
	switch {
	case !l.Named:
		s.gate = nil
	case s.gate == nil:
		s.gate = pace.NewGate(now, l.Rate)
	default:
		s.gate.SetRate(now, l.Rate)
	}
}

// Version is a version of an adapter that an operator published.
type Version struct {
	Number    int64
	Published time.Time // when this VM learned of it, or an earlier time if it may have been published long before
}

// SetNewest records a version of an adapter that an operator published. It ignores
// versions that are not newer than the newest known one.
func (s *Scheduler) SetNewest(n Name, v Version) {
	if v.Number <= s.newest[n].Number {
		return
	}
	s.newest[n] = v
	if a, ok := s.adapters[n]; ok && a.version < v.Number && a.staleSince.IsZero() {
		a.staleSince = v.Published
	}
}
