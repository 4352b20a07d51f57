// Package demand estimates how often an adapter will be requested. The request
// rate is averaged over a long time, to tell rare adapters apart. It decays fast
// once an adapter gets no requests for longer than its rate explains, so that a
// change of popularity shows within seconds.
package demand

import (
	"math"
	"time"
)

// Config configures the estimates.
type Config struct {
	HalfLife time.Duration // half-life of a request's weight in the rate
	MinAge   time.Duration // minimum time over which requests are averaged
}

// Meter counts the requests for one adapter. Its zero value has seen none.
type Meter struct {
	count   float64   // requests, each decayed since it was added
	first   time.Time // when the first request was added; zero if none was
	updated time.Time // when the last request was added
}

// Add counts a request at now.
func (m *Meter) Add(now time.Time, c Config) {
	if m.first.IsZero() {
		m.first, m.updated = now, now
	}
	m.count = m.decayed(now, c) + 1
	m.updated = now
}

func (m *Meter) decayed(now time.Time, c Config) float64 {
	return m.count * math.Exp2(-float64(now.Sub(m.updated))/float64(c.HalfLife))
}

// LastAdded returns when the last request was added.
func (m *Meter) LastAdded() time.Time { return m.updated }

// Rate returns the average number of requests per second at now.
func (m *Meter) Rate(now time.Time, c Config) float64 {
	if m.first.IsZero() {
		return 0
	}
	age := max(now.Sub(m.first), c.MinAge)
	weight := 1 - math.Exp2(-float64(age)/float64(c.HalfLife))
	return m.decayed(now, c) * math.Ln2 / c.HalfLife.Seconds() / weight
}

// LowerBound returns a lower bound on the rate that likely holds: the first
// request only starts the measurement and is not counted, and one standard
// deviation of the other requests is subtracted. So a few requests at the same
// time do not raise it.
func (m *Meter) LowerBound(now time.Time, c Config) float64 {
	if m.first.IsZero() {
		return 0
	}
	count := m.decayed(now, c)
	lower := count - 1 - math.Sqrt(max(count-1, 0))
	return m.Rate(now, c) * max(lower, 0) / max(count, 1)
}

// missingLimit is how many expected requests may be missing before the rate of an
// adapter starts to decay.
const missingLimit = 4

// Decay returns the expected rate of an adapter with the given average rate after
// the given time without requests.
func Decay(rate float64, idle time.Duration) float64 {
	missing := rate*idle.Seconds() - missingLimit
	if missing <= 0 {
		return rate
	}
	return rate * math.Exp(-missing)
}
