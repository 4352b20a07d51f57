package edge

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// Parameters of the detection of poison requests, which crash the upstreams that
// run them.
const (
	// blockThreshold is the number of crashes of upstreams under a request at which
	// the request is blocked.
	blockThreshold = 3
	// blockTime is how long a request is blocked at first. The time is doubled for
	// each further crash, up to maxBlockTime: the decision may be wrong, and only a
	// run that ends well can show it.
	blockTime    = time.Minute
	maxBlockTime = 15 * time.Minute
	// crashTTL is how long the crashes of a request are remembered after the last one.
	crashTTL = 2 * maxBlockTime
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
	// longestRun is the longest time for which a request may still wait for an upstream
	// that has crashed.
	longestRun = time.Minute
	// maxFingerprints bounds the number of requests whose crashes are remembered, and
	// the number of suspects of each upstream.
	maxFingerprints = 10_000
	// packetRuns bounds the number of runs in one packet, which must fit in a
	// datagram.
	packetRuns = 20
	// tallyVMs is the number of VMs that count the crashes of a request. It is more
	// than one, so that one of them may fail.
	tallyVMs = 2
)

// How a VM learns of a crash, in logs and metrics.
const (
	learnedByDial           = "dial failed"
	learnedFromRestart      = "entry shows a restart"
	learnedFromMissingEntry = "entry is gone"
	learnedBefore           = "before the request broke off"
)

// probeDelay is the time from the end of a broken run to the check whether its upstream
// still accepts connections: a process that ends closes them one after the other.
const probeDelay = 50 * time.Millisecond

// requestBroken is a request that broke off while an upstream ran it.
type requestBroken struct{ relay.BrokenRun }

// unreachable reports that an upstream accepts no connections.
type unreachable struct{ upstream string }

// requestCompleted reports that a request ran to its end although upstreams have
// crashed under it before.
type requestCompleted struct{ fingerprint crash.Fingerprint }

// upstreamChecked reports that the check of an upstream has ended, and that it accepts
// connections if no unreachable event came before.
type upstreamChecked struct{ upstream string }

func (upstreamChecked) event()  {}
func (requestBroken) event()    {}
func (unreachable) event()      {}
func (requestCompleted) event() {}

// crashRun is a run of a request during which its upstream crashed, as VMs tell it to
// each other. Times are sent as ages, since the clocks of VMs differ.
type crashRun struct {
	Fingerprint crash.Fingerprint `msgpack:"f"`
	ID          uint64            `msgpack:"i"`
	Upstream    string            `msgpack:"u"`
	Sent        time.Duration     `msgpack:"s"`
	Ended       time.Duration     `msgpack:"e"`
}

func newCrashRun(now time.Time, f crash.Fingerprint, r crash.Run) crashRun {
	return crashRun{Fingerprint: f, ID: r.ID, Upstream: r.Upstream, Sent: now.Sub(r.Sent), Ended: now.Sub(r.Ended)}
}

func (r crashRun) at(now time.Time) crash.Run {
	return crash.Run{ID: r.ID, Upstream: r.Upstream, Sent: now.Add(-r.Sent), Ended: now.Add(-r.Ended)}
}

// crashReport tells the VMs that count the crashes of requests of further ones.
type crashReport struct {
	Runs []crashRun `msgpack:"r"`
}

// blockNotice tells a VM to block a poison request, with the runs that are the reason.
type blockNotice struct {
	Runs []crashRun `msgpack:"r"`
}

// clearNotice tells the VMs that count the crashes of a request that it ran to its
// end.
type clearNotice struct {
	Fingerprint crash.Fingerprint `msgpack:"f"`
}

// poison holds what a VM knows of poison requests. Rendezvous hashing assigns
// each request to tallyVMs VMs, which count the crashes of upstreams under the
// request for the whole fleet. They keep the count in the store, where all VMs read it,
// also those that start later. When the count reaches blockThreshold, they also tell
// the other VMs at once.
type poison struct {
	tracker  *crash.Tracker
	pending  map[string][]suspect      // suspects by upstream, until the upstream is known to have crashed
	runs     int64                     // number of suspects so far
	outages  map[string]*outage        // upstreams that break off requests
	crashed  map[string]time.Time      // upstreams that have crashed, and a time before which their last crash was
	probing  map[string]bool           // upstreams that are being checked
	saved    map[crash.Fingerprint]int // number of runs in the store's record of each request
	saving   bool                      // a write to the store is in progress
	trials   trials
	reviewAt time.Time // time of the next check of what is to be saved
	// watched has the requests under which upstreams have crashed or may have, and the
	// ends of the times for which they are blocked. The request path reads it.
	watched atomic.Pointer[map[crash.Fingerprint]time.Time]
	stale   bool // watched lags behind tracker and pending
}

