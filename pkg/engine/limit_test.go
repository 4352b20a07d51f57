package engine_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/pace"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// Guards against an engine that gets more requests than the limit that it names, although it
// has room for them (incident LIMIT). Those that would come too late are refused at once.
func TestEngineWithALimitAdmitsAtItsRate(t *testing.T) {
	is := is.New(t)
	e := reportedEngine(roster.Adapter{Name: "a1", Version: 1})
	e.SetLimit(start, pace.Limit{Named: true, Rate: 2})
	admitted, refused := 0, 0
	count := func(d engine.Decision) {
		switch d := d.(type) {
		case engine.Admitted:
			admitted++
		case engine.Refused:
			refused++
			is.Equal(d.Reason, engine.TooLate)
			is.True(d.Wait > time.Second) // the objective cannot be met
		case engine.Queued:
		}
	}
	const length = 10 * time.Second
	for i := 0; ; i++ {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		if now.Sub(start) >= length {
			break
		}
		count(e.Admit(now, request(strconv.Itoa(i), "a1", now)))
		for _, a := range e.Next(now) {
			if reply, ok := a.(engine.Reply); ok {
				count(reply.Decision)
			}
		}
		for done := range i {
			e.End(now, strconv.Itoa(done-20), engine.Done)
		}
	}
	is.True(admitted >= 17 && admitted <= 21) // of 200 requests
	is.True(refused >= 150)

	e.SetLimit(start.Add(length), pace.Limit{})
	_, ok := e.Admit(start.Add(length), request("last", "a1", start.Add(length))).(engine.Admitted)
	is.True(ok)
}

func TestWaitAtAnEngineWithALimitIncludesTheQueue(t *testing.T) {
	is := is.New(t)
	e := reportedEngine(roster.Adapter{Name: "a1", Version: 1})
	before := e.Usage(start).FirstTokenWait
	e.SetLimit(start, pace.Limit{Named: true, Rate: 4})
	is.Equal(e.Usage(start).FirstTokenWait, before+250*time.Millisecond)
	_, queued := e.Admit(start, request("1", "a1", start)).(engine.Queued)
	is.True(queued)
	is.Equal(e.Usage(start).FirstTokenWait, before+500*time.Millisecond)
	second := request("2", "a1", start)
	second.MayQueue = false
	refused, ok := e.Admit(start, second).(engine.Refused)
	is.True(ok)
	is.Equal(refused.Reason, engine.Busy) // another engine is likely faster
}
