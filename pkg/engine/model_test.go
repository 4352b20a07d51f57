package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

const other = "other"

// twoModels returns an engine with the given memory in MB and two configured base
// models of 8 MB each, of which it holds the first.
func twoModels(memoryMB float64, change func(*engine.Config), adapters ...roster.Adapter) *engine.Engine {
	c := config()
	c.Room = memoryMB
	c.Models = []engine.Model{{Name: model, Size: 8, Adapter: 1, Load: time.Second}, {Name: other, Size: 8, Adapter: 1, Load: time.Second}}
	if change != nil {
		change(&c)
	}
	e := engine.New(c, start)
	e.Next(start)
	e.Reported(start, models(adapters...), nil, 0)
	return e
}

func otherRequest(id string, at time.Time) engine.Ask {
	a := request(id, "b1", at)
	a.Name.Model = other
	return a
}

func TestLoadsAModelThatIsAskedFor(t *testing.T) {
	is := is.New(t)
	e := twoModels(20, nil)
	v, queued := e.Ask(start, otherRequest("1", start)).(engine.Queued)
	is.True(queued)
	is.True(v.Wait >= time.Second) // it includes the load of the model
	load := engine.Load{Name: engine.Name{Model: other}}
	is.Equal(commands(e.Next(start)), []engine.Action{load})
	e.Ordered(start, load, engine.Accepted)
	e.Ask(start, request("2", "a1", start))
	is.Equal(len(commands(e.Next(start.Add(100*time.Millisecond)))), 0) // the engine is busy loading the model
	at := start.Add(time.Second)
	is.Equal(commands(e.Next(at)), []engine.Action{engine.Look{}})
	e.Reported(at, append(models(), roster.Model{Name: other}), nil, 1)
	is.Equal(commands(e.Next(at)), []engine.Action{engine.Load{Name: engine.Name{Model: other, Adapter: "b1"}, Accepted: 1}})
}

func TestIdleAdapterMakesRoomForAModel(t *testing.T) {
	is := is.New(t)
	e := twoModels(16.5, nil, roster.Adapter{Name: "a1", Version: 1})
	e.Ask(start, otherRequest("1", start))
	is.Equal(commands(e.Next(start)), []engine.Action{engine.Unload{Name: name("a1")}})
}

func TestIdleModelMakesRoom(t *testing.T) {
	is := is.New(t)
	e := twoModels(10, nil, roster.Adapter{Name: "a1", Version: 1})
	e.Ask(start, request("1", "a1", start))
	e.End(start.Add(time.Second), "1", engine.Done)
	refused, ok := e.Ask(start.Add(2*time.Second), otherRequest("2", start.Add(2*time.Second))).(engine.Refused)
	is.True(ok) // the other model was in use recently
	is.Equal(refused.Reason, engine.NoRoom)

	at := start.Add(20 * time.Second)
	_, queued := e.Ask(at, otherRequest("3", at)).(engine.Queued)
	is.True(queued)
	unload := engine.Unload{Name: engine.Name{Model: model}}
	is.Equal(commands(e.Next(at)), []engine.Action{unload})
	e.Ordered(at, unload, engine.Holds)
	is.Equal(commands(e.Next(at)), []engine.Action{engine.Load{Name: engine.Name{Model: other}, Accepted: 1}})
}

func TestAdaptersKeepWithinTheRoom(t *testing.T) {
	is := is.New(t)
	e := twoModels(9.5, func(c *engine.Config) { c.Places = 10 }, roster.Adapter{Name: "a1", Version: 1})
	e.Ask(start, request("1", "a2", start))
	is.Equal(commands(e.Next(start)), []engine.Action{engine.Unload{Name: name("a1")}}) // 9 of 9.5 MB are in use
}

func TestDeferredLoadIsOrderedAgain(t *testing.T) {
	is := is.New(t)
	e := twoModels(20, nil)
	e.Ask(start, otherRequest("1", start))
	load := engine.Load{Name: engine.Name{Model: other}}
	is.Equal(commands(e.Next(start)), []engine.Action{load})
	e.Ordered(start, load, engine.Deferred)
	is.Equal(len(commands(e.Next(start))), 0)
	is.Equal(commands(e.Next(start.Add(200*time.Millisecond))), []engine.Action{load})
}

// An engine that does not reject old fencing tokens is sent commands only while it
// is certain that no other VM has claimed it.
func TestOrdersOnlyWhileConfirmed(t *testing.T) {
	is := is.New(t)
	e := twoModels(20, func(c *engine.Config) { c.Confirmed = true })
	e.Ask(start, request("1", "a1", start))
	is.Equal(len(commands(e.Next(start))), 0)
	e.Confirm(start.Add(time.Second))
	e.Next(start.Add(time.Second))
	is.Equal(len(commands(e.Next(start.Add(time.Second)))), 0)
	is.Equal(commands(e.Next(start.Add(500*time.Millisecond))), []engine.Action{engine.Load{Name: name("a1")}})
}
