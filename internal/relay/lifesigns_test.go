package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// Guards against a crash that is not held against its request, because data that the
// upstream had sent to others before was still on its way.
func TestDataInTransitIsNoLifeSign(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000_000, 0)
	x := &exchange{Handler: &Handler{lifeSigns: lifeSigns{started: start, at: map[string]*lifeSign{}}}}
	u := roster.Upstream{ID: "e1"}
	for _, c := range []struct {
		heard  time.Duration // when another request got something, after this one was sent
		silent bool
	}{{0, true}, {transitTime, true}, {2 * transitTime, false}} {
		run := x.beginRun(start, u)
		x.beginRun(start, u).note(start.Add(c.heard))
		is.Equal(run.silent(), c.silent)
	}
}
