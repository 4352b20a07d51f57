// Package member provides the VMs that are alive, joined from the platform's
// list, which lags, and from first-hand evidence, and the addresses that
// callers are told to use.
package member

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// VM is one incarnation of an entry VM's process.
type VM struct {
	Name   string
	Boot   string // incarnation; a restart gets a new one
	Zone   string // availability zone
	Caller netip.AddrPort
	Peer   netip.AddrPort
}

// Listed is an entry of the platform's VM list.
type Listed struct {
	VM
	Leaving bool
}

type state struct {
	vm      VM
	listed  bool
	leaving bool
	heard   time.Time // last first-hand sign of life
	silent  time.Time // when it was found silent; zero if it was not
	added   time.Time
}

// Config sets up a Table.
type Config struct {
	Self  VM
	Grace time.Duration // how long a listed VM may stay unheard
	Keep  time.Duration // how long an unlisted, unheard VM is remembered
}

// Table holds what one VM knows of all. Its methods must not be called at the
// same time.
type Table struct {
	config  Config
	leaving bool
	states  map[string]*state
	gone    map[string]bool // incarnations known to have ended
}

// New returns a table that holds only the VM itself.
func New(c Config) *Table {
	return &Table{config: c, states: map[string]*state{}, gone: map[string]bool{}}
}

// List takes the platform's VM list.
func (t *Table) List(now time.Time, list []Listed) {
	for _, s := range t.states {
		s.listed = false
	}
	for _, l := range list {
		if l.Name == t.config.Self.Name {
			continue
		}
		s := t.meet(now, l.VM, false)
		s.listed = true
		if l.Leaving && (l.Boot == "" || l.Boot == s.vm.Boot) {
			s.leaving = true
		}
	}
	for name, s := range t.states {
		if !s.listed && now.Sub(s.heard) > t.config.Keep && now.Sub(s.added) > t.config.Keep {
			t.end(s.vm.Boot)
			delete(t.states, name)
		}
	}
}

// Hear takes a VM's own sign of life.
func (t *Table) Hear(now time.Time, vm VM, leaving bool) {
	if vm.Name == t.config.Self.Name {
		return
	}
	s := t.meet(now, vm, true)
	if s.vm.Boot != vm.Boot {
		return
	}
	s.heard = now
	s.silent = time.Time{}
	s.leaving = s.leaving || leaving
}

func (t *Table) meet(now time.Time, vm VM, direct bool) *state {
	s, ok := t.states[vm.Name]
	if !ok {
		s = &state{vm: vm, added: now}
		t.states[vm.Name] = s
		return s
	}
	if vm.Boot == "" || s.vm.Boot == vm.Boot || t.gone[vm.Boot] {
		return s
	}
	if !direct && !s.heard.IsZero() {
		return s // the list lags behind what the VM said itself
	}
	if s.vm.Boot != "" {
		t.end(s.vm.Boot)
	}
	*s = state{vm: vm, added: now, listed: s.listed}
	return s
}

func (t *Table) end(boot string) {
	if boot != "" {
		t.gone[boot] = true
	}
}

// Silence notes that a VM answered neither on its open connection nor on a
// fresh one.
func (t *Table) Silence(now time.Time, name string) {
	if s, ok := t.states[name]; ok && s.silent.IsZero() {
		s.silent = now
	}
}

// Leave notes that this VM is leaving.
func (t *Table) Leave() { t.leaving = true }

// Leaving tells whether this VM is leaving.
func (t *Table) Leaving() bool { return t.leaving }

// Gone tells whether an incarnation is known to have ended, so that nothing of
// it can act any more.
func (t *Table) Gone(boot string) bool { return t.gone[boot] }

// Known returns all VMs but this one, by name.
func (t *Table) Known() []VM {
	vms := make([]VM, 0, len(t.states))
	for _, s := range t.states {
		vms = append(vms, s.vm)
	}
	sortVMs(vms)
	return vms
}

// Find returns another VM if its present incarnation is the given one.
func (t *Table) Find(name, boot string) (VM, bool) {
	s, ok := t.states[name]
	if !ok || s.vm.Boot != boot {
		return VM{}, false
	}
	return s.vm, true
}

// Live returns the VMs that may be given work, by name; this one is among them
// unless it is leaving.
func (t *Table) Live(now time.Time) []VM {
	var vms []VM
	if !t.leaving {
		vms = append(vms, t.config.Self)
	}
	for _, s := range t.states {
		if t.live(now, s) {
			vms = append(vms, s.vm)
		}
	}
	sortVMs(vms)
	return vms
}

func (t *Table) live(now time.Time, s *state) bool {
	if s.leaving || !s.silent.IsZero() || s.vm.Boot == "" {
		return false
	}
	if s.heard.IsZero() {
		return s.listed && now.Sub(s.added) < t.config.Grace
	}
	return true
}

// LeavingNow tells whether a VM is leaving and still answers.
func (t *Table) LeavingNow(name string) bool {
	s, ok := t.states[name]
	return ok && s.leaving && s.silent.IsZero()
}

// State names the state of a VM: live, leaving, silent or unheard.
func (t *Table) State(now time.Time, name string) string {
	s, ok := t.states[name]
	switch {
	case !ok:
		return "unknown"
	case s.leaving:
		return "leaving"
	case !s.silent.IsZero():
		return "silent"
	case t.live(now, s):
		return "live"
	default:
		return "unheard"
	}
}

// Heard tells when there was last a sign of life from a VM.
func (t *Table) Heard(name string) time.Time {
	if s, ok := t.states[name]; ok {
		return s.heard
	}
	return time.Time{}
}

func sortVMs(vms []VM) {
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
}

// Answer picks up to count of the live VMs for a caller in a zone: those of
// its own zone first, spread evenly over callers by salt.
func Answer(live []VM, zone, salt string, count int) []VM {
	order := slices.Clone(live)
	slices.SortStableFunc(order, func(a, b VM) int {
		if near, far := a.Zone == zone, b.Zone == zone; near != far {
			if near {
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
