package engine

import "time"

const (
	// unknownReturn is after what time callers are told to come back if no queue has a forecast. It
	// is the time in which a holder that has shut down is replaced by another.
	unknownReturn = 250 * time.Millisecond
	// minReturnSpread is the least time over which the returns of refused callers are spread.
	minReturnSpread = 200 * time.Millisecond
	// waitedShare is the share of the time left to their deadlines for which callers wait.
	waitedShare = 1.0 / 3
)

// ReturnAfter returns after what time the caller of a refused request is to come back: when those
// ahead of it at the engine will have been served. Spread, from 0 to 1, is random and separates the
// returns of callers that were refused together. Callers wait for at most waitedShare of the time that is
// left to their deadlines, so that the spread ends there, but takes minReturnSpread at least.
func (r Refused) ReturnAfter(left time.Duration, spread float64) time.Duration {
	wait := r.Wait
	if wait <= 0 {
		wait = unknownReturn
	}
	longest := min(wait, time.Duration(waitedShare*float64(left))-wait)
	return wait + time.Duration(spread*float64(max(longest, minReturnSpread)))
}

// Then returns the refusal of a request that was refused by one engine and then by another. The
// forecast of a queue tells when to come back; the other refusals tell nothing about the other
// engines. Of two forecasts, the shorter one counts, with the reason of the last.
func (r Refused) Then(next Refused) Refused {
	switch {
	case !r.isForecast():
		return next
	case !next.isForecast():
		return r
	}
	if r.Wait < next.Wait {
		next.Wait, next.LoadWait = r.Wait, r.LoadWait
	}
	return next
}

// isForecast reports whether Wait is the forecast of an engine's queue.
func (r Refused) isForecast() bool { return r.Wait > 0 && (r.Reason == Busy || r.Reason == TooLate) }
