package node

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/claim"
	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// fetchInterval is the minimum time between two requests for a peer's
// documents.
const fetchInterval = time.Second

func (n *Node) applyHeartbeat(now time.Time, e PeerHeartbeat) []Action {
	before := n.members.State(now, e.VM.Name)
	n.members.ApplyHeartbeat(now, e.VM, e.Leaving)
	if n.members.State(now, e.VM.Name) != before {
		n.viewStale = true
	}
	n.versions[e.VM.Name] = e.Versions
	n.logPeers[e.VM.Name] = peerLog{up: e.LogUp, zone: e.VM.Zone, at: now}
	for _, y := range e.Yields {
		if y.Boot == e.VM.Boot {
			n.applyYield(now, y)
		}
	}
	for service, version := range e.Versions {
		if version > n.documents.Version(service) && (!n.readable(docs.StreamName) || n.caughtUp[docs.StreamName]) {
			return n.fetchDocumentsFrom(now, e.VM)
		}
	}
	return nil
}

// probe sends a heartbeat request to each of probeTargets whose last probe and last
// heartbeat are both at least Timing.Probe ago. While this VM is leaving, only the
// last probe counts.
func (n *Node) probe(now time.Time) []Action {
	var actions []Action
	for _, vm := range n.probeTargets(now) {
		last := n.lastProbe[vm.Name]
		if heard := n.members.LastHeartbeat(vm.Name); heard.After(last) && !n.members.Leaving() {
			last = heard // the peer has sent a heartbeat since the last probe
		}
		if now.Sub(last) < n.config.Timing.Probe {
			continue
		}
		n.lastProbe[vm.Name] = now
		actions = append(actions, Probe{VM: vm})
	}
	return actions
}

// probeTargets returns the peers that this VM probes. With at most Timing.ProbePeers
// peers, it returns all of them. Otherwise it returns the first ProbePeers in
// rendezvous order and, once per Timing.Probe, one of the others (longestUnheard). A
// VM that is leaving probes all peers, to announce that it leaves.
func (n *Node) probeTargets(now time.Time) []member.VM {
	known := n.members.Peers()
	if len(known) <= n.config.Timing.ProbePeers || n.members.Leaving() {
		return known
	}
	names := make([]string, len(known))
	byName := make(map[string]member.VM, len(known))
	for i, vm := range known {
		names[i] = vm.Name
		byName[vm.Name] = vm
	}
	var peers []member.VM
	for _, name := range rank.Top(n.config.Self.Name, names, n.config.Timing.ProbePeers) {
		peers = append(peers, byName[name])
		delete(byName, name)
	}
	if now.Sub(n.lastExtraProbe) < n.config.Timing.Probe {
		return peers
	}
	n.lastExtraProbe = now
	return append(peers, n.longestUnheard(byName))
}

// longestUnheard returns the VM that has neither sent a heartbeat nor been probed
// for the longest time. Without such probes, a listed VM that is among the first in
// no other VM's rendezvous order would never be probed and never count as live.
func (n *Node) longestUnheard(vms map[string]member.VM) member.VM {
	var oldest member.VM
	var at time.Time
	for name, vm := range vms {
		last := n.members.LastHeartbeat(name)
		if lastProbe := n.lastProbe[name]; lastProbe.After(last) {
			last = lastProbe
		}
		if oldest.Name == "" || last.Before(at) || (last.Equal(at) && name < oldest.Name) {
			oldest, at = vm, last
		}
	}
	return oldest
}

// fetchDocuments asks a peer for documents while the document stream cannot be
// read or was not yet read up to its tail.
func (n *Node) fetchDocuments(now time.Time) []Action {
	if n.caughtUp[docs.StreamName] && n.readable(docs.StreamName) {
		return nil
	}
	live := n.members.Live(now)
	for _, vm := range live {
		if vm.Name != n.config.Self.Name && !n.members.LastHeartbeat(vm.Name).IsZero() {
			return n.fetchDocumentsFrom(now, vm)
		}
	}
	return nil
}

func (n *Node) fetchDocumentsFrom(now time.Time, vm member.VM) []Action {
	if now.Sub(n.lastFetch) < fetchInterval {
		return nil
	}
	n.lastFetch = now
	return []Action{FetchDocuments{VM: vm}}
}

// logDown reports whether this VM takes the log to be down for the whole fleet, rather
// than only unreachable from here. While this VM has a valid lease, the log is not
// down. Otherwise it is down if a peer's heartbeat, received within Timing.Lease, says
// that the peer cannot read the log either. If there are peers in other availability
// zones, the heartbeat must come from one of those zones. A VM that knows no peer
// assumes that the log is down.
func (n *Node) logDown(now time.Time) bool {
	if n.lease.Valid(now) {
		return false
	}
	others, otherZone := 0, false
	for _, vm := range n.members.Peers() {
		others++
		otherZone = otherZone || vm.Zone != n.config.Self.Zone
	}
	if others == 0 {
		return true
	}
	for _, p := range n.logPeers {
		fresh := now.Sub(p.at) < n.config.Timing.Lease
		if fresh && !p.up && (p.zone != n.config.Self.Zone || !otherZone) {
			return true
		}
	}
	return false
}

// isolated reports whether the peer's last heartbeat arrived less than maxAge ago and
// says that the peer cannot read the log.
func (p peerLog) isolated(now time.Time, maxAge time.Duration) bool {
	return !p.up && !p.at.IsZero() && now.Sub(p.at) < maxAge
}

// watchLog updates logUpSince, the time since which the claim stream is readable.
func (n *Node) watchLog(now time.Time) {
	switch {
	case !n.readable(claim.Stream):
		n.logUpSince = time.Time{}
	case n.logUpSince.IsZero():
		n.logUpSince = now
	}
}

// eligibleVMs returns the names of the VMs that may own engines, keep keys or be
// directories: the live VMs that are not isolated from the log. This VM counts as
// isolated if the claim stream is not readable and it may not act (mayAct). A peer
// counts as isolated if its heartbeat says so (peerLog.isolated), but only once the
// claim stream has been readable here for longer than Timing.Lease plus Timing.Drift.
func (n *Node) eligibleVMs(now time.Time) []string {
	up := !n.logUpSince.IsZero()
	settled := up && now.Sub(n.logUpSince) > n.config.Timing.Lease+n.config.Timing.Drift
	isolated := !up && !n.mayAct(now)
	var eligibleVMs []string
	for _, vm := range n.members.Live(now) {
		peer := n.logPeers[vm.Name]
		switch {
		case vm.Name == n.config.Self.Name && isolated:
		case vm.Name != n.config.Self.Name && settled && peer.isolated(now, n.config.Timing.Lease):
		default:
			eligibleVMs = append(eligibleVMs, vm.Name)
		}
	}
	return eligibleVMs
}

// mayAct reports whether this VM may give orders and start requests on its engines,
// and grant permits: it has a valid lease, or the log is down for the whole fleet.
func (n *Node) mayAct(now time.Time) bool {
	return n.lease.Valid(now) || n.logDown(now)
}
