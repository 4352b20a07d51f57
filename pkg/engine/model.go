package engine

import (
	"slices"
	"time"
)

// Model is a base model that the engine can load.
type Model struct {
	Name      string
	WeightsMB float64       // MB
	AdapterMB float64       // MB of each of its adapters
	LoadTime  time.Duration // expected time of a load
}

const (
	// modelReloadFactor is the multiple of its expected time after which the load
	// of a base model is commanded again.
	modelReloadFactor = 10
	// modelIdleTime is how long a base model must not have been asked for before
	// it may be unloaded in favour of another one. It is several times the time
	// of a load, so that two models do not keep replacing each other.
	modelIdleTime = 10 * time.Second
	// deferredPause is the pause of commands after the load of a base model was
	// deferred.
	deferredPause = 100 * time.Millisecond
)

func (e *Scheduler) modelConfig(name string) (Model, bool) {
	i := slices.IndexFunc(e.config.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return e.config.Models[i], true
}

// freeMB returns the MB that neither base models nor adapters take up,
// including those that are loading.
func (e *Scheduler) freeMB() float64 {
	freeMB := e.config.MemoryMB
	for _, m := range e.config.Models {
		if e.models[m.Name] || e.loadingModel == m.Name {
			freeMB -= m.WeightsMB
		}
	}
	for n := range e.adapters {
		if m, ok := e.modelConfig(n.Model); ok {
			freeMB -= m.AdapterMB
		}
	}
	return freeMB
}

// adapterFits reports whether one more adapter of a base model fits into the
// engine's adapter slots and memory.
func (e *Scheduler) adapterFits(model string) bool {
	m, _ := e.modelConfig(model)
	return len(e.adapters) < e.config.AdapterSlots && (e.config.MemoryMB == 0 || e.freeMB() >= m.AdapterMB)
}

// modelWait returns the expected time until a base model is loaded.
func (e *Scheduler) modelWait(now time.Time, name string) time.Duration {
	m, _ := e.modelConfig(name)
	switch {
	case e.models[name]:
		return 0
	case e.loadingModel == name:
		return max(e.modelLoadStart.Add(m.LoadTime).Sub(now), 0)
	default:
		return m.LoadTime
	}
}

// loadable reports whether a base model is loaded, is loading, or fits into the
// engine's memory once idle models and adapters are unloaded.
func (e *Scheduler) loadable(now time.Time, name string) bool {
	m, ok := e.modelConfig(name)
	if !ok || !e.known || e.models[name] || e.loadingModel == name || e.config.MemoryMB == 0 {
		return true // a model without configuration is left to the engine itself
	}
	freeMB := e.freeMB()
	for n, r := range e.adapters {
		if a, ok := e.modelConfig(n.Model); ok && r.refs == 0 {
			freeMB += a.AdapterMB
		}
	}
	for _, other := range e.config.Models {
		if e.evictable(now, other.Name) {
			freeMB += other.WeightsMB
		}
	}
	return freeMB >= m.WeightsMB
}

// evictable reports whether a base model may be unloaded in favour of another
// one.
func (e *Scheduler) evictable(now time.Time, name string) bool {
	if !e.models[name] || now.Sub(e.lastAsked[name]) < modelIdleTime {
		return false
	}
	for _, p := range e.inflight {
		if p.Name.Model == name {
			return false
		}
	}
	return true
}

// loadModel returns the next command on the way to loading a base model: its
// load, or the unload of an idle model or adapter to free memory for it. It
// returns nil if there is none.
func (e *Scheduler) loadModel(now time.Time, name string) Action {
	m, ok := e.modelConfig(name)
	if !ok {
		return nil
	}
	if e.config.MemoryMB == 0 || e.freeMB() >= m.WeightsMB {
		e.loadingModel, e.modelLoadStart = name, now
		return Load{Name: Name{Model: name}, Expect: e.commands}
	}
	for _, other := range e.config.Models {
		if e.evictable(now, other.Name) {
			return Unload{Name: Name{Model: other.Name}, Expect: e.commands}
		}
	}
	if victim, ok := e.victim(now); ok {
		return e.unload(victim)
	}
	return nil
}

// preferredModel returns the base model that an empty engine loads: that of the
// first queued request for a configured model, or else the first one in the
// configuration.
func (e *Scheduler) preferredModel() string {
	for _, a := range e.queue {
		if _, ok := e.modelConfig(a.Name.Model); ok {
			return a.Name.Model
		}
	}
	return e.config.Models[0].Name
}

// modelLoadDone handles the result of the command to load a base model.
func (e *Scheduler) modelLoadDone(now time.Time, r OrderResult) {
	switch r {
	case Deferred:
		e.loadingModel, e.pausedUntil = "", now.Add(deferredPause)
		return
	case Accepted:
		e.commands++
	case NoChange, Rejected, Unclear:
		e.loadingModel = ""
	}
	e.pollAt = now.Add(e.config.ReportLag)
}

// modelUnloadDone handles the result of the command to unload a base model.
func (e *Scheduler) modelUnloadDone(now time.Time, name string, r OrderResult) {
	e.pollAt = now.Add(e.config.ReportLag)
	if r != Accepted && r != NoChange {
		return
	}
	e.commands++
	delete(e.models, name)
	for n := range e.adapters {
		if n.Model == name {
			delete(e.adapters, n)
		}
	}
}
