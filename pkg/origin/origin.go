// Package origin remembers which version of the engines' software began each stream, and which
// versions a service has used lately. Versions write streams that do not fit together, so that a
// stream may go on only at the one that began it.
package origin

import (
	"crypto/sha256"
	"maps"
	"slices"
	"time"
)

// Origin tells which software began a stream.
type Origin struct {
	Service  string
	Software string // version of the engines' software
}

// Key identifies a stream. It has the same size whatever id a caller chose.
type Key [16]byte

// KeyOf returns the key of the stream with an id.
func KeyOf(id string) Key {
	sum := sha256.Sum256([]byte(id))
	return Key(sum[:len(Key{})])
}

// Config holds the settings of a Table.
type Config struct {
	Lifetime   time.Duration // how long a stream is remembered after it was last noted
	MaxStreams int           // largest number of streams that are remembered
}

// Table remembers the origins of streams. It is not safe for concurrent use.
type Table struct {
	config  Config
	streams map[Key]stream
	queue   []queued // streams by the time at which they were noted; one that was noted again stands several times
}

type stream struct {
	origin Origin
	at     time.Time // when it was last noted
}

type queued struct {
	key Key
	at  time.Time
}

// New returns an empty table.
func New(c Config) *Table { return &Table{config: c, streams: map[Key]stream{}} }

// Note remembers the origin of a stream. A later stream with the same key replaces an earlier one.
func (t *Table) Note(now time.Time, k Key, o Origin) {
	t.expire(now)
	t.add(Stream{Key: k, Origin: o, Began: now})
}

// queueFactor times MaxStreams is the length of the queue from which entries of streams that were
// noted again are removed.
const queueFactor = 2

func (t *Table) add(s Stream) {
	t.streams[s.Key] = stream{origin: s.Origin, at: s.Began}
	t.queue = append(t.queue, queued{key: s.Key, at: s.Began})
	for len(t.streams) > t.config.MaxStreams {
		t.dropFirst()
	}
	if len(t.queue) > queueFactor*t.config.MaxStreams {
		t.queue = slices.DeleteFunc(t.queue, func(q queued) bool { return !t.streams[q.key].at.Equal(q.at) })
	}
}

// Recall remembers the origin of a stream that was noted at an earlier time, unless a later one
// with the same key is known.
func (t *Table) Recall(now time.Time, s Stream) {
	if now.Sub(s.Began) > t.config.Lifetime || t.streams[s.Key].at.After(s.Began) {
		return
	}
	t.add(s)
}

// Streams returns the streams of a service that are remembered.
func (t *Table) Streams(now time.Time, service string) []Stream {
	t.expire(now)
	var list []Stream
	for k, s := range t.streams {
		if s.origin.Service == service {
			list = append(list, Stream{Key: k, Origin: s.origin, Began: s.at})
		}
	}
	return list
}

// Get returns the origin of a stream of a service and the time since it was last noted, and
// false if it is not known.
func (t *Table) Get(now time.Time, service string, k Key) (o Origin, age time.Duration, ok bool) {
	s, ok := t.streams[k]
	if !ok || s.origin.Service != service || now.Sub(s.at) > t.config.Lifetime {
		return Origin{}, 0, false
	}
	return s.origin, now.Sub(s.at), true
}

// Len returns the number of streams that are remembered.
func (t *Table) Len() int { return len(t.streams) }

func (t *Table) expire(now time.Time) {
	for len(t.queue) > 0 && now.Sub(t.queue[0].at) > t.config.Lifetime {
		t.dropFirst()
	}
}

// dropFirst drops the first entry of the queue, and its stream unless that was noted again.
func (t *Table) dropFirst() {
	first := t.queue[0]
	t.queue = t.queue[1:]
	if t.streams[first.key].at.Equal(first.at) {
		delete(t.streams, first.key)
	}
}

// History remembers which versions of their software the engines of each service have had.
// It is not safe for concurrent use.
type History struct {
	seen map[Origin]time.Time // when an engine with the version was last known
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{seen: map[Origin]time.Time{}} }

// Note records that an engine with a version was known at a time.
func (h *History) Note(at time.Time, o Origin) {
	if at.After(h.seen[o]) {
		h.seen[o] = at
	}
}

// Since returns the versions of a service that were known at a time or later, sorted.
func (h *History) Since(at time.Time, service string) []string {
	var versions []string
	for o, seen := range h.seen {
		if o.Service == service && !seen.Before(at) {
			versions = append(versions, o.Software)
		}
	}
	slices.Sort(versions)
	return versions
}

// All returns when each version was last known.
func (h *History) All() map[Origin]time.Time { return maps.Clone(h.seen) }

// Forget drops what was known before a time only.
func (h *History) Forget(before time.Time) {
	maps.DeleteFunc(h.seen, func(_ Origin, seen time.Time) bool { return seen.Before(before) })
}
