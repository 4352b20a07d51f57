package edge

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// Parameters of the detection of poison requests, which crash the upstreams that
// run them.
const (
	// blockThreshold is the number of crashes of upstreams under a cause at which the
	// cause is blocked.
	blockThreshold = 3
	// harmlessThreshold is the same for a cause with which a request had run to its end
	// shortly before: it more likely ran beside the true one. The platform allows three
	// repeats after the third crash.
	harmlessThreshold = 6
	// blockTime is how long a request is blocked at first. The time grows with each
	// further crash, up to maxBlockTime: the decision may be wrong, and only a run that
	// ends well can show it.
	blockTime    = time.Minute
	maxBlockTime = 3 * 24 * time.Hour
	// partBlockTime is the same for a part of prompts, which sound requests may share, and
	// partSpacing the time between its trials by different VMs, in which a crash is detected.
	partBlockTime = 3 * time.Second
	partSpacing   = 5 * time.Second
	// reviewTime is the time after which a VM looks again at the parts that it blocks.
	reviewTime = 500 * time.Millisecond
	// crashTTL is how long the crashes under a cause are remembered after the last one
	// and after the end of its block.
	crashTTL = 30 * time.Minute
	// trialTime is the least time between two runs of a request that was blocked.
	trialTime = 10 * time.Second
	// maxTurn bounds the turns that a VM waits after a block before it may try the
	// request.
	maxTurn = 6
	// detectionTime is the longest time from a broken connection to the detection of
	// the upstream's crash: three heartbeats and the lag of the store.
	detectionTime = 8 * time.Second
	// restartTime is the shortest time from a crash of an upstream until it runs requests
	// again.
	restartTime = 500 * time.Millisecond
	// clearedTime is how long it is remembered that a cause is not to blame: longer than the age
	// of a copy from which the store may come back.
	clearedTime = time.Minute
	// longestRun is the longest time for which a request may still wait for an upstream
	// that has crashed.
	longestRun = time.Minute
	// maxCauses bounds the number of causes whose crashes are remembered, and the number
	// of suspects of each upstream.
	maxCauses = 10_000
	// packetSize bounds the size of the runs in one packet, which must fit in a datagram.
	// A run counts as runSize, a cause as one.
	packetSize = 72
	runSize    = 4
	// tallyVMs is the number of VMs that save the crashes of a request. It is more
	// than one, so that one of them may fail.
	tallyVMs = 2
	// askedVMs is the number of VMs that a starting VM asks for the crashes that they
	// know of, as datagrams may be lost.
	askedVMs = 3
)

// How a VM learns of a crash, in logs and metrics.
const (
	learnedByDial           = "dial failed"
	learnedFromSilence      = "upstream is silent"
	learnedByCheck          = "another process answers"
	learnedFromRestart      = "entry shows a restart"
	learnedFromMissingEntry = "entry is gone"
	learnedBefore           = "before the request broke off"
)

// probeDelay is the time from the end of a broken run to the check whether its upstream's
// process still runs: a process that ends closes them one after the other.
const probeDelay = 50 * time.Millisecond

// repeatedChecks is how often an upstream is checked again that does not answer. Then its entry
// tells whether it still runs.
const repeatedChecks = 3

const (
	// maxSilence is the longest time for which an upstream that still runs may not respond to
	// attempts to connect.
	maxSilence = 2500 * time.Millisecond
	// checkInterval is the least time between the begins of two checks of an upstream that is silent.
	checkInterval = dialTimeout
)

// requestBroken is a request that broke off while an upstream ran it.
type requestBroken struct{ relay.BrokenRun }

// unreachable reports that an upstream's process has ended, and how that was learned.
type unreachable struct{ upstream, learned string }

// unresponsive reports an upstream that did not respond to an attempt to connect, and when that
// began.
type unresponsive struct {
	upstream roster.Upstream
	since    time.Time
}

// requestCompleted reports that a request ran to its end although upstreams have
// crashed under it before.
type requestCompleted struct{ relay.CompletedRun }

// connectionEnded is a complete answer that ended with its connection, so that its upstream
// may have crashed.
type connectionEnded struct{ relay.CompletedRun }

// upstreamChecked reports that the check of an upstream has ended, and that its process is not
// known to have ended if no unreachable event came before.
type upstreamChecked struct{ upstream string }

func (upstreamChecked) event()  {}
func (requestBroken) event()    {}
func (connectionEnded) event()  {}
func (unreachable) event()      {}
func (unresponsive) event()     {}
func (requestCompleted) event() {}

