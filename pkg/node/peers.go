package node

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// borrowEvery is the time between two requests for a peer's documents.
const borrowEvery = time.Second

func (n *Node) heard(now time.Time, e Heard) []Action {
	before := n.members.State(now, e.VM.Name)
	n.members.Hear(now, e.VM, e.Leaving)
	if n.members.State(now, e.VM.Name) != before {
		n.dirty = true
	}
	n.versions[e.VM.Name] = e.Versions
	n.logPeers[e.VM.Name] = peerLog{up: e.Log, zone: e.VM.Zone, at: now}
	for service, version := range e.Versions {
		if version > n.documents.Version(service) && (!n.readable(docs.Stream) || n.caught[docs.Stream]) {
			return n.borrowFrom(now, e.VM)
		}
	}
	return nil
}

// probe asks the peers of this VM for signs of life.
func (n *Node) probe(now time.Time) []Action {
	var actions []Action
	for _, vm := range n.probees() {
		if now.Sub(n.probed[vm.Name]) < n.config.Timing.Probe {
			continue
		}
		n.probed[vm.Name] = now
		actions = append(actions, Probe{VM: vm})
	}
	return actions
}

// probees returns the peers that this VM watches: all of a small fleet, of a
// large one those that rendezvous order gives it.
func (n *Node) probees() []member.VM {
	known := n.members.Known()
	if len(known) <= n.config.Timing.Probes {
		return known
	}
	names := make([]string, len(known))
	byName := make(map[string]member.VM, len(known))
	for i, vm := range known {
		names[i] = vm.Name
		byName[vm.Name] = vm
	}
	var peers []member.VM
	for _, name := range rank.Top(n.config.Self.Name, names, n.config.Timing.Probes) {
		peers = append(peers, byName[name])
	}
	return peers
}

// borrow asks a peer for the documents if the log could not be read so far.
func (n *Node) borrow(now time.Time) []Action {
	if n.caught[docs.Stream] && n.readable(docs.Stream) {
		return nil
	}
	live := n.members.Live(now)
	for _, vm := range live {
		if vm.Name != n.config.Self.Name && !n.members.Heard(vm.Name).IsZero() {
			return n.borrowFrom(now, vm)
		}
	}
	return nil
}

func (n *Node) borrowFrom(now time.Time, vm member.VM) []Action {
	if now.Sub(n.borrowed) < borrowEvery {
		return nil
	}
	n.borrowed = now
	return []Action{Borrow{VM: vm}}
}

// logDown tells an outage of the log from a cut of this VM: in an outage a
// peer, in another availability zone if there is one, sees the same.
func (n *Node) logDown(now time.Time) bool {
	if n.lease.Valid(now) {
		return false
	}
	others, elsewhere := 0, false
	for _, vm := range n.members.Known() {
		others++
		elsewhere = elsewhere || vm.Zone != n.config.Self.Zone
	}
	if others == 0 {
		return true
	}
	for _, p := range n.logPeers {
		fresh := now.Sub(p.at) < n.config.Timing.Lease
		if fresh && !p.up && (p.zone != n.config.Self.Zone || !elsewhere) {
			return true
		}
	}
	return false
}

// mayAct tells whether this VM may act as the owner of its engines.
func (n *Node) mayAct(now time.Time) bool {
	return n.lease.Valid(now) || n.logDown(now)
}
