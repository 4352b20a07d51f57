package keys

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// retryAfter is the advice when to ask again about a call.
const retryAfter = 2 * time.Second

// Begin takes a call. Its answer may come at once or later.
func (t *Table) Begin(now time.Time, c Call) []Action {
	t.sweep(now)
	switch {
	case now.Sub(c.Key.Made) > t.config.Life:
		return refuse(c, Unknown, Expired)
	case c.Key.Made.Sub(now) > t.config.Skew:
		return refuse(c, NotRun, Future)
	case c.Key.Boot != "" && c.Key.Boot != t.config.Boot:
		return refuse(c, Unknown, OtherBoot)
	}
	if e, ok := t.entries[c.Key.Text]; ok {
		return t.meet(e, c)
	}
	if len(t.entries) >= t.config.Most {
		return giveUp(c, Full)
	}
	if c.Key.Boot != "" {
		return t.bound(c)
	}
	return t.plain(c)
}

// bound runs a call under a key that only this incarnation may run.
func (t *Table) bound(c Call) []Action {
	e := &entry{Entry: Entry{Key: c.Key.Text, State: Intent, Nonce: c.ID, Boot: t.config.Boot, Print: c.Print}, made: c.Key.Made}
	t.entries[c.Key.Text] = e
	if t.leaving {
		e.State = Void
		return refuse(c, NotRun, Leaving)
	}
	e.running = true
	e.joined = []string{c.ID}
	return []Action{Run{Call: c}}
}

// plain appends an intent as soon as all intents before it are known.
func (t *Table) plain(c Call) []Action {
	p := c.Key.Partition(t.config.Partitions)
	s := t.partition(p)
	if s.down {
		return giveUp(c, LogDown)
	}
	a := &attempt{Call: c}
	s.attempts[c.ID] = a
	if !s.caught {
		return nil
	}
	return t.intend(p, a)
}

func (t *Table) intend(p int, a *attempt) []Action {
	a.appended = true
	return encode(p, Entry{Key: a.Key.Text, State: Intent, Nonce: a.ID, Boot: t.config.Boot, Print: a.Print})
}

// meet answers a call whose key is known, or lets it wait for the outcome.
func (t *Table) meet(e *entry, c Call) []Action {
	switch {
	case e.Print != c.Print:
		return refuse(c, NotRun, Conflict)
	case e.running:
		e.joined = append(e.joined, c.ID)
		return nil
	case e.State == Done && e.Cut:
		return refuse(c, Unknown, TooLong)
	case e.State == Done:
		reply := Reply{Status: e.Status, Body: e.Body}
		return []Action{Answer{ID: c.ID, Outcome: Ran, Reply: reply, Repeated: true}}
	case e.State == Void:
		return refuse(c, NotRun, Voided)
	default:
		return refuse(c, Unknown, InDoubt)
	}
}

func refuse(c Call, o Outcome, r Reason) []Action {
	return []Action{Answer{ID: c.ID, Outcome: o, Reason: r, After: retryAfter}}
}

// giveUp answers a call of which this attempt did nothing. Only if the caller
// sent the key for the first time is it certain that no other attempt did.
func giveUp(c Call, r Reason) []Action {
	if c.First {
		return refuse(c, NotRun, r)
	}
	return refuse(c, Unknown, r)
}

// Read takes the records of a partition that were read at now, and whether
// they reach the tail.
func (t *Table) Read(now time.Time, p int, records []record.Record, tail bool) ([]Action, []error) {
	var actions []Action
	var errs []error
	s := t.partition(p)
	s.down = false
	for _, r := range records {
		var e Entry
		if err := record.Decode(r.Data, Kind, &e); err != nil {
			errs = append(errs, err)
			continue
		}
		actions = append(actions, t.apply(now, p, s, e)...)
	}
	if tail && !s.caught {
		s.caught = true
		actions = append(actions, t.release(p, s)...)
	}
	return actions, errs
}

// release goes on with the calls that waited for the partition to be read.
func (t *Table) release(p int, s *partition) []Action {
	var actions []Action
	for _, nonce := range slices.Sorted(maps.Keys(s.attempts)) {
		a := s.attempts[nonce]
		if a.appended {
			continue
		}
		if e, ok := t.entries[a.Key.Text]; ok {
			delete(s.attempts, nonce)
			actions = append(actions, t.meet(e, a.Call)...)
			continue
		}
		actions = append(actions, t.intend(p, a)...)
	}
	return actions
}

