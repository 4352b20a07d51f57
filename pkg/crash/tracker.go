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
	PartBlock time.Duration // the same as Block for parts of prompts; Block if not set
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
// share, only those crashes count that no blocked request or content explains. A cause with more
// crashes explains those that one of its kind has in common with it; a request or content that has
// others besides keeps them all. Parts with the same crashes
// cannot be told apart until one more run of each tells which it is; so they are blocked for a
// shorter time at first. A Tracker has no state but the runs that were
// recorded, so all trackers with the same runs block the same requests. Its methods must
// not be called concurrently.
type Tracker struct {
	config TrackerConfig
	runs   map[Fingerprint][]Run // sorted by Ended
	guilty map[Fingerprint]Kind  // requests and contents that have enough crashes to be blocked
	parts  map[Fingerprint]Kind  // parts that have enough crashes to be blocked
}

// NewTracker returns an empty tracker.
func NewTracker(c TrackerConfig) *Tracker {
	return &Tracker{config: c, runs: map[Fingerprint][]Run{}, guilty: map[Fingerprint]Kind{}, parts: map[Fingerprint]Kind{}}
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
	if len(runs) >= t.limit(runs) {
		t.suspects(r.Kind)[f] = r.Kind
	}
	return true
}

// Clear forgets the crashes under a cause. It is to be called when a request with it has
// run to its end.
func (t *Tracker) Clear(f Fingerprint) {
	delete(t.runs, f)
	delete(t.guilty, f)
	delete(t.parts, f)
}

// suspects returns the causes that have enough crashes to be blocked, with those of a kind.
func (t *Tracker) suspects(kind Kind) map[Fingerprint]Kind {
	if kind == Part {
		return t.parts
	}
	return t.guilty
}

// Runs returns the runs of a cause during which an upstream crashed, one for each crash.
func (t *Tracker) Runs(f Fingerprint) []Run { return t.runs[f] }

// Counted returns the runs of a cause that count for it.
func (t *Tracker) Counted(f Fingerprint) []Run { return t.counted(f, nil) }

// counted returns the runs of a cause that count for it, where the crashes of weak causes, if
// that is not nil, explain nothing.
func (t *Tracker) counted(f Fingerprint, weak func(Fingerprint) bool) []Run {
	runs := t.unexplained(f)
	if len(runs) == 0 {
		return runs
	}
	kind, better := runs[0].Kind, []Fingerprint(nil)
	for other, otherKind := range t.suspects(kind) {
		if otherKind == kind && len(t.runs[other]) > len(t.runs[f]) && (weak == nil || !weak(other)) {
			better = append(better, other)
		}
	}
	if len(better) == 0 {
		return runs
	}
	left := slices.DeleteFunc(slices.Clone(runs), func(r Run) bool {
		return slices.ContainsFunc(better, func(other Fingerprint) bool { return t.saw(other, r) })
	})
	if kind != Part && len(left) > 0 { // it has crashed an upstream that the others did not run at
		return runs
	}
	return left
}

// saw reports whether a run of a cause saw the same crash as another run.
func (t *Tracker) saw(f Fingerprint, r Run) bool {
	return slices.ContainsFunc(t.runs[f], func(known Run) bool { return known.sameCrash(r, t.config.Restart) })
}

// unexplained returns the runs of a cause without the crashes that blocked requests, or contents,
// explain.
func (t *Tracker) unexplained(f Fingerprint) []Run {
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
		if kind == Content && (r.Kind == Content || len(t.unexplained(f)) == 0) {
			continue
		}
		if t.saw(f, r) {
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
func (t *Tracker) BlockedUntil(f Fingerprint) time.Time { return t.blockedUntil(f, nil) }

func (t *Tracker) blockedUntil(f Fingerprint, weak func(Fingerprint) bool) time.Time {
	runs := t.counted(f, weak)
	limit := t.limit(runs)
	if len(runs) < limit {
		return time.Time{}
	}
	block := t.config.Block
	if runs[0].Kind == Part && t.config.PartBlock > 0 {
		block = t.config.PartBlock
	}
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
// an upstream has crashed; the zero time if too few have. The crashes of weak causes explain no
// others; nil if there are none.
func (t *Tracker) Blocked(weak func(Fingerprint) bool) map[Fingerprint]time.Time {
	blocked := make(map[Fingerprint]time.Time, len(t.runs))
	for f := range t.runs {
		blocked[f] = t.blockedUntil(f, weak)
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
