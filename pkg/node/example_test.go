package node_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/record"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// memoryLog is a log service in memory.
type memoryLog map[string][]record.Record

func (m memoryLog) append(stream string, data []byte) {
	m[stream] = append(m[stream], record.Record{Offset: int64(len(m[stream]) + 1), Data: data})
}

func (m memoryLog) read(stream string) record.Batch {
	tail := int64(len(m[stream]) + 1)
	return record.Batch{Records: m[stream], First: 1, Next: tail, Tail: tail}
}

// A program embeds a Node and supplies the clock, the log and an engine that loads
// adapters and runs calls.
func Example() {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	n := node.New(node.Config{
		Self: member.VM{
			Name:   "a1",
			Boot:   "3f9c2a7d1b604e55",
			Zone:   "riga-a",
			Caller: netip.MustParseAddrPort("127.0.0.1:7000"),
			Peer:   netip.MustParseAddrPort("127.0.0.1:7002"),
		},
		Weights: slots.Weights{Stall: 1, Batch: 1},
		Store:   node.Store{LoadRate: 5, MaxLoads: 2, LoadTime: 400 * time.Millisecond},
		Keys:    node.Keys{Partitions: 1, Lifetime: time.Minute, MaxKeys: 100},
		Timing:  node.Defaults(),
	})
	log := memoryLog{}
	log.append("docs", []byte(`{"kind":"document","format":1,"body":{"service":"lm-assist","base":0,"nonce":"n1","text":`+
		`"service: lm-assist\nkind: model\nbase: latvian-7b\nengines:\n- {name: e1, address: '127.0.0.1:7201', slots: 2, batch: 4}\n`+
		`adapters:\n- {name: school-12, version: v3}\n"}}`))

	request := slots.Request{
		ID:       "call-1",
		Adapter:  spec.Adapter{Name: "school-12", Version: "v3"},
		Arrived:  now,
		Deadline: now.Add(time.Minute),
	}
	sent := false
	pending := []node.Event{node.Tick{}}
	for range 100 {
		if len(pending) == 0 {
			now = now.Add(50 * time.Millisecond)
			pending = []node.Event{node.Tick{}}
		}
		event := pending[0]
		pending = pending[1:]
		for _, action := range n.Step(now, event) {
			switch a := action.(type) {
			case node.Follow:
				pending = append(pending, node.LogRead{Stream: a.Stream, Sent: now, Batch: log.read(a.Stream)})
			case node.Append:
				log.append(a.Stream, a.Data)
				pending = append(pending, node.LogRead{Stream: a.Stream, Sent: now, Batch: record.Batch{
					Records: log[a.Stream][len(log[a.Stream])-1:],
				}})
			case node.Poll:
				pending = append(pending, node.EngineReported{Engine: a.Engine, Boot: "e1-1"})
				if !sent {
					sent = true
					pending = append(pending, node.CallArrived{Request: request, Engine: a.Engine})
				}
			case node.Load:
				fmt.Println("load", a.Instance, "on", a.Engine)
				pending = append(pending, node.LoadEnded{Engine: a.Engine, Instance: a.Instance, OK: true})
			case node.Start:
				fmt.Println("start", a.ID, "on", a.Instance)
				pending = append(pending, node.CallEnded{ID: a.ID, Result: node.Finished})
			}
		}
	}
	fmt.Println("owned engines:", len(n.OwnedEngines()))
	// Output:
	// load school-12@v3#1 on lm-assist/e1
	// start call-1 on school-12@v3#1
	// owned engines: 1
}
