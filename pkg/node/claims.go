package node

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/claim"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/record"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// GranterName is the name under which VMs claim the role of granter, as they claim an
// engine under the engine's name. The granter is the VM that grants the permits to
// load adapters from the weight store.
const GranterName = "store"

// claimRetry is the time after which a claim or release that was not read back
// from the log is appended again.
const claimRetry = time.Second

// docEntry is an engine's entry in a service document.
type docEntry struct {
	service string
	engine  spec.Engine
}

// EngineName returns the fleet-wide name of a service's engine.
func EngineName(service, engine string) string { return service + "/" + engine }

// indexEngines rebuilds the index of the engines in the documents in force.
func (n *Node) indexEngines() {
	clear(n.known)
	for service, revision := range n.documents.Revisions() {
		for _, engine := range revision.Document.Engines {
			n.known[EngineName(service, engine.Name)] = docEntry{service: service, engine: engine}
		}
	}
}

// claim claims the engines that this VM should own, and releases those that it owns
// but should not. It does the same for the role of granter.
func (n *Node) claim(now time.Time) []Action {
	if !n.caughtUp[claim.Stream] || !n.readable(claim.Stream) {
		return nil
	}
	var actions []Action
	candidates := n.eligibleVMs(now)
	claimable := append(slices.Sorted(maps.Keys(n.known)), GranterName)
	for _, name := range claimable {
		actions = append(actions, n.claimOne(now, name, candidates)...)
	}
	for _, name := range slices.Sorted(maps.Keys(n.engines)) {
		actions = append(actions, n.release(now, name, candidates)...)
	}
	return append(actions, n.releaseGranter(now, candidates)...)
}

// releaseGranter gives up the role of granter when this VM is leaving, or when
// another VM has been the preferred owner of the role for Timing.HandoverDelay. The
// granter first stops granting, and the release is appended once all permits have
// ended.
func (n *Node) releaseGranter(now time.Time, candidates []string) []Action {
	if n.granter == nil || !n.misplaced(now, GranterName, candidates) || !n.granter.Close(now) {
		return nil
	}
	released := claim.Claim{
		Engine:           GranterName,
		VM:               n.config.Self.Name,
		Boot:             n.config.Self.Boot,
		PrevFencingToken: n.granterFencingToken,
		Released:         true,
	}
	n.granter = nil
	return appendClaim(released)
}

// misplaced reports whether this VM should give up its claim to a name because
// another VM is the preferred owner: at once if this VM is leaving, otherwise after
// Timing.HandoverDelay.
func (n *Node) misplaced(now time.Time, name string, candidates []string) bool {
	if n.preferredOwner(name, candidates) == n.config.Self.Name {
		delete(n.misplacedSince, name)
		return false
	}
	if n.misplacedSince[name].IsZero() {
		n.misplacedSince[name] = now
	}
	return n.members.Leaving() || now.Sub(n.misplacedSince[name]) >= n.config.Timing.HandoverDelay
}

// preferredOwner returns the VM that should own a name (of an engine, a key stream
// or the role of granter): the first candidate in rendezvous order. It caches the
// result while the candidates stay the same.
func (n *Node) preferredOwner(name string, candidates []string) string {
	if !slices.Equal(candidates, n.preferredFor) {
		n.preferredFor = slices.Clone(candidates)
		clear(n.preferredOwners)
	}
	first, ok := n.preferredOwners[name]
	if !ok {
		first = rank.First(name, candidates)
		n.preferredOwners[name] = first
	}
	return first
}

func (n *Node) claimOne(now time.Time, name string, candidates []string) []Action {
	if n.preferredOwner(name, candidates) != n.config.Self.Name || now.Sub(n.pendingClaims[name]) < claimRetry {
		return nil
	}
	current, ok := n.claims.Lookup(name)
	if ok && !current.Released && n.ownerActive(current, candidates) {
		return nil
	}
	n.pendingClaims[name] = now
	return appendClaim(claim.Claim{Engine: name, VM: n.config.Self.Name, Boot: n.config.Self.Boot, PrevFencingToken: current.FencingToken})
}

// ownerActive reports whether the incarnation that made a claim may still act on it.
// This VM's own incarnation may. That of another VM may if it is not known to have
// ended and the VM is a candidate, or is leaving and still answers.
func (n *Node) ownerActive(o claim.Ownership, candidates []string) bool {
	if n.members.Ended(o.Boot) {
		return false
	}
	if o.VM == n.config.Self.Name {
		return o.Boot == n.config.Self.Boot
	}
	return slices.Contains(candidates, o.VM) || n.members.LeavingNow(o.VM)
}

// release gives up an engine when this VM is leaving, when no document names the
// engine any more, or when another VM has been its preferred owner for
// Timing.HandoverDelay. It refuses the waiting requests first, and appends the
// release once no order to load or unload is in progress.
func (n *Node) release(now time.Time, name string, candidates []string) []Action {
	o := n.engines[name]
	if now.Sub(o.releasedAt) < claimRetry {
		return nil
	}
	if _, listed := n.known[name]; listed && !n.misplaced(now, name, candidates) {
		return nil
	}
	o.closing = true
	actions := n.refuseWaiting(now, o, Handover)
	if o.sched.HasPendingOrders() {
		return actions
	}
	o.releasedAt = now
	released := claim.Claim{
		Engine:           name,
		VM:               n.config.Self.Name,
		Boot:             n.config.Self.Boot,
		PrevFencingToken: o.ownership.FencingToken,
		Released:         true,
		Remaining:        n.maxRemaining(now, name),
		InDoubt:          o.inDoubt,
	}
	return append(actions, appendClaim(released)...)
}

