package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/fence"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
	"github.com/tanagerlb/tanagerlb/pkg/route"
	"github.com/tanagerlb/tanagerlb/platform"
)

// event is what the control thread takes in.
type event interface{ event() }

// received is a packet. A packet of this VM itself has no sender.
type received struct {
	from   netip.AddrPort
	packet packet
}

// ordered is the end of an order to an engine.
type ordered struct {
	engine string
	token  int64
	action engine.Action
	result engine.Result
	fenced bool // the engine has seen a higher token
	moved  bool // another upstream has the address
}

// looked is the end of a look at an engine's report.
type looked struct {
	engine string
	token  int64
	report platform.Report
	err    error
}

// claimed is the end of an attempt to claim engines.
type claimed struct{ err error }

// leave tells that the VM takes no new callers.
type leave struct{}

func (listed) event()   {}
func (read) event()     {}
func (received) event() {}
func (ordered) event()  {}
func (looked) event()   {}
func (claimed) event()  {}
func (leave) event()    {}

// Keys of the fleet topic.
const (
	keyVM    = "vm/"
	keyClaim = "own/"
)

// Times of the control thread.
const (
	// probePause is the time between two probes; see gossip.Config.
	probePause = 100 * time.Millisecond
	// busyPause is the time between two looks at engines with waiting work.
	busyPause = 10 * time.Millisecond
	// settleTime is how long a VM listens before it claims engines.
	settleTime = 1200 * time.Millisecond
	// spread separates the first claims of VMs that start together.
	spread = 80 * time.Millisecond
	// claimPause is the time between two looks for engines to claim.
	claimPause = 250 * time.Millisecond
	// claimSpread divides the next attempts of VMs whose claims conflicted.
	claimSpread = 600 * time.Millisecond
	// tailAge is the age up to which what was read of the fleet topic is
	// likely still all of it.
	tailAge = 100 * time.Millisecond
	// aloneTime is how long a VM that hears no other must do so before it
	// claims engines: it may be cut off.
	aloneTime = 15 * time.Second
	// lapseGrace is the time that upstreams need to register again after an
	// outage of the store, with a margin on the platform's two seconds.
	lapseGrace = 2500 * time.Millisecond
	// leaseMargin is kept beyond the lease for the clocks and ways of two VMs.
	leaseMargin = 300 * time.Millisecond
	// buryTime is how long a dead VM is remembered.
	buryTime = 20 * time.Second
)

// directory is who may be named to callers.
type directory struct {
	self  gossip.VM
	vms   []gossip.VM // alive, by name
	ready bool        // this VM serves callers
}

// control owns the beliefs of the VM. Its loop is the only one to touch them;
// traffic reads what it publishes.
type control struct {
	settings  platform.Settings
	self      gossip.VM
	store     *platform.Store
	engines   *platform.Engines
	wire      *wire
	desk      *desk
	metrics   *metric.Set
	logger    *zap.Logger
	events    chan event
	view      atomic.Pointer[relay.View]
	directory atomic.Pointer[directory]
	drop      func(netip.AddrPort) // closes connections to an upstream that left

	table     *route.Table
	roster    *roster.Table
	fence     *fence.Table
	gossip    *gossip.Table
	versions  map[engine.Name]engine.Version
	held      map[string]*holder
	newest    map[platform.Topic]map[string]platform.Record // to be lent to peers
	tail      int64                                         // offset at which the fleet topic ends; -1 before it was read
	tailAt    time.Time                                     // when the fleet topic was read last
	refresh   func()                                        // asks for a read of the fleet topic
	reread    func()                                        // starts the read of the operators' records anew
	operators int64                                         // offset up to which the operators' records were read
	behind    time.Time                                     // since when peers have read more of them; zero if they have not
	applied   int64                                         // offset up to which the upstreams' records were taken
	lends     func(bool)                                    // tells whether this VM reads upstreams' entries for others
	borrow    func(now time.Time, from, next int64) bool    // tells whether lent records continue what was read
	claiming  bool
	claimAt   time.Time // before which no claim is written, after a conflict
	leaving   bool
	started   time.Time
	alone     time.Time // since when no other VM was heard
	tried     time.Time // when engines to claim were last looked for
}

// holder is an engine that this VM schedules.
type holder struct {
	upstream roster.Upstream
	engine   *engine.Engine
	token    int64
	asked    map[string]netip.AddrPort // who waits for an answer, by ask
}

