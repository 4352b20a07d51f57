package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

var start = time.Unix(1_000_000, 0)

func upstream(draining bool, startTime int64) roster.Upstream {
	return roster.Upstream{ID: "u", Service: "s", Draining: draining, StartTime: startTime}
}

func TestChanges(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries []roster.Upstream
		want    roster.Change
		serving int
	}{
		{"new", []roster.Upstream{upstream(false, 1)}, roster.Added, 1},
		{"same", []roster.Upstream{upstream(false, 1), upstream(false, 1)}, roster.Unchanged, 1},
		{"drains", []roster.Upstream{upstream(false, 1), upstream(true, 1)}, roster.Draining, 0},
		{"entry from before it drained", []roster.Upstream{upstream(true, 1), upstream(false, 1)}, roster.Unchanged, 0},
		{"restarts", []roster.Upstream{upstream(true, 1), upstream(false, 2)}, roster.Restarted, 1},
		{"entry of an earlier run", []roster.Upstream{upstream(false, 2), upstream(true, 1)}, roster.Stale, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := roster.New()
			var last roster.Change
			for _, u := range c.entries {
				last = table.Apply(u)
			}
			is.Equal(last, c.want)
			is.Equal(len(table.Serving()["s"]), c.serving)
		})
	}
}

func TestMissingEntry(t *testing.T) {
	const grace = 2 * time.Second
	is := is.New(t)
	table := roster.New()
	table.Apply(upstream(false, 1))

	is.True(table.MarkMissing(start, "u", grace)) // after an outage of the store
	is.Equal(len(table.Expire(start.Add(time.Second))), 0)
	is.Equal(len(table.Serving()["s"]), 1)
	is.Equal(table.Apply(upstream(false, 1)), roster.Added) // the entry is back
	is.Equal(len(table.Expire(start.Add(time.Minute))), 0)

	is.True(table.MarkMissing(start, "u", 0))
	gone := table.Expire(start)
	is.Equal(len(gone), 1)
	is.Equal(gone[0].ID, "u")
	is.Equal(len(table.IDs()), 0)
}
