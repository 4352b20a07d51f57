// Package proof decides how long a VM may rely on what it has read of a log that others write.
// Times are durations since the boot of the machine, which include the time for which it was
// suspended.
package proof

import (
	"cmp"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/cursor"
)

// Point shows that a VM which has applied all records before a position knew, at a time, all
// that the log held.
type Point struct {
	Position cursor.Position
	At       time.Duration
}

// Config holds the options of a Tracker.
type Config struct {
	// ReadAfter is the age from which on a VM that hears nothing from others reads the log itself.
	ReadAfter time.Duration
	// ReadSpread is the longest random delay of such a read, so that the VMs don't all read at once.
	ReadSpread time.Duration
}

// maxPending bounds the number of proofs that wait for records to be applied.
const maxPending = 16

// Tracker tracks how old the knowledge of a VM is. It is not safe for concurrent use.
type Tracker struct {
	config  Config
	best    Point         // applied proof with the latest time
	proved  bool          // best is set
	pending []Point       // for positions beyond those that are applied, the latest last
	dueAt   time.Duration // when this VM is to read the log itself; 0 if that was not decided
}

// New returns a tracker that knows nothing.
func New(c Config) *Tracker { return &Tracker{config: c} }

// SetConfig replaces the options.
func (t *Tracker) SetConfig(c Config) { t.config, t.dueAt = c, 0 }

// covers reports whether everything before a position was applied. Offsets of two eras can't be
// compared: an older copy of the log may lack records of the era before.
func covers(applied, p cursor.Position) bool {
	return applied.Era == p.Era && applied.Offset >= p.Offset
}

// Prove adds a proof. Applied is the position up to which this VM has applied the log.
func (t *Tracker) Prove(p Point, applied cursor.Position) {
	if t.proved && p.At <= t.best.At {
		return
	}
	if covers(applied, p.Position) {
		t.best, t.proved = p, true
		return
	}
	if i, found := slices.BinarySearchFunc(t.pending, p, func(a, b Point) int { return cmp.Compare(a.At, b.At) }); !found {
		t.pending = slices.Insert(t.pending, i, p)
	}
	if len(t.pending) > maxPending {
		t.pending = slices.Delete(t.pending, 0, len(t.pending)-maxPending)
	}
}

// Apply tells that this VM has applied the log up to a position.
func (t *Tracker) Apply(applied cursor.Position) {
	waiting := t.pending[:0]
	for _, p := range t.pending {
		switch {
		case t.proved && p.At <= t.best.At:
		case covers(applied, p.Position):
			t.best, t.proved = p, true
		default:
			waiting = append(waiting, p)
		}
	}
	t.pending = waiting
}

// Known returns the point with the latest time, and false if there is none.
func (t *Tracker) Known() (Point, bool) { return t.best, t.proved }

// ReadDue reports whether this VM is to read the log itself now, as nobody has renewed its knowledge.
// If so, it counts as having begun to. Spread, from 0 to 1, is random.
func (t *Tracker) ReadDue(now time.Duration, spread float64) bool {
	delay := time.Duration(spread * float64(t.config.ReadSpread))
	switch {
	case t.proved && now-t.best.At < t.config.ReadAfter:
		t.dueAt = 0
		return false
	case t.dueAt == 0:
		t.dueAt = now + delay
		return false
	case now < t.dueAt:
		return false
	default:
		t.dueAt = now + t.config.ReadSpread/2 + delay
		return true
	}
}

// marginShare is the part of the longest age that is left for the clock rates of two machines.
const marginShare = 0.05

// Age decides whether knowledge as of a time may be relied on now, if it must not be older than
// maxAge. If not, it returns after what time to ask again.
func Age(now, known, maxAge, retryAfter time.Duration) (ok bool, after time.Duration) {
	if now-known < maxAge-time.Duration(marginShare*float64(maxAge)) {
		return true, 0
	}
	return false, retryAfter
}
