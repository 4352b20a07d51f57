package edge

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

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
	turn     turn             // among the VMs that wait for new records of the operator and fleet topics
	forwards bool
	follows  bool // another VM forwards the operator and fleet topics to it
	large    bool // all topics are forwarded; see largeFleetSize
}

// turn is the place of a VM among those that wait for new records of a topic. They read by turns,
// since a read that waits may miss a record without an error.
type turn struct {
	rank  int           // number of VMs before this one
	of    int           // number of VMs; 0 if it is not known yet
	began time.Duration // when the first turn began, as time since the boot of the machine; all VMs agree on it
}

// turnSlack is the part of an interval by which a read may miss its turn.
const turnSlack = 4

// wait returns how long a read that begins at a time since the boot of the machine waits for records,
// if one of the VMs is to read in each interval: until the next turn of this VM. The turn after it
// does if that is about to begin.
func (t turn) wait(now, interval time.Duration) time.Duration {
	cycle := time.Duration(max(t.of, 1)) * interval
	since := (now - t.began - time.Duration(t.rank)*interval) % cycle // since the last turn of this VM
	if since < 0 {
		since += cycle
	}
	left := cycle - since
	if left < interval/turnSlack {
		left += cycle
	}
	return left
}

// maxTurnAge bounds the age of the first turn that a peer may tell.
const maxTurnAge = 10 * 365 * 24 * time.Hour

// noteTurns notes how long ago a peer's first turn began. All VMs count from the earliest first turn that
// they hear of, also one that has just started.
func (c *control) noteTurns(now, age time.Duration) {
	if age > 0 && age < maxTurnAge {
		c.turnsBegan = min(c.turnsBegan, now-age)
	}
}

