package engine

import (
	"slices"
	"time"
)

// Model is a base model that the engine can load.
type Model struct {
	Name    string
	Size    float64       // MB
	Adapter float64       // MB of each of its adapters
	Load    time.Duration // expected time of a load
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

func (e *Engine) modelConfig(name string) (Model, bool) {
	i := slices.IndexFunc(e.config.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return e.config.Models[i], true
}

// freeMB returns the MB that neither base models nor adapters take up,
// including those that are loading.
func (e *Engine) freeMB() float64 {
	freeMB := e.config.Room
	for _, m := range e.config.Models {
		if e.models[m.Name] || e.loadingModel == m.Name {
			freeMB -= m.Size
		}
	}
	for n := range e.adapters {
		if m, ok := e.modelConfig(n.Model); ok {
			freeMB -= m.Adapter
		}
	}
	return freeMB
}

// adapterFits reports whether one more adapter of a base model fits into the
// engine's adapter slots and memory.
func (e *Engine) adapterFits(model string) bool {
	m, _ := e.modelConfig(model)
	return len(e.adapters) < e.config.Places && (e.config.Room == 0 || e.freeMB() >= m.Adapter)
}

// modelWait returns the expected time until a base model is loaded.
func (e *Engine) modelWait(now time.Time, name string) time.Duration {
	m, _ := e.modelConfig(name)
	switch {
	case e.models[name]:
		return 0
	case e.loadingModel == name:
		return max(e.modelLoadStart.Add(m.Load).Sub(now), 0)
	default:
		return m.Load
	}
}

// loadable reports whether a base model is loaded, is loading, or fits into the
// engine's memory once idle models and adapters are unloaded.
func (e *Engine) loadable(now time.Time, name string) bool {
	m, ok := e.modelConfig(name)
	if !ok || !e.known || e.models[name] || e.loadingModel == name || e.config.Room == 0 {
		return true // a model without configuration is left to the engine itself
	}
	freeMB := e.freeMB()
	for n, r := range e.adapters {
		if a, ok := e.modelConfig(n.Model); ok && r.refs == 0 {
			freeMB += a.Adapter
		}
	}
	for _, other := range e.config.Models {
		if e.evictable(now, other.Name) {
			freeMB += other.Size
		}
	}
	return freeMB >= m.Size
}

// evictable reports whether a base model may be unloaded in favour of another
// one.
func (e *Engine) evictable(now time.Time, name string) bool {
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
func (e *Engine) loadModel(now time.Time, name string) Action {
	m, ok := e.modelConfig(name)
	if !ok {
		return nil
	}
	if e.config.Room == 0 || e.freeMB() >= m.Size {
		e.loadingModel, e.modelLoadStart = name, now
		return Load{Name: Name{Model: name}, Accepted: e.commands}
	}
	for _, other := range e.config.Models {
		if e.evictable(now, other.Name) {
			return Unload{Name: Name{Model: other.Name}, Accepted: e.commands}
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
func (e *Engine) preferredModel() string {
	for _, a := range e.queue {
		if _, ok := e.modelConfig(a.Name.Model); ok {
			return a.Name.Model
		}
	}
	return e.config.Models[0].Name
}

// modelLoadDone handles the result of the command to load a base model.
func (e *Engine) modelLoadDone(now time.Time, r Result) {
	switch r {
	case Deferred:
		e.loadingModel, e.pausedUntil = "", now.Add(deferredPause)
		return
	case Accepted:
		e.commands++
	case Holds, Rejected, Unclear:
		e.loadingModel = ""
	}
	e.pollAt = now.Add(e.config.Lag)
}

// modelUnloadDone handles the result of the command to unload a base model.
func (e *Engine) modelUnloadDone(now time.Time, name string, r Result) {
	e.pollAt = now.Add(e.config.Lag)
	if r != Accepted && r != Holds {
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
