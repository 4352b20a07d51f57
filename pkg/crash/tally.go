package crash

import "time"

// TallyConfig sets when a Tally reports that a request is to be blocked, and how
// long and for how many requests it remembers crashes.
type TallyConfig struct {
	Upstreams   int           // a request is to be blocked after this many different upstreams crashed while they ran it
	TTL         time.Duration // the crashes of a request are forgotten when no further one follows for this long
	MaxRequests int           // maximum number of requests whose crashes are remembered
}

// Tally counts, for each fingerprint, the different upstreams that crashed while
// they ran a request with that fingerprint. Its methods must not be called
// concurrently.
type Tally struct {
	config  TallyConfig
	crashes map[Fingerprint]*history
}

// history holds the upstreams that crashed while they ran a request with one
// fingerprint.
type history struct {
	upstreams map[string]bool
	last      time.Time // when the last crash was recorded
}

// NewTally returns an empty tally.
func NewTally(c TallyConfig) *Tally { return &Tally{config: c, crashes: map[Fingerprint]*history{}} }

// RecordCrash records that an upstream crashed while it ran a request. It reports
// whether the request is to be blocked. After it has returned true for a request,
// it also does so for each further crash within TallyConfig.TTL of the previous
// crash, unless the request was evicted in between.
func (t *Tally) RecordCrash(now time.Time, f Fingerprint, upstream string) bool {
	c, ok := t.crashes[f]
	if !ok || now.Sub(c.last) > t.config.TTL {
		if !ok && len(t.crashes) >= t.config.MaxRequests {
			t.evict(now)
		}
		c = &history{upstreams: map[string]bool{}}
		t.crashes[f] = c
	}
	c.last = now
	c.upstreams[upstream] = true
	return len(c.upstreams) >= t.config.Upstreams
}

// Count returns the number of different upstreams that crashed while they ran a
// request, as far as they are remembered.
func (t *Tally) Count(f Fingerprint) int {
	if c, ok := t.crashes[f]; ok {
		return len(c.upstreams)
	}
	return 0
}

// evict makes room for one more request. It removes the requests whose last crash
// is older than the TTL or, if that frees no room, the request with the oldest last
// crash.
func (t *Tally) evict(now time.Time) {
	var oldest Fingerprint
	var at time.Time
	for f, c := range t.crashes {
		if now.Sub(c.last) > t.config.TTL {
			delete(t.crashes, f)
		} else if at.IsZero() || c.last.Before(at) {
			oldest, at = f, c.last
		}
	}
	if len(t.crashes) >= t.config.MaxRequests {
		delete(t.crashes, oldest)
	}
}
