package engine

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// PollFailed records that a report could not be fetched.
func (s *Scheduler) PollFailed(now time.Time) {
	s.orderPending = false
	s.pollAt = now.Add(s.config.ReportLag)
}

// Reported applies a report of the engine: its base models with their adapters,
// the adapters that it is loading, and the number of commands that it has
// accepted since its start. The report may be up to Config.Lag old; one from
// before the last accepted command is not used.
func (s *Scheduler) Reported(now time.Time, models []roster.Model, loads []Name, orders int64) {
	s.orderPending = false
	if s.known && orders < s.acceptedOrders && now.Sub(s.lastAcceptedAt) < s.config.ReportLag {
		s.pollAt = now.Add(s.config.ReportLag / 2)
		return
	}
	s.known, s.uncertain, s.acceptedOrders, s.pollAt = true, false, orders, time.Time{}
	clear(s.models)
	seen := map[Name]bool{}
	for _, m := range models {
		s.models[m.Name] = true
		if _, ok := s.lastAsked[m.Name]; !ok {
			s.lastAsked[m.Name] = now // another VM may have sent it requests until now
		}
		for _, a := range m.Adapters {
			n := Name{Model: m.Name, Adapter: a.Name}
			seen[n] = true
			s.adapterReported(now, n, a.Version)
		}
	}
	for _, n := range loads {
		seen[n] = true
		r, ok := s.adapters[n]
		if !ok {
			r = &adapter{loadStart: now}
			s.adapters[n] = r
		}
		if !now.Before(r.readyAt) {
			r.state, r.readyAt = loading, now.Add(missingRetry)
		}
	}
	for n, r := range s.adapters {
		if !seen[n] && now.Sub(r.loadStart) > s.config.ReportLag {
			delete(s.adapters, n)
			if r.state == unloading {
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

// adapterReported applies that the engine reported an adapter as loaded.
func (s *Scheduler) adapterReported(now time.Time, n Name, version int64) {
	r, ok := s.adapters[n]
	if !ok {
		r = &adapter{refs: s.refs(n)}
		s.adapters[n] = r
	}
	if r.state == unloading {
		return
	}
	if r.state == loading && now.Sub(r.loadStart) < s.config.ReportLag && version < r.version {
		return // the report is older than the command
	}
	r.state, r.version, r.previous = resident, version, nil
	if version < s.newest[n].Number && r.staleSince.IsZero() {
		r.staleSince = s.newest[n].Published
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
