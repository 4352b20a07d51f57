package slots_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tanagerlb/tanagerlb/pkg/demand"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func config(size, batch int) slots.Config {
	return slots.Config{
		Slots: size, Batch: batch, Queue: 16, Weights: slots.Weights{Stall: 1, Batch: 1}, Load: 100 * time.Millisecond,
		Starve: time.Second, Backoff: 200 * time.Millisecond, Fence: 7,
		Demand: demand.Config{Half: time.Minute, Young: 10 * time.Second},
	}
}

// model is an engine as it sees the scheduler's orders.
type model struct {
	t       *rapid.T
	sched   *slots.Engine
	config  slots.Config
	held    map[slots.Instance]string // loading, ready or unloading
	on      map[string]slots.Instance // running requests
	suspect map[string]bool
	asked   map[string]spec.Adapter // requests without an answer
	permit  string                  // "", wanted or held
}

func (m *model) take(actions []slots.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case slots.Start:
			m.started(a)
		case slots.Refuse:
			m.answered(a.Request.ID)
		case slots.Load:
			m.check(m.permit == "held", "load without a permit")
			m.held[a.Instance] = "loading"
			m.check(len(m.held) <= m.config.Slots, "slots overfilled")
		case slots.Unload:
			m.check(m.held[a.Instance] == "ready", "unload of an instance that is not ready")
			for id, i := range m.on {
				m.check(i != a.Instance, "evicted under "+id)
			}
			m.held[a.Instance] = "unloading"
		case slots.Want:
			m.check(m.permit != "held", "second permit wanted")
			m.permit = "wanted"
		case slots.Drop:
			m.permit = ""
		}
	}
}

func (m *model) started(s slots.Start) {
	m.answered(s.Request.ID)
	m.check(m.held[s.Instance] == "ready", "started on an instance that is not ready")
	m.check(s.Instance.Adapter == s.Request.Adapter, "started on another adapter")
	m.on[s.Request.ID] = s.Instance
	m.check(len(m.on) <= m.config.Batch, "batch overfilled")
	m.suspect[s.Request.ID] = s.Request.Suspect
	suspects := 0
	for id := range m.on {
		if m.suspect[id] {
			suspects++
		}
	}
	m.check(suspects <= 1, "two suspects at once")
}

func (m *model) answered(id string) {
	_, ok := m.asked[id]
	m.check(ok, "second answer to "+id)
	delete(m.asked, id)
}

func (m *model) check(holds bool, text string) {
	if !holds {
		m.t.Fatalf("%s", text)
	}
}

// Whatever comes in whatever order: slots and batch are never overfilled, no
// adapter goes under a running request, each request gets one answer, and none
// is left over once its deadline has passed.
func TestSchedulerRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config(rapid.IntRange(1, 3).Draw(t, "slots"), rapid.IntRange(1, 4).Draw(t, "batch"))
		m := &model{
			t: t, config: c, sched: slots.New(c), held: map[slots.Instance]string{}, on: map[string]slots.Instance{},
			suspect: map[string]bool{}, asked: map[string]spec.Adapter{},
		}
		now := start
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			m.step(now, step)
			m.take(m.sched.Next(now))
		}
		now = now.Add(time.Hour)
		m.take(m.sched.Next(now))
		if len(m.asked) > 0 || m.sched.Waiting() > 0 {
			t.Fatalf("requests without an answer: %v", m.asked)
		}
	})
}

func (m *model) step(now time.Time, step int) {
	t := m.t
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0, 1, 2:
		r := slots.Request{
			ID:       fmt.Sprintf("r%d", step),
			Adapter:  spec.Adapter{Name: strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "adapter")), Version: "v1"},
			Urgency:  spec.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")),
			Arrived:  now,
			Deadline: now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond),
			Suspect:  rapid.Bool().Draw(t, "suspect"),
		}
		m.asked[r.ID] = r.Adapter
		m.take(m.sched.Add(now, r))
	case 3:
		for id := range m.on {
			delete(m.on, id)
			m.sched.Finish(now, id)
			break
		}
	case 4:
		if m.permit == "wanted" {
			m.permit = "held"
			m.sched.Grant()
		}
	case 5:
		m.endOrder(now, "loading")
	case 6:
		m.endOrder(now, "unloading")
	case 7:
		if rapid.IntRange(0, 9).Draw(t, "reset") == 0 {
			clear(m.held)
			clear(m.on)
			m.sched.Reset()
		}
	}
}

func (m *model) endOrder(now time.Time, phase string) {
	ok := rapid.Bool().Draw(m.t, "ok")
	for i, p := range m.held {
		if p != phase {
			continue
		}
		if phase == "loading" {
			m.permit = ""
			m.sched.Loaded(now, i, ok)
		} else {
			m.sched.Unloaded(i, ok)
		}
		if ok == (phase == "loading") {
			m.held[i] = "ready"
		} else {
			delete(m.held, i)
		}
		return
	}
}

// An instance of an owner before is never unloaded while that one may act.
func TestForeignStays(t *testing.T) {
	is := is.New(t)
	e := slots.New(config(1, 2))
	foreign := slots.Instance{Adapter: spec.Adapter{Name: "a", Version: "v1"}, Fence: 3}
	e.Adopt(start, foreign, false, true)
	e.Add(start, slots.Request{ID: "r", Adapter: spec.Adapter{Name: "b", Version: "v1"}, Arrived: start, Deadline: start.Add(time.Minute)})
	for i := range 100 {
		for _, a := range e.Next(start.Add(time.Duration(i) * 100 * time.Millisecond)) {
			t.Fatalf("unexpected action %T", a)
		}
	}
	e.Adopt(start, foreign, true, false)
	is.Equal(len(e.Next(start.Add(11*time.Second))), 1) // wants a permit now
}

func TestParseInstance(t *testing.T) {
	is := is.New(t)
	i := slots.Instance{Adapter: spec.Adapter{Name: "school@12", Version: "v3"}, Fence: 42}
	parsed, err := slots.ParseInstance(i.String())
	is.NoErr(err)
	is.Equal(parsed, i)
	for _, name := range []string{"", "a", "a@v1", "a#1", "a@v1#x"} {
		_, err := slots.ParseInstance(name)
		is.True(err != nil)
	}
}
