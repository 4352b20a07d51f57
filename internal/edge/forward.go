package edge

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/platform"
)

const (
	// groupSize and largeGroupSize are the numbers of VMs in a group, the second one in a fleet of
	// largeFleetSize or more. One VM of each group forwards the records that it reads from the
	// store to the others.
	groupSize      = 8
	largeGroupSize = 24
	// largeFleetSize is the number of VMs from which on, if Bounds.Fenced is set,
	// the operator and fleet topics are forwarded too, not only the upstreams
	// topic. Such a fleet has several forwarders: a VM whose own forwarder missed
	// records learns from the probes of other VMs that it is behind.
	largeFleetSize = 4 * groupSize
	// followInterval is the time without forwarded records after which a follower
	// reads the operator and fleet topics itself. It is the longest time in which the
	// platform's operators expect a change to take effect.
	followInterval = 2 * time.Second
	// roleInterval is the time between two looks at this VM's role.
	roleInterval = 500 * time.Millisecond
	// storeReaders is the number of forwarders that read the operator and fleet topics in a large
	// fleet: a read that waits may be cut off unnoticed for seconds.
	storeReaders = 3
	// maxForwardBytes bounds the total size of the keys and values in one
	// datagram. The other 300 bytes of packetBytes are left for the encoding.
	maxForwardBytes = packetBytes - 300
)

// role tells whether a VM forwards records to the other VMs of its group, or
// receives records from one of them.
type role struct {
	members  []netip.AddrPort // addresses to which it forwards what it reads and what other forwarders send
	peers    []netip.AddrPort // addresses of the other forwarders, to which it forwards what it reads; in a large fleet only
	rank     int              // number of forwarders before this one
	forwards bool
	follows  bool // another VM forwards the operator and fleet topics to it
	large    bool // all topics are forwarded; see largeFleetSize
}

// currentRole returns the role of this VM. The live VMs are sorted by name and
// divided into groups; the first VM of each group forwards records to the others. A VM that is
// listed in the store counts as live until probes fail: all VMs may have just started.
func (c *control) currentRole() role {
	names, live := []string{c.self.Name}, map[string]gossip.VM{}
	for _, m := range c.gossip.Members() {
		if m.Status == gossip.Listed || m.Status.Reachable() {
			names = append(names, m.VM.Name)
			live[m.VM.Name] = m.VM
		}
	}
	slices.Sort(names)
	self := slices.Index(names, c.self.Name)
	size := groupSize
	if len(names) >= largeFleetSize {
		size = largeGroupSize
	}
	r := role{forwards: self%size == 0 && !c.leaving, rank: self / size, large: len(names) >= largeFleetSize && c.settings.Bounds.Fenced}
	r.follows = r.large && (!r.forwards || r.rank >= storeReaders)
	if !r.forwards {
		return r
	}
	for i, name := range names {
		switch {
		case i == self:
		case i/size == r.rank:
			r.members = append(r.members, live[name].Peer)
		case i%size == 0 && r.large:
			r.peers = append(r.peers, live[name].Peer)
		}
	}
	return r
}

// readShare returns the share of the interval after which a VM reads the upstreams again. The
// forwarders read one after the other, and those that hear from one postpone their own read.
func (r role) readShare() float64 {
	switch {
	case !r.forwards:
		return 1
	case r.large:
		return forwarderShare + min(float64(r.rank), storeReaders)*forwarderStep
	default:
		return forwarderShare
	}
}

// reviewRole sets the current role in the feeds, also while nothing is read that could show it.
func (c *control) reviewRole(now time.Time) {
	if now.Sub(c.roleAt) >= roleInterval {
		c.roleAt = now
		c.setRole(c.currentRole())
	}
}

// setRole sets the role of this VM in the feeds.
func (c *control) setRole(r role) {
	c.role = r
	for t, f := range c.feeds {
		upstreams := t == platform.UpstreamsTopic
		f.forwards.Store(r.forwards && (upstreams || r.large && !r.follows))
		f.follows.Store(r.follows && !upstreams)
		f.followsRole.Store(r.follows)
		if upstreams {
			f.setReadShare(r.readShare())
		} else {
			f.slowRetry.Store(r.follows)
		}
	}
}

