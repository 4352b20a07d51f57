// Package budget decides which clients may hold memory and descriptors of a process, and whose
// connections are closed to make room for others.
//
// Load: up to 10,250 connections (the descriptors of the largest VM) and some 5,000 requests a
// second, with two to twenty decisions each. A decision takes constant time while there is room.
// One that has to make room looks at all connections, some 100 us for 10,000 of them.
package budget

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Config are the limits of a Budget. A limit of 0 is none.
type Config struct {
	Bytes       int64 // memory that all connections may hold together
	Descriptors int   // descriptors that all connections may hold together
}

const (
	// clientShare is the largest share of either limit that the connections of one address may
	// hold. Some hundred ordinary callers may share an address, so that it is well over half.
	clientShare = 0.75
	// bulkShare is the part of this share, and of the limits, that bodies and answers may fill. The
	// rest is for connections, heads and requests in progress: what has no room among these is closed
	// or refused, while a body or an answer is many times as large.
	bulkShare = 0.875
	// stallTime is how long a client may be silent before others take its place. It is longer than
	// a round trip, or a scheduling pause of a client.
	stallTime = 250 * time.Millisecond
	// unreadTime is the same for a client that does not read its answer.
	unreadTime = 2 * time.Second
	// closingShare bounds the memory and the descriptors of connections that are to be closed and
	// that are granted to others before they are free, as a share of the limits.
	closingShare = 0.125
	// extraShare is the part of a limit that is freed in addition, so that not each decision has to
	// look for connections that may give way.
	extraShare = 64
)

// Phase tells what a connection waits for.
type Phase int

// Phases of a connection.
const (
	Waiting Phase = iota // for the first byte of a request
	Reading              // for the rest of a request
	Running              // for the answer
	Writing              // for its client to read the answer
)

// Holder is a connection that holds memory and descriptors.
type Holder struct {
	client      netip.Addr
	phase       Phase
	since       time.Time // begin of the phase, or the last grant of memory
	bytes       int64
	descriptors int
	closing     bool
	conn        any
}

// Conn returns the value that Open was called with.
func (h *Holder) Conn() any { return h.conn }

// Decision is the outcome of a request for memory or descriptors.
type Decision interface{ decision() }

// Granted allows the use of what was asked for. The connections of the holders must be closed.
type Granted struct{ Close []*Holder }

// Refused forbids it. The connections of the holders must be closed, to make room for later ones.
type Refused struct {
	Reason Reason
	Close  []*Holder
}

func (Granted) decision() {}
func (Refused) decision() {}

// Reason tells why something is refused.
type Reason string

// Reasons for which something is refused.
const (
	Closing     Reason = "closing"     // the connection is to be closed
	ClientShare Reason = "client"      // the client holds the largest share that it may have
	Memory      Reason = "memory"      // of all clients
	Descriptors Reason = "descriptors" // of all clients
)

// Budget holds who holds what. It is not safe for concurrent use.
type Budget struct {
	config  Config
	used    usage
	closing usage // part of used that connections hold that are to be closed
	clients map[netip.Addr]*usage
	holders map[*Holder]struct{}
}

type usage struct {
	bytes       int64
	descriptors int
}

func (u *usage) add(bytes int64, descriptors int) {
	u.bytes += bytes
	u.descriptors += descriptors
}

// New returns a budget of which nothing is held.
func New(c Config) *Budget {
	return &Budget{config: c, clients: map[netip.Addr]*usage{}, holders: map[*Holder]struct{}{}}
}

// Held returns the memory and the descriptors that are held.
func (b *Budget) Held() (bytes int64, descriptors int) { return b.used.bytes, b.used.descriptors }

// Open decides on a new connection of a client, with the memory that any connection takes. conn is
// what Conn of its holder returns.
func (b *Budget) Open(now time.Time, client netip.Addr, bytes int64, conn any) (*Holder, Decision) {
	h := &Holder{client: client, phase: Waiting, since: now, conn: conn}
	b.holders[h] = struct{}{}
	if b.clients[client] == nil {
		b.clients[client] = &usage{}
	}
	d := b.Reserve(now, h, bytes, 1)
	if _, ok := d.(Refused); ok {
		b.Close(h)
		return nil, d
	}
	return h, d
}

