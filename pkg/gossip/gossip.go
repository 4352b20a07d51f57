// Package gossip provides the membership of the fleet: each VM probes one
// other at a time and passes on, with each packet, what it learned lately. The
// work of a VM does not grow with the size of the fleet.
package gossip

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// VM is one run of a VM's process.
type VM struct {
	Name   string
	Boot   int64 // Unix milliseconds of its start
	Zone   string
	Peer   netip.AddrPort // for other VMs
	Caller netip.AddrPort // for callers
}

// Status is what is believed of a VM.
type Status int8

// Statuses, from the best to the worst.
const (
	Listed Status = iota // named by a list that may be old; nobody has heard it
	Alive
	Leaving // takes no new callers, still answers
	Suspect // does not answer; dead unless it objects
	Dead
)

// String returns the status's name in logs.
func (s Status) String() string {
	return [...]string{"listed", "alive", "leaving", "suspect", "dead"}[s]
}

// Lives tells whether a VM was heard lately.
func (s Status) Lives() bool { return s == Alive || s == Leaving }

// News is a belief about a VM that is passed on.
type News struct {
	VM     VM
	Status Status
	Beat   uint32 // raised by the VM itself to object to a suspicion
}

// Config sets up a table.
type Config struct {
	Patience  time.Duration // for the answer to a probe
	Suspicion time.Duration // from suspect to dead
	Share     int           // news in one packet
	Pause     time.Duration // between two ticks, beyond which this VM itself stood still
}

// repeats is how often a piece of news is passed on per bit of the fleet's
// size, as in the SWIM protocol.
const repeats = 3

type member struct {
	News
	since  time.Time // of the status
	heard  time.Time // when it was last heard first-hand
	probed time.Time // when it was probed without an answer yet; zero if none is due
	missed int       // probes in a row without an answer
	sent   int       // times that the news was passed on
}

// Table holds the members. Its methods must not be called at the same time.
type Table struct {
	config  Config
	self    News
	members map[string]*member
	order   []string // names left in this round of probes
	ticked  time.Time
	sent    int // times that news of this VM was passed on
}

// New returns a table with only the VM itself.
func New(c Config, self VM) *Table {
	return &Table{config: c, self: News{VM: self, Status: Alive}, members: map[string]*member{}}
}

// Self returns what this VM says of itself.
func (t *Table) Self() News { return t.self }

// Leave makes the VM tell the others that it takes no new callers.
func (t *Table) Leave() {
	t.self.Status, t.sent = Leaving, 0
	t.self.Beat++
}

// Heard takes a packet that came from a VM itself. It tells whether the VM was
// not alive before.
func (t *Table) Heard(now time.Time, n News) bool {
	if n.VM.Name == t.self.VM.Name {
		return false
	}
	m, ok := t.members[n.VM.Name]
	if ok && n.VM.Boot < m.VM.Boot && now.Sub(m.heard) < t.config.Suspicion {
		return false // a packet of an earlier run that was under way
	}
	fresh := !ok || m.VM.Boot != n.VM.Boot || m.Status != n.Status
	if fresh {
		m = &member{since: now}
		t.members[n.VM.Name] = m
	}
	back := fresh && n.Status == Alive
	m.News, m.heard, m.probed, m.missed = n, now, time.Time{}, 0
	return back
}

// Learn takes news about a VM from another one, or from the store. It tells
// whether it changed a belief.
func (t *Table) Learn(now time.Time, n News) bool {
	if n.VM.Name == t.self.VM.Name {
		t.object(n)
		return false
	}
	m, ok := t.members[n.VM.Name]
	if ok && !newer(n, m.News) {
		return false
	}
	if !ok && n.Status == Dead {
		return false
	}
	if !ok {
		m = &member{}
		t.members[n.VM.Name] = m
	}
	if m.VM.Boot != n.VM.Boot {
		m.probed, m.missed = time.Time{}, 0
	}
	m.News, m.since, m.sent = n, now, 0
	return true
}

// object answers a suspicion against this VM.
func (t *Table) object(n News) {
	if n.VM.Boot == t.self.VM.Boot && n.Status > t.self.Status && n.Beat >= t.self.Beat {
		t.self.Beat = n.Beat + 1
		t.sent = 0
	}
}

// newer tells whether news a replaces b.
func newer(a, b News) bool {
	switch {
	case a.VM.Boot != b.VM.Boot:
		return a.VM.Boot > b.VM.Boot
	case a.Beat != b.Beat:
		return a.Beat > b.Beat
	default:
		return a.Status > b.Status
	}
}

// Tick returns the VMs to probe now, and those whose status it changed.
func (t *Table) Tick(now time.Time) (probe []VM, changed []News) {
	stood := !t.ticked.IsZero() && now.Sub(t.ticked) > t.config.Pause
	t.ticked = now
	for _, m := range t.members {
		if stood { // answers may lie unread, and objections were missed
			m.probed = time.Time{}
			if m.Status == Suspect {
				m.since = now
			}
			continue
		}
		if !m.probed.IsZero() && now.Sub(m.probed) >= t.config.Patience {
			m.probed = time.Time{}
			m.missed++
			if m.missed == 1 && m.Status <= Leaving {
				probe = append(probe, t.due(now, m))
			} else if m.Status <= Leaving {
				changed = append(changed, m.set(now, Suspect))
			}
		}
		if m.Status == Suspect && now.Sub(m.since) >= t.config.Suspicion {
			changed = append(changed, m.set(now, Dead))
		}
	}
	if m := t.next(); m != nil {
		probe = append(probe, t.due(now, m))
	}
	return probe, changed
}

func (m *member) set(now time.Time, s Status) News {
	m.Status, m.since, m.sent = s, now, 0
	return m.News
}

func (t *Table) due(now time.Time, m *member) VM {
	m.probed = now
	return m.VM
}

// next returns the member whose turn it is to be probed. Dead ones take part,
// since a partition may heal.
func (t *Table) next() *member {
	for range len(t.members) + 1 {
		if len(t.order) == 0 {
			for name := range t.members {
				t.order = append(t.order, name) // in random order
			}
		}
		if len(t.order) == 0 {
			return nil
		}
		name := t.order[0]
		t.order = t.order[1:]
		if m, ok := t.members[name]; ok && m.probed.IsZero() {
			return m
		}
	}
	return nil
}

// Share returns news to send with a packet.
func (t *Table) Share() []News {
	most := repeats
	for n := len(t.members); n > 0; n >>= 1 {
		most += repeats
	}
	var fresh []*member
	for _, m := range t.members {
		if m.sent < most {
			fresh = append(fresh, m)
		}
	}
	slices.SortFunc(fresh, func(a, b *member) int { return a.sent - b.sent })
	var news []News
	for _, m := range fresh[:min(len(fresh), t.config.Share)] {
		m.sent++
		news = append(news, m.News)
	}
	return news
}

// Known returns the news of all VMs but this one, by name.
func (t *Table) Known() []News {
	list := make([]News, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, m.News)
	}
	slices.SortFunc(list, func(a, b News) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	return list
}

// Forget drops VMs that have been dead for long.
func (t *Table) Forget(now time.Time, after time.Duration) {
	for name, m := range t.members {
		if m.Status == Dead && now.Sub(m.since) > after {
			delete(t.members, name)
		}
	}
}
