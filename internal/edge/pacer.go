package edge

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/fair"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/pace"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

const (
	// tellInterval is the time after which a VM that sees a limit in an answer tells the
	// others of it again, for those that have started since or missed a datagram.
	tellInterval = time.Second
	// gateTimeout is how long the VM that keeps an upstream's gate may be silent.
	gateTimeout = 120 * time.Millisecond
)

// paceRequest asks a VM for the right to send one request to an upstream that names a
// limit.
type paceRequest struct {
	ID           uint64        `msgpack:"i"`
	Limit        upstreamLimit `msgpack:"l"`           // as the sender knows it
	Organisation string        `msgpack:"o,omitempty"` // name of the caller's organisation
}

// paceReply is the reply to a paceRequest.
type paceReply struct {
	ID   uint64        `msgpack:"i"`
	Wait time.Duration `msgpack:"w,omitempty"` // time after which to ask again; 0 if the request may be sent
}

// upstreamLimit is what an answer of an upstream said of its limit.
type upstreamLimit struct {
	Upstream string        `msgpack:"u"`
	Named    bool          `msgpack:"n,omitempty"`
	Rate     float64       `msgpack:"r,omitempty"`
	Age      time.Duration `msgpack:"a"` // time since the answer
}

func newUpstreamLimit(now time.Time, upstream string, o pace.Observation) upstreamLimit {
	return upstreamLimit{Upstream: upstream, Named: o.Named, Rate: o.Rate, Age: now.Sub(o.At)}
}

func (l upstreamLimit) observation(now time.Time) pace.Observation {
	at := now.Add(-l.Age)
	return pace.Observation{Limit: pace.Limit{Named: l.Named, Rate: l.Rate}, Sent: at, At: at}
}

// pacer gives the request path access to the limits that upstreams name. The requests to
// such an upstream pass one gate, for all VMs: that of the engine's scheduler at its holder,
// or else that of the VM which rendezvous hashing chooses.
type pacer struct {
	self     gossip.VM
	post     func(event)
	send     func(netip.AddrPort, packet)
	limits   atomic.Pointer[map[string]pace.Observation] // of the upstreams that name a limit, as the control loop knows them
	vms      atomic.Pointer[map[string]gossip.VM]        // live VMs by name, this one included
	sequence atomic.Uint64
	mu       sync.Mutex
	pending  replies[uint64, time.Duration] // by request ID
	closed   map[gateKey]time.Time          // gates that denied a request, and when to ask them again
}

// gateKey identifies the gate of an upstream for one organisation; "" if there are none. Others may
// pass a gate that denies the requests of one.
type gateKey struct{ upstream, organisation string }

func newPacer(self gossip.VM, send func(netip.AddrPort, packet), post func(event)) *pacer {
	p := &pacer{self: self, post: post, send: send, closed: map[gateKey]time.Time{}}
	p.limits.Store(&map[string]pace.Observation{})
	p.vms.Store(&map[string]gossip.VM{self.Name: self})
	return p
}

// limitObserved reports what an answer of an upstream said of its limit.
type limitObserved struct {
	upstream string
	pace.Observation
}

func (limitObserved) event() {}

// Observe implements relay.Pacer. Answers of upstreams that name no limit, and had named
// none, are not reported.
func (p *pacer) Observe(upstream string, o pace.Observation) {
	if _, known := (*p.limits.Load())[upstream]; known || o.Named {
		p.post(limitObserved{upstream: upstream, Observation: o})
	}
}

// Take implements relay.Pacer. It asks the VM that keeps the upstream's gate, unless that VM
// has just said when to ask again.
func (p *pacer) Take(ctx context.Context, upstream, organisation string) time.Duration {
	o, ok := (*p.limits.Load())[upstream]
	if !ok {
		return 0
	}
	now, key := time.Now(), gateKey{upstream, organisation}
	p.mu.Lock()
	until := p.closed[key]
	p.mu.Unlock()
	if now.Before(until) {
		return until.Sub(now)
	}
	wait := p.ask(ctx, paceRequest{Limit: newUpstreamLimit(now, upstream, o), Organisation: organisation})
	if wait > 0 {
		p.mu.Lock()
		p.closed[key] = time.Now().Add(wait)
		p.mu.Unlock()
	}
	return wait
}

// keeper returns the VM that keeps the gate of an upstream.
func (p *pacer) keeper(upstream string) gossip.VM {
	vms := *p.vms.Load()
	return vms[rank.Top(upstream, slices.Collect(maps.Keys(vms)), 1)[0]]
}