// maxRemaining returns the time until the latest deadline of the requests that this
// VM started on an engine and that still run, or 0 if there are none.
func (n *Node) maxRemaining(now time.Time, name string) time.Duration {
	var maxRemaining time.Duration
	for _, c := range n.calls {
		if c.engine == name && c.running {
			maxRemaining = max(maxRemaining, c.deadline.Sub(now))
		}
	}
	return maxRemaining
}

func appendClaim(c claim.Claim) []Action {
	data, err := record.Encode(claim.Kind, c)
	if err != nil {
		return nil // unreachable: a Claim always encodes
	}
	return []Action{Append{Stream: claim.Stream, Data: data}}
}

func (n *Node) readClaims(now time.Time, records []record.Record) []Action {
	var actions []Action
	for _, r := range records {
		if kind, err := record.Kind(r.Data); err == nil && kind == claim.YieldKind {
			var y claim.Yield
			if err := record.Decode(r.Data, claim.YieldKind, &y); err != nil {
				actions = append(actions, recordsIgnored(claim.Stream, err)...)
				continue
			}
			n.applyYield(now, y)
			continue
		}
		c, accepted, err := n.claims.Apply(now, r)
		if err != nil {
			actions = append(actions, recordsIgnored(claim.Stream, err)...)
			continue
		}
		if accepted {
			n.viewStale = true
			actions = append(actions, n.claimed(now, c)...)
		}
	}
	return actions
}

// applyYield records that the previous owner of an engine gives it no more orders and
// starts no more requests on it.
func (n *Node) applyYield(now time.Time, y claim.Yield) {
	if !n.claims.ApplyYield(now, y) {
		return
	}
	if o, ok := n.engines[y.Engine]; ok {
		o.ownership, _ = n.claims.Lookup(y.Engine)
	}
}

// yield appends yield records for the engines that this VM no longer owns (retired).
// A yield tells the new owner that this VM gives no more orders and starts no more
// requests there. The first is appended as soon as no load or unload order is in
// progress, unless the engine was given up by a release. The last is appended when
// the last request that this VM started on the engine has ended.
func (n *Node) yield(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(n.retired)) {
		o := n.retired[name]
		running := n.runningOn(name)
		if o.inDoubt {
			delete(n.retired, name) // an order of this VM may still take effect, so this VM must not yield the engine
			continue
		}
		if o.sched.HasPendingOrders() || (running && !o.releasedAt.IsZero()) {
			continue
		}
		o.releasedAt = now
		if !running {
			delete(n.retired, name)
		}
		y := claim.Yield{Engine: name, Boot: n.config.Self.Boot, Remaining: n.maxRemaining(now, name)}
		if data, err := record.Encode(claim.YieldKind, y); err == nil {
			actions = append(actions, Append{Stream: claim.Stream, Data: data})
		}
	}
	return actions
}

// runningOn reports whether a request that this VM started runs on an engine.
func (n *Node) runningOn(name string) bool {
	for _, c := range n.calls {
		if c.engine == name && c.running {
			return true
		}
	}
	return false
}

// Yields returns a claim.Yield for each engine that this VM gave up because it had no
// valid lease for longer than Timing.Lease (see checkLease). It leaves out engines
// with an order in progress or in doubt. These yields are sent to the peers in
// heartbeats and not appended to the log.
func (n *Node) Yields(now time.Time) []claim.Yield {
	var yields []claim.Yield
	for _, name := range slices.Sorted(maps.Keys(n.engines)) {
		o := n.engines[name]
		if o.yielded && !o.sched.HasPendingOrders() && !o.inDoubt {
			yields = append(yields, claim.Yield{Engine: name, Boot: n.config.Self.Boot, Remaining: n.maxRemaining(now, name)})
		}
	}
	return yields
}

// claimed handles a claim that took effect: this VM acquires the engine, or retires
// it if another VM claimed it or the claim is this VM's own release.
func (n *Node) claimed(now time.Time, c claim.Claim) []Action {
	ownership, _ := n.claims.Lookup(c.Engine)
	delete(n.pendingClaims, c.Engine)
	mine := !ownership.Released && ownership.VM == n.config.Self.Name && ownership.Boot == n.config.Self.Boot
	if c.Engine == GranterName {
		n.claimedGranter(ownership, mine)
		return nil
	}
	o, owned := n.engines[c.Engine]
	switch {
	case mine && owned:
		o.ownership = ownership
		return nil
	case mine:
		n.acquire(ownership)
		return nil
	case owned:
		return n.retire(now, o)
	default:
		return nil
	}
}

func (n *Node) claimedGranter(ownership claim.Ownership, mine bool) {
	switch {
	case !mine:
		n.granter = nil
	case n.granterFencingToken != ownership.FencingToken || n.granter == nil:
		notBefore := ownership.ReadAt
		if !ownership.Clean {
			notBefore = n.lease.Ready(ownership).Add(n.config.Timing.PermitTTL)
		}
		n.granterFencingToken = ownership.FencingToken
		n.granter = permit.New(permit.Config{
			Rate:       n.config.Store.LoadRate,
			MaxActive:  n.config.Store.MaxLoads,
			PermitTTL:  n.config.Timing.PermitTTL,
			RequestTTL: permitRequestTTL,
		}, notBefore)
	}
}
