package origin_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/origin"
)

func TestBacklog(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	key := origin.KeyOf
	stream := func(id, software string, began time.Duration) origin.Stream {
		return origin.Stream{Key: key(id), Origin: origin.Origin{Service: "lm", Software: software}, Began: at(began)}
	}
	for _, c := range []struct {
		name    string
		prepare func(b *origin.Backlog)
		want    []origin.Stream
	}{
		{name: "in the order in which they began", want: []origin.Stream{stream("a", "v1", 1), stream("b", "v1", 2)}, prepare: func(b *origin.Backlog) {
			b.Add(start, stream("b", "v1", 2))
			b.Add(start, stream("a", "v1", 1))
		}},
		{name: "not due", prepare: func(b *origin.Backlog) { b.Add(at(time.Hour), stream("a", "v1", 0)) }},
		{name: "too old", prepare: func(b *origin.Backlog) { b.Add(start, stream("a", "v1", -time.Hour)) }},
		{name: "saved by another VM", prepare: func(b *origin.Backlog) {
			b.Add(start, stream("a", "v1", 1))
			b.Saved(at(1), key("a"))
		}},
		{name: "another VM saved an earlier one", want: []origin.Stream{stream("a", "v1", 2)}, prepare: func(b *origin.Backlog) {
			b.Add(start, stream("a", "v1", 2))
			b.Saved(at(1), key("a"))
		}},
		{name: "an id comes again", want: []origin.Stream{stream("a", "v2", 2)}, prepare: func(b *origin.Backlog) {
			b.Add(start, stream("a", "v1", 1))
			b.Add(start, stream("a", "v2", 2))
			b.Add(start, stream("a", "v1", 1))
		}},
		{name: "stays due when it is added again", want: []origin.Stream{stream("a", "v1", 2)}, prepare: func(b *origin.Backlog) {
			b.Add(start, stream("a", "v1", 1))
			b.Add(at(time.Hour), stream("a", "v1", 2))
		}},
		{name: "failed", prepare: func(b *origin.Backlog) { b.Failed(at(time.Second), []origin.Stream{stream("a", "v1", 1)}) }},
		{name: "the oldest are dropped", want: []origin.Stream{stream("c", "v1", 3), stream("d", "v1", 4), stream("e", "v1", 5), stream("f", "v1", 6)}, prepare: func(b *origin.Backlog) {
			for i, id := range []string{"a", "b", "c", "d", "e", "f"} {
				b.Add(start, stream(id, "v1", time.Duration(i+1)))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := origin.NewBacklog(origin.BacklogConfig{Lifetime: time.Minute, Retry: time.Second, MaxStreams: 4})
			c.prepare(b)
			is.Equal(b.Take(at(time.Second)), c.want)
		})
	}
}
