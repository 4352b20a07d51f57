// Package gossip tracks which entry VMs of `tanagerlb edge` are up; together, these
// VMs form the fleet. As in the SWIM protocol, each VM probes one other VM per tick,
// and each packet carries recent updates about other VMs. The load on a VM does not
// grow with the size of the fleet.
package gossip

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// VM identifies one run of a VM's process and holds its addresses. The fields are
// encoded under their Go names, in packets between VMs and in the store.
type VM struct {
	Name   string
	Boot   int64 // start time of the process, in Unix milliseconds
	Zone   string
	Peer   netip.AddrPort // address for other VMs
	Caller netip.AddrPort // address for callers
}

// Status is the state of a VM as other VMs see it.
type Status int8

// Statuses, from the best to the worst. If two updates about the same run of a VM
// have the same incarnation number, the one with the worse status applies.
const (
	Listed Status = iota // known only from a list that may be out of date; no VM is known to have heard from it
	Alive
	Leaving // accepts no new callers, still answers
	Suspect // did not answer two probes in a row; becomes dead unless it refutes the suspicion
	Dead
)

// String returns the name of the status in logs.
func (s Status) String() string {
	return [...]string{"listed", "alive", "leaving", "suspect", "dead"}[s]
}

// Reachable reports whether the VM is up: alive or leaving.
func (s Status) Reachable() bool { return s == Alive || s == Leaving }

// Update is a message between VMs about the status of one VM. The fields are encoded
// under their Go names.
type Update struct {
	VM     VM
	Status Status
	Beat   uint32 // incarnation number; only the VM itself raises it, to refute a suspicion or to leave
}

// Config holds the timeouts and limits of a Table.
type Config struct {
	ProbeTimeout     time.Duration // time within which a probe must be answered
	SuspicionTimeout time.Duration // time from suspect to dead
	MaxUpdates       int           // largest number of updates in one packet
	MaxTickGap       time.Duration // longest gap between two ticks; after a longer gap, this process counts as having been paused
}

// retransmits is how many more times an update is sent for each doubling of the
// number of members. As in the SWIM protocol, the total grows with the logarithm of
// that number.
const retransmits = 3

type member struct {
	Update
	since    time.Time // time of the last change of the status
	seen     time.Time // time of the last packet from the VM itself
	probedAt time.Time // time of the probe that is not yet answered; zero for none
	missed   int       // consecutive probes without an answer
	sent     int       // number of times that the update was sent
}

// Table holds the members of the fleet. It is not safe for concurrent use.
type Table struct {
	config   Config
	self     Update
	members  map[string]*member
	order    []string  // names still to be probed in this round
	tickedAt time.Time // time of the last tick
	sent     int       // unused: reset when self changes, but never raised or read, as every packet carries self
}

// New returns a table that holds only this VM.
func New(c Config, self VM) *Table {
	return &Table{config: c, self: Update{VM: self, Status: Alive}, members: map[string]*member{}}
}

// Self returns the update that this VM sends about itself.
func (t *Table) Self() Update { return t.self }

// Leave marks this VM as leaving, so that other VMs send no new callers to it.
func (t *Table) Leave() {
	t.self.Status, t.sent = Leaving, 0
	t.self.Beat++
}

// ApplyDirect applies an update that a VM sent about itself. It reports whether
// the VM has become alive with this update. A VM that restarted counts as having
// become alive.
func (t *Table) ApplyDirect(now time.Time, u Update) bool {
	if u.VM.Name == t.self.VM.Name {
		return false
	}
	m, ok := t.members[u.VM.Name]
	if ok && u.VM.Boot < m.VM.Boot && now.Sub(m.seen) < t.config.SuspicionTimeout {
		return false // delayed packet of an earlier run
	}
	changed := !ok || m.VM.Boot != u.VM.Boot || m.Status != u.Status
	if changed {
		m = &member{since: now}
		t.members[u.VM.Name] = m
	}
	revived := changed && u.Status == Alive
	m.Update, m.seen, m.probedAt, m.missed = u, now, time.Time{}, 0
	return revived
}

// Apply applies an update about a VM that came from another VM or from the
// store. It reports whether the table changed.
func (t *Table) Apply(now time.Time, u Update) bool {
	if u.VM.Name == t.self.VM.Name {
		t.refute(u)
		return false
	}
	m, ok := t.members[u.VM.Name]
	if ok && !supersedes(u, m.Update) {
		return false
	}
	if !ok && u.Status == Dead {
		return false
	}
	if !ok {
		m = &member{}
		t.members[u.VM.Name] = m
	}
	if m.VM.Boot != u.VM.Boot {
		m.probedAt, m.missed = time.Time{}, 0
	}
	m.Update, m.since, m.sent = u, now, 0
	return true
}