// ask asks the VM that keeps an upstream's gate.
func (p *pacer) ask(ctx context.Context, r paceRequest) time.Duration {
	keeper := p.keeper(r.Limit.Upstream)
	r.ID = p.sequence.Add(1)
	reply, done := p.pending.expect(r.ID)
	defer done()
	request := packet{PaceRequest: &r}
	resend := time.NewTicker(resendInterval)
	defer resend.Stop()
	timeout := time.NewTimer(gateTimeout)
	defer timeout.Stop()
	for {
		if keeper.Name == p.self.Name {
			p.post(packetReceived{packet: request})
		} else {
			p.send(keeper.Peer, request)
		}
		select {
		case wait := <-reply:
			return wait
		case <-resend.C:
		case <-timeout.C:
			return renewInterval
		case <-ctx.Done():
			return renewInterval
		}
	}
}

// handleReply passes a reply on to the waiting request.
func (p *pacer) handleReply(r *paceReply) { p.pending.pass(r.ID, r.Wait) }

// forget drops what is known of an upstream that has restarted or is gone.
func (p *pacer) forget(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.closed, func(k gateKey, _ time.Time) bool { return k.upstream == upstream })
}

// limits holds what the control loop knows of the limits that upstreams name.
type limits struct {
	table *pace.Table
	told  map[string]time.Time  // when the VMs were last told of each limit
	gates map[string]*fair.Gate // gates that this VM keeps
	pacer *pacer
}

func newLimits(p *pacer) *limits {
	return &limits{table: pace.NewTable(), told: map[string]time.Time{}, gates: map[string]*fair.Gate{}, pacer: p}
}

// handlePaceRequest decides on a request to an upstream whose gate this VM keeps.
func (c *control) handlePaceRequest(now time.Time, from netip.AddrPort, r *paceRequest) {
	upstream := r.Limit.Upstream
	c.observeLimit(now, upstream, r.Limit.observation(now), "vm")
	reply := &paceReply{ID: r.ID}
	if o := c.limits.table.Get(upstream); o.Named {
		gate, ok := c.limits.gates[upstream]
		if !ok {
			gate = fair.NewGate(now, o.Rate)
			c.limits.gates[upstream] = gate
		}
		reply.Wait = gate.Take(now, r.Organisation)
	} else if from.IsValid() {
		c.limits.pacer.send(from, packet{LimitNotice: &limitNotice{Limit: newUpstreamLimit(now, upstream, o)}})
	}
	if !from.IsValid() {
		c.limits.pacer.handleReply(reply)
		return
	}
	c.limits.pacer.send(from, packet{PaceReply: reply})
}

// limitNotice tells a VM what an answer of an upstream said of its limit.
type limitNotice struct {
	Limit upstreamLimit `msgpack:"l"`
}

// observeLimit records what an answer of an upstream said of its limit, and reports whether
// that has changed.
func (c *control) observeLimit(now time.Time, upstream string, o pace.Observation, source string) bool {
	if !c.limits.table.Observe(upstream, o) {
		return false
	}
	if o.Named {
		c.logger.Info("upstream: names a limit", zap.String("upstream", upstream), zap.Float64("rate", o.Rate), zap.Duration("age", now.Sub(o.At)), zap.String("source", source))
	} else {
		c.logger.Info("upstream: names no limit any more", zap.String("upstream", upstream), zap.Duration("age", now.Sub(o.At)), zap.String("source", source))
	}
	if h, ok := c.held[upstream]; ok {
		h.scheduler.SetLimit(now, o.Limit)
	}
	if gate, ok := c.limits.gates[upstream]; ok && o.Named {
		gate.SetRate(now, o.Rate)
	} else if ok {
		delete(c.limits.gates, upstream)
	}
	c.publishLimits()
	return true
}

// handleLimit handles what an answer to this VM said of an upstream's limit. It tells the
// other VMs of a change, and now and then that the limit still holds.
func (c *control) handleLimit(now time.Time, upstream string, o pace.Observation) {
	if !c.observeLimit(now, upstream, o, "answer") && now.Sub(c.limits.told[upstream]) < tellInterval {
		return
	}
	c.limits.told[upstream] = now
	notice := packet{LimitNotice: &limitNotice{Limit: newUpstreamLimit(now, upstream, c.limits.table.Get(upstream))}}
	_, others := c.liveVMs()
	for _, vm := range others {
		c.limits.pacer.send(vm.Peer, notice)
	}
}

func (c *control) handleLimitNotice(now time.Time, l upstreamLimit) {
	c.observeLimit(now, l.Upstream, l.observation(now), "vm")
	c.limits.told[l.Upstream] = now
}

// forgetLimit drops the limit of an upstream that has restarted or is gone.
func (c *control) forgetLimit(upstream string) {
	c.limits.table.Forget(upstream)
	delete(c.limits.told, upstream)
	delete(c.limits.gates, upstream)
	c.limits.pacer.forget(upstream)
	c.publishLimits()
}

// publishLimits makes the limits visible to the request path.
func (c *control) publishLimits() {
	named := c.limits.table.Named()
	c.limits.pacer.limits.Store(&named)
}
