package node

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/claim"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// shortRetry is the retry delay suggested to callers when this VM cannot use an
// engine. This is mostly so while the owner of the engine changes.
const shortRetry = 200 * time.Millisecond

// ownedEngine is an engine that this VM owns or has lost recently.
type ownedEngine struct {
	name        string
	doc         docEntry
	ownership   claim.Ownership
	sched       *slots.Scheduler
	readyAt     time.Time               // earliest time at which this VM may give orders and start requests
	closing     bool                    // this VM is giving the engine up: it accepts no requests for it and gives it no orders
	releasedAt  time.Time               // when a release, or a yield record, was last appended; zero if none was
	inDoubt     bool                    // an unload order failed and may still take effect
	leaseLostAt time.Time               // since when requests are refused with NoLease; zero if they are not
	yielded     bool                    // this VM gave the engine up for lack of a valid lease, which it announces to peers in heartbeats (see Yields)
	polledAt    time.Time               // when the last status report was requested
	boot        string                  // incarnation of the engine
	crashedBoot string                  // incarnation of the engine whose crash was handled last
	hasReport   bool                    // a status report arrived since this VM became the owner
	inherited   int                     // requests of previous owners that still run
	down        bool                    // the engine does not answer
	unloaded    map[slots.Instance]bool // instances of previous owners that this VM has unloaded
}

func (n *Node) acquire(ownership claim.Ownership) {
	doc := n.known[ownership.Engine]
	t := n.config.Timing
	n.engines[ownership.Engine] = &ownedEngine{
		name:      ownership.Engine,
		doc:       doc,
		ownership: ownership,
		readyAt:   n.lease.Ready(ownership),
		unloaded:  map[slots.Instance]bool{},
		sched: slots.New(slots.Config{
			Slots:             doc.engine.Slots,
			BatchSize:         doc.engine.BatchSize,
			MaxQueue:          t.MaxQueue,
			Weights:           n.config.Weights,
			LoadTime:          n.config.Store.LoadTime,
			StarvationTimeout: t.StarvationTimeout,
			LoadBackoff:       t.LoadBackoff,
			Demand:            t.Demand,
			FencingToken:      ownership.FencingToken,
		}),
	}
}

// retire gives up an engine that this VM no longer owns. It refuses the waiting
// requests; running ones continue.
func (n *Node) retire(now time.Time, o *ownedEngine) []Action {
	actions := n.refuseWaiting(now, o, Handover)
	delete(n.engines, o.name)
	delete(n.misplacedSince, o.name)
	n.releasePermit(o.name)
	n.retired[o.name] = o
	return actions
}

// refuseWaiting refuses the requests that wait for an engine, so that their
// senders can retry elsewhere.
func (n *Node) refuseWaiting(now time.Time, o *ownedEngine, reason Reason) []Action {
	flushed, decided := o.sched.Flush()
	actions := n.translate(now, o, decided)
	for _, r := range flushed {
		delete(n.calls, r.ID)
		actions = append(actions, Refuse{ID: r.ID, Reason: reason, RetryAfter: shortRetry})
	}
	return actions
}

// tickEngines polls the owned engines and advances their schedulers.
func (n *Node) tickEngines(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(n.engines)) {
		o := n.engines[name]
		if doc, ok := n.known[name]; ok {
			o.doc = doc
		}
		if now.Sub(o.polledAt) >= n.config.Timing.Poll {
			o.polledAt = now
			actions = append(actions, Poll{Engine: name, Address: o.doc.engine.Address})
		}
		actions = append(actions, n.checkLease(now, o)...)
		actions = append(actions, n.advance(now, o)...)
	}
	return actions
}

// checkLease refuses the requests that wait for an engine while this VM may not act
// for lack of a valid lease (mayAct). If this lasts longer than Timing.Lease, this VM
// gives the engine up.
func (n *Node) checkLease(now time.Time, o *ownedEngine) []Action {
	if n.refusalReason(now, o) != NoLease {
		o.leaseLostAt = time.Time{}
		return nil
	}
	if o.leaseLostAt.IsZero() {
		o.leaseLostAt = now
	}
	if now.Sub(o.leaseLostAt) > n.config.Timing.Lease {
		o.closing, o.yielded = true, true
		n.viewStale = true
	}
	return n.refuseWaiting(now, o, NoLease)
}

