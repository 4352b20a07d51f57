package pace

import (
	"time"

	"golang.org/x/time/rate"
)

// Gate keeps the requests of all VMs to one upstream within its limit. It is not safe for
// concurrent use.
type Gate struct {
	limiter *rate.Limiter
	turn    time.Time // when the last caller of Take that has to wait is to ask again
}

const (
	// minRate is the least rate of a gate, in requests per second. An upstream that takes
	// no requests must get one now and then, or its limit would never end.
	minRate = 0.5
	// burstTime is how long an unused rate is saved up.
	burstTime = 500 * time.Millisecond
	// maxWait is the longest wait that Take returns.
	maxWait = 5 * time.Second
)

// NewGate returns a gate for a rate in requests per second. It lets the first request
// through once the rate allows one: others may have let requests through before.
func NewGate(now time.Time, requests float64) *Gate {
	limit, burst := gateLimit(requests)
	g := &Gate{limiter: rate.NewLimiter(limit, burst)}
	g.limiter.AllowN(now, burst)
	return g
}

func gateLimit(requests float64) (rate.Limit, int) {
	limit := max(requests, minRate)
	return rate.Limit(limit), 1 + int(limit*burstTime.Seconds())
}

// SetRate changes the rate.
func (g *Gate) SetRate(now time.Time, requests float64) {
	limit, burst := gateLimit(requests)
	g.limiter.SetLimitAt(now, limit)
	g.limiter.SetBurstAt(now, burst)
}

// Open reports whether a request may be sent now.
func (g *Gate) Open(now time.Time) bool { return g.limiter.TokensAt(now) >= 1 }

// Pass counts a request that is sent now, and reports whether the rate allows it.
func (g *Gate) Pass(now time.Time) bool { return g.limiter.AllowN(now, 1) }

// Wait returns the time until a request may be sent that has others ahead of it.
func (g *Gate) Wait(now time.Time, ahead int) time.Duration {
	missing := float64(ahead+1) - g.limiter.TokensAt(now)
	return time.Duration(max(missing, 0) / float64(g.limiter.Limit()) * float64(time.Second))
}

// Take counts a request that is to be sent now and returns 0, or returns after what time to
// ask again. Callers that have to wait get times one after the other, at the rate.
func (g *Gate) Take(now time.Time) time.Duration {
	if g.Pass(now) {
		return 0
	}
	turn := g.turn.Add(time.Duration(float64(time.Second) / float64(g.limiter.Limit())))
	if next := now.Add(g.Wait(now, 0)); turn.Before(next) {
		turn = next
	}
	if last := now.Add(maxWait); turn.After(last) {
		turn = last
	}
	g.turn = turn
	return turn.Sub(now)
}

// Burst returns the number of requests that may be sent at once.
func (g *Gate) Burst() int { return g.limiter.Burst() }