// Close returns everything that a connection held.
func (b *Budget) Close(h *Holder) {
	if _, ok := b.holders[h]; !ok {
		return
	}
	b.Release(h, h.bytes, h.descriptors)
	delete(b.holders, h)
	h.closing = true
	if *b.clients[h.client] == (usage{}) {
		delete(b.clients, h.client)
	}
}

// Enter records that a phase of a connection begins. It returns false if the connection is to be
// closed.
func (b *Budget) Enter(now time.Time, h *Holder, p Phase) bool {
	if h.closing {
		return false
	}
	h.phase, h.since = p, now
	return true
}

// Release returns a part of what a connection holds.
func (b *Budget) Release(h *Holder, bytes int64, descriptors int) {
	if _, ok := b.holders[h]; ok {
		b.add(h, -bytes, -descriptors)
	}
}

func (b *Budget) add(h *Holder, bytes int64, descriptors int) {
	h.bytes += bytes
	h.descriptors += descriptors
	b.used.add(bytes, descriptors)
	b.clients[h.client].add(bytes, descriptors)
	if h.closing {
		b.closing.add(bytes, descriptors)
	}
}

// Reserve decides whether a connection may hold more.
//
// What gives way first: if memory is short, requests that stall before they are complete, and
// answers that nobody reads, the longest stalled first; then connections that wait for a request,
// the longest waiting first. If descriptors are short, it is the other way round, since a
// connection without a request loses nothing. New connections and requests that make progress give
// way only to clients that hold less than half as much as theirs, so that no crowd at one address
// keeps others out: those of the largest client first, the newest of them first. Complete requests never give way. A client over its share
// makes room among its own connections only.
func (b *Budget) Reserve(now time.Time, h *Holder, bytes int64, descriptors int) Decision {
	return b.reserve(now, h, bytes, descriptors, b.config)
}

// ReserveBulk decides whether a connection may hold more of a body or an answer, which leave room for
// the rest.
func (b *Budget) ReserveBulk(now time.Time, h *Holder, bytes int64) Decision {
	limits := b.config
	limits.Bytes = int64(math.Ceil(bulkShare * float64(limits.Bytes)))
	return b.reserve(now, h, bytes, 0, limits)
}

// reserve decides whether a connection may hold more, if all may hold what limits allow.
func (b *Budget) reserve(now time.Time, h *Holder, bytes int64, descriptors int, limits Config) Decision {
	if h.closing {
		return Refused{Reason: Closing}
	}
	client := b.clients[h.client]
	want := usage{bytes: client.bytes + bytes, descriptors: client.descriptors + descriptors}
	own := over(want, limits, clientShare)
	all := usage{bytes: b.used.bytes - b.closing.bytes + bytes, descriptors: b.used.descriptors - b.closing.descriptors + descriptors}
	total := over(all, limits, 1)
	if own == (usage{}) && total == (usage{}) && b.closing == (usage{}) {
		return b.grant(now, h, bytes, descriptors, nil)
	}
	var victims []*Holder
	if own != (usage{}) {
		mine := b.closingOf(h.client)
		own = over(usage{bytes: want.bytes - mine.bytes, descriptors: want.descriptors - mine.descriptors}, limits, clientShare)
		var ok bool
		if victims, ok = b.pick(now, h, own, true, nil); !ok {
			return Refused{Reason: ClientShare}
		}
	}
	for _, v := range victims {
		total.add(-v.bytes, -v.descriptors)
	}
	victims, ok := b.pick(now, h, total, false, victims)
	reason := Memory
	if total.descriptors > 0 {
		reason = Descriptors
	}
	// What is granted before it is free is bounded; the rest is refused until it is free.
	unfreed := over(usage{bytes: b.used.bytes + bytes, descriptors: b.used.descriptors + descriptors}, b.config, 1+closingShare)
	if !ok {
		return Refused{Reason: reason}
	}
	b.close(victims)
	if unfreed != (usage{}) {
		return Refused{Reason: reason, Close: victims}
	}
	return b.grant(now, h, bytes, descriptors, victims)
}