// advance runs an engine's scheduler if this VM may use the engine now.
func (n *Node) advance(now time.Time, o *ownedEngine) []Action {
	if n.refusalReason(now, o) != "" {
		return nil
	}
	return n.translate(now, o, o.sched.Next(now))
}

// refusalReason returns why this VM cannot use an engine now, or "" if it can.
func (n *Node) refusalReason(now time.Time, o *ownedEngine) Reason {
	switch {
	case o.closing:
		return Handover
	case now.Before(o.readyAt):
		return OwnerNotReady
	case !n.mayAct(now):
		return NoLease
	case o.down || !o.hasReport:
		return EngineDown
	default:
		return ""
	}
}

func (n *Node) callArrived(now time.Time, e CallArrived) []Action {
	o, ok := n.engines[e.Engine]
	if !ok {
		return []Action{Refuse{ID: e.Request.ID, Reason: NotOwner, RetryAfter: shortRetry}}
	}
	if reason := n.refusalReason(now, o); reason != "" {
		return []Action{Refuse{ID: e.Request.ID, Reason: reason, RetryAfter: shortRetry}}
	}
	if remaining := n.crashes.BlockedUntil(e.Fingerprint).Sub(now); remaining > 0 {
		return []Action{Refuse{ID: e.Request.ID, Reason: Blocked, RetryAfter: remaining}}
	}
	r := e.Request
	r.Suspect = r.Suspect || len(n.crashes.Runs(e.Fingerprint)) > 0
	n.calls[r.ID] = call{engine: e.Engine, fingerprint: e.Fingerprint, suspect: r.Suspect, deadline: r.Deadline}
	actions := n.translate(now, o, o.sched.Enqueue(now, r))
	return append(actions, n.advance(now, o)...)
}

func (n *Node) callWithdrawn(now time.Time, e CallWithdrawn) []Action {
	c, ok := n.calls[e.ID]
	if !ok || c.running {
		return nil
	}
	delete(n.calls, e.ID)
	o, owned := n.engines[c.engine]
	if !owned {
		return nil
	}
	o.sched.Cancel(e.ID)
	return n.advance(now, o)
}

func (n *Node) callEnded(now time.Time, e CallEnded) []Action {
	c, ok := n.calls[e.ID]
	if !ok {
		return nil
	}
	var actions []Action
	o, owned := n.engines[c.engine]
	switch e.Result {
	case Finished:
		actions = append(actions, n.clearCrashes(c.fingerprint)...)
	case Crashed:
		if owned && c.boot == o.boot {
			actions = append(actions, n.crash(now, o)...)
		}
	case Missing:
		if owned {
			o.sched.MarkLost(c.instance)
		}
	case Canceled, Failed:
	}
	delete(n.calls, e.ID)
	if owned {
		o.sched.Finish(now, e.ID)
		actions = append(actions, n.advance(now, o)...)
	}
	return actions
}

// engineUnreachable marks an engine as not answering and refuses its waiting
// requests, so that their senders can retry elsewhere.
func (n *Node) engineUnreachable(now time.Time, e EngineUnreachable) []Action {
	o, ok := n.engines[e.Engine]
	if !ok || o.down {
		return nil
	}
	o.down = true
	return n.refuseWaiting(now, o, EngineDown)
}

// engineReported handles an engine's status report. A change of the engine's
// incarnation means that the engine crashed.
func (n *Node) engineReported(now time.Time, e EngineReported) []Action {
	o, ok := n.engines[e.Engine]
	if !ok {
		return nil
	}
	var actions []Action
	if o.boot != "" && o.boot != e.Boot {
		actions = append(actions, n.crash(now, o)...)
		o.sched.Reset()
		clear(o.unloaded)
	}
	first := !o.hasReport
	o.boot, o.down, o.hasReport = e.Boot, false, true
	inherited := 0
	for _, r := range e.Instances {
		inherited += max(r.Running-o.sched.RunningOn(instanceOf(r).Adapter), 0)
		n.adopt(now, o, r)
	}
	o.setInherited(now, inherited, first)
	return append(actions, n.advance(now, o)...)
}

// setInherited tells the scheduler how many requests of previous owners still run.
// The first report sets the count. Later reports only lower it, as previous owners
// start nothing more; a higher count comes from a delayed report. If the claim
// is clean (Ownership.Clean), the count is 0 from Ownership.DrainedAt on.
func (o *ownedEngine) setInherited(now time.Time, inherited int, first bool) {
	if !first {
		inherited = min(inherited, o.inherited)
	}
	if o.ownership.Clean && !now.Before(o.ownership.DrainedAt) {
		inherited = 0
	}
	o.inherited = inherited
	o.sched.SetOccupied(inherited)
}