// crashRun is a run of a request during which its upstream crashed, as VMs tell it to
// each other. Times are sent as ages, since the clocks of VMs differ.
type crashRun struct {
	ID       uint64         `msgpack:"i"`
	Upstream string         `msgpack:"u"`
	Sent     time.Duration  `msgpack:"s"`
	Ended    time.Duration  `msgpack:"e"`
	Silence  time.Duration  `msgpack:"w,omitempty"` // see crash.Run
	Causes   []suspectCause `msgpack:"c"`
}

// suspectCause is what may have been the cause of a crash.
type suspectCause struct {
	Print    crash.Fingerprint `msgpack:"f"`
	Kind     crash.Kind        `msgpack:"k,omitempty"`
	Harmless bool              `msgpack:"h,omitempty"`
}

// newCrashRun returns a run without causes.
func newCrashRun(now time.Time, r crash.Run) crashRun {
	return crashRun{ID: r.ID, Upstream: r.Upstream, Sent: now.Sub(r.Sent), Ended: now.Sub(r.Ended), Silence: r.Silence}
}

// newCrashRuns returns the runs that count for a cause.
func newCrashRuns(now time.Time, f crash.Fingerprint, runs []crash.Run) []crashRun {
	list := make([]crashRun, len(runs))
	for i, r := range runs {
		list[i] = newCrashRun(now, r)
		list[i].Causes = []suspectCause{{Print: f, Kind: r.Kind, Harmless: r.Harmless}}
	}
	return list
}

// at returns the run as it counts for a cause.
func (r crashRun) at(now time.Time, c suspectCause) crash.Run {
	return crash.Run{ID: r.ID, Kind: c.Kind, Upstream: r.Upstream, Sent: now.Add(-r.Sent), Ended: now.Add(-r.Ended), Harmless: c.Harmless, Silence: r.Silence}
}

// crashReport tells a VM of crashes under requests.
type crashReport struct {
	Runs []crashRun `msgpack:"r"`
}

// blockNotice tells a VM to block a cause, with the runs that are the reason.
type blockNotice struct {
	Runs []crashRun `msgpack:"r"`
}

// crashQuery asks a VM for all crashes under requests that it knows of.
type crashQuery struct{}

// clearNotice tells a VM that a request with these causes ran to its end.
type clearNotice struct {
	Causes  []crash.Fingerprint `msgpack:"c"`
	Request string              `msgpack:"r,omitempty"` // id of the request, for logs
	Reply   bool                `msgpack:"a,omitempty"` // the sender objects to a blockNotice, whose sender is to tell all
}

// poison holds what a VM knows of poison requests. Each VM tells all others of the
// crashes that it sees, and asks some of them for earlier ones when it starts. From
// savedCrashes on, the crashes under a cause are kept in the store too, where all VMs
// read them. Rendezvous hashing assigns each cause to tallyVMs VMs, which save its
// crashes and tell the others to block it; another VM saves what the store still lacks
// after saveGrace, as the VMs differ in which others they know.
type poison struct {
	tracker  *crash.Tracker
	pending  map[string][]suspect              // suspects by upstream, until the upstream is known to have crashed
	runs     int64                             // number of suspects so far
	outages  map[string]*outage                // upstreams that break off requests
	crashed  map[string]time.Time              // upstreams that have crashed, and a time before which their last crash was
	probing  map[string]bool                   // upstreams that are being checked
	saved    map[crash.Fingerprint][]crash.Run // runs in the store's record of each cause
	saving   bool                              // a write to the store is in progress
	unsaved  map[crash.Fingerprint]time.Time   // causes whose record in the store is out of date, and since when
	asked    map[string]bool                   // VMs that were asked for the crashes that they know of
	trials   trials
	cleared  map[crash.Fingerprint]time.Time // causes that were found not to be to blame, and when
	complete completions                     // requests
	whole    completions                     // parts of prompts
	told     completions                     // requests and parts of prompts, at other VMs
	arrivals arrivals                        // of requests, by part of their prompts
	// objections has the parts that this VM blocks, and when it asked others whether they object.
	objections map[crash.Fingerprint]time.Time
	warmAt     time.Time // when another VM last said that it has seen whole answers
	// provedSends is the number of probes that told others what requests ran to their end, and
	// provedAt the time of the last one.
	provedSends int
	provedAt    time.Time
	reviewAt    time.Time // time of the next check of what is to be saved
	// watched has the causes under which upstreams have crashed or may have, and the
	// ends of the times for which they are blocked. The request path reads it.
	watched     atomic.Pointer[map[crash.Fingerprint]time.Time]
	stale       bool      // watched lags behind tracker and pending
	parts       bool      // watched has parts that are blocked, which further requests may change
	undecided   bool      // a part is to be blocked unless another VM objects
	publishedAt time.Time // when watched was published
}

