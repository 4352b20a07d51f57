package bench

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/claim"
	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/place"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/record"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

var engineCounts = []int{12, 120, 1200, 3000}

func engineNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("lm/e%04d", i)
	}
	return names
}

func adapterOf(i int) spec.Adapter { return spec.Adapter{Name: fmt.Sprintf("a%05d", i), Version: "v1"} }

// BenchmarkRank measures the ranking of engines for an adapter by rendezvous hashing.
// A VM asks the owners of the engines that rank first for bids on the adapter (see
// place.Bid).
func BenchmarkRank(b *testing.B) {
	for _, count := range engineCounts {
		names := engineNames(count)
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				rank.Top(adapterOf(i%61_000).Name, names, 12)
			}
		})
	}
}

// BenchmarkPlace measures Directory.Place for a request whose adapter is already
// assigned to an engine.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range engineCounts {
		for _, adapters := range []int{3000, 61_000} {
			b.Run(fmt.Sprintf("engines=%d/adapters=%d", engines, adapters), func(b *testing.B) {
				names := engineNames(engines)
				timing := node.Defaults()
				directory := place.NewDirectory(place.DirectoryConfig{
					Candidates: timing.BidCount, Demand: timing.Demand, ShortDemand: timing.ShortDemand, MaxFill: timing.MaxFill, QueueTTL: timing.QueueTTL,
				})
				for i := range adapters {
					bid := place.Bid{Engine: names[i%engines], BatchSize: 16, ServiceTime: time.Second}
					directory.Place(epoch, adapterOf(i), names)
					directory.PlaceWithBids(epoch, adapterOf(i), []place.Bid{bid})
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					directory.Place(epoch.Add(time.Duration(i)*time.Millisecond/10), adapterOf(i%adapters), names)
				}
			})
		}
	}
}

// BenchmarkSchedule measures how an engine's scheduler handles one request for a
// resident adapter, from Enqueue to Finish. Its parameter is the number of adapters
// that the scheduler knows; 8 of them are resident.
func BenchmarkSchedule(b *testing.B) {
	for _, adapters := range []int{30, 300, 3000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			timing := node.Defaults()
			s := slots.New(slots.Config{
				Slots: 8, BatchSize: 16, MaxQueue: 512, Weights: slots.Weights{Stall: 1, Batch: 1}, LoadTime: time.Second,
				StarvationTimeout: timing.StarvationTimeout, LoadBackoff: timing.LoadBackoff, Demand: timing.Demand, FencingToken: 1,
			})
			for i := range 8 {
				s.Adopt(epoch, slots.Instance{Adapter: adapterOf(i), FencingToken: 1}, true, false)
			}
			for i := 8; i < adapters; i++ {
				r := slots.Request{ID: "warm", Adapter: adapterOf(i), Arrived: epoch, Deadline: epoch.Add(time.Hour)}
				s.Enqueue(epoch, r)
				s.Cancel("warm")
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := epoch.Add(time.Duration(i) * time.Millisecond)
				id := strconv.Itoa(i)
				s.Enqueue(now, slots.Request{ID: id, Adapter: adapterOf(i % 8), Arrived: now, Deadline: now.Add(time.Minute)})
				s.Next(now)
				s.Finish(now.Add(time.Second), id)
			}
		})
	}
}

// BenchmarkPermit measures the handling of one permit to load an adapter: its request,
// grant and release. Its parameter is the number of engines that wait for a permit.
func BenchmarkPermit(b *testing.B) {
	for _, engines := range engineCounts {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			g := permit.New(permit.Config{Rate: 1e9, MaxActive: 2, PermitTTL: time.Hour, RequestTTL: time.Hour}, epoch)
			request := func(i int) permit.Request {
				return permit.Request{ID: permit.ID{VM: "a1", Name: strconv.Itoa(i % engines)}, Weight: float64(i % 97)}
			}
			for i := range engines {
				g.Request(epoch, request(i))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := epoch.Add(time.Duration(i) * time.Microsecond)
				for _, id := range g.Request(now, request(i)) {
					g.Release(now, id)
				}
				g.Release(now, request(i).ID)
				g.Request(now, request(i))
			}
		})
	}
}