func (c *control) loop(ctx context.Context) {
	c.started, c.alone = time.Now(), time.Now()
	probes := time.NewTicker(probePause)
	defer probes.Stop()
	wake := time.NewTimer(probePause)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.take(ctx, time.Now(), e)
		case <-probes.C:
			c.tick(ctx, time.Now())
		case <-wake.C:
			c.advance(ctx, time.Now())
			pause := probePause
			if c.busy() {
				pause = busyPause
			}
			wake.Reset(pause)
			continue
		}
		if c.busy() {
			wake.Reset(busyPause)
		}
	}
}

func (c *control) post(e event) { c.events <- e }

func (c *control) busy() bool {
	for _, h := range c.held {
		if h.engine.Queued() > 0 {
			return true
		}
	}
	return false
}

func (c *control) take(ctx context.Context, now time.Time, e event) {
	switch e := e.(type) {
	case listed:
		c.list(now, e)
	case read:
		changed := c.records(now, e.topic, e.batch.Records, e.after, false)
		switch e.topic {
		case platform.Upstreams:
			c.lend(e.from, e.batch.Next, changed)
		case platform.Operator:
			c.operators = e.batch.Next
		case platform.Fleet:
			c.tail, c.tailAt = e.batch.Next, now
		}
	case received:
		c.packet(ctx, now, e)
		return
	case ordered:
		c.ordered(ctx, now, e)
		return
	case looked:
		c.looked(ctx, now, e)
		return
	case claimed:
		c.claiming = false
		if e.err != nil {
			c.logger.Info("claim: not written", zap.Error(e.err))
			c.claimAt = now.Add(rand.N(claimSpread)) //nolint:gosec // a share of the VMs
		}
		c.refresh()
		return
	case lendState:
		c.lendState(e.reply)
		return
	case borrowed:
		c.takeState(now, e.state)
	case leave:
		c.leave(ctx, now)
	}
	c.settle(now)
	if r, ok := e.(read); ok && r.topic == platform.Fleet {
		c.claim(ctx, now)
	}
	c.advance(ctx, now)
}

// list takes all records of a topic.
func (c *control) list(now time.Time, e listed) {
	delete(c.newest, e.topic)
	if e.topic == platform.Upstreams {
		there := make(map[string]bool, len(e.batch.Records))
		for _, r := range e.batch.Records {
			there[r.Key] = r.Value != nil
		}
		for _, id := range c.roster.IDs() {
			if !there[id] {
				c.lapse(now, id, e.after)
			}
		}
	}
	c.records(now, e.topic, e.batch.Records, e.after, true)
	switch e.topic {
	case platform.Upstreams:
		c.applied = e.batch.Next
	case platform.Operator:
		c.operators = e.batch.Next
	case platform.Fleet:
		c.tail, c.tailAt = e.batch.Next, now
	}
}

// records takes records of a topic. They may be old if reads had failed before,
// or if old tells that they are from a listing.
// It returns the records that changed a belief about upstreams.
func (c *control) records(now time.Time, topic platform.Topic, records []platform.Record, after, old bool) []platform.Record {
	var changed []platform.Record
	named := now
	if after || old {
		named = now.Add(-c.settings.Bounds.Versions)
	}
	for _, r := range records {
		c.remember(topic, r)
		switch topic {
		case platform.Operator:
			c.operator(named, r)
		case platform.Upstreams:
			if !old && r.Offset < c.applied {
				continue // a peer lent it before
			}
			c.applied = max(c.applied, r.Offset+1)
			if c.upstream(now, r, after) {
				changed = append(changed, r)
			}
		case platform.Fleet:
			c.fleet(now, r)
		}
	}
	return changed
}

// operator takes a record of an operator that was written at named or before.
func (c *control) operator(named time.Time, r platform.Record) {
	change, err := platform.DecodeChange(r)
	if err != nil {
		c.metrics.Ignored("operator")
		c.logger.Warn("config: record is ignored", zap.Int64("offset", r.Offset), zap.Error(err))
		return
	}
	switch change := change.(type) {
	case platform.NewConfig:
		next := route.New(change.Config)
		if route.Newer(c.table, next) == next {
			c.table = next
			c.logger.Info("config: in force", zap.Int64("version", next.Version), zap.Int64("offset", r.Offset),
				zap.Int("routes", len(change.Config.Routes)))
		}
	case platform.NewVersion:
		n := engine.Name{Model: change.Model, Adapter: change.Adapter}
		if change.Version <= c.versions[n].Number {
			return
		}
		version := engine.Version{Number: change.Version, Named: named}
		c.versions[n] = version
		c.logger.Info("config: adapter version", zap.String("adapter", n.Model+"/"+n.Adapter), zap.Int64("version", change.Version))
		for _, h := range c.held {
			h.engine.Newest(n, version)
		}
	}
}

