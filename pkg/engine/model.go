package engine

import (
	"slices"
	"time"
)

// Model is a base model that the engine can load.
type Model struct {
	Name      string
	WeightsMB float64       // memory for the weights of the model, in MB
	AdapterMB float64       // memory for each adapter of the model, in MB
	LoadTime  time.Duration // expected time to load the model
}

const (
	// modelReloadFactor is the multiple of Model.LoadTime after which the load of a
	// base model counts as failed, and orders may be sent to the engine again.
	modelReloadFactor = 10
	// modelIdleTime is how long a base model must have had no requests before it
	// may be unloaded in favour of another one. It is several times as long as a
	// load, so that two models do not keep replacing each other.
	modelIdleTime = 10 * time.Second
	// deferredPause is how long no order is sent after the caller of Next has
	// deferred the load of a base model.
	deferredPause = 100 * time.Millisecond
)

func (s *Scheduler) modelConfig(name string) (Model, bool) {
	i := slices.IndexFunc(s.config.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return s.config.Models[i], true
}

// freeMB returns the free memory in MB. Base models and adapters that are loading
// take up memory as if they were loaded.
func (s *Scheduler) freeMB() float64 {
	freeMB := s.config.MemoryMB
	for _, m := range s.config.Models {
		if s.models[m.Name] || s.loadingModel == m.Name {
			freeMB -= m.WeightsMB
		}
	}
	for n := range s.adapters {
		if m, ok := s.modelConfig(n.Model); ok {
			freeMB -= m.AdapterMB
		}
	}
	return freeMB
}

// adapterFits reports whether one more adapter of a base model fits into the
// engine's adapter slots and memory.
func (s *Scheduler) adapterFits(model string) bool {
	m, _ := s.modelConfig(model)
	return len(s.adapters) < s.config.AdapterSlots && (s.config.MemoryMB == 0 || s.freeMB() >= m.AdapterMB)
}

// modelWait returns the expected time until a base model is loaded.
func (s *Scheduler) modelWait(now time.Time, name string) time.Duration {
	m, _ := s.modelConfig(name)
	switch {
	case s.models[name]:
		return 0
	case s.loadingModel == name:
		return max(s.modelLoadStart.Add(m.LoadTime).Sub(now), 0)
	default:
		return m.LoadTime
	}
}

// loadable reports whether a base model is loaded, is loading, or fits into the
// engine's memory once idle models and adapters are unloaded. It also returns true
// if the engine has not sent a report yet or has no memory limit, or if the model is
// not configured.
func (s *Scheduler) loadable(now time.Time, name string) bool {
	m, ok := s.modelConfig(name)
	if !ok || !s.known || s.models[name] || s.loadingModel == name || s.config.MemoryMB == 0 {
		return true // a model that is not configured is never ordered; requests for it wait until the engine reports it as loaded
	}
	freeMB := s.freeMB()
	for n, a := range s.adapters {
		if c, ok := s.modelConfig(n.Model); ok && a.refs == 0 {
			freeMB += c.AdapterMB
		}
	}
	for _, other := range s.config.Models {
		if s.evictable(now, other.Name) {
			freeMB += other.WeightsMB
		}
	}
	return freeMB >= m.WeightsMB
}

// evictable reports whether a base model may be unloaded in favour of another one:
// it is loaded, was not requested during the last modelIdleTime, and no request in
// flight uses it.
func (s *Scheduler) evictable(now time.Time, name string) bool {
	if !s.models[name] || now.Sub(s.lastRequested[name]) < modelIdleTime {
		return false
	}
	for _, p := range s.inflight {
		if p.Name.Model == name {
			return false
		}
	}
	return true
}

// loadModel returns the next order on the way to loading a base model: the load of
// that model, or the unload of an idle model or adapter to free memory. It returns
// nil if neither is possible now.
func (s *Scheduler) loadModel(now time.Time, name string) Action {
	m, ok := s.modelConfig(name)
	if !ok {
		return nil
	}
	if s.config.MemoryMB == 0 || s.freeMB() >= m.WeightsMB {
		s.loadingModel, s.modelLoadStart = name, now
		return Load{Name: Name{Model: name}, ExpectedOrders: s.acceptedOrders}
	}
	for _, other := range s.config.Models {
		if s.evictable(now, other.Name) {
			return Unload{Name: Name{Model: other.Name}, ExpectedOrders: s.acceptedOrders}
		}
	}
	if victim, ok := s.victim(now); ok {
		return s.unload(victim)
	}
	return nil
}

// preferredModel returns the base model that an empty engine loads: the model of
// the first queued request for a configured model, or the first configured model
// if there is no such request.
func (s *Scheduler) preferredModel() string {
	for _, r := range s.queue {
		if _, ok := s.modelConfig(r.Name.Model); ok {
			return r.Name.Model
		}
	}
	return s.config.Models[0].Name
}

// modelLoadDone handles the result of the order to load a base model.
func (s *Scheduler) modelLoadDone(now time.Time, r OrderResult) {
	switch r {
	case Deferred:
		s.loadingModel, s.pausedUntil = "", now.Add(deferredPause)
		return
	case Accepted:
		s.acceptedOrders++
	case NoChange, Rejected, Unclear:
		s.loadingModel = ""
	}
	s.pollAt = now.Add(s.config.ReportLag)
}

// modelUnloadDone handles the result of the order to unload a base model.
func (s *Scheduler) modelUnloadDone(now time.Time, name string, r OrderResult) {
	s.pollAt = now.Add(s.config.ReportLag)
	if r != Accepted && r != NoChange {
		return
	}
	s.acceptedOrders++
	delete(s.models, name)
	for n := range s.adapters {
		if n.Model == name {
			delete(s.adapters, n)
		}
	}
}