// outage is a time in which an upstream breaks off all requests. One that was sent
// after its begin cannot be its cause.
type outage struct{ began, last time.Time }

// isCause reports whether a run that breaks off at now may have been the cause. The
// outage is over when something arrived from the upstream, or when it had time to
// restart without a broken request.
func (p *poison) isCause(now time.Time, e requestBroken) bool {
	o, ok := p.outages[e.Upstream.ID]
	if !ok || e.Heard.After(o.last) || e.Sent.Sub(o.last) > restartTime {
		p.outages[e.Upstream.ID] = &outage{began: now, last: now}
		return true
	}
	o.last = now
	return !e.Sent.After(o.began)
}

// suspect is a request that may have crashed its upstream.
type suspect struct {
	fingerprint crash.Fingerprint
	run         crash.Run
}

func newPoison() *poison {
	p := &poison{
		tracker: crash.NewTracker(crash.TrackerConfig{
			Crashes: blockThreshold, Block: blockTime, MaxBlock: maxBlockTime, TTL: crashTTL, Restart: restartTime, MaxRequests: maxFingerprints,
		}),
		pending: map[string][]suspect{}, outages: map[string]*outage{}, crashed: map[string]time.Time{}, probing: map[string]bool{}, saved: map[crash.Fingerprint]int{},
		trials: trials{begun: map[crash.Fingerprint]time.Time{}},
	}
	p.watched.Store(&map[crash.Fingerprint]time.Time{})
	return p
}

// publishPoison makes the state of requests that are watched visible to the request
// path. When the time of a block is over, the VMs try the request one after the other in
// rendezvous order, so that it does not crash an upstream of each.
func (c *control) publishPoison() {
	p := c.poison
	watched := p.tracker.Blocked()
	names, _ := c.liveVMs()
	for f, until := range watched {
		if !until.IsZero() {
			turn := slices.Index(rank.Order(f.String(), names), c.self.Name)
			watched[f] = until.Add(time.Duration(min(turn, maxTurn)) * trialTime)
		}
	}
	for _, list := range p.pending {
		for _, s := range list {
			if _, ok := watched[s.fingerprint]; !ok {
				watched[s.fingerprint] = time.Time{}
			}
		}
	}
	p.watched.Store(&watched)
	p.stale = false
}

// forget forgets that upstreams crashed under a request, or may have. It reports whether
// any is known to have, and whether the request was blocked.
func (p *poison) forget(f crash.Fingerprint) (counted, blocked bool) {
	for upstream, list := range p.pending {
		p.pending[upstream] = slices.DeleteFunc(list, func(s suspect) bool { return s.fingerprint == f })
	}
	counted, blocked = len(p.tracker.Runs(f)) > 0, !p.tracker.BlockedUntil(f).IsZero()
	p.tracker.Clear(f)
	p.stale = true
	return counted, blocked
}

// expire forgets old crashes and publishes what has changed.
func (c *control) expirePoison(now time.Time) {
	p := c.poison
	for upstream, o := range p.outages {
		if now.Sub(o.last) > longestRun {
			delete(p.outages, upstream)
		}
	}
	for upstream, at := range p.crashed {
		if now.Sub(at) > longestRun {
			delete(p.crashed, upstream)
		}
	}
	if len(p.tracker.Expire(now)) > 0 || p.stale {
		c.publishPoison()
	}
}

// handlePoison handles the events about poison requests. It returns false for any other
// event.
func (c *control) handlePoison(ctx context.Context, now time.Time, e event) bool {
	switch e := e.(type) {
	case requestBroken:
		c.noteBroken(ctx, now, e)
	case upstreamChecked:
		delete(c.poison.probing, e.upstream)
	case unreachable:
		c.noteCrash(now, e.upstream, now, learnedByDial)
	case crashesSaved:
		c.noteSaved(e)
	case requestCompleted:
		c.noteCompleted(e.fingerprint)
	default:
		return false
	}
	return true
}

