package edge

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// Parameters of the detection of poison requests, which crash the upstreams that
// run them.
const (
	// blockThreshold is the number of different upstreams that must have crashed
	// while they ran a request for the request to be blocked.
	blockThreshold = 3
	// crashWindow is how long the upstream crashes counted for a request are kept
	// after the latest of them; then all are forgotten together. It is long enough
	// for several restarts of an upstream.
	crashWindow = time.Minute
	// blockTime is how long a poison request is blocked. It is short because the
	// decision may be wrong: another request may have crashed the upstreams.
	blockTime = 30 * time.Second
	// detectionTime is the longest time from a broken connection to the detection of
	// the upstream's crash: three heartbeats and the lag of the store.
	detectionTime = 8 * time.Second
	// maxFingerprints bounds the number of requests in the tally, in the
	// blocklist, and in each upstream's list of suspects. Requests are identified
	// by their fingerprints.
	maxFingerprints = 10_000
	// packetFingerprints bounds the number of requests in one crashReport, which
	// must fit in a datagram.
	packetFingerprints = 100
	// tallyVMs is the number of VMs that count the crashes of a request. It is more
	// than one, so that one of them may fail.
	tallyVMs = 2
)

// requestBroken is a request whose connection to the upstream broke while it ran.
type requestBroken struct {
	id          string
	fingerprint crash.Fingerprint
	upstream    string
}

// unreachable reports that an upstream accepts no connections.
type unreachable struct{ upstream string }

// How a VM learns of a crash, in logs and metrics.
const (
	learnedByDial           = "dial failed"
	learnedFromRestart      = "entry shows a restart"
	learnedFromMissingEntry = "entry is gone"
)

func (requestBroken) event() {}
func (unreachable) event()   {}

// crashReport reports that an upstream crashed, and which requests may have been
// the cause.
type crashReport struct {
	Upstream     string              `msgpack:"u"`
	Fingerprints []crash.Fingerprint `msgpack:"p"`
}

// blockNotice tells a VM to block a poison request.
type blockNotice struct {
	Fingerprint crash.Fingerprint `msgpack:"p"`
}

// poison holds what a VM knows of poison requests. Rendezvous hashing assigns
// each request to tallyVMs VMs. For the whole fleet, these VMs count the
// different upstreams that crashed while they ran the request. When the count
// reaches blockThreshold, they tell all VMs to block the request.
type poison struct {
	tally   *crash.Tally
	pending map[string][]suspect // suspects by upstream, until the upstream is known to have crashed
	blocked *blocklist
}

// suspect is a request that may have crashed its upstream.
type suspect struct {
	fingerprint crash.Fingerprint
	at          time.Time
}

func newPoison() *poison {
	return &poison{
		tally:   crash.NewTally(crash.TallyConfig{Upstreams: blockThreshold, TTL: crashWindow, MaxRequests: maxFingerprints}),
		pending: map[string][]suspect{},
		blocked: &blocklist{until: map[crash.Fingerprint]time.Time{}},
	}
}

// blocklist holds the blocked requests. The request path reads it concurrently.
type blocklist struct {
	mu    sync.Mutex
	until map[crash.Fingerprint]time.Time
}

// remaining returns for how long a request is still blocked at now; 0 if it may
// run.
func (b *blocklist) remaining(now time.Time, f crash.Fingerprint) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.until[f].Sub(now), 0)
}

func (b *blocklist) add(now time.Time, f crash.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for old, until := range b.until {
		if now.After(until) {
			delete(b.until, old)
		}
	}
	if len(b.until) < maxFingerprints {
		b.until[f] = now.Add(blockTime)
	}
}

