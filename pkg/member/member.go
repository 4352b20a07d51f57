// Package member tracks fleet membership in `tanagerlb serve`; package gossip does
// so in `tanagerlb edge`. It combines the platform's VM list, which is up to date only
// after a delay, with the VMs' own heartbeats. It selects the VMs whose addresses are
// given to callers.
package member

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// VM describes one incarnation of a VM: one run of the serving process on it.
type VM struct {
	Name   string
	Boot   string         // incarnation, new after each restart
	Zone   string         // availability zone
	Caller netip.AddrPort // address for callers
	Peer   netip.AddrPort // address for other VMs
}

// ListEntry is an entry of the platform's VM list.
type ListEntry struct {
	VM
	Leaving bool
}

// peer is what is known about another VM.
type peer struct {
	vm          VM
	listed      bool
	leaving     bool
	heardAt     time.Time // when the last heartbeat arrived; zero if none did
	silentSince time.Time // when MarkSilent was called; zero if it was not, or a heartbeat arrived later
	addedAt     time.Time
}

// Config holds the identity of this VM and the time limits for the others.
type Config struct {
	Self      VM
	Grace     time.Duration // time for which a listed VM counts as live before its first heartbeat
	Retention time.Duration // time after which a VM that is not listed and sends no heartbeats is deleted
}

// Table is the membership of the fleet as one VM sees it. It is not safe for
// concurrent use.
type Table struct {
	config  Config
	leaving bool
	peers   map[string]*peer
	ended   map[string]bool // incarnations known to have ended
}

// New returns a table that knows only this VM.
func New(c Config) *Table {
	return &Table{config: c, peers: map[string]*peer{}, ended: map[string]bool{}}
}

// ApplyList applies the platform's VM list: it adds new VMs and incarnations, records
// which VMs are listed or leaving, and deletes VMs that are no longer listed and sent
// no heartbeat for Config.Retention.
func (t *Table) ApplyList(now time.Time, list []ListEntry) {
	for _, p := range t.peers {
		p.listed = false
	}
	for _, l := range list {
		if l.Name == t.config.Self.Name {
			continue
		}
		p := t.upsert(now, l.VM, false)
		p.listed = true
		if l.Leaving && (l.Boot == "" || l.Boot == p.vm.Boot) {
			p.leaving = true
		}
	}
	for name, p := range t.peers {
		if !p.listed && now.Sub(p.heardAt) > t.config.Retention && now.Sub(p.addedAt) > t.config.Retention {
			t.markEnded(p.vm.Boot)
			delete(t.peers, name)
		}
	}
}

// ApplyHeartbeat applies a heartbeat of another VM. A heartbeat takes precedence over
// the VM list. It is ignored if the VM is known with a newer incarnation.
func (t *Table) ApplyHeartbeat(now time.Time, vm VM, leaving bool) {
	if vm.Name == t.config.Self.Name {
		return
	}
	p := t.upsert(now, vm, true)
	if p.vm.Boot != vm.Boot {
		return
	}
	p.heardAt = now
	p.silentSince = time.Time{}
	p.leaving = p.leaving || leaving
}

func (t *Table) upsert(now time.Time, vm VM, heartbeat bool) *peer {
	p, ok := t.peers[vm.Name]
	if !ok {
		p = &peer{vm: vm, addedAt: now}
		t.peers[vm.Name] = p
		return p
	}
	if vm.Boot == "" || p.vm.Boot == vm.Boot || t.ended[vm.Boot] {
		return p
	}
	if !heartbeat && !p.heardAt.IsZero() {
		return p // the list lags behind heartbeats, so it may name an earlier incarnation
	}
	if p.vm.Boot != "" {
		t.markEnded(p.vm.Boot)
	}
	*p = peer{vm: vm, addedAt: now, listed: p.listed}
	return p
}

func (t *Table) markEnded(boot string) {
	if boot != "" {
		t.ended[boot] = true
	}
}

// MarkSilent marks a VM as silent after it answered neither on its open connection
// nor on a new one. The next heartbeat of the VM removes the mark.
func (t *Table) MarkSilent(now time.Time, name string) {
	if p, ok := t.peers[name]; ok && p.silentSince.IsZero() {
		p.silentSince = now
	}
}

// Leave marks this VM as leaving. Live then leaves it out.
func (t *Table) Leave() { t.leaving = true }

// Leaving reports whether this VM is leaving.
func (t *Table) Leaving() bool { return t.leaving }

// Ended reports whether an incarnation counts as ended, because the VM started a
// newer one or was deleted after Config.Retention. An ended incarnation is taken to
// give no more orders and start no more requests.
func (t *Table) Ended(boot string) bool { return t.ended[boot] }

// Peers returns all VMs except this one, sorted by name.
func (t *Table) Peers() []VM {
	vms := make([]VM, 0, len(t.peers))
	for _, p := range t.peers {
		vms = append(vms, p.vm)
	}
	sortVMs(vms)
	return vms
}

// Find returns another VM by name, if boot is its current incarnation.
func (t *Table) Find(name, boot string) (VM, bool) {
	p, ok := t.peers[name]
	if !ok || p.vm.Boot != boot {
		return VM{}, false
	}
	return p.vm, true
}

// Live returns the VMs that may be given work, sorted by name. Another VM is
// live if it is neither leaving nor silent, its incarnation is known, and it has sent
// a heartbeat or is listed and was added less than Config.Grace ago. This VM is live
// unless it is leaving.
func (t *Table) Live(now time.Time) []VM {
	var vms []VM
	if !t.leaving {
		vms = append(vms, t.config.Self)
	}
	for _, p := range t.peers {
		if t.live(now, p) {
			vms = append(vms, p.vm)
		}
	}
	sortVMs(vms)
	return vms
}

func (t *Table) live(now time.Time, p *peer) bool {
	if p.leaving || !p.silentSince.IsZero() || p.vm.Boot == "" {
		return false
	}
	if p.heardAt.IsZero() {
		return p.listed && now.Sub(p.addedAt) < t.config.Grace
	}
	return true
}

// LeavingNow reports whether another VM is leaving and is not marked as silent.
func (t *Table) LeavingNow(name string) bool {
	p, ok := t.peers[name]
	return ok && p.leaving && p.silentSince.IsZero()
}

// State returns the state of another VM: "live", "leaving", "silent" (see
// MarkSilent), "unheard" (sent no heartbeat, and is not live by Config.Grace) or
// "unknown".
func (t *Table) State(now time.Time, name string) string {
	p, ok := t.peers[name]
	switch {
	case !ok:
		return "unknown"
	case p.leaving:
		return "leaving"
	case !p.silentSince.IsZero():
		return "silent"
	case t.live(now, p):
		return "live"
	default:
		return "unheard"
	}
}

// LastHeartbeat returns when the last heartbeat of another VM arrived, or the zero
// time if none did.
func (t *Table) LastHeartbeat(name string) time.Time {
	if p, ok := t.peers[name]; ok {
		return p.heardAt
	}
	return time.Time{}
}

func sortVMs(vms []VM) {
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
}

// SelectForCaller selects up to count of the live VMs for a caller in a zone. VMs
// in the caller's zone come first. Within the zone and outside it, the salt decides
// the order, so that callers with different salts are spread evenly over the VMs.
func SelectForCaller(live []VM, zone, salt string, count int) []VM {
	order := slices.Clone(live)
	slices.SortStableFunc(order, func(a, b VM) int {
		if aLocal, bLocal := a.Zone == zone, b.Zone == zone; aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		x, y := rank.Score(salt, a.Name), rank.Score(salt, b.Name)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	return order[:min(count, len(order))]
}
