package edge

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
)

const (
	// commonShare is the share of the requests from which on a part of prompts is not blocked
	// while no VM has seen a whole answer: a part that all requests of a route share cannot
	// be told from one that crashes upstreams then.
	commonShare = 0.25
	// leastArrivals is the least number of requests by which a VM knows that share.
	leastArrivals = 20
	// objectionTime is how long a VM waits before it blocks a part of prompts, for others that
	// have seen whole answers with it.
	objectionTime = 150 * time.Millisecond
	// provedInterval is the interval at which a VM tells another one, with a probe, the causes
	// with which most requests ran to their end. The first provedAtOnce probes all tell them.
	provedInterval = 500 * time.Millisecond
	provedAtOnce   = 8
)

// noteComplete notes that a request with these causes ran to its end, which proves that the
// parts of its prompt crash no upstreams.
func (p *poison) noteComplete(now time.Time, causes []crash.Cause) {
	parts := slices.IndexFunc(causes, func(c crash.Cause) bool { return c.Kind == crash.Part })
	if parts < 0 {
		parts = len(causes)
	}
	p.complete.add(now, crash.Prints(causes[:parts]))
	p.whole.add(now, crash.Prints(causes[parts:]))
}

// isProved reports whether a cause is a part of prompts that was in a whole answer shortly
// before, here or at another VM: it cannot have crashed an upstream. All requests of a route may
// share it.
func (p *poison) isProved(now time.Time, kind crash.Kind, f crash.Fingerprint) bool {
	return kind == crash.Part && (p.whole.has(now, f) || p.told.has(now, f))
}

// isHarmless reports whether a request with a cause ran to its end shortly before, here or at
// another VM.
func (p *poison) isHarmless(now time.Time, f crash.Fingerprint) bool {
	return p.complete.has(now, f) || p.told.has(now, f)
}

// proved returns what the next probe tells of the causes with which requests ran to their end
// here: nothing most of the time, to save traffic.
func (p *poison) proved(now time.Time) []crash.Fingerprint {
	if p.provedSends >= provedAtOnce && now.Sub(p.provedAt) < provedInterval {
		return nil
	}
	list := append(p.whole.mostFrequent(now), p.complete.mostFrequent(now)...)
	if len(list) > 0 {
		p.provedSends++
		p.provedAt = now
	}
	return list
}

// noteProved notes causes with which requests ran to their end at another VM, which may be gone
// when this one has to know. It forgets the crashes under parts of prompts.
func (c *control) noteProved(now time.Time, from netip.AddrPort, list []crash.Fingerprint) {
	c.poison.told.add(now, list)
	for _, f := range list {
		if runs := c.poison.tracker.Runs(f); len(runs) > 0 && runs[0].Kind == crash.Part {
			c.clear(now, f, zap.Stringer("from", from))
		}
	}
}

// isCold reports whether no VM has seen a whole answer that could prove parts of prompts, as
// far as this one knows.
func (p *poison) isCold(now time.Time) bool {
	return p.whole.empty(now) && now.Sub(p.warmAt) >= completionTime
}

// isCommon reports whether a cause is a part of prompts that many requests share, or may
// share, while no VM has seen a whole answer. This VM does not block it then; what it tells
// the others and the store does not depend on that.
func (p *poison) isCommon(now time.Time, f crash.Fingerprint) bool {
	runs := p.tracker.Runs(f)
	return len(runs) > 0 && runs[0].Kind == crash.Part && p.isCold(now) && p.arrivals.share(f) >= commonShare
}

// awaitsObjections reports whether a part of prompts is not to be blocked yet, as other VMs may
// have seen whole answers with it. It asks those that have run for longest.
func (c *control) awaitsObjections(now time.Time, f crash.Fingerprint) bool {
	askedAt, ok := c.poison.objections[f]
	if !ok {
		askedAt = now
		vms := c.oldestVMs(askedVMs)
		if len(vms) == 0 {
			askedAt = now.Add(-objectionTime)
		}
		for _, vm := range vms {
			c.transport.send(vm.Peer, packet{BlockNotice: c.newBlockNotice(now, f)})
		}
		c.poison.objections[f] = askedAt
		c.logger.Info("crash: asked others before a part is blocked", zap.Stringer("print", f), zap.Int("vms", len(vms)))
	}
	return now.Sub(askedAt) < objectionTime
}

// oldestVMs returns the reachable VMs that have run for longest, at most the given number.
func (c *control) oldestVMs(most int) []gossip.VM {
	_, others := c.liveVMs()
	vms := slices.SortedFunc(maps.Values(others), func(a, b gossip.VM) int {
		return cmp.Or(cmp.Compare(a.Boot, b.Boot), cmp.Compare(a.Name, b.Name))
	})
	return vms[:min(most, len(vms))]
}

// arrivals counts requests by part of their prompts, for the last completionTime and the
// one before.
type arrivals struct {
	mu          sync.Mutex
	begun       time.Time                 // begin of the current time
	now, before map[crash.Fingerprint]int // requests with each part
	all, old    int                       // requests with any part, in the current time and in the one before
}

// add counts a request that has arrived.
func (a *arrivals) add(now time.Time, causes []crash.Cause) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.now == nil || now.Sub(a.begun) >= completionTime {
		a.before, a.old = a.now, a.all
		a.now, a.all, a.begun = map[crash.Fingerprint]int{}, 0, now
	}
	if causes[len(causes)-1].Kind != crash.Part {
		return
	}
	a.all++
	for _, c := range causes {
		if _, known := a.now[c.Print]; c.Kind == crash.Part && (known || len(a.now) < maxCompletions) {
			a.now[c.Print]++
		}
	}
}

// share returns the share of the requests with prompts that have a part, from 0 to 1; 1 if
// there were too few.
func (a *arrivals) share(part crash.Fingerprint) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.all+a.old < leastArrivals {
		return 1
	}
	return float64(a.now[part]+a.before[part]) / float64(a.all+a.old)
}
