package engine

import (
	"slices"
	"time"
)

// Next returns the actions to carry out at now. Only one Load, Unload or Look is
// in progress at a time; it ends with Ordered, Reported or Failed.
func (e *Scheduler) Next(now time.Time) []Action {
	e.expire(now)
	actions := e.serveQueue(now)
	if e.commandPending {
		return actions
	}
	if a := e.nextCommand(now); a != nil {
		e.commandPending = true
		actions = append(actions, a)
	}
	return actions
}

// expire releases the requests in flight whose End did not arrive.
func (e *Scheduler) expire(now time.Time) {
	for id, p := range e.inflight {
		if now.Sub(p.Deadline) > time.Second {
			e.release(e.inflight[id])
			if e.probeID == id {
				e.probeID = ""
			}
		}
	}
}

// serveQueue decides on the queued requests, in the order of admitBy.
func (e *Scheduler) serveQueue(now time.Time) []Action {
	slices.SortStableFunc(e.queue, func(a, b *Request) int { return a.admitBy().Compare(b.admitBy()) })
	var actions []Action
	var waiting []*Request
	for _, a := range e.queue {
		switch {
		case e.closed:
			actions = append(actions, Reply{ID: a.ID, Decision: Refused{Reason: Closed}})
		case e.canAdmit(now, a):
			actions = append(actions, Reply{ID: a.ID, Decision: e.admit(now, a)})
		case now.Add(e.ttft(a.prefill)).After(e.usefulUntil(now, a)):
			actions = append(actions, Reply{ID: a.ID, Decision: Refused{Reason: TooLate, Wait: e.estimateTTFT(now, a)}})
		default:
			waiting = append(waiting, a)
		}
	}
	e.queue = waiting
	return actions
}

// Close stops the admission of requests, as the engine is shutting down.
func (e *Scheduler) Close() { e.closed = true }
