package engine

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// PollFailed records that a report could not be fetched.
func (e *Scheduler) PollFailed(now time.Time) {
	e.commandPending = false
	e.pollAt = now.Add(e.config.ReportLag)
}

// Reported applies a report of the engine: its base models with their adapters,
// the adapters that it is loading, and the number of commands that it has
// accepted since its start. The report may be up to Config.Lag old; one from
// before the last accepted command is not used.
func (e *Scheduler) Reported(now time.Time, models []roster.Model, loads []Name, commands int64) {
	e.commandPending = false
	if e.known && commands < e.commands && now.Sub(e.lastAccepted) < e.config.ReportLag {
		e.pollAt = now.Add(e.config.ReportLag / 2)
		return
	}
	e.known, e.uncertain, e.commands, e.pollAt = true, false, commands, time.Time{}
	clear(e.models)
	seen := map[Name]bool{}
	for _, m := range models {
		e.models[m.Name] = true
		if _, ok := e.lastAsked[m.Name]; !ok {
			e.lastAsked[m.Name] = now // another VM may have sent it requests until now
		}
		for _, a := range m.Adapters {
			n := Name{Model: m.Name, Adapter: a.Name}
			seen[n] = true
			e.adapterReported(now, n, a.Version)
		}
	}
	for _, n := range loads {
		seen[n] = true
		r, ok := e.adapters[n]
		if !ok {
			r = &adapter{loadStart: now}
			e.adapters[n] = r
		}
		if !now.Before(r.readyAt) {
			r.state, r.readyAt = loading, now.Add(missingRetry)
		}
	}
	for n, r := range e.adapters {
		if !seen[n] && now.Sub(r.loadStart) > e.config.ReportLag {
			delete(e.adapters, n)
			if r.state == unloading {
				e.unloadedAt[n] = now
			}
		}
	}
	if e.models[e.loadingModel] {
		e.loadingModel = ""
	}
	if len(e.models) == 0 || e.loadingModel != "" || len(loads) > 0 {
		e.pollAt = now.Add(e.config.ReportLag)
	}
}

// adapterReported applies that the engine reported an adapter as loaded.
func (e *Scheduler) adapterReported(now time.Time, n Name, version int64) {
	r, ok := e.adapters[n]
	if !ok {
		r = &adapter{refs: e.refs(n)}
		e.adapters[n] = r
	}
	if r.state == unloading {
		return
	}
	if r.state == loading && now.Sub(r.loadStart) < e.config.ReportLag && version < r.version {
		return // the report is older than the command
	}
	r.state, r.version, r.previous = resident, version, nil
	if version < e.newest[n].Number && r.staleSince.IsZero() {
		r.staleSince = e.newest[n].Published
	}
}

// refs returns the number of requests in flight that use an adapter.
func (e *Scheduler) refs(n Name) int {
	refs := 0
	for _, p := range e.inflight {
		if p.Name == n {
			refs++
		}
	}
	return refs
}
