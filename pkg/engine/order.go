package engine

import (
	"slices"
	"time"
)

// nextOrder returns the next Load, Unload or Poll, or nil if there is none.
func (s *Scheduler) nextOrder(now time.Time) Action {
	if !s.known || (!s.pollAt.IsZero() && !now.Before(s.pollAt)) {
		s.pollAt = time.Time{}
		return Poll{}
	}
	if !s.mayOrder(now) {
		return nil
	}
	s.loadingModel = ""
	if len(s.models) == 0 && len(s.config.Models) > 0 {
		return s.loadModel(now, s.preferredModel())
	}
	if n, ok := s.outdated(now); ok {
		return s.load(now, n)
	}
	if s.loadCount(now) >= s.config.MaxLoads {
		return nil
	}
	if action := s.orderForQueue(now); action != nil {
		return action
	}
	return s.orderAhead(now)
}

// mayOrder reports whether an order may be sent now. It returns false while another
// VM could still send orders, the engine is failing, the count of accepted orders is
// wrong, a pause is in effect, or the engine is loading a base model.
func (s *Scheduler) mayOrder(now time.Time) bool {
	if s.config.Unfenced && !now.Before(s.confirmedUntil) {
		return false
	}
	if now.Before(s.ordersFrom) || s.failures >= failureLimit || s.uncertain || now.Before(s.pausedUntil) {
		return false
	}
	// The engine accepts no other order while it loads a base model. After
	// modelReloadFactor times the expected time, the load counts as failed.
	m, ok := s.modelConfig(s.loadingModel)
	return !ok || now.Sub(s.modelLoadStart) >= modelReloadFactor*m.LoadTime
}

// loadCount returns the number of adapters whose load is expected to be in progress
// at now.
func (s *Scheduler) loadCount(now time.Time) int {
	count := 0
	for _, a := range s.adapters {
		if a.state == loading && now.Before(a.readyAt) {
			count++
		}
	}
	return count
}

// orderForQueue returns the next order that is needed to load the base model or
// the adapter of a queued request: a load, or an unload that makes room for it. It
// returns nil if there is none. Requests are considered in the order of the queue.
func (s *Scheduler) orderForQueue(now time.Time) Action {
	for _, r := range s.queue {
		if !s.models[r.Name.Model] {
			if action := s.loadModel(now, r.Name.Model); action != nil {
				return action
			}
			continue
		}
		if _, ok := s.adapters[r.Name]; ok || r.Name.Adapter == "" {
			continue
		}
		if s.adapterFits(r.Name.Model) {
			return s.load(now, r.Name)
		}
		if victim, ok := s.victim(now); ok {
			return s.unload(victim)
		}
		return nil
	}
	return nil
}

const (
	// loadAheadRate is the rate of requests a second from which on an adapter is loaded
	// ahead. Until it is evicted, the load serves several requests: the rates are
	// averaged over meterConfig.HalfLife, and the weight store serves some 38 loads a
	// second for all engines.
	loadAheadRate = 0.5
	// loadAheadGain is the multiple of the rate of its victim that such an adapter must
	// have, so that two adapters do not replace each other in turn.
	loadAheadGain = 2.0
)

// orderAhead returns the next order that is needed to load the adapter that wanted names,
// or nil. It is for adapters that are asked for here so often that a load serves
// many requests, but whose requests go to other engines as long as the load would delay
// them.
func (s *Scheduler) orderAhead(now time.Time) Action {
	n := s.wanted
	if n.Adapter == "" || !s.models[n.Model] || len(s.queue) > 0 {
		return nil
	}
	rate := s.demandFor(now, n)
	if _, ok := s.adapters[n]; ok || rate < loadAheadRate {
		s.wanted = Name{}
		return nil
	}
	if s.adapterFits(n.Model) {
		s.wanted = Name{}
		return s.load(now, n)
	}
	victim, ok := s.victim(now)
	if !ok {
		return nil
	}
	if m, ok := s.meters[victim]; ok && loadAheadGain*m.Rate(now, meterConfig) > rate {
		return nil
	}
	return s.unload(victim)
}

// want notes that a request for an adapter that is not loaded was asked for here first.
func (s *Scheduler) want(now time.Time, n Name) {
	if _, ok := s.adapters[n]; ok || n == s.wanted {
		return
	}
	if rate := s.demandFor(now, n); rate >= loadAheadRate && rate > s.demandFor(now, s.wanted) {
		s.wanted = n
	}
}

// demandFor returns a likely lower bound on the rate at which an adapter is asked for here.
func (s *Scheduler) demandFor(now time.Time, n Name) float64 {
	m, ok := s.meters[n]
	if !ok {
		return 0
	}
	return m.LowerBound(now, meterConfig)
}

func (s *Scheduler) unload(n Name) Action {
	s.adapters[n].state = unloading
	return Unload{Name: n, ExpectedOrders: s.acceptedOrders}
}

// outdated returns a loaded adapter of which a newer version was published and which
// can be replaced now.
func (s *Scheduler) outdated(now time.Time) (Name, bool) {
	for n, a := range s.adapters {
		// Only an adapter without running requests is replaced. Otherwise the engine
		// would wait for these requests to end and accept no other order meanwhile.
		if !a.staleSince.IsZero() && a.loaded(now) && a.refs == 0 {
			return n, true
		}
	}
	return Name{}, false
}

