package engine

import (
	"slices"
	"time"
)

// nextCommand returns the next command or fetch of a report, or nil.
func (e *Scheduler) nextCommand(now time.Time) Action {
	if !e.known || (!e.pollAt.IsZero() && !now.Before(e.pollAt)) {
		e.pollAt = time.Time{}
		return Poll{}
	}
	if !e.mayCommand(now) {
		return nil
	}
	e.loadingModel = ""
	if len(e.models) == 0 && len(e.config.Models) > 0 {
		return e.loadModel(now, e.preferredModel())
	}
	if n, ok := e.outdated(); ok {
		return e.load(now, n)
	}
	if e.loadCount(now) >= e.config.MaxLoads {
		return nil
	}
	return e.commandForQueue(now)
}

// mayCommand reports whether this VM may send a command and the engine is ready
// to accept one.
func (e *Scheduler) mayCommand(now time.Time) bool {
	if e.config.Unfenced && !now.Before(e.confirmedUntil) {
		return false
	}
	if now.Before(e.commandsFrom) || e.failures >= failureLimit || e.uncertain || now.Before(e.pausedUntil) {
		return false
	}
	// The engine accepts no other command while it loads a base model.
	m, ok := e.modelConfig(e.loadingModel)
	return !ok || now.Sub(e.modelLoadStart) >= modelReloadFactor*m.LoadTime
}

// loadCount returns the number of adapters that are loading.
func (e *Scheduler) loadCount(now time.Time) int {
	count := 0
	for _, r := range e.adapters {
		if r.state == loading && now.Before(r.readyAt) {
			count++
		}
	}
	return count
}

// commandForQueue returns the next command on the way to loading the adapter of
// the first queued request whose adapter is not loaded, or nil if there is none.
func (e *Scheduler) commandForQueue(now time.Time) Action {
	for _, a := range e.queue {
		if !e.models[a.Name.Model] {
			if action := e.loadModel(now, a.Name.Model); action != nil {
				return action
			}
			continue
		}
		if _, ok := e.adapters[a.Name]; ok || a.Name.Adapter == "" {
			continue
		}
		if e.adapterFits(a.Name.Model) {
			return e.load(now, a.Name)
		}
		if victim, ok := e.victim(now); ok {
			return e.unload(victim)
		}
		return nil
	}
	return nil
}

func (e *Scheduler) unload(n Name) Action {
	e.adapters[n].state = unloading
	return Unload{Name: n, Expect: e.commands}
}

// outdated returns an adapter with a newer version that can be replaced now.
func (e *Scheduler) outdated() (Name, bool) {
	for n, r := range e.adapters {
		// Only an adapter without running requests is replaced: the engine would
		// wait for them to end and accept no other command meanwhile.
		if !r.staleSince.IsZero() && r.state == resident && r.refs == 0 {
			return n, true
		}
	}
	return Name{}, false
}

func (e *Scheduler) load(now time.Time, n Name) Action {
	expected := e.loadTime(n)
	_, warm := e.unloadedAt[n]
	r, ok := e.adapters[n]
	if !ok {
		r = &adapter{}
		e.adapters[n] = r
	}
	if ok { // a new version, which comes from the weight store
		warm, expected = false, e.cold.duration()
	}
	delete(e.unloadedAt, n)
	next := adapter{version: e.newest[n].Number, loadStart: now, warm: warm}
	if ok {
		previous := *r
		next.previous = &previous
	}
	*r = next
	r.readyAt = now.Add(expected)
	return Load{Name: n, Version: e.newest[n].Number, Expect: e.commands}
}

// victim returns the idle adapter that is least likely to be asked for soon.
func (e *Scheduler) victim(now time.Time) (Name, bool) {
	var best Name
	found, least := false, 0.0
	for n, r := range e.adapters {
		if r.state != resident || r.refs > 0 || e.hasQueued(n) {
			continue
		}
		rate := 0.0
		if m, ok := e.meters[n]; ok {
			rate = m.Rate(now, meterConfig)
		}
		// Requests that come here because the first engine has no capacity are
		// not metered, so each adapter counts as asked for once since its last
		// use.
		rate += 1 / max(now.Sub(r.lastUsed).Seconds(), 1) / float64(len(e.adapters))
		if !found || rate < least || (rate == least && n.Adapter < best.Adapter) {
			best, least, found = n, rate, true
		}
	}
	return best, found
}