// crashProbe checks whether an upstream still accepts connections.
type crashProbe struct {
	check    func(context.Context, netip.AddrPort) error
	post     func(event)
	upstream roster.Upstream
}

func (p *crashProbe) run(ctx context.Context) {
	time.Sleep(probeDelay)
	if err := p.check(ctx, p.upstream.Address); err != nil && ctx.Err() == nil {
		p.post(unreachable{upstream: p.upstream.ID})
	}
	p.post(upstreamChecked{upstream: p.upstream.ID})
}

// noteBroken stores a request that broke off, in case its upstream turns out to have
// crashed. The upstream is checked at once: this VM may have no other request for it,
// and the store drops its entry only after seconds.
func (c *control) noteBroken(ctx context.Context, now time.Time, e requestBroken) {
	id := e.Upstream.ID
	if !c.poison.probing[id] {
		c.poison.probing[id] = true
		go (&crashProbe{check: c.check, post: c.post, upstream: e.Upstream}).run(ctx)
	}
	if !c.poison.isCause(now, e) {
		return
	}
	list := c.poison.pending[id]
	for len(list) > 0 && now.Sub(list[0].run.Ended) > detectionTime {
		list = list[1:]
	}
	if len(list) < maxFingerprints {
		c.poison.runs++
		list = append(list, suspect{fingerprint: e.Fingerprint, run: crash.Run{
			ID: crash.RunID(c.self.Name, strconv.FormatInt(c.self.Boot, 10), c.poison.runs), Upstream: id, Sent: e.Sent, Ended: now,
		}})
	}
	c.poison.pending[id], c.poison.stale = list, true
	c.metrics.Suspected("broke off")
	c.logger.Info("crash: request broke off", zap.String("request", e.Request), zap.String("upstream", id),
		zap.Stringer("print", e.Fingerprint), zap.Bool("silent", e.Silent))
	if e.Sent.Before(c.poison.crashed[id]) {
		c.reportSuspects(now, id, learnedBefore)
	}
}

// noteCrash handles the crash of an upstream, which was before the given time. learned
// tells how this VM learned of it. Each request that broke off there shortly before may
// be the cause, and so may those that are still to break off: a connection may stay
// open for seconds after its upstream is gone.
func (c *control) noteCrash(now time.Time, upstream string, before time.Time, learned string) {
	if before.After(c.poison.crashed[upstream]) {
		c.poison.crashed[upstream] = before
	}
	c.reportSuspects(now, upstream, learned)
}

// reportSuspects reports the requests that broke off at an upstream that has crashed to
// the VMs that count their crashes.
func (c *control) reportSuspects(now time.Time, upstream, learned string) {
	list := c.poison.pending[upstream]
	if len(list) == 0 {
		return
	}
	delete(c.poison.pending, upstream)
	c.poison.stale = true
	c.metrics.CrashLearned(learned)
	c.logger.Info("crash: upstream crashed", zap.String("upstream", upstream), zap.String("learned", learned),
		zap.Int("suspects", len(list)), zap.Duration("after", now.Sub(list[0].run.Ended)))
	names, live := c.liveVMs()
	reports := map[string][]crashRun{}
	for _, s := range list {
		if after := now.Sub(s.run.Ended); after > detectionTime {
			c.metrics.Suspected("forgotten")
			c.logger.Info("crash: suspect is forgotten", zap.String("upstream", upstream), zap.Stringer("print", s.fingerprint), zap.Duration("after", after))
			continue
		}
		for _, name := range rank.Top(s.fingerprint.String(), names, tallyVMs) {
			reports[name] = append(reports[name], newCrashRun(now, s.fingerprint, s.run))
		}
	}
	if _, ok := reports[c.self.Name]; !ok {
		c.recordCrashes(now, slices.Concat(slices.Collect(maps.Values(reports))...))
	}
	for name, runs := range reports {
		for part := range slices.Chunk(runs, packetRuns) {
			if name == c.self.Name {
				c.countCrashes(now, part)
				continue
			}
			c.transport.send(live[name].Peer, packet{CrashReport: &crashReport{Runs: part}})
		}
	}
}