func (s *Scheduler) load(now time.Time, n Name) Action {
	expected := s.loadTime(n)
	_, warm := s.unloadedAt[n]
	a, ok := s.adapters[n]
	if !ok {
		a = &adapter{}
		s.adapters[n] = a
	}
	if ok { // a replacement: the new version comes from the weight store
		s.prefixes.forget(n)
		warm, expected = false, s.cold.duration()
	}
	delete(s.unloadedAt, n)
	next := adapter{version: s.newest[n].Number, loadStart: now, warm: warm}
	if ok {
		previous := *a
		next.previous = &previous
	}
	*a = next
	a.readyAt = now.Add(expected)
	if expected > slowLoad*s.config.ColdLoad && s.pollAt.IsZero() { // it may take no longer than usual again
		s.pollAt = now.Add(s.config.ColdLoad + s.config.ReportLag)
	}
	return Load{Name: n, Version: s.newest[n].Number, ExpectedOrders: s.acceptedOrders}
}

// victim returns the idle adapter that is least likely to be requested soon.
func (s *Scheduler) victim(now time.Time) (Name, bool) {
	var best Name
	found, least := false, 0.0
	for n, a := range s.adapters {
		if !a.loaded(now) || a.refs > 0 || s.hasQueued(n) {
			continue
		}
		rate := 0.0
		if m, ok := s.meters[n]; ok {
			rate = m.Rate(now, meterConfig)
		}
		// The meters do not count requests that come here because the first engine
		// that was asked had no capacity. To account for them, each adapter's rate is
		// raised by one request in the time since its last use, divided by the number
		// of adapters.
		rate += 1 / max(now.Sub(a.lastUsed).Seconds(), 1) / float64(len(s.adapters))
		if !found || rate < least || (rate == least && n.Adapter < best.Adapter) {
			best, least, found = n, rate, true
		}
	}
	return best, found
}

func (s *Scheduler) hasQueued(n Name) bool {
	return slices.ContainsFunc(s.queue, func(r *Request) bool { return r.Name == n })
}

// OrderResult is the result of an order.
type OrderResult int

// Results of an order.
const (
	Accepted OrderResult = iota // the engine has accepted it and will carry it out
	NoChange                    // the engine answered that the order is already fulfilled
	Rejected                    // the engine will not carry it out
	Unclear                     // the engine may or may not carry it out
	Deferred                    // the caller of Next did not send it, as the rate of loads from the weight store is limited
)

// minBackoff and maxBackoff limit the pause after an order with an unclear result.
// A crashed engine refuses connections at once; without a pause, it would be flooded
// with orders.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// OrderDone records the result of an order, received at now.
func (s *Scheduler) OrderDone(now time.Time, a Action, r OrderResult) {
	s.orderPending = false
	switch a := a.(type) {
	case Load:
		s.loadDone(now, a.Name, r)
	case Unload:
		s.unloadDone(now, a.Name, r)
	}
	// After an unclear result, the next order is sent without fetching a report
	// first. Both orders have the same ExpectedOrders, so the engine accepts only
	// one of them.
	switch r {
	case Accepted, NoChange:
		s.backoff, s.lastAcceptedAt = 0, now
	case Rejected:
		s.pollAt, s.uncertain = now.Add(s.config.ReportLag/2), true
	case Unclear:
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.pausedUntil = now.Add(s.backoff)
	case Deferred: // the order was never sent
	}
}

func (s *Scheduler) loadDone(now time.Time, n Name, r OrderResult) {
	if n.Adapter == "" {
		s.modelLoadDone(now, r)
		return
	}
	a, ok := s.adapters[n]
	if !ok {
		return
	}
	if r == NoChange {
		a.readyAt = now
		return
	}
	if r == Rejected || r == Unclear {
		if a.previous != nil {
			refs := a.refs
			*a = *a.previous
			a.refs = refs
		} else {
			delete(s.adapters, n)
		}
		return
	}
	if r == Accepted {
		s.acceptedOrders++
	}
	a.readyAt = now.Add(a.readyAt.Sub(a.loadStart))
}

func (s *Scheduler) unloadDone(now time.Time, n Name, r OrderResult) {
	if n.Adapter == "" {
		s.modelUnloadDone(now, n.Model, r)
		return
	}
	if r == Unclear || r == Rejected {
		if a, ok := s.adapters[n]; ok {
			a.state = resident
		}
		return
	}
	s.acceptedOrders++
	if r == Accepted { // the engine first waits for the end of requests that this VM does not know of
		s.pollAt = now.Add(s.config.ReportLag)
		return
	}
	delete(s.adapters, n)
	if len(s.unloadedAt) >= s.config.WarmAdapters {
		s.dropOldest()
	}
	s.unloadedAt[n] = now
}

// dropOldest removes the oldest entry from unloadedAt.
func (s *Scheduler) dropOldest() {
	var oldest Name
	var at time.Time
	for n, t := range s.unloadedAt {
		if at.IsZero() || t.Before(at) {
			oldest, at = n, t
		}
	}
	delete(s.unloadedAt, oldest)
}

// Confirm tells the scheduler that no other VM sends orders to the engine before
// until. If Config.Unfenced is set, orders are sent only before that time.
func (s *Scheduler) Confirm(until time.Time) { s.confirmedUntil = until }

// StopOrders makes the scheduler send no more orders, because the engine no longer
// accepts orders from this VM. Requests for adapters and base models that are
// loaded are still admitted.
func (s *Scheduler) StopOrders() { s.ordersFrom = s.ordersFrom.Add(forever) }

// forever is longer than any process runs.
const forever = 100 * 365 * 24 * time.Hour
