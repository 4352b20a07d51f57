package engine

import (
	"slices"
	"time"
)

// Next returns the actions to carry out at now. Only one Load, Unload or Poll is
// in progress at a time; the caller reports its end by OrderDone, Reported or
// PollFailed.
func (s *Scheduler) Next(now time.Time) []Action {
	s.expire(now)
	actions := s.serveQueue(now)
	if s.orderPending {
		return actions
	}
	if a := s.nextOrder(now); a != nil {
		s.orderPending = true
		actions = append(actions, a)
	}
	return actions
}

// expire releases the requests in flight that are more than a second past their
// deadline, as End was not called for them.
func (s *Scheduler) expire(now time.Time) {
	for id, p := range s.inflight {
		if now.Sub(p.Deadline) > time.Second {
			s.release(s.inflight[id])
			if s.probeID == id {
				s.probeID = ""
			}
		}
	}
}

// serveQueue goes through the queue, the request with the earliest admitBy time
// first. It admits each request that the engine can start now, and refuses each whose
// first token would be too late; a closed scheduler refuses all.
func (s *Scheduler) serveQueue(now time.Time) []Action {
	slices.SortStableFunc(s.queue, func(a, b *Request) int { return a.admitBy().Compare(b.admitBy()) })
	var actions []Action
	var waiting []*Request
	for _, r := range s.queue {
		switch {
		case s.closed:
			actions = append(actions, Reply{ID: r.ID, Decision: Refused{Reason: Closed}})
		case s.canAdmit(now, r):
			actions = append(actions, Reply{ID: r.ID, Decision: s.admit(now, r)})
		case now.Add(s.limitWait(now, len(waiting)) + s.ttft(r.prefill)).After(s.usefulUntil(now, r)):
			actions = append(actions, Reply{ID: r.ID, Decision: Refused{Reason: TooLate, Wait: s.estimateTTFT(now, r)}})
		default:
			waiting = append(waiting, r)
		}
	}
	s.queue = waiting
	return actions
}

// Close makes the scheduler refuse all queued and later requests, as the engine is
// shutting down.
func (s *Scheduler) Close() { s.closed = true }
