package roster_test

import (
	"net/netip"
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

// Guards against requests to an upstream whose address another process uses since (soak
// seed 6): it rejects them.
func TestUpstreamAtAnAddressThatIsUsedAgainIsDisplaced(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:1")
	at := func(id string, port uint16, started int64) roster.Upstream {
		return roster.Upstream{ID: id, Address: netip.AddrPortFrom(address.Addr(), port), StartTime: started}
	}
	for _, c := range []struct {
		name string
		next roster.Upstream
		want []string
	}{
		{"started later", at("b", 1, 8), []string{"a"}},
		{"another address", at("b", 2, 8), nil},
		{"started earlier, from an old copy", at("b", 1, 6), []string{"b"}},
		{"without a start time", at("b", 1, 0), nil},
		{"the same one", at("a", 1, 8), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := roster.New()
			table.Apply(at("a", 1, 7))
			table.Apply(c.next)
			is.Equal(table.Displaced(c.next), c.want)
		})
	}
}

// A VM may hear that an upstream leaves before it learns of the start of that run.
func TestUpstreamThatLeavesAfterAStartThatIsNotKnown(t *testing.T) {
	for _, c := range []struct {
		started int64 // of the run that becomes known
		leaving bool
	}{{start.Add(-time.Second).UnixMilli(), true}, {start.Add(time.Second).UnixMilli(), false}} {
		is := is.New(t)
		table := roster.New()
		table.Apply(upstream(false, 1))
		table.NoteLeaving(start, roster.Run{ID: "u", StartTime: 1})
		is.Equal(table.Apply(upstream(false, c.started)), roster.Restarted)
		is.Equal(len(table.Serving()) == 0, c.leaving)
	}
}
