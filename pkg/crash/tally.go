package crash

import "time"

// TallyConfig configures a Tally.
type TallyConfig struct {
	Upstreams   int           // number of different upstreams that a request has to crash to be blocked
	TTL         time.Duration // how long crashes count after the last one
	MaxRequests int           // maximum number of requests that are remembered
}

// Tally counts the different upstreams that crashed while they ran requests of the
// same content. Its methods must not be called concurrently.
type Tally struct {
	config TallyConfig
	counts map[Fingerprint]*crashCount
}

type crashCount struct {
	upstreams map[string]bool
	last      time.Time // when the last crash was recorded
}

// NewTally returns an empty tally.
func NewTally(c TallyConfig) *Tally { return &Tally{config: c, counts: map[Fingerprint]*crashCount{}} }

// RecordCrash records that an upstream crashed while it ran a request. It reports
// whether the request is to be blocked, and does so again for each further crash.
func (t *Tally) RecordCrash(now time.Time, f Fingerprint, upstream string) bool {
	c, ok := t.counts[f]
	if !ok || now.Sub(c.last) > t.config.TTL {
		if !ok && len(t.counts) >= t.config.MaxRequests {
			t.evict(now)
		}
		c = &crashCount{upstreams: map[string]bool{}}
		t.counts[f] = c
	}
	c.last = now
	c.upstreams[upstream] = true
	return len(c.upstreams) >= t.config.Upstreams
}

// evict makes room for one more request. It removes the requests whose crashes no
// longer count or, if there are none, the one whose last crash is the oldest.
func (t *Tally) evict(now time.Time) {
	var oldest Fingerprint
	var at time.Time
	for f, c := range t.counts {
		if now.Sub(c.last) > t.config.TTL {
			delete(t.counts, f)
		} else if at.IsZero() || c.last.Before(at) {
			oldest, at = f, c.last
		}
	}
	if len(t.counts) >= t.config.MaxRequests {
		delete(t.counts, oldest)
	}
}
