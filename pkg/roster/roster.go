// Package roster provides the view that a VM of `tanagerlb edge` has of the
// upstreams: which exist, their addresses, and which accept new requests. Each
// upstream writes an entry about itself to the platform's store. The store lags
// behind and has outages.
package roster

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Adapter is an adapter that an engine reported as loaded.
type Adapter struct {
	Name    string
	Version int64
}

// Model is a base model that an engine reported as loaded, with its adapters.
type Model struct {
	Name     string
	Version  int64
	Adapters []Adapter
}

// Upstream is what an upstream reports about itself in its entry.
type Upstream struct {
	ID             string
	Service        string
	Address        netip.AddrPort
	Zone           string
	Software       string // version of its software
	Slots          int    // number of requests that it runs at once
	Draining       bool   // accepts no new requests
	StartTime      int64  // start time, in Unix milliseconds; 0 if not reported
	AcceptedOrders int64  // number of orders to load or unload that it accepted since its start
	Models         []Model
}

// Digest holds what an upstream's entry says beside its load, in a comparable form. It is
// the zero value for an entry that cannot be read.
type Digest struct {
	Service   string
	Address   netip.AddrPort
	Draining  bool
	StartTime int64
	Models    string // names of the loaded base models
}

// Digest returns the digest of the upstream's entry.
func (u Upstream) Digest() Digest {
	names := make([]string, len(u.Models))
	for i, m := range u.Models {
		names[i] = m.Name
	}
	return Digest{Service: u.Service, Address: u.Address, Draining: u.Draining, StartTime: u.StartTime, Models: strings.Join(names, ",")}
}

// Change is the effect of an entry on the table.
type Change int

// Effects of an entry.
const (
	Unchanged     Change = iota // none of the changes below; loaded adapters and other fields may differ
	Added                       // the upstream is new, or its entry was missing and came back
	Restarted                   // the upstream restarted under the same id
	Draining                    // the upstream no longer accepts new requests
	Updated                     // the address or service changed
	ModelsChanged               // the loaded base models changed
	Stale                       // the entry is from an earlier run of the upstream and was ignored
)

// String returns the name of the change in logs. The strings are fixed, as operators
// look for them (see docs/OPERATIONS.md).
func (c Change) String() string {
	return [...]string{"same", "added", "reborn", "drained", "updated", "stocked", "outdated"}[c]
}

// upstreamState is an upstream with the state of its entry: present or missing.
type upstreamState struct {
	Upstream
	missingSince time.Time // time at which the entry was found missing; zero while it exists
	expires      time.Time // time from which the upstream counts as gone if its entry is still missing
}

// Table holds the upstreams. It is not safe for concurrent use.
type Table struct {
	upstreams map[string]*upstreamState
	gone      map[string]goneUpstream // upstreams that Expire dropped
	entries   map[string]Digest       // newest entry of each upstream in the store
	leaving   map[Run]time.Time       // upstreams that are known to be draining not by their entries, and since when
	said      map[string]time.Time    // when upstreams last said in an answer that they leave, by id
}

// Run identifies one run of an upstream's process.
type Run struct {
	ID        string
	StartTime int64 // in Unix milliseconds
}

// leavingTTL is how long it is remembered that others know an upstream to be draining. It is
// longer than the age of a copy from which the store may come back.
const leavingTTL = time.Minute

// Draining returns the upstreams that are known to be draining.
func (t *Table) Draining() []Run {
	var runs []Run
	for _, s := range t.upstreams {
		if s.Draining {
			runs = append(runs, Run{ID: s.ID, StartTime: s.StartTime})
		}
	}
	return runs
}

// NoteDraining records that others know an upstream to be draining, and reports whether that
// changes it. The store's entry of it may come from an older copy.
func (t *Table) NoteDraining(now time.Time, r Run) bool {
	maps.DeleteFunc(t.leaving, func(_ Run, at time.Time) bool { return now.Sub(at) > leavingTTL })
	t.leaving[r] = now
	s, ok := t.upstreams[r.ID]
	if !ok || s.StartTime != r.StartTime || s.Draining {
		return false
	}
	s.Draining = true
	return true
}

// NoteLeaving records that an upstream said in an answer that it leaves, and reports whether
// that changes anything. The VM may not have learned of its last start yet.
func (t *Table) NoteLeaving(at time.Time, r Run) bool {
	maps.DeleteFunc(t.said, func(_ string, said time.Time) bool { return at.Sub(said) > leavingTTL })
	t.said[r.ID] = at
	return t.NoteDraining(at, r)
}

// goneUpstream is what is remembered of an upstream that is gone.
type goneUpstream struct {
	Upstream
	at time.Time
}

// goneTTL is how long an upstream that is gone is remembered. It is longer than the age
// of a copy from which the store may come back.
const goneTTL = 5 * time.Minute

// New returns an empty table.
func New() *Table {
	return &Table{upstreams: map[string]*upstreamState{}, gone: map[string]goneUpstream{}, entries: map[string]Digest{}, leaving: map[Run]time.Time{}, said: map[string]time.Time{}}
}

