// Package slots provides the scheduler of one model engine for `tanagerlb
// serve`; that of `tanagerlb edge` is in package engine. It decides which
// waiting request starts next, which adapter is loaded, and which idle adapter
// is unloaded to free its adapter slot. It does no I/O: the owner, which is the
// VM that controls the engine, carries out the returned actions and reports
// their results. Each load needs a permit (see package permit); permits limit
// the loads from the weight store over all VMs.
package slots

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/demand"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// Instance is an adapter as loaded on an engine. Its name on the engine
// contains the fencing token of the owner that loaded it, so a load or unload
// request of another owner cannot refer to it by mistake.
type Instance struct {
	Adapter      spec.Adapter
	FencingToken int64
}

// String returns the instance's name on the engine, "adapter@version#fence".
func (i Instance) String() string {
	return i.Adapter.String() + "#" + strconv.FormatInt(i.FencingToken, 10)
}

// ParseInstance parses the name of an instance in the format of Instance.String.
func ParseInstance(name string) (Instance, error) {
	rest, number, ok := strings.Cut(name, "#")
	if !ok {
		return Instance{}, fmt.Errorf("parse instance %q: missing fencing token", name)
	}
	fence, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return Instance{}, fmt.Errorf("parse instance %q: %w", name, err)
	}
	at := strings.LastIndexByte(rest, '@')
	if at < 0 {
		return Instance{}, fmt.Errorf("parse instance %q: missing version", name)
	}
	return Instance{Adapter: spec.Adapter{Name: rest[:at], Version: rest[at+1:]}, FencingToken: fence}, nil
}

// Request is a model call that waits for an engine or runs on it.
type Request struct {
	ID           string
	Adapter      spec.Adapter
	Urgency      spec.Urgency
	Arrived      time.Time
	Deadline     time.Time
	Suspect      bool    // an engine crashed while running it; suspects run one at a time
	ExpectedRate float64 // expected requests per second for the adapter on this engine; 0 if unknown
}

// Weights set which waiting adapter is loaded first. Only their ratio affects
// the order, if all VMs have the same weights: within a level of urgency, adapters
// and the permit requests of all VMs are compared by sums of these weights.
type Weights struct {
	Stall float64 // weight of the time that requests have waited, to shorten waits for adapter loads
	Batch float64 // weight of the number of waiting requests, to fill the engine's batch
}

// Config holds the limits of one engine and the policy of its Scheduler.
type Config struct {
	Slots     int // adapter slots: maximum adapters loaded at once
	BatchSize int // batch places: maximum requests running at once
	MaxQueue  int // maximum requests waiting at once
	Weights   Weights
	LoadTime  time.Duration // expected duration of a load
	// StarvationTimeout is the wait of an urgent request after which a busy
	// instance is drained: it gets no new requests and is then unloaded. The
	// timeout is doubled for normal and tripled for patient requests.
	StarvationTimeout time.Duration
	LoadBackoff       time.Duration // delay after the first failed load of an adapter; doubles with each further failure, at most maxBackoffDoublings times
	Demand            demand.Config // settings of the demand estimate, for adapters whose newest request has no ExpectedRate
	FencingToken      int64         // fencing token of the owner
}

// Action is an instruction to the engine's owner: Start, Refuse, Load, Unload,
// RequestPermit or ReleasePermit.
type Action interface{ action() }

// Start tells the owner to run a request on a loaded instance.
type Start struct {
	Request  Request
	Instance Instance
	LoadWait time.Duration // how long the request waited for the adapter to load
}

// Refuse tells the owner to reject a request that has not been run.
type Refuse struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration // how long the caller should wait before a retry
}

// Load tells the owner to load an instance under the granted permit. The permit
// ends with the load, without a ReleasePermit.
type Load struct{ Instance Instance }

// Unload tells the owner to unload an idle instance.
type Unload struct{ Instance Instance }

// RequestPermit requests a permit to load one adapter from the weight store, or
// updates the weight of the pending permit request. The adapter to load is
// chosen when the permit is granted.
type RequestPermit struct{ Weight float64 }

// ReleasePermit releases the permit, or cancels the pending permit request.
type ReleasePermit struct{}

func (Start) action()         {}
func (Refuse) action()        {}
func (Load) action()          {}
func (Unload) action()        {}
func (RequestPermit) action() {}
func (ReleasePermit) action() {}

// Reason is why a request was refused.
type Reason string

// Reasons for refusing a request.
const (
	Overload       Reason = "overload"     // the request is expected to wait beyond its deadline
	QueueFull      Reason = "queue-full"   // the queue is full
	DeadlinePassed Reason = "late"         // the deadline passed while the request waited
	LoadTooSlow    Reason = "load-late"    // the adapter cannot be loaded before the deadline
	LoadFailing    Reason = "load-failing" // loads of the adapter fail, and the next load is tried only after the deadline
)

type phase int

const (
	loading phase = iota
	ready
	unloading
)