// forward sets the current role in the feeds and, if this VM forwards, sends the
// records of a read to the other members of its group, and to the other forwarders. A VM that
// receives nothing reads the store itself.
func (c *control) forward(e recordsRead, records []platform.Record, grace time.Duration) {
	r := c.currentRole()
	c.setRole(r)
	if !r.forwards || (e.topic != platform.UpstreamsTopic && !r.large) {
		return
	}
	to := slices.Concat(r.members, r.peers)
	for _, l := range splitRecords(e, records) {
		l.Grace, l.Age = grace, sinceBoot()-e.began
		c.sendAll(to, l)
	}
	if e.topic != platform.UpstreamsTopic || !r.large {
		return
	}
	// Even an empty batch is useful: it makes the others postpone their own reads.
	for t, next := range map[platform.Topic]int64{platform.OperatorTopic: c.operatorOffset, platform.FleetTopic: c.fleetEnd} {
		if f := c.feeds[t]; !f.down.Load() && !f.follows.Load() {
			c.sendAll(to, forwardedRecords{Topic: t, Era: c.storeEra.topics[t], From: next, Next: next})
		}
	}
}

// relay sends records that another forwarder has read to the other members of this VM's group.
func (c *control) relay(l forwardedRecords, received time.Duration) {
	if !l.Relayed && c.role.forwards && c.role.large {
		l.Relayed, l.Age = true, l.Age+sinceBoot()-received
		c.sendAll(c.role.members, l)
	}
}

func (c *control) sendAll(members []netip.AddrPort, l forwardedRecords) {
	for _, to := range members {
		c.transport.send(to, packet{Records: &l})
	}
}

// splitRecords divides records into datagrams. A record that is too large for a
// datagram is dropped together with all records before it. The members then detect
// a gap and read the store themselves.
func splitRecords(e recordsRead, records []platform.Record) []forwardedRecords {
	empty := forwardedRecords{Topic: e.topic, Era: e.batch.Era, From: e.from, Next: e.batch.Next, Recovered: e.recovered}
	list := []forwardedRecords{empty}
	size := 0
	for _, r := range records {
		bytes := len(r.Key) + len(r.Value)
		last := &list[len(list)-1]
		switch {
		case bytes > maxForwardBytes:
			empty.From = r.Offset + 1
			list, size = []forwardedRecords{empty}, 0
			continue
		case size+bytes > maxForwardBytes:
			last.Next, empty.From = r.Offset, r.Offset
			list = append(list, empty)
			last, size = &list[len(list)-1], 0
		}
		last.Records = append(last.Records, r)
		size += bytes
	}
	return list
}

// liveVMs returns the names of all live VMs including this one, and a map of the
// other live VMs by name.
func (c *control) liveVMs() ([]string, map[string]gossip.VM) {
	names, others := []string{c.self.Name}, map[string]gossip.VM{}
	for _, m := range c.gossip.Members() {
		if m.Status.Reachable() {
			names = append(names, m.VM.Name)
			others[m.VM.Name] = m.VM
		}
	}
	return names, others
}

// applyForwarded applies records that a peer forwarded. If they leave a gap, a follower
// fetches them from the peer, or reads the store at once.
func (c *control) applyForwarded(ctx context.Context, now time.Time, from netip.AddrPort, l *forwardedRecords) {
	f, ok := c.feeds[l.Topic]
	if !ok {
		return
	}
	if !c.acceptEra(now, l.Topic, l.Era, "peer") {
		return
	}
	received := sinceBoot()
	if !f.skipTo(now.Add(-l.Age), l.Era, l.From, l.Next) {
		switch {
		case !f.follows.Load() || !f.hasGap(l.From):
		case l.Topic == platform.OperatorTopic:
			c.catchUp(ctx, from)
		default:
			f.refresh()
		}
		return
	}
	c.relay(*l, received)
	c.applyRecords(now, l.Topic, l.Records, readOrigin{recovered: l.Recovered, grace: l.Grace})
	c.advanceOffset(now, l.Topic, l.Next, 0)
	if l.Topic == platform.UpstreamsTopic {
		c.fresh.note(sinceBoot() - l.Age)
	}
	if len(l.Records) > 0 {
		c.reconcileSoon(now)
	}
}
