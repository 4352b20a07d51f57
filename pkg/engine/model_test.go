package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

const other = "other"

// twoModels returns the scheduler of an engine with two configured base models of
// 8 MB each. The first model and the given adapters of that model are loaded. If
// change is not nil, it modifies the configuration.
func twoModels(memoryMB float64, change func(*engine.Config), adapters ...roster.Adapter) *engine.Scheduler {
	c := config()
	c.MemoryMB = memoryMB
	c.Models = []engine.Model{{Name: model, WeightsMB: 8, AdapterMB: 1, LoadTime: time.Second}, {Name: other, WeightsMB: 8, AdapterMB: 1, LoadTime: time.Second}}
	if change != nil {
		change(&c)
	}
	e := engine.New(c, start)
	e.Next(start)
	e.Reported(start, models(adapters...), nil, 0)
	return e
}

func otherRequest(id string, at time.Time) engine.Request {
	r := request(id, "b1", at)
	r.Name.Model = other
	return r
}

func TestLoadsARequestedModel(t *testing.T) {
	is := is.New(t)
	e := twoModels(20, nil)
	v, queued := e.Admit(start, otherRequest("1", start)).(engine.Queued)
	is.True(queued)
	is.True(v.Wait >= time.Second) // the wait includes the load of the model
	load := engine.Load{Name: engine.Name{Model: other}}
	is.Equal(orders(e.Next(start)), []engine.Action{load})
	e.OrderDone(start, load, engine.Accepted)
	e.Admit(start, request("2", "a1", start))
	is.Equal(len(orders(e.Next(start.Add(100*time.Millisecond)))), 0) // the engine is busy loading the model
	at := start.Add(time.Second)
	is.Equal(orders(e.Next(at)), []engine.Action{engine.Poll{}})
	e.Reported(at, append(models(), roster.Model{Name: other}), nil, 1)
	is.Equal(orders(e.Next(at)), []engine.Action{engine.Load{Name: engine.Name{Model: other, Adapter: "b1"}, ExpectedOrders: 1}})
}

func TestIdleAdapterMakesRoomForAModel(t *testing.T) {
	is := is.New(t)
	e := twoModels(16.5, nil, roster.Adapter{Name: "a1", Version: 1})
	e.Admit(start, otherRequest("1", start))
	is.Equal(orders(e.Next(start)), []engine.Action{engine.Unload{Name: name("a1")}})
}

func TestIdleModelMakesRoom(t *testing.T) {
	is := is.New(t)
	e := twoModels(10, nil, roster.Adapter{Name: "a1", Version: 1})
	e.Admit(start, request("1", "a1", start))
	e.End(start.Add(time.Second), "1", engine.Done)
	refused, ok := e.Admit(start.Add(2*time.Second), otherRequest("2", start.Add(2*time.Second))).(engine.Refused)
	is.True(ok) // the loaded model was requested recently
	is.Equal(refused.Reason, engine.NoMemory)

	at := start.Add(20 * time.Second)
	_, queued := e.Admit(at, otherRequest("3", at)).(engine.Queued)
	is.True(queued)
	unload := engine.Unload{Name: engine.Name{Model: model}}
	is.Equal(orders(e.Next(at)), []engine.Action{unload})
	e.OrderDone(at, unload, engine.NoChange)
	is.Equal(orders(e.Next(at)), []engine.Action{engine.Load{Name: engine.Name{Model: other}, ExpectedOrders: 1}})
}

func TestAdaptersFitInMemory(t *testing.T) {
	is := is.New(t)
	e := twoModels(9.5, func(c *engine.Config) { c.AdapterSlots = 10 }, roster.Adapter{Name: "a1", Version: 1})
	e.Admit(start, request("1", "a2", start))
	is.Equal(orders(e.Next(start)), []engine.Action{engine.Unload{Name: name("a1")}}) // 9 of 9.5 MB are in use, and an adapter takes 1 MB
}

func TestDeferredLoadIsOrderedAgain(t *testing.T) {
	is := is.New(t)
	e := twoModels(20, nil)
	e.Admit(start, otherRequest("1", start))
	load := engine.Load{Name: engine.Name{Model: other}}
	is.Equal(orders(e.Next(start)), []engine.Action{load})
	e.OrderDone(start, load, engine.Deferred)
	is.Equal(len(orders(e.Next(start))), 0)
	is.Equal(orders(e.Next(start.Add(200*time.Millisecond))), []engine.Action{load})
}

// Orders to an engine that does not reject old fencing tokens are sent only while it
// is certain that no other VM has claimed the engine.
func TestOrdersOnlyWhileConfirmed(t *testing.T) {
	is := is.New(t)
	e := twoModels(20, func(c *engine.Config) { c.Unfenced = true })
	e.Admit(start, request("1", "a1", start))
	is.Equal(len(orders(e.Next(start))), 0)
	e.Confirm(start.Add(time.Second))
	e.Next(start.Add(time.Second))
	is.Equal(len(orders(e.Next(start.Add(time.Second)))), 0)
	is.Equal(orders(e.Next(start.Add(500*time.Millisecond))), []engine.Action{engine.Load{Name: name("a1")}})
}