// BenchmarkKey measures the processing of one call from its arrival to its outcome,
// under an idempotency key that is not bound to a VM's process (a plain key). Its
// parameter is the number of keys that are in memory at the start.
func BenchmarkKey(b *testing.B) {
	for _, kept := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("kept=%d", kept), func(b *testing.B) {
			t := keys.New(keys.Config{Boot: "b", Partitions: 1, Lifetime: 10 * time.Minute, MaxClockSkew: time.Second, MaxKeys: 10_000_000, MaxReplyBytes: 1024})
			t.ApplyRecords(epoch, 0, nil, true)
			serveKey := func(now time.Time, i int) {
				key := keys.NewKey(now, "", fmt.Sprintf("key-%08d", i))
				for _, a := range t.Begin(now, keys.Call{ID: key.Text, Key: key, Fingerprint: 1, Deadline: now.Add(time.Minute)}) {
					if appended, ok := a.(keys.Append); ok {
						t.ApplyRecords(now, 0, []record.Record{{Offset: 1, Data: appended.Data}}, true)
					}
				}
				t.FinishRun(key, keys.Ran, "", keys.Reply{Status: 200, Body: "ok"})
			}
			for i := range kept {
				serveKey(epoch, i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				serveKey(epoch.Add(time.Duration(i)*time.Microsecond), kept+i)
			}
		})
	}
}

func documentText(engines, adapters int) string {
	var b strings.Builder
	b.WriteString("service: lm\nkind: model\nbase: base-7b\nengines:\n")
	for i := range engines {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
		fmt.Fprintf(&b, "- {name: e%04d, address: \"%s\", slots: 8, batch: 16}\n", i, address)
	}
	b.WriteString("adapters:\n")
	for i := range adapters {
		fmt.Fprintf(&b, "- {name: a%05d, version: v1}\n", i)
	}
	return b.String()
}

// BenchmarkDocument measures the processing of a log record with a new version of a
// document, and reports the size of the record.
func BenchmarkDocument(b *testing.B) {
	for _, adapters := range []int{300, 3000, 15_000, 61_000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			data, err := record.Encode(docs.RecordKind, docs.Proposal{Service: "lm", Text: documentText(12, adapters)})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for range b.N {
				if _, err := docs.New(docs.Config{}).Apply(record.Record{Offset: 1, Data: data}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "record-bytes")
		})
	}
}

// BenchmarkTick measures one tick of a VM's control loop and the call of Node.View
// that follows each tick. The loop runs 20 ticks per second. The parameters are the
// numbers of VMs and engines in the fleet.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ vms, engines int }{{3, 12}, {9, 12}, {96, 300}, {960, 3000}} {
		b.Run(fmt.Sprintf("vms=%d/engines=%d", size.vms, size.engines), func(b *testing.B) {
			n := fleetNode(b, size.vms, size.engines)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
				n.Step(now, node.Tick{})
				n.View(now)
			}
		})
	}
}

// fleetNode returns the node of one VM in a fleet. The node knows all VMs and engines.
// For each engine, it has read a claim (the log record by which a VM becomes the
// engine's owner) from the VM that rendezvous hashing ranks first for the engine.
func fleetNode(b *testing.B, vms, engines int) *node.Node {
	vm := func(i int) member.VM {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7000)
		return member.VM{Name: fmt.Sprintf("vm-%03d", i), Boot: fmt.Sprintf("%016x", i), Zone: strconv.Itoa(i % 5), Caller: address, Peer: address}
	}
	n := node.New(node.Config{
		Self:   vm(0),
		Store:  node.Store{LoadRate: 5, MaxLoads: 2, LoadTime: time.Second},
		Keys:   node.Keys{Partitions: 64, Lifetime: time.Minute, MaxKeys: 1000},
		Timing: node.Defaults(),
	})
	n.Step(epoch, node.Tick{})
	var live []string
	for i := range vms {
		live = append(live, vm(i).Name)
		if i > 0 {
			n.Step(epoch, node.PeerHeartbeat{VM: vm(i), LogUp: true})
		}
	}
	data, err := record.Encode(docs.RecordKind, docs.Proposal{Service: "lm", Text: documentText(engines, 3000)})
	if err != nil {
		b.Fatal(err)
	}
	n.Step(epoch, node.LogRead{Stream: docs.StreamName, Sent: epoch, Batch: record.Batch{Records: []record.Record{{Offset: 1, Data: data}}, Next: 2, Tail: 2}})
	var claims []record.Record
	for i := range engines {
		name := node.EngineName("lm", fmt.Sprintf("e%04d", i))
		owner := rank.First(name, live)
		var at int
		_, _ = fmt.Sscanf(owner, "vm-%d", &at)
		claimed, err := record.Encode(claim.Kind, claim.Claim{Engine: name, VM: owner, Boot: vm(at).Boot})
		if err != nil {
			b.Fatal(err)
		}
		claims = append(claims, record.Record{Offset: int64(i + 1), Data: claimed})
	}
	next := int64(engines + 1)
	n.Step(epoch, node.LogRead{Stream: claim.Stream, Sent: epoch, Batch: record.Batch{Records: claims, Next: next, Tail: next}})
	return n
}
