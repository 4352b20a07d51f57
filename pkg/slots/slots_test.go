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
		Slots: size, BatchSize: batch, MaxQueue: 16, Weights: slots.Weights{Stall: 1, Batch: 1}, LoadTime: 100 * time.Millisecond,
		StarvationTimeout: time.Second, LoadBackoff: 200 * time.Millisecond, FencingToken: 7,
		Demand: demand.Config{HalfLife: time.Minute, MinAge: 10 * time.Second},
	}
}

// harness carries out the scheduler's actions as an engine and its owner do,
// and checks that each action is allowed.
type harness struct {
	t         *rapid.T
	scheduler *slots.Scheduler
	config    slots.Config
	instances map[slots.Instance]string // "loading", "ready" or "unloading"
	running   map[string]slots.Instance // instances of the running requests, by request ID
	suspect   map[string]bool           // whether a started request is a suspect, by request ID
	pending   map[string]spec.Adapter   // requests neither started nor refused yet, by ID
	permit    string                    // "", "requested" or "held"
}

func (h *harness) perform(actions []slots.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case slots.Start:
			h.onStart(a)
		case slots.Refuse:
			h.markDecided(a.Request.ID)
		case slots.Load:
			h.check(h.permit == "held", "load without a granted permit")
			h.instances[a.Instance] = "loading"
			h.check(len(h.instances) <= h.config.Slots, "more instances than slots")
		case slots.Unload:
			h.check(h.instances[a.Instance] == "ready", "unload of an instance that is not ready")
			for id, i := range h.running {
				h.check(i != a.Instance, "unloaded an instance while running "+id)
			}
			h.instances[a.Instance] = "unloading"
		case slots.RequestPermit:
			h.check(h.permit != "held", "requested a second permit")
			h.permit = "requested"
		case slots.ReleasePermit:
			h.permit = ""
		}
	}
}

func (h *harness) onStart(s slots.Start) {
	h.markDecided(s.Request.ID)
	h.check(h.instances[s.Instance] == "ready", "started on an instance that is not ready")
	h.check(s.Instance.Adapter == s.Request.Adapter, "started on another adapter")
	h.running[s.Request.ID] = s.Instance
	h.check(len(h.running) <= h.config.BatchSize, "more running requests than the batch holds")
	h.suspect[s.Request.ID] = s.Request.Suspect
	suspects := 0
	for id := range h.running {
		if h.suspect[id] {
			suspects++
		}
	}
	h.check(suspects <= 1, "two suspect requests running at once")
}

func (h *harness) markDecided(id string) {
	_, ok := h.pending[id]
	h.check(ok, "second start or refusal of "+id)
	delete(h.pending, id)
}

func (h *harness) check(ok bool, text string) {
	if !ok {
		h.t.Fatalf("%s", text)
	}
}

// With random events in random order, slots and batch are never overfilled, no
// adapter is unloaded while a request runs on it, and each request is started
// or refused exactly once. An hour after the last event, when all deadlines
// have passed, no request is left waiting.
func TestSchedulerRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config(rapid.IntRange(1, 3).Draw(t, "slots"), rapid.IntRange(1, 4).Draw(t, "batch"))
		h := &harness{
			t: t, config: c, scheduler: slots.New(c), instances: map[slots.Instance]string{}, running: map[string]slots.Instance{},
			suspect: map[string]bool{}, pending: map[string]spec.Adapter{},
		}
		now := start
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			h.step(now, step)
			h.perform(h.scheduler.Next(now))
		}
		now = now.Add(time.Hour)
		h.perform(h.scheduler.Next(now))
		if len(h.pending) > 0 || h.scheduler.Waiting() > 0 {
			t.Fatalf("requests neither started nor refused: %v", h.pending)
		}
	})
}

func (h *harness) step(now time.Time, step int) {
	t := h.t
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
		h.pending[r.ID] = r.Adapter
		h.perform(h.scheduler.Enqueue(now, r))
	case 3:
		for id := range h.running {
			delete(h.running, id)
			h.scheduler.Finish(now, id)
			break
		}
	case 4:
		if h.permit == "requested" {
			h.permit = "held"
			h.scheduler.GrantPermit()
		}
	case 5:
		h.finishOrder(now, "loading")
	case 6:
		h.finishOrder(now, "unloading")
	case 7:
		if rapid.IntRange(0, 9).Draw(t, "reset") == 0 {
			clear(h.instances)
			clear(h.running)
			h.scheduler.Reset()
		}
	}
}

func (h *harness) finishOrder(now time.Time, phase string) {
	ok := rapid.Bool().Draw(h.t, "ok")
	for i, p := range h.instances {
		if p != phase {
			continue
		}
		if phase == "loading" {
			h.permit = ""
			h.scheduler.FinishLoad(now, i, ok)
		} else {
			h.scheduler.FinishUnload(i, ok)
		}
		if ok == (phase == "loading") {
			h.instances[i] = "ready"
		} else {
			delete(h.instances, i)
		}
		return
	}
}

// A previous owner's instance is never unloaded while that owner may still use
// it.
func TestForeignInstanceIsNotUnloaded(t *testing.T) {
	is := is.New(t)
	s := slots.New(config(1, 2))
	foreign := slots.Instance{Adapter: spec.Adapter{Name: "a", Version: "v1"}, FencingToken: 3}
	s.Adopt(start, foreign, false, true)
	s.Enqueue(start, slots.Request{ID: "r", Adapter: spec.Adapter{Name: "b", Version: "v1"}, Arrived: start, Deadline: start.Add(time.Minute)})
	for i := range 100 {
		for _, a := range s.Next(start.Add(time.Duration(i) * 100 * time.Millisecond)) {
			t.Fatalf("unexpected action %T", a)
		}
	}
	s.Adopt(start, foreign, true, false)
	is.Equal(len(s.Next(start.Add(11*time.Second))), 1) // requests a permit
}

func TestParseInstance(t *testing.T) {
	is := is.New(t)
	i := slots.Instance{Adapter: spec.Adapter{Name: "school@12", Version: "v3"}, FencingToken: 42}
	parsed, err := slots.ParseInstance(i.String())
	is.NoErr(err)
	is.Equal(parsed, i)
	for _, name := range []string{"", "a", "a@v1", "a#1", "a@v1#x"} {
		_, err := slots.ParseInstance(name)
		is.True(err != nil)
	}
}