// upstream takes an upstream's entry. It tells whether it changed who serves.
func (c *control) upstream(now time.Time, r platform.Record, after bool) bool {
	if r.Value == nil {
		c.lapse(now, r.Key, after)
		return true
	}
	u, err := platform.DecodeUpstream(r)
	if err != nil {
		c.metrics.Ignored("upstreams")
		c.logger.Info("upstream: entry is ignored", zap.Int64("offset", r.Offset), zap.Error(err))
		c.lapse(now, r.Key, false)
		return true
	}
	change := c.roster.Apply(u)
	if change == roster.Same || change == roster.Outdated {
		return false
	}

	c.logger.Info("upstream: "+change.String(), zap.String("upstream", u.ID), zap.String("service", u.Service),
		zap.Stringer("address", u.Address), zap.Int64("offset", r.Offset), zap.Int64("born", u.Born))
	if change == roster.Reborn {
		delete(c.held, u.ID)
	}
	return true
}

// group is the number of VMs of which one reads the upstreams' entries for all.
const group = 8

// loanRecords bounds the records of one datagram.
const loanRecords = 3

// lend passes on what changed about upstreams, if this VM is the first one of
// its group that lives. The others read themselves if nothing comes.
func (c *control) lend(from, next int64, changed []platform.Record) {
	names, peers := []string{c.self.Name}, map[string]netip.AddrPort{}
	for _, n := range c.gossip.Known() {
		if n.Status <= gossip.Leaving {
			names = append(names, n.VM.Name)
			peers[n.VM.Name] = n.VM.Peer
		}
	}
	slices.Sort(names)
	self := slices.Index(names, c.self.Name)
	lends := self%group == 0 && !c.leaving
	c.lends(lends)
	if !lends {
		return
	}
	members := names[self+1 : min(self+group, len(names))]
	for {
		count := min(len(changed), loanRecords)
		l := loan{From: from, Next: next, Records: changed[:count]}
		if changed = changed[count:]; len(changed) > 0 {
			l.Next = changed[0].Offset
		}
		for _, name := range members {
			c.wire.send(peers[name], packet{Loan: &l})
		}
		if from = l.Next; len(changed) == 0 {
			return
		}
	}
}

// loan takes what a peer lent.
func (c *control) loan(now time.Time, l *loan) {
	if c.borrow != nil && c.borrow(now, l.From, l.Next) {
		c.records(now, platform.Upstreams, l.Records, false, false)
		c.applied = max(c.applied, l.Next)
		if len(l.Records) > 0 {
			c.settle(now)
		}
	}
}

// lapse takes that an upstream's entry is missing.
func (c *control) lapse(now time.Time, id string, after bool) {
	grace := time.Duration(0)
	if after {
		grace = lapseGrace
	}
	if c.roster.Remove(now, id, grace) {
		c.logger.Info("upstream: entry is missing", zap.String("upstream", id), zap.Duration("grace", grace))
	}
}

func (c *control) fleet(now time.Time, r platform.Record) {
	if name, ok := strings.CutPrefix(r.Key, keyVM); ok {
		if name == c.self.Name || r.Value == nil {
			return
		}
		var vm gossip.VM
		if err := json.Unmarshal(r.Value, &vm); err != nil {
			c.logger.Warn("fleet: record is ignored", zap.String("key", r.Key), zap.Error(err))
			return
		}
		c.gossip.Learn(now, gossip.News{VM: vm})
		return
	}
	var claim fence.Claim
	if err := json.Unmarshal(r.Value, &claim); err != nil || claim.Engine == "" {
		c.logger.Warn("fleet: record is ignored", zap.String("key", r.Key), zap.Error(err))
		return
	}
	// Offsets start at 0, fencing tokens at 1.
	if c.fence.Apply(now, r.Offset+1, claim) {
		c.logger.Info("claim: in force", zap.String("upstream", claim.Engine), zap.String("vm", claim.VM),
			zap.Int64("token", r.Offset+1), zap.Bool("free", claim.Free))
	}
}

// settle makes what the VM holds and publishes follow from its beliefs.
func (c *control) settle(now time.Time) {
	for _, id := range c.roster.Forget(now) {
		c.logger.Info("upstream: gone", zap.String("upstream", id))
	}
	for id, h := range c.held {
		claim, ok := c.fence.Of(id)
		u, known := c.roster.Get(id)
		if !ok || !known || !c.mine(claim) || claim.Token != h.token {
			c.release(id, h, ok && known)
			continue
		}
		h.upstream = u
	}
	for _, u := range c.engineUpstreams() {
		claim, ok := c.fence.Of(u.ID)
		if _, held := c.held[u.ID]; !ok || held || !c.mine(claim) {
			continue
		}
		c.hold(now, u, claim)
	}
	c.publish()
}