func newPoison() *poison {
	p := &poison{
		tracker: crash.NewTracker(crash.TrackerConfig{
			Crashes: blockThreshold, Harmless: harmlessThreshold, PartBlock: partBlockTime, Block: blockTime, MaxBlock: maxBlockTime, TTL: crashTTL, Restart: restartTime, MaxCauses: maxCauses,
		}),
		pending: map[string][]suspect{}, outages: map[string]*outage{}, crashed: map[string]time.Time{}, probing: map[string]bool{}, saved: map[crash.Fingerprint][]crash.Run{}, unsaved: map[crash.Fingerprint]time.Time{}, asked: map[string]bool{}, cleared: map[crash.Fingerprint]time.Time{},
		trials: trials{ends: map[crash.Fingerprint]time.Time{}}, objections: map[crash.Fingerprint]time.Time{},
	}
	p.watched.Store(&map[crash.Fingerprint]time.Time{})
	return p
}

// publishPoison makes the state of causes that are watched visible to the request
// path. When the time of a block is over, the VMs try the cause one after the other in
// rendezvous order, so that it does not crash an upstream of each.
func (c *control) publishPoison(now time.Time) {
	p := c.poison
	watched := p.tracker.Blocked(func(f crash.Fingerprint) bool { return p.isCommon(now, f) })
	names, _ := c.liveVMs()
	p.parts, p.undecided = false, false
	for f, until := range watched {
		if until.IsZero() {
			continue
		}
		spacing := trialTime
		if p.tracker.Runs(f)[0].Kind == crash.Part {
			p.parts, spacing = true, partSpacing
			if p.isCommon(now, f) {
				watched[f] = time.Time{}
				continue
			}
			if c.awaitsObjections(now, f) {
				watched[f], p.undecided = time.Time{}, true
				continue
			}
		}
		turn := slices.Index(rank.Order(f.String(), names), c.self.Name)
		watched[f] = until.Add(time.Duration(min(turn, maxTurn)) * spacing)
	}
	for _, list := range p.pending {
		for _, s := range list {
			for _, cause := range s.causes {
				if _, ok := watched[cause.Print]; !ok {
					watched[cause.Print] = time.Time{}
				}
			}
		}
	}
	p.watched.Store(&watched)
	p.stale, p.publishedAt = false, now
}

// forget forgets that upstreams crashed under a cause, or may have. It reports whether
// any is known to have, and whether the cause was blocked.
func (p *poison) forget(now time.Time, f crash.Fingerprint) (counted, blocked bool) {
	for upstream, list := range p.pending {
		for i := range list {
			list[i].causes = slices.DeleteFunc(list[i].causes, func(c suspectCause) bool { return c.Print == f })
		}
		p.pending[upstream] = slices.DeleteFunc(list, func(s suspect) bool { return len(s.causes) == 0 })
	}
	counted, blocked = len(p.tracker.Runs(f)) > 0, !p.tracker.BlockedUntil(f).IsZero()
	p.tracker.Clear(f)
	delete(p.objections, f)
	p.cleared[f] = now
	p.stale = true
	return counted, blocked
}

// isOutdated reports whether a run ended before its cause was found not to be to blame. Another
// VM, or the store, may not know that yet.
func (p *poison) isOutdated(f crash.Fingerprint, r crash.Run) bool {
	at, ok := p.cleared[f]
	return ok && !r.Ended.After(at)
}

// expire forgets old crashes and publishes what has changed.
func (c *control) expirePoison(now time.Time) {
	p := c.poison
	for upstream := range p.pending {
		c.dropOldSuspects(now, upstream)
	}
	for upstream, o := range p.outages {
		if now.Sub(o.last) > longestRun {
			delete(p.outages, upstream)
		}
	}
	maps.DeleteFunc(p.crashed, func(_ string, at time.Time) bool { return now.Sub(at) > longestRun })
	maps.DeleteFunc(p.cleared, func(_ crash.Fingerprint, at time.Time) bool { return now.Sub(at) > clearedTime })
	expired := p.tracker.Expire(now)
	maps.DeleteFunc(p.objections, func(f crash.Fingerprint, _ time.Time) bool { return len(p.tracker.Runs(f)) == 0 })
	if len(expired) > 0 || p.stale || p.undecided || (p.parts && now.Sub(p.publishedAt) >= reviewTime) {
		c.publishPoison(now)
	}
}
