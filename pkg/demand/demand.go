// Package demand estimates how often an adapter will be requested. A Meter averages
// the request rate over a configured half-life. With a long half-life, rarely used
// adapters can be told apart by their rates. Decay lowers the rate of an adapter
// that has had no requests for much longer than its rate suggests, so that a loss of
// popularity shows within seconds.
package demand

import (
	"math"
	"time"
)

// Config sets the time over which a Meter averages requests.
type Config struct {
	HalfLife time.Duration // half-life of a request's weight in the rate
	MinAge   time.Duration // minimum time over which requests are averaged, even if the first one is more recent
}

// Meter measures the rate of requests for one adapter. The zero value is a meter
// that has counted no requests.
type Meter struct {
	count   float64   // sum of the weights of all requests at the time updated; a weight starts at 1 and halves every HalfLife
	first   time.Time // when the first request was added; zero if none was
	updated time.Time // when the last request was added; zero if none was
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

// LastAdded returns when the last request was added, or the zero time if none was.
func (m *Meter) LastAdded() time.Time { return m.updated }

// Age returns the time since the first request was added, or 0 if none was.
func (m *Meter) Age(now time.Time) time.Duration {
	if m.first.IsZero() {
		return 0
	}
	return now.Sub(m.first)
}

// Rate returns the average number of requests per second at now. Older requests
// weigh less, as Config.HalfLife states.
func (m *Meter) Rate(now time.Time, c Config) float64 {
	if m.first.IsZero() {
		return 0
	}
	age := max(now.Sub(m.first), c.MinAge)
	weight := 1 - math.Exp2(-float64(age)/float64(c.HalfLife))
	return m.decayed(now, c) * math.Ln2 / c.HalfLife.Seconds() / weight
}

// LowerBound returns a likely lower bound on the rate. It leaves out one request,
// as the first one only starts the measurement, and subtracts one standard deviation
// of the number of the others. One or two simultaneous requests thus give a bound of
// 0, and with a few more the bound stays far below the rate.
func (m *Meter) LowerBound(now time.Time, c Config) float64 {
	if m.first.IsZero() {
		return 0
	}
	count := m.decayed(now, c)
	lower := count - 1 - math.Sqrt(max(count-1, 0))
	return m.Rate(now, c) * max(lower, 0) / max(count, 1)
}

// missingLimit is the number of requests expected during the idle time (rate times
// idle time) beyond which Decay lowers the rate.
const missingLimit = 4

// Decay returns the rate to expect of an adapter that had the given average rate
// before, and has had no requests during the idle time.
func Decay(rate float64, idle time.Duration) float64 {
	missing := rate*idle.Seconds() - missingLimit
	if missing <= 0 {
		return rate
	}
	return rate * math.Exp(-missing)
}