// NoteEntry records the newest entry of an upstream in the store, and reports whether it
// differs from the one before. nil stands for no entry.
func (t *Table) NoteEntry(id string, d *Digest) bool {
	before, ok := t.entries[id]
	if d == nil {
		delete(t.entries, id)
		return true
	}
	t.entries[id] = *d
	return !ok || *d != before
}

// ForgetEntries forgets the entries that NoteEntry recorded, as the store is listed again.
func (t *Table) ForgetEntries() { clear(t.entries) }

// Apply records an entry that was read, and returns its effect.
func (t *Table) Apply(u Upstream) Change {
	if _, ok := t.leaving[Run{ID: u.ID, StartTime: u.StartTime}]; ok {
		u.Draining = true
	}
	s, ok := t.upstreams[u.ID]
	if !ok {
		t.upstreams[u.ID] = &upstreamState{Upstream: u}
		return Added
	}
	returned := !s.missingSince.IsZero()
	switch {
	case u.StartTime < s.StartTime:
		return Stale
	case u.StartTime > s.StartTime:
		// What it said after this start was of this run, which was not known yet.
		u.Draining = u.Draining || t.said[u.ID].After(time.UnixMilli(u.StartTime))
		t.upstreams[u.ID] = &upstreamState{Upstream: u}
		return Restarted
	}
	// Only a restart ends draining. An entry without Draining may be an old one
	// that was read late.
	drained := u.Draining && !s.Draining
	u.Draining = u.Draining || s.Draining
	updated := s.Address != u.Address || s.Service != u.Service
	modelsChanged := s.Digest().Models != u.Digest().Models
	t.upstreams[u.ID] = &upstreamState{Upstream: u}
	switch {
	case drained:
		return Draining
	case returned:
		return Added
	case updated:
		return Updated
	case modelsChanged:
		return ModelsChanged
	default:
		return Unchanged
	}
}

// MarkMissing records that the entry of an upstream was found missing at the time
// now, and reports whether the entry was present before. The upstream counts as
// gone after grace unless its entry comes back: after an outage of the store,
// upstreams need a moment to register again. If the entry was missing before, the
// shorter time applies.
func (t *Table) MarkMissing(now time.Time, id string, grace time.Duration) bool {
	s, ok := t.upstreams[id]
	if !ok {
		return false
	}
	if !s.missingSince.IsZero() {
		if expires := now.Add(grace); expires.Before(s.expires) {
			s.expires = expires
		}
		return false
	}
	s.missingSince, s.expires = now, now.Add(grace)
	return true
}

// Displaced returns the upstreams that have ended because a process that started later uses
// their address: those at the address of the given one, or the given one itself. Upstreams
// that report no start time are not compared.
func (t *Table) Displaced(u Upstream) []string {
	if u.StartTime == 0 {
		return nil
	}
	var list []string
	for id, s := range t.upstreams {
		switch {
		case id == u.ID || s.Address != u.Address || s.StartTime == 0 || s.StartTime == u.StartTime:
		case s.StartTime > u.StartTime:
			return []string{u.ID}
		default:
			list = append(list, id)
		}
	}
	return list
}

// HasMissing reports whether the table holds an upstream whose entry is missing.
func (t *Table) HasMissing() bool {
	for _, s := range t.upstreams {
		if !s.missingSince.IsZero() {
			return true
		}
	}
	return false
}

// Expire drops the upstreams whose entries have been missing for at least their
// grace time, and returns them.
func (t *Table) Expire(now time.Time) []Upstream {
	var gone []Upstream
	maps.DeleteFunc(t.gone, func(_ string, g goneUpstream) bool { return now.Sub(g.at) > goneTTL })
	for id, s := range t.upstreams {
		if !s.missingSince.IsZero() && !now.Before(s.expires) {
			delete(t.upstreams, id)
			t.gone[id] = goneUpstream{Upstream: s.Upstream, at: now}
			gone = append(gone, s.Upstream)
		}
	}
	return gone
}

// IsGone reports whether an entry says nothing new of an upstream that is gone: it was
// written before the upstream went.
func (t *Table) IsGone(now time.Time, u Upstream) bool {
	g, ok := t.gone[u.ID]
	if !ok || now.Sub(g.at) > goneTTL {
		return false
	}
	return u.StartTime <= g.StartTime && u.AcceptedOrders <= g.AcceptedOrders
}

// Get returns the upstream with the given id, or false if the table has none.
func (t *Table) Get(id string) (Upstream, bool) {
	s, ok := t.upstreams[id]
	if !ok {
		return Upstream{}, false
	}
	return s.Upstream, true
}

// Len returns the number of upstreams in the table.
func (t *Table) Len() int { return len(t.upstreams) }

// IDs returns the ids of all upstreams in the table, in no particular order.
func (t *Table) IDs() []string {
	ids := make([]string, 0, len(t.upstreams))
	for id := range t.upstreams {
		ids = append(ids, id)
	}
	return ids
}

// Serving returns the upstreams that accept new requests, grouped by service. The
// upstreams of each service are sorted by id.
func (t *Table) Serving() map[string][]Upstream {
	serving := map[string][]Upstream{}
	for _, s := range t.upstreams {
		if !s.Draining {
			serving[s.Service] = append(serving[s.Service], s.Upstream)
		}
	}
	for _, list := range serving {
		slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	return serving
}
