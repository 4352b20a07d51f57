package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// TrackerConfig sets when a Tracker blocks a request, for how long, and what it
// remembers.
type TrackerConfig struct {
	Crashes   int           // a cause is blocked once this many upstreams have crashed under it
	Alone     int           // the same for causes whose runs were alone (Run.Alone)
	Harmless  int           // the same for causes of which a run was harmless (Run.Harmless); Crashes if not set
	Block     time.Duration // how long it is blocked after the last of these crashes; blockGrowth times as long for each further crash
	MaxBlock  time.Duration // longest time for which a cause is blocked
	TTL       time.Duration // the crashes under a cause are forgotten when no further one follows for this long, not counting the time for which it is blocked
	Restart   time.Duration // shortest time from a crash of an upstream until it runs requests again
	MaxCauses int           // maximum number of causes whose crashes are remembered
}

// blockGrowth is how many times longer a cause is blocked after each further crash.
const blockGrowth = 16

// maxRuns bounds the runs that are remembered of one cause.
const maxRuns = 10

// Tracker counts, for each cause, the crashes of upstreams that ran a request with it. A
// request that is blocked explains its crashes: a content that has no others merely ran
// beside it, or is the same, and is not blocked. For parts of prompts, which many requests
// share, only those crashes count that no blocked request or content explains. A Tracker has no state but the runs that were
// recorded, so all trackers with the same runs block the same requests. Its methods must
// not be called concurrently.
type Tracker struct {
	config TrackerConfig
	runs   map[Fingerprint][]Run // sorted by Ended
	guilty map[Fingerprint]Kind  // requests and contents that have enough crashes to be blocked
}

// NewTracker returns an empty tracker.
func NewTracker(c TrackerConfig) *Tracker {
	return &Tracker{config: c, runs: map[Fingerprint][]Run{}, guilty: map[Fingerprint]Kind{}}
}

// Record records a crash of an upstream under a cause. It returns false if the
// crash is already known or too old.
func (t *Tracker) Record(now time.Time, f Fingerprint, r Run) bool {
	if now.Sub(r.Ended) > t.config.MaxBlock+t.config.TTL {
		return false
	}
	known := t.runs[f]
	if slices.ContainsFunc(known, func(k Run) bool { return k.ID == r.ID || k.sameCrash(r, t.config.Restart) }) {
		return false
	}
	if len(known) >= maxRuns && r.Ended.Before(known[0].Ended) {
		return false
	}
	if len(known) == 0 && len(t.runs) >= t.config.MaxCauses {
		t.evict(now)
	}
	runs := append(slices.Clone(known), r)
	slices.SortFunc(runs, func(a, b Run) int { return a.Ended.Compare(b.Ended) })
	runs = runs[max(len(runs)-maxRuns, 0):]
	t.runs[f] = runs
	if r.Kind != Part && len(runs) >= t.limit(runs) {
		t.guilty[f] = r.Kind
	}
	return true
}

// Clear forgets the crashes under a cause. It is to be called when a request with it has
// run to its end.
func (t *Tracker) Clear(f Fingerprint) {
	delete(t.runs, f)
	delete(t.guilty, f)
}

// Runs returns the runs of a cause during which an upstream crashed, one for each crash.
func (t *Tracker) Runs(f Fingerprint) []Run { return t.runs[f] }

// Counted returns the runs of a cause that count for it.
func (t *Tracker) Counted(f Fingerprint) []Run {
	runs := t.runs[f]
	if len(t.guilty) == 0 || len(runs) == 0 || runs[0].Kind == Repeat {
		return runs
	}
	left := slices.DeleteFunc(slices.Clone(runs), t.explained)
	if runs[0].Kind == Content && len(left) > 0 { // more than something that ran beside the request
		return runs
	}
	return left
}

// explained reports whether a blocked request ran at the upstream when it crashed or, for a
// part, a blocked content.
func (t *Tracker) explained(r Run) bool {
	for f, kind := range t.guilty {
		if kind == Content && (r.Kind == Content || len(t.Counted(f)) == 0) {
			continue
		}
		if slices.ContainsFunc(t.runs[f], func(b Run) bool { return b.sameCrash(r, t.config.Restart) }) {
			return true
		}
	}
	return false
}

// Covers reports whether all crashes under one cause were crashes under another too.
func (t *Tracker) Covers(other, f Fingerprint) bool {
	return len(t.Unknown(f, t.runs[other])) == 0
}

// Unknown returns the runs of a cause that saw other crashes than the given runs.
func (t *Tracker) Unknown(f Fingerprint, given []Run) []Run {
	return slices.DeleteFunc(slices.Clone(t.runs[f]), func(r Run) bool {
		return slices.ContainsFunc(given, func(g Run) bool { return g.ID == r.ID || g.sameCrash(r, t.config.Restart) })
	})
}

// Repeated returns the causes under which at least the given number of upstreams
// have crashed, in no particular order.
func (t *Tracker) Repeated(crashes int) []Fingerprint {
	var list []Fingerprint
	for f, runs := range t.runs {
		if len(runs) >= crashes {
			list = append(list, f)
		}
	}
	return list
}

// BlockedUntil returns the end of the time for which a cause is blocked. It is the
// zero time if too few upstreams have crashed.
func (t *Tracker) BlockedUntil(f Fingerprint) time.Time {
	runs := t.Counted(f)
	limit := t.limit(runs)
	if len(runs) < limit {
		return time.Time{}
	}
	block := t.config.Block
	for range len(runs) - limit {
		block = min(blockGrowth*block, t.config.MaxBlock)
	}
	return runs[len(runs)-1].Ended.Add(block)
}

// limit returns the number of crashes at which a cause with these runs is blocked.
func (t *Tracker) limit(runs []Run) int {
	switch {
	case len(runs) > 0 && runs[0].Alone:
		return t.config.Alone
	case t.config.Harmless > 0 && slices.ContainsFunc(runs, func(r Run) bool { return r.Harmless }):
		return t.config.Harmless
	default:
		return t.config.Crashes
	}
}

// Blocked returns the end of the time for which each cause is blocked under which
// an upstream has crashed; the zero time if too few have.
func (t *Tracker) Blocked() map[Fingerprint]time.Time {
	blocked := make(map[Fingerprint]time.Time, len(t.runs))
	for f := range t.runs {
		blocked[f] = t.BlockedUntil(f)
	}
	return blocked
}

// Expire forgets the causes whose last crash, and the end of whose block, are older than
// TrackerConfig.TTL, and returns their fingerprints.
func (t *Tracker) Expire(now time.Time) []Fingerprint {
	var expired []Fingerprint
	for f, runs := range t.runs {
		if now.Sub(runs[len(runs)-1].Ended) > t.config.TTL && now.Sub(t.BlockedUntil(f)) > t.config.TTL {
			t.Clear(f)
			expired = append(expired, f)
		}
	}
	return expired
}

// evictShare is the share of the causes, as a divisor, that evict removes at once.
const evictShare = 16

// evict makes room for more causes. It removes the expired causes or, if there are none,
// some of those with the fewest crashes, of these the ones with the oldest.
func (t *Tracker) evict(now time.Time) {
	if len(t.Expire(now)) > 0 {
		return
	}
	last := func(f Fingerprint) Run { return t.runs[f][len(t.runs[f])-1] }
	list := slices.SortedFunc(maps.Keys(t.runs), func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(t.runs[a]), len(t.runs[b])), last(a).Ended.Compare(last(b).Ended), cmp.Compare(a, b))
	})
	for _, f := range list[:1+len(list)/evictShare] {
		t.Clear(f)
	}
}
