package node_test

import (
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/record"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

const poison = crash.Fingerprint(7)

// vm drives a Node that owns one engine, which crashes under poison. The streams of the
// log are the VM's own but for the stream of crashes, which all VMs share.
type vm struct {
	node    *node.Node
	engine  string
	now     time.Time
	log     memoryLog
	crashes memoryLog
	read    int  // number of records of the crash stream that were read
	follows bool // the node reads the crash stream
	logDown bool // records are not appended
	boot    int  // incarnation of the engine
	calls   int
	runs    int                    // runs of poison on the engine
	refused map[string]node.Reason // refused calls, by ID
}

// startTime is when the first VMs start.
var startTime = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func newVM(name string, now time.Time, crashes memoryLog) *vm {
	v := &vm{engine: "s/" + name, now: now, log: memoryLog{}, crashes: crashes, boot: 1, refused: map[string]node.Reason{}}
	v.node = node.New(node.Config{
		Self:    member.VM{Name: name, Boot: "boot of " + name, Zone: "z", Peer: netip.MustParseAddrPort("127.0.0.1:7002")},
		Weights: slots.Weights{Stall: 1, Batch: 1},
		Store:   node.Store{LoadRate: 5, MaxLoads: 2, LoadTime: 400 * time.Millisecond},
		Keys:    node.Keys{Partitions: 1, Lifetime: time.Minute, MaxKeys: 100},
		Timing:  node.Defaults(),
	})
	v.log.append("docs", []byte(`{"kind":"document","format":1,"body":{"service":"s","base":0,"nonce":"n1","text":`+
		`"service: s\nkind: model\nbase: b\nengines:\n- {name: `+name+`, address: '127.0.0.1:7201', slots: 2, batch: 4}\n`+
		`adapters:\n- {name: a, version: v1}\n"}}`))
	v.run(6 * time.Second)
	return v
}

// run lets time pass.
func (v *vm) run(d time.Duration) {
	for end := v.now.Add(d); v.now.Before(end); v.now = v.now.Add(50 * time.Millisecond) {
		if records := v.crashes[crash.Stream]; len(records) > v.read && v.follows && !v.logDown {
			v.step(node.LogRead{Stream: crash.Stream, Sent: v.now, Batch: record.Batch{Records: records[v.read:]}})
			v.read = len(records)
		}
		v.step(node.LogRead{Stream: "claims", Sent: v.now, Batch: v.log.read("claims")})
		v.step(node.Tick{})
	}
}

func (v *vm) step(e node.Event) {
	for _, action := range v.node.Step(v.now, e) {
		switch a := action.(type) {
		case node.Follow:
			v.follows = v.follows || a.Stream == crash.Stream
			if a.Stream != crash.Stream {
				v.step(node.LogRead{Stream: a.Stream, Sent: v.now, Batch: v.log.read(a.Stream)})
			}
		case node.Append:
			v.append(a)
		case node.Poll:
			v.step(node.EngineReported{Engine: a.Engine, Boot: strconv.Itoa(v.boot)})
		case node.Load:
			v.step(node.LoadEnded{Engine: a.Engine, Instance: a.Instance, OK: true})
		case node.Start:
			v.start(a)
		case node.Refuse:
			v.refused[a.ID] = a.Reason
		}
	}
}

func (v *vm) append(a node.Append) {
	switch {
	case a.Stream == crash.Stream && !v.logDown:
		v.crashes.append(a.Stream, a.Data)
	case a.Stream != crash.Stream:
		v.log.append(a.Stream, a.Data)
		v.step(node.LogRead{Stream: a.Stream, Sent: v.now, Batch: v.log.read(a.Stream)})
	}
}

// start runs a call. The engine crashes under a call whose ID begins with "p".
func (v *vm) start(a node.Start) {
	if a.ID[0] != 'p' {
		v.step(node.CallEnded{ID: a.ID, Result: node.Finished})
		return
	}
	v.runs++
	v.boot++
	v.step(node.CallEnded{ID: a.ID, Result: node.Crashed})
}

// call sends a call of the given kind and returns the reason for which it is refused, if
// it is.
func (v *vm) call(kind string) node.Reason {
	v.calls++
	id := fmt.Sprintf("%s%d", kind, v.calls)
	v.step(node.CallArrived{Engine: v.engine, Fingerprint: poison, Request: slots.Request{
		ID: id, Adapter: spec.Adapter{Name: "a", Version: "v1"}, Arrived: v.now, Deadline: v.now.Add(5 * time.Second),
	}})
	v.run(time.Second)
	return v.refused[id]
}

// Each owner held a crash against a request only if it had itself seen another one: a
// request that came back at another VM crashed an engine of each.
func TestCrashesAreCountedAcrossOwners(t *testing.T) {
	is := is.New(t)
	crashes := memoryLog{}
	runs := 0
	var vms []*vm
	for i := range 4 {
		vms = append(vms, newVM(fmt.Sprint("vm-", i), startTime, crashes))
	}
	for i := range 8 {
		v := vms[i%len(vms)]
		v.call("p")
		for _, other := range vms {
			other.run(v.now.Sub(other.now))
		}
	}
	for _, v := range vms {
		runs += v.runs
	}
	is.Equal(runs, 2)
	late := newVM("late", vms[0].now, crashes) // starts after the request was blocked
	late.run(time.Second)
	is.Equal(late.call("p"), node.Blocked)
}

// A verdict that could not be appended while the log was down never reached the other
// VMs.
func TestBlockedRequestIsToldOnceTheLogIsBack(t *testing.T) {
	is := is.New(t)
	crashes := memoryLog{}
	a, b := newVM("a", startTime, crashes), newVM("b", startTime, crashes)
	a.logDown = true
	a.call("p")
	a.call("p")
	is.Equal(a.runs, 2)
	is.Equal(a.call("p"), node.Blocked)
	a.logDown = false
	a.run(10 * time.Second)
	b.run(a.now.Sub(b.now))
	is.Equal(b.call("p"), node.Blocked)
}

// A request that was blocked wrongly was refused for good.
func TestBlockLapses(t *testing.T) {
	is := is.New(t)
	v := newVM("a", startTime, memoryLog{})
	v.call("p")
	v.call("p")
	is.Equal(v.call("x"), node.Blocked)
	v.run(5 * time.Minute)
	is.Equal(v.call("x"), node.Reason(""))
	v.call("p")
	is.Equal(v.runs, 3)
	is.Equal(v.call("x"), node.Reason("")) // the complete run has cleared it
}