// countCrashes counts crashes against the requests that ran meanwhile, and tells all
// VMs to block those that reach blockThreshold.
func (c *control) countCrashes(now time.Time, runs []crashRun) {
	c.poison.reviewAt = time.Time{} // saves the new count with the next tick
	for _, f := range c.recordCrashes(now, runs) {
		notice := &blockNotice{}
		for _, r := range c.poison.tracker.Runs(f) {
			notice.Runs = append(notice.Runs, newCrashRun(now, f, r))
		}
		_, others := c.liveVMs()
		for _, vm := range others {
			c.transport.send(vm.Peer, packet{BlockNotice: notice})
		}
	}
}

// recordCrashes records crashes, and returns the requests that are blocked because of
// them.
func (c *control) recordCrashes(now time.Time, runs []crashRun) []crash.Fingerprint {
	var blocked []crash.Fingerprint
	for _, r := range runs {
		if !c.poison.tracker.Record(now, r.Fingerprint, r.at(now)) {
			continue
		}
		c.poison.stale = true
		c.metrics.Suspected("counted")
		c.logger.Info("crash: counted", zap.String("upstream", r.Upstream), zap.Stringer("print", r.Fingerprint),
			zap.Int("crashes", len(c.poison.tracker.Runs(r.Fingerprint))), zap.Int("limit", blockThreshold))
		if until := c.poison.tracker.BlockedUntil(r.Fingerprint); now.Before(until) {
			c.logger.Warn("relay: blocking a request that crashes upstreams", zap.Stringer("print", r.Fingerprint), zap.Duration("for", until.Sub(now)))
			blocked = append(blocked, r.Fingerprint)
		}
	}
	if len(blocked) > 0 {
		c.publishPoison()
	}
	return blocked
}

// noteCompleted handles the complete run of a request under which upstreams have
// crashed before, or may have: the request is not the cause.
func (c *control) noteCompleted(f crash.Fingerprint) {
	if !c.clear(f) {
		return
	}
	names, live := c.liveVMs()
	for _, name := range rank.Top(f.String(), names, tallyVMs) {
		if name != c.self.Name {
			c.transport.send(live[name].Peer, packet{ClearNotice: &clearNotice{Fingerprint: f}})
		}
	}
}

// clear forgets the crashes of a request. It reports whether there were any.
func (c *control) clear(f crash.Fingerprint) bool {
	counted, blocked := c.poison.forget(f)
	if blocked {
		c.publishPoison()
	}
	if !counted {
		return false
	}
	c.metrics.Suspected("cleared")
	c.logger.Info("crash: request ran to its end", zap.Stringer("print", f))
	return true
}

// crashTracker gives the request path access to the detection of poison
// requests.
type crashTracker struct{ control *control }

// Admit implements relay.CrashTracker.
func (t crashTracker) Admit(now time.Time, f crash.Fingerprint) time.Duration {
	until := (*t.control.poison.watched.Load())[f]
	switch {
	case until.IsZero(): // too few crashes
		return 0
	case now.Before(until):
		return until.Sub(now)
	default:
		return t.control.poison.trials.begin(now, f)
	}
}

// BlockedFor implements relay.CrashTracker.
func (t crashTracker) BlockedFor(now time.Time, f crash.Fingerprint) time.Duration {
	return max((*t.control.poison.watched.Load())[f].Sub(now), 0)
}

// trials holds the runs of requests that were blocked until a moment ago. A run that
// ends well lifts the suspicion; another crash blocks the request again.
type trials struct {
	mu    sync.Mutex
	begun map[crash.Fingerprint]time.Time
}

// begin returns 0 if a request may be tried, and otherwise the time left until its last
// trial is over.
func (t *trials) begin(now time.Time, f crash.Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	for old, begun := range t.begun {
		if now.Sub(begun) >= trialTime {
			delete(t.begun, old)
		}
	}
	if begun, ok := t.begun[f]; ok {
		return begun.Add(trialTime).Sub(now)
	}
	t.begun[f] = now
	return 0
}

// ReportBroken implements relay.CrashTracker.
func (t crashTracker) ReportBroken(r relay.BrokenRun) { t.control.post(requestBroken{r}) }

// ReportUnreachable implements relay.CrashTracker.
func (t crashTracker) ReportUnreachable(upstream string) {
	t.control.post(unreachable{upstream: upstream})
}

// ReportCompleted implements relay.CrashTracker.
func (t crashTracker) ReportCompleted(f crash.Fingerprint) {
	if _, suspected := (*t.control.poison.watched.Load())[f]; suspected {
		t.control.post(requestCompleted{fingerprint: f})
	}
}
