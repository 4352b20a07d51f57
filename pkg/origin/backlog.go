package origin

import (
	"maps"
	"slices"
	"time"
)

// Stream is a stream that callers may take up again, and who began it.
type Stream struct {
	Key    Key
	Origin Origin
	Began  time.Time // when it began, or was last noted
}

// BacklogConfig holds the settings of a Backlog.
type BacklogConfig struct {
	Lifetime   time.Duration // age from which a stream need not be saved any more
	Retry      time.Duration // time until streams that could not be saved are tried again
	MaxStreams int           // largest number of streams; the ones that began first are dropped
}

// Backlog holds the streams that this VM is to save where they outlive all VMs. It is not safe
// for concurrent use.
type Backlog struct {
	config  BacklogConfig
	streams map[Key]unsaved
}

type unsaved struct {
	Stream
	due time.Time // when it is to be saved
}

// NewBacklog returns an empty backlog.
func NewBacklog(c BacklogConfig) *Backlog {
	return &Backlog{config: c, streams: map[Key]unsaved{}}
}

// Add adds a stream that is to be saved at a time. A stream of the same key that began earlier is
// replaced, and one that is due earlier stays due then.
func (b *Backlog) Add(due time.Time, s Stream) {
	old, ok := b.streams[s.Key]
	if ok && old.Began.After(s.Began) {
		return
	}
	if ok && old.Origin == s.Origin && old.due.Before(due) {
		due = old.due
	}
	b.streams[s.Key] = unsaved{Stream: s, due: due}
	if len(b.streams) > b.config.MaxStreams+b.config.MaxStreams/4 { // sorted now and then only
		b.dropOldest(len(b.streams) - b.config.MaxStreams)
	}
}

func (b *Backlog) dropOldest(count int) {
	list := slices.SortedFunc(maps.Values(b.streams), func(x, y unsaved) int { return x.Began.Compare(y.Began) })
	for _, s := range list[:count] {
		delete(b.streams, s.Key)
	}
}

// Saved tells that another VM has saved streams that had begun at a time or earlier.
func (b *Backlog) Saved(began time.Time, keys ...Key) {
	for _, k := range keys {
		if s, ok := b.streams[k]; ok && !s.Began.After(began) {
			delete(b.streams, k)
		}
	}
}

// Take removes the streams that are due and returns them, in the order in which they began.
func (b *Backlog) Take(now time.Time) []Stream {
	var list []Stream
	for k, s := range b.streams {
		switch {
		case now.Sub(s.Began) > b.config.Lifetime:
			delete(b.streams, k)
		case !s.due.After(now):
			list = append(list, s.Stream)
			delete(b.streams, k)
		}
	}
	slices.SortFunc(list, func(x, y Stream) int { return x.Began.Compare(y.Began) })
	return list
}

// Failed adds streams again that could not be saved.
func (b *Backlog) Failed(now time.Time, list []Stream) {
	for _, s := range list {
		b.Add(now.Add(b.config.Retry), s)
	}
}

// Len returns the number of streams.
func (b *Backlog) Len() int { return len(b.streams) }
