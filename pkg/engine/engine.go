// Package engine schedules the requests and adapters of one model engine for
// tanagerlb edge; package slots does so for tanagerlb serve. The scheduler runs on
// the engine's holder, the VM whose claim on the engine is in force. It decides
// which requests may be sent to the engine, which adapters the engine loads and
// unloads, and in which order. The scheduler must admit every request first, so it
// knows exactly which adapters are in use, how much work is queued and how much
// capacity is free.
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
)

// Config describes an engine to its Scheduler: the capacity, the base models, the
// expected load times, and the limits on what is sent to the engine.
type Config struct {
	BatchSize    int           // requests that run at once
	KVCapacity   int           // KV cache capacity in tokens
	AdapterSlots int           // adapters that are loaded or loading at once
	MaxLoads     int           // adapters that load at once
	ColdLoad     time.Duration // expected time to load an adapter from the weight store
	WarmLoad     time.Duration // expected time to load an adapter that was unloaded recently
	WarmAdapters int           // number of recently unloaded adapters that the engine can load fast again
	MemoryMB     float64       // MB for base models and adapters; 0 for no limit
	Models       []Model       // base models of the service; an empty engine loads the first one
	MaxStale     time.Duration // how long an old version of an adapter may be used after a newer one was published
	ReportLag    time.Duration // maximum age of the data in a report
	Unfenced     bool          // the engine does not check fencing tokens, so orders are sent only until the time set by Confirm
}

// Name identifies an adapter of a base model, or the base model itself if Adapter
// is empty.
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
	UsefulUntil  time.Time   // when a first token becomes useless; extended if the engine needs longer even without other requests
	Deadline     time.Time   // when the whole answer becomes useless
	MayQueue     bool        // no better engine is known, so a long wait in the queue is accepted
	FirstChoice  bool        // no other engine was asked before; only such requests count towards the adapter's demand
	Spread       int         // number of engines across which the adapter's requests are divided now

	prefill int // prompt tokens that are not in the engine's prefix cache
}

// admitBy returns the time by which a request has to be admitted for its first
// token to be on time. The queue is sorted by this time. A long prompt has to be
// admitted earlier because its prefill takes longer. Less urgent requests get a
// later time, so of two requests that arrive together the more urgent one goes
// first.
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
	LoadWait time.Duration // part of Wait that is spent on loading the adapter
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
	ExpectedOrders int64 // number of orders that the engine must have accepted so far, or it rejects this one
}

// Unload is an order to unload an adapter or a base model.
type Unload struct {
	Name           Name
	ExpectedOrders int64 // number of orders that the engine must have accepted so far, or it rejects this one
}

// Poll is the request to fetch the engine's report.
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
	served     bool      // a request that uses it has been answered
	previous   *adapter  // state before the load of a newer version, restored if the order fails; nil for none
	staleSince time.Time // when a newer version was published; zero if there is none
}

// inflightRequest is a request that was admitted and has not ended.
type inflightRequest struct {
	Request
	admitted     time.Time
	expectedTTFT time.Duration // expected time to first token at prefillRate
	started      bool          // the first token has arrived
}

// Scheduler schedules one engine. Its methods must not be called concurrently.
type Scheduler struct {
	config         Config
	ordersFrom     time.Time // time before which no order is sent
	closed         bool      // the engine accepts no new requests
	known          bool      // a report of the engine has been applied
	orderPending   bool      // an order or the fetch of a report is in progress
	acceptedOrders int64     // number of orders that the engine has accepted since its start
	lastAcceptedAt time.Time // when the result of the last accepted order arrived
	pollAt         time.Time // when the report is to be fetched; zero if no fetch is planned
	models         map[string]bool
	loadingModel   string               // base model that is being loaded
	modelLoadStart time.Time            // when the load of the base model was ordered
	lastRequested  map[string]time.Time // when a request for each base model last arrived
	adapters       map[Name]*adapter
	unloadedAt     map[Name]time.Time // when each recently unloaded adapter was unloaded
	newest         map[Name]Version   // newest versions that operators published
	meters         map[Name]*demand.Meter
	inflight       map[string]*inflightRequest
	queue          []*Request
	prefixes       *prefixCache
	prefillBacklog int           // prompt tokens that were sent to the engine and are not prefilled yet
	avgPrefill     float64       // moving average of the tokens to prefill per request
	reservedTokens int           // prompt tokens and maximum output tokens of the requests in flight
	slowdown       float64       // moving average of the observed divided by the expected time to first token
	avgDuration    time.Duration // moving average of the time from admission to the end of a request
	minTTFT        time.Duration // estimated time to first token of an idle engine: a minimum that rises slowly
	failures       int           // consecutive failed requests
	probeAt        time.Time     // when a failing engine may get the next probe request
	probeID        string        // id of the probe request to a failing engine; empty for none
	cold           loadTiming    // timing of loads from the weight store
	warm           loadTiming    // timing of loads of recently unloaded adapters
	confirmedUntil time.Time     // time until which orders may be sent, if Config.Unfenced is set
	pausedUntil    time.Time     // time before which no order is sent, after an unclear result or a deferred load
	backoff        time.Duration // length of the last pause after an unclear result
	uncertain      bool          // an order was rejected, so the count of orders is wrong until the next report
}