func (b *Budget) close(victims []*Holder) {
	for _, v := range victims {
		v.closing = true
		b.closing.add(v.bytes, v.descriptors)
	}
}

// over returns what a use exceeds a share of the limits by; zero for what is within.
func over(u usage, c Config, share float64) usage {
	var o usage
	if c.Bytes > 0 {
		o.bytes = max(0, u.bytes-int64(share*float64(c.Bytes)))
	}
	if c.Descriptors > 0 {
		o.descriptors = max(0, u.descriptors-int(math.Ceil(share*float64(c.Descriptors))))
	}
	return o
}

func (b *Budget) grant(now time.Time, h *Holder, bytes int64, descriptors int, victims []*Holder) Decision {
	b.add(h, bytes, descriptors)
	h.since = now
	return Granted{Close: victims}
}

// closingOf returns what connections of a client hold that are to be closed.
func (b *Budget) closingOf(client netip.Addr) usage {
	var u usage
	for h := range b.holders {
		if h.closing && h.client == client {
			u.add(h.bytes, h.descriptors)
		}
	}
	return u
}

// candidate is a connection that may give way.
type candidate struct {
	holder *Holder
	rank   int   // the lowest one gives way first
	client int64 // what its client holds, of what is missing
}

// pick adds connections to a list that together hold what is missing, and reports whether there are
// enough. If own is set, only those of the client count.
func (b *Budget) pick(now time.Time, h *Holder, missing usage, own bool, list []*Holder) ([]*Holder, bool) {
	if missing.bytes <= 0 && missing.descriptors <= 0 {
		return list, true
	}
	var candidates []candidate
	for v := range b.holders {
		if v == h || v.closing || own && v.client != h.client || slices.Contains(list, v) {
			continue
		}
		if rank, ok := b.rank(now, h, v, missing.descriptors > 0); ok {
			c := candidate{holder: v, rank: rank, client: b.clients[v.client].bytes}
			if missing.descriptors > 0 {
				c.client = int64(b.clients[v.client].descriptors)
			}
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, compare)
	extra := usage{bytes: b.config.Bytes / extraShare, descriptors: b.config.Descriptors / extraShare}
	if missing.bytes <= 0 {
		extra.bytes = 0
	}
	if missing.descriptors <= 0 {
		extra.descriptors = 0
	}
	for _, c := range candidates {
		enough := missing.bytes <= 0 && missing.descriptors <= 0
		if enough && (c.rank == active || missing.bytes <= -extra.bytes && missing.descriptors <= -extra.descriptors) {
			break
		}
		list = append(list, c.holder)
		missing.add(-c.holder.bytes, -c.holder.descriptors)
	}
	if missing.bytes > 0 || missing.descriptors > 0 {
		return nil, false
	}
	return list, true
}

// Ranks of candidates.
const (
	first = iota
	second
	active
)

func compare(a, b candidate) int {
	switch {
	case a.rank != b.rank:
		return a.rank - b.rank
	case a.rank == active:
		return cmp.Or(cmp.Compare(b.client, a.client), b.holder.since.Compare(a.holder.since))
	}
	return a.holder.since.Compare(b.holder.since)
}

// rank returns the rank of a connection that may give way to h, and whether it may.
func (b *Budget) rank(now time.Time, h, v *Holder, descriptors bool) (int, bool) {
	idle, stalled := first, second
	if !descriptors {
		idle, stalled = second, first
	}
	age := now.Sub(v.since)
	switch {
	case v.phase == Running, v.phase == Writing && age < unreadTime:
		return 0, false
	case v.phase == Writing, v.phase == Reading && age >= stallTime:
		return stalled, true
	case v.phase == Waiting && age >= stallTime:
		return idle, true
	}
	mine, theirs := b.clients[h.client], b.clients[v.client]
	if descriptors && 2*mine.descriptors < theirs.descriptors || !descriptors && 2*mine.bytes < theirs.bytes {
		return active, true
	}
	return 0, false
}