type instance struct {
	Instance
	phase      phase
	readySince time.Time // when the load ended, or when Adopt added the instance
	running    int       // number of requests running on the instance
	foreign    bool      // loaded by a previous owner that may still use it; not unloaded while set
	usable     bool      // may run requests while its phase is ready
	draining   bool      // gets no new requests, so that it becomes idle and can be unloaded
	lost       bool      // no longer loaded on the engine; the entry is removed when its last request ends
}

type permitState int

const (
	permitNone permitState = iota
	permitRequested
	permitGranted // held, not yet used
	permitUsed    // used by the load in progress
)

// adapter is the scheduling state of an adapter, whether or not it is loaded.
type adapter struct {
	waiting  []*Request // in start order
	meter    demand.Meter
	rate     float64   // ExpectedRate of the newest request
	failures int       // failed loads in a row
	retryAt  time.Time // earliest time of the next load
}

// Scheduler schedules the requests and adapter loads of one model engine. It is
// not safe for concurrent use.
type Scheduler struct {
	config          Config
	instances       map[spec.Adapter]*instance
	adapters        map[spec.Adapter]*adapter
	queued          map[spec.Adapter]*adapter // adapters with waiting requests
	running         map[string]*Request       // by request ID
	startedAt       map[string]time.Time      // start times of the running requests, by request ID
	waiting         [spec.UrgencyLevels]int   // number of waiting requests, by urgency
	permit          permitState
	requestedWeight float64       // weight in the last RequestPermit
	runningSuspects int           // running requests that are suspects
	occupied        int           // batch places taken by requests that this scheduler did not start; see SetOccupied
	serviceTime     time.Duration // smoothed running time of a request
	lastUrgent      time.Time     // arrival of the last urgent request
	lastSweep       time.Time     // when sweep last ran
	lastExpiry      time.Time     // when expire last ran
	releases        []Action      // ReleasePermit actions that the next call of Next returns
}

// New returns a scheduler for an engine on which no adapter is loaded.
func New(c Config) *Scheduler {
	return &Scheduler{
		config:    c,
		instances: map[spec.Adapter]*instance{},
		adapters:  map[spec.Adapter]*adapter{},
		queued:    map[spec.Adapter]*adapter{},
		running:   map[string]*Request{},
		startedAt: map[string]time.Time{},
	}
}

// Running returns the number of running requests.
func (s *Scheduler) Running() int { return len(s.running) }

// RunningOn returns the number of running requests of an adapter.
func (s *Scheduler) RunningOn(a spec.Adapter) int {
	if i, ok := s.instances[a]; ok {
		return i.running
	}
	return 0
}

// SetOccupied sets how many batch places are taken by requests that this
// scheduler did not start, such as requests that a previous owner started and
// that still run.
func (s *Scheduler) SetOccupied(places int) { s.occupied = places }

// freePlaces returns the number of free batch places.
func (s *Scheduler) freePlaces() int { return s.config.BatchSize - s.occupied - len(s.running) }

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int {
	sum := 0
	for _, count := range s.waiting {
		sum += count
	}
	return sum
}

// HasPendingOrders reports whether a load or unload is in progress.
func (s *Scheduler) HasPendingOrders() bool {
	for _, i := range s.instances {
		if i.phase != ready {
			return true
		}
	}
	return false
}

// UsableInstances returns the loaded instances that may run requests. An
// instance that is being drained is among them, although it gets no new
// requests.
func (s *Scheduler) UsableInstances() []Instance {
	var resident []Instance
	for _, i := range s.instances {
		if i.phase == ready && i.usable {
			resident = append(resident, i.Instance)
		}
	}
	return resident
}

// HasAdapter reports whether an adapter is loaded or being loaded. An adapter
// that is being unloaded or drained does not count. An adapter that was lost
// (see MarkLost) counts until its last request ends.
func (s *Scheduler) HasAdapter(a spec.Adapter) bool {
	i, ok := s.instances[a]
	return ok && i.phase != unloading && !i.draining
}

func (s *Scheduler) adapter(name spec.Adapter) *adapter {
	a, ok := s.adapters[name]
	if !ok {
		a = &adapter{}
		s.adapters[name] = a
	}
	return a
}

// readyInstance returns the instance of an adapter and whether it can run
// requests.
func (s *Scheduler) readyInstance(a spec.Adapter) (*instance, bool) {
	i, ok := s.instances[a]
	return i, ok && i.phase == ready && i.usable
}

// demand returns the expected requests per second for an adapter. It is the
// rate that the newest request states (ExpectedRate) or, if that is 0, the
// measured rate; in both cases it decays while no requests arrive.
func (s *Scheduler) demand(now time.Time, name spec.Adapter) float64 {
	a, ok := s.adapters[name]
	if !ok {
		return 0
	}
	rate := a.rate
	if rate == 0 {
		rate = a.meter.Rate(now, s.config.Demand)
	}
	return demand.Decay(rate, now.Sub(a.meter.LastAdded()))
}
