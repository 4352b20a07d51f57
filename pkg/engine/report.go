package engine

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// PollFailed records that a report could not be fetched. The next attempt follows
// after Config.ReportLag.
func (s *Scheduler) PollFailed(now time.Time) {
	s.orderPending = false
	s.pollAt = now.Add(s.config.ReportLag)
}

// Reported applies a report of the engine: its base models with their adapters,
// the adapters that it is loading, and the number of orders that it has
// accepted since its start. The report may be up to Config.ReportLag old. For that
// time after an accepted order, a report is ignored if it counts fewer orders than
// the scheduler.
func (s *Scheduler) Reported(now time.Time, models []roster.Model, loads []Name, acceptedOrders int64) {
	s.orderPending = false
	if s.known && acceptedOrders < s.acceptedOrders && now.Sub(s.lastAcceptedAt) < s.config.ReportLag {
		s.pollAt = now.Add(s.config.ReportLag / 2)
		return
	}
	s.known, s.uncertain, s.acceptedOrders, s.pollAt = true, false, acceptedOrders, time.Time{}
	clear(s.models)
	seen := map[Name]bool{}
	for _, m := range models {
		s.models[m.Name] = true
		if _, ok := s.lastRequested[m.Name]; !ok {
			s.lastRequested[m.Name] = now // the model may have been in use until now: the requests that another VM sent are not known
		}
		for _, a := range m.Adapters {
			n := Name{Model: m.Name, Adapter: a.Name}
			seen[n] = true
			s.adapterReported(now, n, a.Version)
		}
	}
	for _, n := range loads {
		seen[n] = true
		a, ok := s.adapters[n]
		if !ok {
			a = &adapter{loadStart: now}
			s.adapters[n] = a
		}
		if !now.Before(a.readyAt) {
			s.loadContinues(now, a)
		}
	}
	for n, a := range s.adapters {
		if !seen[n] && now.Sub(a.loadStart) > s.config.ReportLag {
			delete(s.adapters, n)
			if a.state == unloading {
				s.unloadedAt[n] = now
			}
		}
	}
	if s.models[s.loadingModel] {
		s.loadingModel = ""
	}
	if len(s.models) == 0 || s.loadingModel != "" || len(loads) > 0 {
		s.pollAt = now.Add(s.config.ReportLag)
	}
}

// adapterReported updates the state of an adapter that the engine reported as
// loaded.
func (s *Scheduler) adapterReported(now time.Time, n Name, version int64) {
	a, ok := s.adapters[n]
	if !ok {
		a = &adapter{refs: s.refs(n)}
		s.adapters[n] = a
	}
	if a.state == unloading {
		return
	}
	if a.state == loading && now.Sub(a.loadStart) < s.config.ReportLag && version < a.version {
		return // the report is older than the order
	}
	if a.state == loading && !a.loadStart.IsZero() && now.Before(a.readyAt) {
		s.loadTiming(a.warm).endedEarly(now.Sub(a.loadStart))
	}
	a.state, a.version, a.previous = resident, version, nil
	if version < s.newest[n].Number && a.staleSince.IsZero() {
		a.staleSince = s.newest[n].Published
	}
}

// refs returns the number of requests in flight that use an adapter.
func (s *Scheduler) refs(n Name) int {
	refs := 0
	for _, p := range s.inflight {
		if p.Name == n {
			refs++
		}
	}
	return refs
}
