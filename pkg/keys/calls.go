package keys

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// retryAfter is the retry delay that callers are told.
const retryAfter = 2 * time.Second

// Begin handles a new call. The Answer to it is among the returned actions, or
// among those that another method returns later.
func (t *Table) Begin(now time.Time, c Call) []Action {
	t.sweep(now)
	switch {
	case now.Sub(c.Key.CreatedAt) > t.config.Lifetime:
		return refuse(c, Unknown, Expired)
	case c.Key.CreatedAt.Sub(now) > t.config.MaxClockSkew:
		return refuse(c, NotRun, FromFuture)
	case c.Key.Boot != "" && c.Key.Boot != t.config.Boot:
		return refuse(c, Unknown, IncarnationGone)
	}
	if e, ok := t.entries[c.Key.Text]; ok {
		return t.answerKnown(e, c)
	}
	if len(t.entries) >= t.config.MaxKeys {
		return refuseNotStarted(c, TableFull)
	}
	if c.Key.Boot != "" {
		return t.beginBound(c)
	}
	return t.beginPlain(c)
}

// beginBound runs a call with a new key that is bound to this incarnation. If
// the VM is leaving, it voids the key and refuses the call instead.
func (t *Table) beginBound(c Call) []Action {
	e := &entry{Entry: Entry{Key: c.Key.Text, State: Intent, Nonce: c.ID, Boot: t.config.Boot, Fingerprint: c.Fingerprint}, createdAt: c.Key.CreatedAt}
	t.entries[c.Key.Text] = e
	if t.leaving {
		e.State = Void
		return refuse(c, NotRun, Leaving)
	}
	e.running = true
	e.waiters = []string{c.ID}
	return []Action{Run{Call: c}}
}

// beginPlain appends the intent of a call with a plain key, or holds the call
// back until the partition's stream has been read up to its tail. If the stream
// is down, it refuses the call.
func (t *Table) beginPlain(c Call) []Action {
	p := c.Key.Partition(t.config.Partitions)
	s := t.partition(p)
	if s.down {
		return refuseNotStarted(c, LogDown)
	}
	a := &attempt{Call: c}
	s.attempts[c.ID] = a
	if !s.caughtUp {
		return nil
	}
	return t.appendIntent(p, a)
}

func (t *Table) appendIntent(p int, a *attempt) []Action {
	a.appended = true
	return encode(p, Entry{Key: a.Key.Text, State: Intent, Nonce: a.ID, Boot: t.config.Boot, Fingerprint: a.Fingerprint})
}

// answerKnown answers a call whose key has an entry, or lets it wait for the
// outcome of the run in progress.
func (t *Table) answerKnown(e *entry, c Call) []Action {
	switch {
	case e.Fingerprint != c.Fingerprint:
		return refuse(c, NotRun, Conflict)
	case e.running:
		e.waiters = append(e.waiters, c.ID)
		return nil
	case e.State == Done && e.BodyOmitted:
		return refuse(c, Unknown, ReplyNotKept)
	case e.State == Done:
		reply := Reply{Status: e.Status, Body: e.Body}
		return []Action{Answer{ID: c.ID, Outcome: Ran, Reply: reply, Replayed: true}}
	case e.State == Void:
		return refuse(c, NotRun, Voided)
	default:
		return refuse(c, Unknown, InDoubt)
	}
}

func refuse(c Call, o Outcome, r Reason) []Action {
	return []Action{Answer{ID: c.ID, Outcome: o, Reason: r, RetryAfter: retryAfter}}
}

// refuseNotStarted refuses an attempt that has not run its call. The outcome is
// NotRun only if this is the caller's first attempt with the key. Otherwise it
// is Unknown, as an earlier attempt may have run the call.
func refuseNotStarted(c Call, r Reason) []Action {
	if c.FirstAttempt {
		return refuse(c, NotRun, r)
	}
	return refuse(c, Unknown, r)
}

// ApplyRecords applies records that were read from a partition's stream at now.
// If tail is true, the records reach the end of the stream. Records that cannot
// be decoded are skipped, and their errors returned.
func (t *Table) ApplyRecords(now time.Time, p int, records []record.Record, tail bool) ([]Action, []error) {
	var actions []Action
	var errs []error
	s := t.partition(p)
	s.down = false
	for _, r := range records {
		var e Entry
		if err := record.Decode(r.Data, RecordKind, &e); err != nil {
			errs = append(errs, err)
			continue
		}
		actions = append(actions, t.apply(now, p, s, e)...)
	}
	if tail && !s.caughtUp {
		s.caughtUp = true
		actions = append(actions, t.resumeAttempts(p, s)...)
	}
	return actions, errs
}

// resumeAttempts continues the calls that were held back until the partition's
// stream was read. It answers a call whose key has an entry by now, or lets it
// wait for the outcome of the run in progress, and appends the intents of the
// others.
func (t *Table) resumeAttempts(p int, s *partition) []Action {
	var actions []Action
	for _, nonce := range slices.Sorted(maps.Keys(s.attempts)) {
		a := s.attempts[nonce]
		if a.appended {
			continue
		}
		if e, ok := t.entries[a.Key.Text]; ok {
			delete(s.attempts, nonce)
			actions = append(actions, t.answerKnown(e, a.Call)...)
			continue
		}
		actions = append(actions, t.appendIntent(p, a)...)
	}
	return actions
}