// adopt takes over an instance that a previous owner loaded. The instance may run
// requests if the previous owner can give no more orders, or if the engine rejects
// orders with an old fencing token. It may be unloaded once the previous owner can
// give no more orders and no request of a previous owner can run on the instance. An
// instance without a fencing token is neither used nor unloaded.
func (n *Node) adopt(now time.Time, o *ownedEngine, r ReportedInstance) {
	found := instanceOf(r)
	if found.FencingToken == o.ownership.FencingToken || o.unloaded[found] {
		return
	}
	clean := o.ownership.Clean || n.members.Ended(o.ownership.PrevBoot)
	usable := found.FencingToken != 0 && (clean || o.doc.engine.SupportsFencing)
	inUse := r.Running > o.sched.RunningOn(found.Adapter)
	foreign := found.FencingToken == 0 || !clean || now.Before(o.ownership.DrainedAt) || inUse
	o.sched.Adopt(now, found, usable, foreign)
}

// instanceOf returns the instance that a report names. If the name does not parse,
// the instance was not loaded by this fleet and gets no fencing token.
func instanceOf(r ReportedInstance) slots.Instance {
	found, err := slots.ParseInstance(r.Name)
	if err != nil {
		return slots.Instance{Adapter: spec.Adapter{Name: r.Name}}
	}
	return found
}

func (n *Node) loadEnded(now time.Time, e LoadEnded) []Action {
	n.releasePermit(e.Engine)
	if o, ok := n.retired[e.Engine]; ok {
		o.sched.FinishLoad(now, e.Instance, e.OK)
	}
	o, ok := n.engines[e.Engine]
	if !ok {
		return nil
	}
	o.sched.FinishLoad(now, e.Instance, e.OK)
	return n.advance(now, o)
}

func (n *Node) unloadEnded(now time.Time, e UnloadEnded) []Action {
	if o, ok := n.retired[e.Engine]; ok {
		o.sched.FinishUnload(e.Instance, e.OK)
		o.inDoubt = o.inDoubt || !e.OK
	}
	o, ok := n.engines[e.Engine]
	if !ok {
		return nil
	}
	if !e.OK {
		o.inDoubt = true
	}
	if e.OK && e.Instance.FencingToken != o.ownership.FencingToken {
		o.unloaded[e.Instance] = true
	}
	o.sched.FinishUnload(e.Instance, e.OK)
	return n.advance(now, o)
}

// translate converts the actions of an engine's scheduler into actions of the node.
// For a permit request or release it returns no action: it updates the node's permit
// requests, and tickPermits sends them.
func (n *Node) translate(now time.Time, o *ownedEngine, decided []slots.Action) []Action {
	var actions []Action
	address := o.doc.engine.Address
	for _, d := range decided {
		switch d := d.(type) {
		case slots.Start:
			actions = append(actions, n.start(now, o, d))
		case slots.Refuse:
			delete(n.calls, d.Request.ID)
			actions = append(actions, Refuse{ID: d.Request.ID, Reason: Reason(d.Reason), RetryAfter: d.RetryAfter})
		case slots.Load:
			actions = append(actions, Load{Engine: o.name, Address: address, Instance: d.Instance, FencingToken: o.ownership.FencingToken})
		case slots.Unload:
			actions = append(actions, Unload{Engine: o.name, Address: address, Instance: d.Instance, FencingToken: o.ownership.FencingToken})
			actions = append(actions, n.notifyEvicted(now, o, d.Instance)...)
		case slots.RequestPermit:
			n.requestPermit(o.name, d.Weight)
		case slots.ReleasePermit:
			n.releasePermit(o.name)
		}
	}
	return actions
}

func (n *Node) start(now time.Time, o *ownedEngine, s slots.Start) Action {
	c := n.calls[s.Request.ID]
	c.running, c.instance, c.boot, c.startedAt = true, s.Instance, o.boot, now
	n.calls[s.Request.ID] = c
	return Start{
		ID:        s.Request.ID,
		Engine:    o.name,
		Address:   o.doc.engine.Address,
		Instance:  s.Instance,
		LoadWait:  s.LoadWait,
		Boot:      o.boot,
		BatchFill: float64(o.sched.Running()) / float64(o.doc.engine.BatchSize),
	}
}
