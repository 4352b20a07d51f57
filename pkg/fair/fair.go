// Package fair measures what organisations get of an upstream: each has a share in proportion to its
// usual load. An organisation with many times its usual load thus exceeds its share.
//
// The load that it is designed for: 16 organisations, the largest with a third of the traffic, and one
// of the others at 6 to 7 times its usual load. Equal shares would let that one take from the
// largest, which is why shares follow the usual load.
package fair

import (
	"math"
	"slices"
	"time"
)

const (
	// usualHalfLife is the half-life of the measurement of the usual load.
	usualHalfLife = 10 * time.Minute
	// recentHalfLife is the half-life of the measurement of the present load. With 10 s, a surge of
	// 30 s raised the measured usual load by half of itself.
	recentHalfLife = 4 * time.Second
	// gotHalfLife is the half-life of the measurement of what organisations have got. It evens out
	// the usual variation of a load of 2 requests a second.
	gotHalfLife = 10 * time.Second
	// maxGrowth is the multiple of its usual load up to which an organisation's present load
	// counts as usual load. Without it, a surge soon after the start of a gate would be
	// taken for the usual load.
	maxGrowth = 1.25
	// hot is the multiple of its usual load from which on an organisation gets its share divided
	// by hotFactor: what the upstream can serve above the usual load of all is left for those
	// whose load varies as usual.
	hot, hotFactor = 2.0, 1.25
	// tolerance is the multiple of its share that an organisation may get before it exceeds it,
	// unless it has more than hot times its usual load.
	tolerance = 1.5
	// equalShare is the part of the upstream that is divided equally, so that an organisation
	// that was not seen for long has a share too.
	equalShare = 0.1
	// maxOrganisations bounds the state; the organisation with the least usual load is dropped.
	maxOrganisations = 256
)

// usage is what one organisation has asked for and got.
type usage struct {
	since  time.Time // when its first request came
	at     time.Time // when the sums below were last decayed
	usual  float64   // decayed number of its requests, of a surge only up to maxGrowth
	recent float64   // the same of the last seconds, and with the whole of a surge
	got    float64   // decayed number of its requests that were served
}

func (u *usage) decay(now time.Time) {
	passed := now.Sub(u.at)
	if passed <= 0 {
		return
	}
	u.at = now
	u.usual *= math.Exp2(-passed.Seconds() / usualHalfLife.Seconds())
	u.recent *= math.Exp2(-passed.Seconds() / recentHalfLife.Seconds())
	u.got *= math.Exp2(-passed.Seconds() / gotHalfLife.Seconds())
}

// growth returns the present load as a multiple of the usual load.
func (u *usage) growth(now time.Time) float64 {
	age := max(now.Sub(u.since), time.Second)
	usual, recent := u.usual/weight(usualHalfLife, age), u.recent/weight(recentHalfLife, age)
	if usual == 0 {
		return 1
	}
	return recent / usual
}

// weight returns the decayed sum of a load of 1 that has lasted for the given time.
func weight(halfLife, age time.Duration) float64 {
	return halfLife.Seconds() / math.Ln2 * (1 - math.Exp2(-age.Seconds()/halfLife.Seconds()))
}

// Shares measures what organisations ask of one upstream and get from it. It is not safe for
// concurrent use.
type Shares struct {
	organisations map[string]*usage
	list          []*usage // the same in the order of their first requests, so that sums do not depend on the order of a map
}

// New returns Shares without measurements.
func New() *Shares { return &Shares{organisations: map[string]*usage{}} }

func (s *Shares) usage(now time.Time, organisation string) *usage {
	u, ok := s.organisations[organisation]
	if !ok {
		if len(s.organisations) >= maxOrganisations {
			s.dropLeast()
		}
		u = &usage{since: now, at: now}
		s.organisations[organisation] = u
		s.list = append(s.list, u)
	}
	u.decay(now)
	return u
}

func (s *Shares) dropLeast() {
	least, found := "", false
	for name, u := range s.organisations {
		if l := s.organisations[least]; !found || u.usual < l.usual || u.usual == l.usual && name < least {
			least, found = name, true
		}
	}
	u := s.organisations[least]
	s.list = slices.DeleteFunc(s.list, func(o *usage) bool { return o == u })
	delete(s.organisations, least)
}

// Ask counts a request, whether it is served in the end or not.
func (s *Shares) Ask(now time.Time, organisation string) {
	u := s.usage(now, organisation)
	u.recent++
	u.usual += min(1, maxGrowth/max(u.growth(now), 1))
}

// Serve counts a request that is served now.
func (s *Shares) Serve(now time.Time, organisation string) { s.usage(now, organisation).got++ }

// taken returns what an organisation has got lately, in multiples of what it would have got of
// the whole by its share.
func (s *Shares) taken(now time.Time, organisation string, share float64) float64 {
	if u, ok := s.organisations[organisation]; ok {
		if u.growth(now) > hot {
			return hotFactor * u.got / share
		}
		return u.got / share
	}
	return 0
}

// total returns the usual load of all organisations.
func (s *Shares) total(now time.Time) float64 {
	sum := 0.0
	for _, u := range s.list {
		u.decay(now)
		sum += u.usual
	}
	return sum
}

// Exceeds reports whether an organisation has got more than its share of what was served in the
// last seconds.
func (s *Shares) Exceeds(now time.Time, organisation string) bool {
	total, got := s.total(now), 0.0
	for _, u := range s.list {
		got += u.got
	}
	limit := tolerance * got
	if u, ok := s.organisations[organisation]; ok && u.growth(now) > hot {
		limit = got
	}
	return s.taken(now, organisation, s.share(organisation, total)) > limit
}

// share returns an organisation's share of the upstream while all want more; the shares add up to 1.
func (s *Shares) share(organisation string, total float64) float64 {
	share := equalShare / float64(max(len(s.organisations), 1))
	if u, ok := s.organisations[organisation]; ok && total > 0 {
		share += (1 - equalShare) * u.usual / total
	}
	return share
}

// Len returns the number of organisations that are measured.
func (s *Shares) Len() int { return len(s.organisations) }