// Parameters of the scheduling.
const (
	// prefillRate is the number of prompt tokens that an engine is assumed to
	// prefill in a millisecond. The slowdown accounts for faster or slower engines.
	prefillRate = 20.0
	// baseTTFT is the part of the time to first token that is not prefill.
	baseTTFT = 60 * time.Millisecond
	// prefillWindow is the number of prompt tokens that may wait for prefill at an
	// engine, in addition to the number that it can prefill within minTTFT. With
	// more, the engine spends its steps on prefill and the running streams slow
	// down.
	prefillWindow = 1536
	// minTTFTRise is the share of the difference by which minTTFT rises towards
	// each slower observation. Without it, minTTFT would not follow an engine that
	// became slower.
	minTTFTRise = 0.01
	// urgencyDelay is how much later a request is due in the queue for each level
	// of lower urgency. It only gives urgent requests a head start, so that no
	// request starves.
	urgencyDelay = 25 * time.Millisecond
	// lateFactor is the multiple of the time to first token without other requests
	// that a request may always take, even past Request.UsefulUntil. A long prompt
	// is late even at an idle engine.
	lateFactor = 1.5
	// kvCacheShare is the share of the KV cache that requests in flight may
	// reserve. Prompts that share parts take up less of it than they reserve.
	kvCacheShare = 1.0
	// averageWeight is the weight of a new observation in the moving averages.
	averageWeight = 0.1
	// waitShare is the share of the time left to the objective that the expected
	// time to first token may take if Request.MayQueue is not set, as another
	// engine might be faster.
	waitShare = 0.3
	// failureLimit is the number of consecutive failures after which an engine
	// counts as failing and gets only one probe request at a time.
	failureLimit = 3
	// probeInterval is the time from a failure to the next probe request to a
	// failing engine.
	probeInterval = 500 * time.Millisecond
	// missingRetry is the time until requests are sent again for an adapter that
	// was expected to be loaded and was not.
	missingRetry = 60 * time.Millisecond
	// staleShare is the share of Config.MaxStale during which requests are still
	// admitted to the old version of an adapter, so that engines do not all
	// replace it at once.
	staleShare = 0.2
	// minSlowdown and maxSlowdown limit a single measured slowdown (observed
	// divided by expected time to first token) before it enters the moving average.
	minSlowdown, maxSlowdown = 0.3, 20
	// coldFactor is the initial factor on Config.ColdLoad. It is above 1 because
	// engines that start empty together all load at once. Each load that takes
	// longer than estimated multiplies the factor by coldFactorRise, up to
	// maxColdFactor.
	coldFactor, coldFactorRise, maxColdFactor = 1.5, 1.15, 4.0
	// warmFactorRise multiplies the factor on Config.WarmLoad after each load that
	// took longer than estimated. Some engines load recently unloaded adapters no
	// faster than others, and each load that is expected too early costs a retry.
	warmFactorRise = 2.0
	// loadFactorDecay multiplies either factor after each load that took no longer
	// than estimated.
	loadFactorDecay = 0.98
	// spreadShare is the share of an engine's capacity that the requests for
	// one adapter may take before they are divided across more engines.
	spreadShare = 0.1
	// maxSpread is the maximum number of engines across which one adapter's
	// requests are divided.
	maxSpread = 200
	// maxMeters is the maximum number of adapters whose demand is measured. When
	// one more is requested, all measurements start anew.
	maxMeters = 20_000
)

var meterConfig = demand.Config{HalfLife: 8 * time.Second, MinAge: time.Second}

// New returns the scheduler of an engine whose state is not known yet. It sends no
// order before ordersFrom.
func New(c Config, ordersFrom time.Time) *Scheduler {
	return &Scheduler{
		config: c, ordersFrom: ordersFrom, slowdown: 1, minTTFT: baseTTFT, avgDuration: time.Second,
		cold:   loadTiming{expected: c.ColdLoad, factor: coldFactor, rise: coldFactorRise, maxFactor: maxColdFactor},
		warm:   loadTiming{expected: c.WarmLoad, factor: 1, rise: warmFactorRise, maxFactor: max(maxColdFactor*float64(c.ColdLoad)/float64(max(c.WarmLoad, 1)), 1)},
		models: map[string]bool{}, lastRequested: map[string]time.Time{}, adapters: map[Name]*adapter{}, unloadedAt: map[Name]time.Time{},
		newest: map[Name]Version{}, meters: map[Name]*demand.Meter{}, inflight: map[string]*inflightRequest{}, prefixes: newPrefixCache(c.KVCapacity),
	}
}

// Admit decides at now whether a request is admitted, queued or refused. It is
// idempotent: a second call with the id of an admitted or queued request does not
// admit or queue it again, and returns its current status.
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

// adapterMissing handles the engine's answer that an adapter was not usable when
// it was expected to be.
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