func (t *Table) apply(now time.Time, p int, s *partition, r Entry) []Action {
	key, err := Parse(r.Key)
	if err != nil || now.Sub(key.Made) > t.config.Life+t.config.Skew {
		return nil
	}
	e, known := t.entries[r.Key]
	switch {
	case r.State == Intent && !known:
		return t.win(p, s, key, r)
	case r.State == Intent:
		return t.lose(s, e, r)
	case !known:
		t.entries[r.Key] = &entry{Entry: r, made: key.Made}
	case e.Nonce == r.Nonce && !e.running:
		e.Entry = r
	}
	return nil
}

// win takes the first intent for a key.
func (t *Table) win(p int, s *partition, key Key, r Entry) []Action {
	e := &entry{Entry: r, made: key.Made}
	t.entries[r.Key] = e
	a, mine := s.attempts[r.Nonce]
	delete(s.attempts, r.Nonce)
	if mine {
		e.running = true
		e.joined = []string{a.ID}
		return []Action{Run{Call: a.Call}}
	}
	if s.quit[r.Nonce] {
		delete(s.quit, r.Nonce)
		e.State = Void
		return encode(p, e.Entry)
	}
	return nil
}

// lose takes an intent for a key that has an earlier one.
func (t *Table) lose(s *partition, e *entry, r Entry) []Action {
	delete(s.quit, r.Nonce)
	a, mine := s.attempts[r.Nonce]
	if !mine {
		return nil
	}
	delete(s.attempts, r.Nonce)
	return t.meet(e, a.Call)
}

// Down takes that a partition's stream can neither be read nor appended to.
// The calls that wait for it are answered at once.
func (t *Table) Down(p int) []Action {
	s := t.partition(p)
	s.down = true
	return t.quit(s, LogDown, func(*attempt) bool { return true })
}

// quit answers waiting calls. An intent of theirs that is read later is voided.
func (t *Table) quit(s *partition, reason Reason, which func(*attempt) bool) []Action {
	var actions []Action
	for _, nonce := range slices.Sorted(maps.Keys(s.attempts)) {
		a := s.attempts[nonce]
		if !which(a) {
			continue
		}
		delete(s.attempts, nonce)
		if a.appended {
			s.quit[nonce] = true
		}
		actions = append(actions, giveUp(a.Call, reason)...)
	}
	return actions
}

// Tick answers the calls whose deadline has passed.
func (t *Table) Tick(now time.Time) []Action {
	t.sweep(now)
	var actions []Action
	for _, p := range slices.Sorted(maps.Keys(t.partitions)) {
		late := func(a *attempt) bool { return !now.Before(a.Deadline) }
		actions = append(actions, t.quit(t.partitions[p], Timeout, late)...)
	}
	return actions
}

// Ended takes how the run of a key's call ended, and answers all that wait for
// it.
func (t *Table) Ended(key Key, o Outcome, reason Reason, reply Reply) []Action {
	e, ok := t.entries[key.Text]
	if !ok || !e.running {
		return nil
	}
	e.running = false
	var actions []Action
	for i, id := range e.joined {
		actions = append(actions, Answer{ID: id, Outcome: o, Reason: reason, Reply: reply, Repeated: i > 0, After: retryAfter})
	}
	e.joined = nil
	t.settle(e, o, reply)
	if key.Boot != "" || o == Unknown {
		return actions
	}
	return append(actions, encode(key.Partition(t.config.Partitions), e.Entry)...)
}

func (t *Table) settle(e *entry, o Outcome, reply Reply) {
	switch o {
	case Ran:
		e.State, e.Status, e.Body = Done, reply.Status, reply.Body
		if len(reply.Body) > t.config.Keep {
			e.Body, e.Cut = "", true
		}
	case NotRun:
		e.State = Void
	case Unknown:
	}
}

// sweepEvery is the time between two sweeps.
const sweepEvery = time.Second

// sweep forgets keys that can no longer be used.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepEvery {
		return
	}
	t.swept = now
	for text, e := range t.entries {
		if !e.running && now.Sub(e.made) > t.config.Life+t.config.Skew {
			delete(t.entries, text)
		}
	}
}