func (c *control) mine(h fence.Holding) bool {
	return h.VM == c.self.Name && h.Boot == c.self.Boot && !h.Free
}

func (c *control) release(id string, h *holder, moved bool) {
	for ask, to := range h.asked {
		c.desk.reply(to, newAnswer(ask, engine.Refused{Reason: engine.Closed}))
	}
	delete(c.held, id)
	if !moved && c.drop != nil {
		c.drop(h.upstream.Address)
	}
	c.logger.Info("claim: engine is released", zap.String("upstream", id), zap.Int64("token", h.token))
}

// Figures of engines that the platform does not tell.
const (
	modelLoad   = time.Second            // a base model
	coldLoad    = 270 * time.Millisecond // an adapter from the weight store
	warmLoad    = 30 * time.Millisecond  // an adapter that the engine held recently
	recentLoads = 100                    // adapters that an engine keeps for fast loads
	transit     = 2                      // loads at once; more slow each other down at the weight store
	reportLag   = 300 * time.Millisecond // age of a report
)

func (c *control) hold(now time.Time, u roster.Upstream, claim fence.Holding) {
	e := c.table.Service(u.Service).Engine
	opens := claim.Opens(c.settings.Bounds.Lease + leaseMargin)
	config := engine.Config{
		Batch: e.Batch, Memory: e.Memory, Places: places(e), Transit: transit,
		Models: models(u.ID, e), Model: modelLoad, Cold: coldLoad, Warm: warmLoad, Recent: recentLoads, Versions: c.settings.Bounds.Versions, Lag: reportLag,
	}
	h := &holder{upstream: u, engine: engine.New(config, opens), token: claim.Token, asked: map[string]netip.AddrPort{}}
	for n, version := range c.versions {
		h.engine.Newest(n, version)
	}
	c.held[u.ID] = h
	c.logger.Info("claim: engine is held", zap.String("upstream", u.ID), zap.Int64("token", claim.Token),
		zap.String("before", claim.Before), zap.Duration("orders", max(opens.Sub(now), 0)))
}

// models returns the base models of an engine, each first on some engines.
func models(id string, e *route.Engine) []string {
	names := make([]string, len(e.Models))
	for i, m := range e.Models {
		names[i] = m.Name
	}
	return rank.Order(id, names)
}

// places returns the adapters that fit an engine beside its largest model.
func places(e *route.Engine) int {
	places := e.Places
	for _, m := range e.Models {
		if m.AdapterSize > 0 {
			places = min(places, int((e.Room-m.Size)/m.AdapterSize))
		}
	}
	return max(places, 0)
}

// engineUpstreams returns the known upstreams that are model engines.
func (c *control) engineUpstreams() []roster.Upstream {
	if c.table == nil {
		return nil
	}
	var list []roster.Upstream
	for _, id := range c.roster.IDs() {
		u, _ := c.roster.Get(id)
		if s := c.table.Service(u.Service); s != nil && s.Engine != nil {
			list = append(list, u)
		}
	}
	return list
}

func (c *control) publish() {
	c.view.Store(&relay.View{Table: c.table, Serving: c.roster.Serving()})
	known := &holders{vms: map[string]gossip.VM{}, versions: make(map[engine.Name]int64, len(c.versions))}
	for n, version := range c.versions {
		known.versions[n] = version.Number
	}
	live := map[string]gossip.VM{c.self.Name: c.self}
	d := &directory{self: c.self, ready: c.table != nil && !c.leaving}
	if d.ready {
		d.vms = append(d.vms, c.self)
	}
	for _, n := range c.gossip.Known() {
		if n.Status <= gossip.Leaving {
			live[n.VM.Name] = n.VM
		}
		if n.Status == gossip.Alive {
			d.vms = append(d.vms, n.VM)
		}
	}
	for _, u := range c.engineUpstreams() {
		claim, ok := c.fence.Of(u.ID)
		if vm, lives := live[claim.VM]; ok && lives && vm.Boot == claim.Boot {
			known.vms[u.ID] = vm
		}
	}
	c.desk.holders.Store(known)
	c.directory.Store(d)
}

// tick probes another VM and looks for engines to claim.
func (c *control) tick(ctx context.Context, now time.Time) {
	probes, changed := c.gossip.Tick(now)
	for _, vm := range probes {
		c.wire.send(vm.Peer, packet{Probe: &probe{From: c.gossip.Self(), News: c.gossip.Share(), Next: c.operators}})
	}
	for _, n := range changed {
		c.logger.Info("peer: "+n.Status.String(), zap.String("vm", n.VM.Name), zap.Int64("boot", n.VM.Boot))
	}
	c.gossip.Forget(now, buryTime)
	if len(changed) > 0 || now.Sub(c.tried) >= claimPause {
		c.tried = now
		c.settle(now)
		c.claim(ctx, now)
	}
}

