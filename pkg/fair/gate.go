package fair

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/pace"
)

// Gate keeps the requests to an upstream that names a limit within it. Nothing waits at it, so that
// half of the burst is kept for organisations that have not got more than their shares.
type Gate struct {
	*pace.Gate
	shares *Shares // nil until a request of an organisation has come
}

// NewGate returns a gate for a rate in requests per second.
func NewGate(now time.Time, rate float64) *Gate { return &Gate{Gate: pace.NewGate(now, rate)} }

// Take counts a request of an organisation ("" for none) that is to be sent now and returns 0, or
// returns after what time to ask again.
func (g *Gate) Take(now time.Time, organisation string) time.Duration {
	if organisation == "" && g.shares == nil {
		return g.Gate.Take(now)
	}
	if g.shares == nil {
		g.shares = New()
	}
	g.shares.Ask(now, organisation)
	if wait := g.Wait(now, g.Burst()/2); wait > 0 && g.shares.Exceeds(now, organisation) {
		return wait // takes no turn from the others
	}
	wait := g.Gate.Take(now)
	if wait == 0 {
		g.shares.Serve(now, organisation)
	}
	return wait
}