// refute raises this VM's incarnation number if the update claims a worse status
// for this VM. The VM's own update then supersedes the claim.
func (t *Table) refute(u Update) {
	if u.VM.Boot == t.self.VM.Boot && u.Status > t.self.Status && u.Beat >= t.self.Beat {
		t.self.Beat = u.Beat + 1
		t.sent = 0
	}
}

// supersedes reports whether update a about a VM supersedes update b about the same
// VM. The later run of the VM wins, then the higher incarnation number, then the
// worse status.
func supersedes(a, b Update) bool {
	switch {
	case a.VM.Boot != b.VM.Boot:
		return a.VM.Boot > b.VM.Boot
	case a.Beat != b.Beat:
		return a.Beat > b.Beat
	default:
		return a.Status > b.Status
	}
}

// Tick returns the VMs to probe now, and updates about the members whose status
// it changed. A member that does not answer a probe in time is probed again
// immediately, and becomes suspect if it does not answer the second probe either.
func (t *Table) Tick(now time.Time) (probe []VM, changed []Update) {
	paused := !t.tickedAt.IsZero() && now.Sub(t.tickedAt) > t.config.MaxTickGap
	t.tickedAt = now
	for _, m := range t.members {
		if paused { // answers may not have been read yet, and refutations may have been missed
			m.probedAt = time.Time{}
			if m.Status == Suspect {
				m.since = now
			}
			continue
		}
		if !m.probedAt.IsZero() && now.Sub(m.probedAt) >= t.config.ProbeTimeout {
			m.probedAt = time.Time{}
			m.missed++
			if m.missed == 1 && m.Status <= Leaving {
				probe = append(probe, t.markProbed(now, m))
			} else if m.Status <= Leaving {
				changed = append(changed, m.setStatus(now, Suspect))
			}
		}
		if m.Status == Suspect && now.Sub(m.since) >= t.config.SuspicionTimeout {
			changed = append(changed, m.setStatus(now, Dead))
		}
	}
	if m := t.nextProbe(); m != nil {
		probe = append(probe, t.markProbed(now, m))
	}
	return probe, changed
}

func (m *member) setStatus(now time.Time, s Status) Update {
	m.Status, m.since, m.sent = s, now, 0
	return m.Update
}

func (t *Table) markProbed(now time.Time, m *member) VM {
	m.probedAt = now
	return m.VM
}

// nextProbe returns the next member to probe, or nil if there is none. It skips
// members whose last probe is not yet answered. Dead members are probed too, since a
// network partition may heal.
func (t *Table) nextProbe() *member {
	for range len(t.members) + 1 {
		if len(t.order) == 0 {
			for name := range t.members {
				t.order = append(t.order, name) // maps are iterated in random order
			}
		}
		if len(t.order) == 0 {
			return nil
		}
		name := t.order[0]
		t.order = t.order[1:]
		if m, ok := t.members[name]; ok && m.probedAt.IsZero() {
			return m
		}
	}
	return nil
}

// Updates returns the updates about other VMs to send with a packet, least often
// sent first. It counts them as sent.
func (t *Table) Updates() []Update {
	limit := retransmits
	for n := len(t.members); n > 0; n >>= 1 {
		limit += retransmits
	}
	var pending []*member
	for _, m := range t.members {
		if m.sent < limit {
			pending = append(pending, m)
		}
	}
	slices.SortFunc(pending, func(a, b *member) int { return a.sent - b.sent })
	var updates []Update
	for _, m := range pending[:min(len(pending), t.config.MaxUpdates)] {
		m.sent++
		updates = append(updates, m.Update)
	}
	return updates
}

// Len returns the number of other VMs.
func (t *Table) Len() int { return len(t.members) }

// Members returns the current update about each other VM, sorted by name.
func (t *Table) Members() []Update {
	list := make([]Update, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, m.Update)
	}
	slices.SortFunc(list, func(a, b Update) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	return list
}

// PruneDead drops the VMs that have been dead for longer than the given duration.
func (t *Table) PruneDead(now time.Time, after time.Duration) {
	for name, m := range t.members {
		if m.Status == Dead && now.Sub(m.since) > after {
			delete(t.members, name)
		}
	}
}