// claim claims engines whose holder is gone.
func (c *control) claim(ctx context.Context, now time.Time) {
	if c.claiming || c.leaving || now.Before(c.claimAt) || c.tail < 0 || c.table == nil {
		return
	}
	live := []fence.VM{{Name: c.self.Name, Boot: c.self.Boot}}
	before := 0 // VMs before this one in the order of names
	for _, n := range c.gossip.Known() {
		if n.Status == gossip.Alive {
			live = append(live, fence.VM{Name: n.VM.Name, Boot: n.VM.Boot})
			if n.VM.Name < c.self.Name {
				before++
			}
		}
	}
	switch {
	case now.Sub(c.started) < settleTime+time.Duration(before)*spread:
		c.reclaim(ctx)
		return
	case len(live) > 1:
		c.alone = now
	case now.Sub(c.alone) < aloneTime && len(c.gossip.Known()) > 0:
		return
	}
	upstreams := c.engineUpstreams()
	ids := make([]string, len(upstreams))
	for i, u := range upstreams {
		ids[i] = u.ID
	}
	due := c.fence.Due(live[0], live, ids)
	if len(due) == 0 {
		return
	}
	first, taken := c.divide(due)
	switch {
	case len(first) > 0:
		c.write(ctx, first, anywhere, false)
	case now.Sub(c.tailAt) > tailAge:
		c.refresh() // others may have claimed meanwhile
	default:
		c.write(ctx, taken, c.tail, false)
	}
}

// anywhere tells that records are appended wherever the topic ends.
const anywhere = -1

// divide tells engines that no other VM may be ordering from those that are
// taken over. Claims of the first need no condition: if two VMs claim one, the
// later record counts, and its VM waits for the other's lease.
func (c *control) divide(due []string) (first, taken []string) {
	for _, id := range due {
		h, ok := c.fence.Of(id)
		if !ok || h.Free || h.VM == c.self.Name {
			first = append(first, id)
		} else {
			taken = append(taken, id)
		}
	}
	return first, taken
}

// reclaim claims the engines that an earlier run of this VM's process held.
// Nobody else may have claimed them meanwhile, so there is nothing to wait for.
func (c *control) reclaim(ctx context.Context) {
	var own []string
	for _, u := range c.engineUpstreams() {
		if h, ok := c.fence.Of(u.ID); ok && h.VM == c.self.Name && h.Boot != c.self.Boot && !h.Free {
			own = append(own, u.ID)
		}
	}
	if len(own) > 0 {
		c.write(ctx, own, anywhere, false)
	}
}

// write appends claims of this VM, on the condition that the topic ends at an
// offset.
func (c *control) write(ctx context.Context, engines []string, at int64, free bool) {
	j := &claimJob{store: c.store, post: c.post, at: at}
	for _, id := range engines {
		value, err := json.Marshal(fence.Claim{Engine: id, VM: c.self.Name, Boot: c.self.Boot, Free: free})
		if err != nil {
			c.logger.Error("claim: cannot encode", zap.Error(err))
			continue
		}
		j.records = append(j.records, platform.Record{Key: keyClaim + id, Value: value})
	}
	c.claiming = true
	c.logger.Info("claim: claiming", zap.Strings("upstreams", engines), zap.Int64("at", at), zap.Bool("free", free))
	go j.run(ctx)
}

type claimJob struct {
	store   *platform.Store
	post    func(event)
	at      int64
	records []platform.Record
}

func (j *claimJob) run(ctx context.Context) {
	j.post(claimed{err: j.store.Append(ctx, platform.Fleet, j.at, j.records...)})
}

// leave tells the fleet that this VM goes.
func (c *control) leave(ctx context.Context, now time.Time) {
	c.leaving = true
	c.gossip.Leave()
	for _, n := range c.gossip.Known() {
		if n.Status <= gossip.Leaving {
			c.wire.send(n.VM.Peer, packet{Probe: &probe{From: c.gossip.Self()}})
		}
	}
	var engines []string
	for id := range c.held {
		engines = append(engines, id)
	}
	slices.Sort(engines)
	if len(engines) > 0 {
		c.write(ctx, engines, c.tail, true)
	}
	c.logger.Info("vm: leaving", zap.Int("engines", len(engines)), zap.Duration("after", now.Sub(c.started)))
}