// currentRole returns the role of this VM. The live VMs are sorted by name and
// divided into groups; the first VM of each group forwards records to the others. A VM counts as
// live until it is known to be dead: all VMs may have just started, and each one that is left out
// for a moment would move all groups after it.
func (c *control) currentRole() role {
	names, live := []string{c.self.Name}, map[string]gossip.VM{}
	for _, m := range c.gossip.Members() {
		if m.Status != gossip.Dead {
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
	r.turn = turn{rank: self, of: len(names), began: c.turnsBegan}
	if r.large {
		r.turn.rank, r.turn.of = r.rank, min((len(names)+size-1)/size, storeReaders)
	}
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
	if r.forwards != c.role.forwards || r.follows != c.role.follows {
		c.logger.Info("store: role has changed", zap.Bool("forwards", r.forwards), zap.Bool("follows", r.follows), zap.Int("rank", r.rank), zap.Int("members", len(r.members)))
	}
	begins := r.forwards && r.large && (!c.role.forwards || !c.role.large)
	c.role = r
	for t, f := range c.feeds {
		upstreams := t == platform.UpstreamsTopic
		f.forwards.Store(r.forwards && (upstreams || r.large && !r.follows))
		follows := r.follows && !upstreams
		if f.follows.Swap(follows) && !follows {
			f.refresh() // what peers forward would postpone its next read
		}
		f.followsRole.Store(r.follows)
		f.setTurn(r.turn)
		if upstreams {
			f.setReadShare(r.readShare())
		} else {
			f.slowRetry.Store(r.follows)
		}
		if begins && t != platform.OperatorTopic {
			f.refresh() // sooner than the members of the group would read by themselves
		}
	}
}

// forward sets the current role in the feeds and, if this VM forwards, sends the
// records of a read to the other members of its group, and to the other forwarders. A VM that
// receives nothing reads the store itself.
func (c *control) forward(now time.Time, e recordsRead, records []platform.Record, grace time.Duration) {
	r := c.currentRole()
	c.setRole(r)
	b := batch{from: e.from, next: e.batch.Next, records: records, at: now, recovered: e.recovered, grace: grace}
	defer c.recent[e.topic].add(e.batch.Era, b)
	if !r.forwards || (e.topic != platform.UpstreamsTopic && !r.large) {
		return
	}
	to := slices.Concat(r.members, r.peers)
	for _, l := range c.datagrams(now, e.topic, e.batch.Era, b, r.large) {
		l.Age = sinceBoot() - e.began
		c.sendAll(to, l)
	}
	if e.topic == platform.UpstreamsTopic && r.large {
		c.sendPositions(now, to)
	}
}

// forwardListing forwards what a listing of the operator topic has brought from an offset on, as a read
// that brought the same would be: its records are no longer in the log.
func (c *control) forwardListing(now time.Time, e topicListing, from int64) {
	if e.topic != platform.OperatorTopic || e.batch.Next <= from || !c.role.large || c.role.follows {
		return
	}
	e.batch.Records = slices.DeleteFunc(slices.Clone(e.batch.Records), func(r platform.Record) bool { return r.Offset < from })
	slices.SortFunc(e.batch.Records, func(a, b platform.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	c.forward(now, recordsRead{topic: e.topic, from: from, batch: e.batch, recovered: e.recovered, began: e.began}, e.batch.Records, 0)
}

// positionInterval is the longest time for which the first forwarders of a large fleet say nothing of
// the operator and fleet topics: the others read them themselves after followInterval.
const positionInterval = 1200 * time.Millisecond

// reviewPositions sends the positions if this VM neither has sent nor passed on any lately.
func (c *control) reviewPositions(now time.Time) {
	if c.role.forwards && c.role.large && !c.role.follows && now.Sub(c.positionsAt) >= positionInterval {
		c.sendPositions(now, slices.Concat(c.role.members, c.role.peers))
	}
}

// sendPositions sends how far this VM has read the operator and fleet topics, which makes the others
// postpone their own reads.
func (c *control) sendPositions(now time.Time, to []netip.AddrPort) {
	c.positionsAt = now
	for t, next := range map[platform.Topic]int64{platform.OperatorTopic: c.operatorOffset, platform.FleetTopic: c.fleetEnd} {
		f := c.feeds[t]
		if f.down.Load() || f.follows.Load() {
			continue
		}
		for _, l := range c.datagrams(now, t, c.storeEra.topics[t], batch{from: next, next: next}, true) {
			c.sendAll(to, l)
		}
	}
}

// maxDatagrams is the number of datagrams in which records are forwarded to each VM of a large
// fleet. More would fill the link of this VM; the others fetch them, compressed.
const maxDatagrams = 4

// datagrams returns what is forwarded after a read: the records, after those that were forwarded
// last, or the position alone if that is too much.
func (c *control) datagrams(now time.Time, topic platform.Topic, era int64, b batch, large bool) []forwardedRecords {
	if !large {
		return b.split(topic, era)
	}
	if last, ok := c.recent[topic].before(now, era, b.from); ok {
		if list := last.join(now, b).split(topic, era); len(list) <= maxDatagrams {
			return list
		}
	}
	if list := b.split(topic, era); len(list) <= maxDatagrams {
		return list
	}
	return batch{from: b.next, next: b.next}.split(topic, era)
}

// batch is what a VM has read of a topic at once.
type batch struct {
	from, next int64
	records    []platform.Record // without those that change nothing
	at         time.Time
	recovered  bool          // earlier reads had failed
	grace      time.Duration // see forwardedRecords.Grace
}

// aged returns the batch as it is later: the upstreams have had some of the time to register again.
func (b batch) aged(now time.Time) batch {
	b.grace, b.at = max(b.grace-now.Sub(b.at), 0), now
	return b
}

// join returns the batch with one that was read right after it.
func (b batch) join(now time.Time, next batch) batch {
	b, next = b.aged(now), next.aged(now)
	return batch{
		from: b.from, next: next.next, records: slices.Concat(b.records, next.records), at: now,
		recovered: b.recovered || next.recovered, grace: max(b.grace, next.grace),
	}
}

// recent is what a VM has read of a topic lately, without a gap, for VMs that have read a little less.
type recent struct {
	era     int64
	batches []batch
}

const (
	// resendTime is how long what was forwarded is sent again with what follows.
	resendTime = 3 * time.Second
	// recentTime and maxRecent bound what is kept for VMs that ask for it.
	recentTime = 10 * time.Second
	maxRecent  = 64
)

// newRecent returns the recent records of the topics that VMs forward, but for the operator topic:
// its records may be large, and the newest one of each key suffices.
func newRecent() map[platform.Topic]*recent {
	return map[platform.Topic]*recent{platform.UpstreamsTopic: {}, platform.FleetTopic: {}}
}

// add adds what was read now. A nil recent keeps nothing.
func (l *recent) add(era int64, b batch) {
	if l == nil {
		return
	}
	last := len(l.batches) - 1
	if era != l.era || last >= 0 && l.batches[last].next != b.from {
		l.era, l.batches = era, nil
	}
	if b.next > b.from {
		l.batches = append(l.batches, b)
	}
	old := max(len(l.batches)-maxRecent, 0)
	for old < len(l.batches) && b.at.Sub(l.batches[old].at) > recentTime {
		old++
	}
	l.batches = slices.Clone(l.batches[old:])
}

// before returns the last batch, which ends at an offset in an era, unless it is too old to be sent
// again. It returns false if there is none.
func (l *recent) before(now time.Time, era, next int64) (batch, bool) {
	if l == nil {
		return batch{}, false
	}
	last := len(l.batches) - 1
	if last < 0 || l.era != era || l.batches[last].next != next || now.Sub(l.batches[last].at) > resendTime {
		return batch{}, false
	}
	return l.batches[last], true
}

// since returns what was read from an offset on, and where it ends. It returns false if some of
// that is not kept.
func (l *recent) since(now time.Time, era, from int64) (batch, bool) {
	if len(l.batches) == 0 || era != l.era || from < l.batches[0].from {
		return batch{}, false
	}
	all := batch{from: from, next: from, at: now}
	for _, b := range l.batches {
		if b.next > from {
			all = all.join(now, b)
		}
	}
	all.records = slices.DeleteFunc(all.records, func(r platform.Record) bool { return r.Offset < from })
	return all, from <= l.batches[len(l.batches)-1].next
}

// relay sends records that another forwarder has read to the other members of this VM's group.
func (c *control) relay(now time.Time, l forwardedRecords, received time.Duration) {
	if !l.Relayed && c.role.forwards && c.role.large {
		if l.Topic == platform.FleetTopic {
			c.positionsAt = now
		}
		l.Relayed, l.Age = true, l.Age+sinceBoot()-received
		c.sendAll(c.role.members, l)
	}
}

// relayFetched sends records that this VM has fetched from another forwarder to the other members of
// its group.
func (c *control) relayFetched(now time.Time, l forwardedRecords) {
	if !c.role.forwards || !c.role.large || l.Topic == platform.OperatorTopic {
		return
	}
	for _, d := range c.datagrams(now, l.Topic, l.Era, l.batch(now, l.From, l.Records), true) {
		d.Relayed, d.Age = true, l.Age
		c.sendAll(c.role.members, d)
	}
}

func (c *control) sendAll(members []netip.AddrPort, l forwardedRecords) {
	for _, to := range members {
		c.transport.send(to, packet{Records: &l})
	}
}

// batch returns the records as this VM has got them from an offset on.
func (l *forwardedRecords) batch(now time.Time, from int64, records []platform.Record) batch {
	return batch{from: from, next: l.Next, records: records, at: now, recovered: l.Recovered, grace: l.Grace}
}

// split divides what was read into datagrams. A record that is too large for a
// datagram is dropped together with all records before it. The members then detect
// a gap and read the store themselves.
func (b batch) split(topic platform.Topic, era int64) []forwardedRecords {
	empty := forwardedRecords{Topic: topic, Era: era, From: b.from, Next: b.next, Recovered: b.recovered, Grace: b.grace}
	list := []forwardedRecords{empty}
	size := 0
	for _, r := range b.records {
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
	received, known := sinceBoot(), f.offset()
	if !f.skipTo(now.Add(-l.Age), l.Era, l.From, l.Next) {
		if f.hasGap(l.From) && (c.role.large || f.follows.Load()) {
			c.catchUp(ctx, peerEnd{topic: l.Topic, peer: from, end: l.Next, age: l.Age})
		}
		return
	}
	c.relay(now, *l, received)
	news := slices.DeleteFunc(slices.Clone(l.Records), func(r platform.Record) bool { return r.Offset < known })
	c.recent[l.Topic].add(l.Era, l.batch(now, known, news))
	c.applyRecords(now, l.Topic, news, readOrigin{recovered: l.Recovered, grace: l.Grace})
	c.advanceOffset(now, l.Topic, l.Next, 0)
	if l.Topic == platform.UpstreamsTopic {
		c.fresh.note(sinceBoot() - l.Age)
	}
	if len(news) > 0 {
		c.reconcileSoon(now)
	}
}