func (e *Scheduler) hasQueued(n Name) bool {
	return slices.ContainsFunc(e.queue, func(a *Request) bool { return a.Name == n })
}

// OrderResult is the result of a command.
type OrderResult int

// Results of a command.
const (
	Accepted OrderResult = iota // the engine carries it out
	NoChange                    // the engine is already in the commanded state
	Rejected                    // it will not be carried out
	Unclear                     // it may or may not be carried out
	Deferred                    // it was not sent, as the weight store is busy
)

// minBackoff and maxBackoff bound the pause after commands with an unclear
// result. A crashed engine refuses connections at once, so without a pause it
// would be flooded with commands.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// OrderDone records the result of a command, received at now.
func (e *Scheduler) OrderDone(now time.Time, a Action, r OrderResult) {
	e.commandPending = false
	switch a := a.(type) {
	case Load:
		e.loadDone(now, a.Name, r)
	case Unload:
		e.unloadDone(now, a.Name, r)
	}
	// After an unclear result the next command is sent without a report in
	// between. Both commands expect the same number of accepted commands, so the
	// engine accepts only one of them.
	switch r {
	case Accepted, NoChange:
		e.backoff, e.lastAccepted = 0, now
	case Rejected:
		e.pollAt, e.uncertain = now.Add(e.config.ReportLag/2), true
	case Unclear:
		e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
		e.pausedUntil = now.Add(e.backoff)
	case Deferred: // it was never sent
	}
}

func (e *Scheduler) loadDone(now time.Time, n Name, r OrderResult) {
	if n.Adapter == "" {
		e.modelLoadDone(now, r)
		return
	}
	held, ok := e.adapters[n]
	if !ok {
		return
	}
	if r == NoChange {
		held.readyAt = now
		return
	}
	if r == Rejected || r == Unclear {
		if held.previous != nil {
			refs := held.refs
			*held = *held.previous
			held.refs = refs
		} else {
			delete(e.adapters, n)
		}
		return
	}
	if r == Accepted {
		e.commands++
	}
	held.readyAt = now.Add(held.readyAt.Sub(held.loadStart))
}

func (e *Scheduler) unloadDone(now time.Time, n Name, r OrderResult) {
	if n.Adapter == "" {
		e.modelUnloadDone(now, n.Model, r)
		return
	}
	if r == Unclear || r == Rejected {
		if held, ok := e.adapters[n]; ok {
			held.state = resident
		}
		return
	}
	e.commands++
	if r == Accepted { // the engine waits for requests that this VM does not know of
		e.pollAt = now.Add(e.config.ReportLag)
		return
	}
	delete(e.adapters, n)
	if len(e.unloadedAt) >= e.config.WarmAdapters {
		e.dropOldest()
	}
	e.unloadedAt[n] = now
}

// dropOldest forgets the adapter that was unloaded the longest time ago.
func (e *Scheduler) dropOldest() {
	var oldest Name
	var at time.Time
	for n, t := range e.unloadedAt {
		if at.IsZero() || t.Before(at) {
			oldest, at = n, t
		}
	}
	delete(e.unloadedAt, oldest)
}

// Confirm allows commands before until: no other VM sends commands to the engine
// until then.
func (e *Scheduler) Confirm(until time.Time) { e.confirmedUntil = until }

// StopOrders ends all commands, as the engine no longer accepts those of this VM.
// Requests for what it has loaded are still admitted.
func (e *Scheduler) StopOrders() { e.commandsFrom = e.commandsFrom.Add(forever) }

// forever is longer than any process runs.
const forever = 100 * 365 * 24 * time.Hour