// noteBroken stores a request whose connection broke, in case its upstream turns
// out to have crashed.
func (c *control) noteBroken(now time.Time, e requestBroken) {
	list := c.poison.pending[e.upstream]
	for len(list) > 0 && now.Sub(list[0].at) > detectionTime {
		list = list[1:]
	}
	if len(list) < maxFingerprints {
		list = append(list, suspect{fingerprint: e.fingerprint, at: now})
	}
	c.poison.pending[e.upstream] = list
	c.metrics.Suspected("broke off")
	c.logger.Info("crash: request broke off", zap.String("request", e.id), zap.String("upstream", e.upstream), zap.Stringer("print", e.fingerprint))
}

// noteCrash handles the crash of an upstream. Each request whose connection to the
// upstream broke shortly before may be the cause, and is reported to the VMs that
// count its crashes. learned tells how this VM learned of the crash.
func (c *control) noteCrash(now time.Time, upstream, learned string) {
	list, ok := c.poison.pending[upstream]
	if !ok {
		return
	}
	delete(c.poison.pending, upstream)
	c.metrics.CrashLearned(learned)
	c.logger.Info("crash: upstream crashed", zap.String("upstream", upstream), zap.String("learned", learned),
		zap.Int("suspects", len(list)), zap.Duration("after", now.Sub(list[0].at)))
	names, live := c.liveVMs()
	fingerprints := map[string][]crash.Fingerprint{}
	for _, s := range list {
		if now.Sub(s.at) > detectionTime {
			c.metrics.Suspected("forgotten")
			c.logger.Info("crash: suspect is forgotten", zap.String("upstream", upstream), zap.Stringer("print", s.fingerprint), zap.Duration("after", now.Sub(s.at)))
			continue
		}
		for _, name := range rank.Top(s.fingerprint.String(), names, tallyVMs) {
			fingerprints[name] = append(fingerprints[name], s.fingerprint)
		}
	}
	for name, list := range fingerprints {
		for len(list) > 0 {
			count := min(len(list), packetFingerprints)
			report := crashReport{Upstream: upstream, Fingerprints: list[:count]}
			list = list[count:]
			if name == c.self.Name {
				c.countCrashes(now, &report)
				continue
			}
			c.transport.send(live[name].Peer, packet{CrashReport: &report})
		}
	}
}

// countCrashes counts a crash against each reported request, and tells all VMs to
// block the requests that reach blockThreshold.
func (c *control) countCrashes(now time.Time, e *crashReport) {
	for _, f := range e.Fingerprints {
		blocked := c.poison.tally.RecordCrash(now, f, e.Upstream)
		c.metrics.Suspected("counted")
		c.logger.Info("crash: counted", zap.String("upstream", e.Upstream), zap.Stringer("print", f),
			zap.Int("crashes", c.poison.tally.Count(f)), zap.Int("limit", blockThreshold))
		if !blocked {
			continue
		}
		c.block(now, &blockNotice{Fingerprint: f})
		_, others := c.liveVMs()
		for _, vm := range others {
			c.transport.send(vm.Peer, packet{BlockNotice: &blockNotice{Fingerprint: f}})
		}
	}
}

func (c *control) block(now time.Time, e *blockNotice) {
	c.logger.Warn("relay: blocking a request that crashes upstreams", zap.Stringer("print", e.Fingerprint), zap.Duration("for", blockTime))
	c.poison.blocked.add(now, e.Fingerprint)
}

// crashTracker gives the request path access to the detection of poison
// requests.
type crashTracker struct{ control *control }

// BlockedFor implements relay.CrashTracker.
func (t crashTracker) BlockedFor(now time.Time, f crash.Fingerprint) time.Duration {
	return t.control.poison.blocked.remaining(now, f)
}

// ReportBroken implements relay.CrashTracker.
func (t crashTracker) ReportBroken(id string, f crash.Fingerprint, upstream string) {
	t.control.post(requestBroken{id: id, fingerprint: f, upstream: upstream})
}

// ReportUnreachable implements relay.CrashTracker.
func (t crashTracker) ReportUnreachable(upstream string) {
	t.control.post(unreachable{upstream: upstream})
}
