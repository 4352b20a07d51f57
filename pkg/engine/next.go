package engine

import (
	"slices"
	"time"
)

// Next returns what is to be done at now. Only one Load, Unload or Look is
// under way at a time; its end is told by Ordered or Reported.
func (e *Engine) Next(now time.Time) []Action {
	e.expire(now)
	actions := e.serve(now)
	if e.ordering {
		return actions
	}
	if a := e.order(now); a != nil {
		e.ordering = true
		actions = append(actions, a)
	}
	return actions
}

// expire frees the places of requests whose end was not told.
func (e *Engine) expire(now time.Time) {
	for id, p := range e.places {
		if now.Sub(p.Deadline) > time.Second {
			e.free(e.places[id])
			if e.trial == id {
				e.trial = ""
			}
		}
	}
}

// serve answers the queue, the ask that is due first in front.
func (e *Engine) serve(now time.Time) []Action {
	slices.SortStableFunc(e.queue, func(a, b *Ask) int { return a.due().Compare(b.due()) })
	var actions []Action
	var left []*Ask
	for _, a := range e.queue {
		switch {
		case e.closed:
			actions = append(actions, Answer{ID: a.ID, Verdict: Refused{Reason: Closed}})
		case e.fits(now, a):
			actions = append(actions, Answer{ID: a.ID, Verdict: e.grant(now, a)})
		case now.Add(e.wait(a.read)).After(e.latest(now, a)):
			actions = append(actions, Answer{ID: a.ID, Verdict: Refused{Reason: Hopeless, Wait: e.estimate(now, a)}})
		default:
			left = append(left, a)
		}
	}
	e.queue = left
	return actions
}

// Close takes that the engine leaves: it is sent nothing more.
func (e *Engine) Close() { e.closed = true }