func (t *Table) apply(now time.Time, p int, s *partition, r Entry) []Action {
	key, err := Parse(r.Key)
	if err != nil || now.Sub(key.CreatedAt) > t.config.Lifetime+t.config.MaxClockSkew {
		return nil
	}
	e, known := t.entries[r.Key]
	switch {
	case r.State == Intent && !known:
		return t.applyFirstIntent(p, s, key, r)
	case r.State == Intent:
		return t.applyLaterIntent(s, e, r)
	case !known:
		t.entries[r.Key] = &entry{Entry: r, createdAt: key.CreatedAt}
	case e.Nonce == r.Nonce && !e.running:
		e.Entry = r
	}
	return nil
}

// applyFirstIntent applies the first intent for a key. If the attempt with this
// intent waits at this VM, the VM now runs the call. If this VM has refused the
// attempt meanwhile, the key is voided.
func (t *Table) applyFirstIntent(p int, s *partition, key Key, r Entry) []Action {
	e := &entry{Entry: r, createdAt: key.CreatedAt}
	t.entries[r.Key] = e
	a, own := s.attempts[r.Nonce]
	delete(s.attempts, r.Nonce)
	if own {
		e.running = true
		e.waiters = []string{a.ID}
		return []Action{Run{Call: a.Call}}
	}
	if s.abandoned[r.Nonce] {
		delete(s.abandoned, r.Nonce)
		e.State = Void
		return encode(p, e.Entry)
	}
	return nil
}

// applyLaterIntent applies an intent for a key that has an entry already. The
// attempt with this intent must not run the call, and is answered from the entry.
func (t *Table) applyLaterIntent(s *partition, e *entry, r Entry) []Action {
	delete(s.abandoned, r.Nonce)
	a, own := s.attempts[r.Nonce]
	if !own {
		return nil
	}
	delete(s.attempts, r.Nonce)
	return t.answerKnown(e, a.Call)
}

// StreamDown records that a partition's stream can be neither read nor appended
// to. The calls that wait for the stream are refused at once.
func (t *Table) StreamDown(p int) []Action {
	s := t.partition(p)
	s.down = true
	return t.abandon(s, LogDown, func(*attempt) bool { return true })
}

// abandon refuses the waiting calls for which matches returns true. If the
// intent of such a call is read later and is the first for its key, the key is
// voided.
func (t *Table) abandon(s *partition, reason Reason, matches func(*attempt) bool) []Action {
	var actions []Action
	for _, nonce := range slices.Sorted(maps.Keys(s.attempts)) {
		a := s.attempts[nonce]
		if !matches(a) {
			continue
		}
		delete(s.attempts, nonce)
		if a.appended {
			s.abandoned[nonce] = true
		}
		actions = append(actions, refuseNotStarted(a.Call, reason)...)
	}
	return actions
}

// Tick refuses waiting calls whose deadline has passed.
func (t *Table) Tick(now time.Time) []Action {
	t.sweep(now)
	var actions []Action
	for _, p := range slices.Sorted(maps.Keys(t.partitions)) {
		expired := func(a *attempt) bool { return !now.Before(a.Deadline) }
		actions = append(actions, t.abandon(t.partitions[p], Timeout, expired)...)
	}
	return actions
}

// FinishRun records the outcome of a run and answers all calls that wait for
// this outcome. For a plain key, it also appends the outcome to the log, unless
// the outcome is Unknown.
func (t *Table) FinishRun(key Key, o Outcome, reason Reason, reply Reply) []Action {
	e, ok := t.entries[key.Text]
	if !ok || !e.running {
		return nil
	}
	e.running = false
	var actions []Action
	for i, id := range e.waiters {
		actions = append(actions, Answer{ID: id, Outcome: o, Reason: reason, Reply: reply, Replayed: i > 0, RetryAfter: retryAfter})
	}
	e.waiters = nil
	t.recordOutcome(e, o, reply)
	if key.Boot != "" || o == Unknown {
		return actions
	}
	return append(actions, encode(key.Partition(t.config.Partitions), e.Entry)...)
}

func (t *Table) recordOutcome(e *entry, o Outcome, reply Reply) {
	switch o {
	case Ran:
		e.State, e.Status, e.Body = Done, reply.Status, reply.Body
		if len(reply.Body) > t.config.MaxReplyBytes {
			e.Body, e.BodyOmitted = "", true
		}
	case NotRun:
		e.State = Void
	case Unknown:
	}
}

// sweepInterval is the minimum time between two sweeps.
const sweepInterval = time.Second

// sweep removes the entries of keys that have expired by the clock of every VM.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for text, e := range t.entries {
		if !e.running && now.Sub(e.createdAt) > t.config.Lifetime+t.config.MaxClockSkew {
			delete(t.entries, text)
		}
	}
}
