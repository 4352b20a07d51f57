package edge

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/fence"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/pace"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
	"github.com/tanagerlb/tanagerlb/pkg/route"
	"github.com/tanagerlb/tanagerlb/platform"
)

// sizes are fleet sizes, up to those expected two years from now.
var sizes = []struct{ vms, engines int }{{9, 12}, {89, 140}, {300, 1000}, {960, 3000}}

// newFleetControl returns the control state of a VM in a stable fleet, in which
// the other VMs hold all engines.
func newFleetControl(vms, engines int) *control {
	self := gossip.VM{Name: "vm0", Boot: 1}
	c := &control{
		fetching: map[platform.Topic]bool{}, recent: newRecent(),
		limits: newLimits(newPacer(self, nil, nil)), self: self, logger: zap.NewNop(), roster: roster.New(), fence: fence.New(), versions: map[engine.Name]engine.Version{},
		held: map[string]*heldEngine{}, gossip: gossip.New(gossip.Config{MaxUpdates: 6, MaxTickGap: time.Hour, ProbeTimeout: time.Hour}, self),
		newest: map[platform.Topic]map[string]platform.Record{}, poison: newPoison(), metrics: metric.New(),
		storeEra: storeEra{topics: map[platform.Topic]int64{}},
		table:    route.New(route.Config{Version: 1, Services: []route.Service{{Name: "s", Engine: &route.Engine{}}}}),
	}
	c.dispatcher = newDispatcher(self, nil, nil, zap.NewNop())
	for i := 1; i < vms; i++ {
		c.gossip.Apply(start, gossip.Update{VM: gossip.VM{Name: fmt.Sprintf("vm%d", i), Boot: 1}, Status: gossip.Alive})
	}
	for i := range engines {
		id := fmt.Sprintf("i-%06x", i)
		c.roster.Apply(roster.Upstream{ID: id, Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:80")})
		c.fence.Apply(start, int64(i+1), fence.Claim{Engine: id, VM: fmt.Sprintf("vm%d", 1+i%(vms-1)), Boot: 1})
	}
	for i := range 61_000 {
		c.versions[engine.Name{Model: "m", Adapter: fmt.Sprintf("a%d", i)}] = engine.Version{Number: 2}
	}
	c.publish()
	return c
}

func BenchmarkPreferredEngines(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("engines=%d", s.engines), func(b *testing.B) {
			c := newFleetControl(s.vms, s.engines)
			c.publish()
			v := c.view.Load()
			for i := 0; b.Loop(); i++ {
				c.dispatcher.preferred(relay.SlotRequest{Engines: v.Upstreams["s"], IDs: v.UpstreamIDs["s"], Name: engine.Name{Model: "m", Adapter: strconv.Itoa(i % 61_000)}})
			}
		})
	}
}

func BenchmarkReconcile(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("vms=%d/engines=%d", s.vms, s.engines), func(b *testing.B) {
			c := newFleetControl(s.vms, s.engines)
			for b.Loop() {
				c.reconcile(start)
			}
		})
	}
}

func BenchmarkClaim(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("vms=%d/engines=%d", s.vms, s.engines), func(b *testing.B) {
			c := newFleetControl(s.vms, s.engines)
			for b.Loop() {
				c.claimEngines(b.Context(), start.Add(time.Hour)) // nothing is claimable
			}
		})
	}
}

func BenchmarkProbe(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("vms=%d", s.vms), func(b *testing.B) {
			c := newFleetControl(s.vms, s.engines)
			now := start
			for b.Loop() {
				now = now.Add(probeInterval)
				c.gossip.Tick(now)
				c.gossip.Updates()
			}
		})
	}
}

// Requests that are remembered because an upstream crashed under them.
func BenchmarkSuspects(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			c := loneVM()
			var runs []crashRun
			for i := range count {
				runs = append(runs, crashRun{ID: uint64(i + 1), Upstream: "e1", Causes: []suspectCause{{Print: crash.Fingerprint(i + 1)}}})
			}
			c.recordCrashes(start, runs)
			b.Run("review", func(b *testing.B) {
				for b.Loop() {
					c.poison.reviewAt = time.Time{}
					c.reviewCrashes(b.Context(), start)
				}
			})
			b.Run("clear", func(b *testing.B) {
				for b.Loop() {
					c.clear(start, crash.Fingerprint(1))
				}
			})
		})
	}
}

// BenchmarkCrashReport measures what one report of crashes that a VM receives costs,
// with the tick that follows, by the number of requests that are remembered.
func BenchmarkCrashReport(b *testing.B) {
	for _, remembered := range []int{100, 1000, 10_000} {
		b.Run(strconv.Itoa(remembered), func(b *testing.B) {
			c := loneVM()
			for i := range remembered {
				c.recordCrashes(start, []crashRun{{ID: uint64(i + 1), Upstream: "e", Causes: []suspectCause{{Print: crash.Fingerprint(i + 1)}}}})
			}
			next := uint64(remembered)
			for b.Loop() {
				runs := make([]crashRun, 20)
				for i := range runs {
					next++
					runs[i] = crashRun{ID: next, Upstream: strconv.FormatUint(next, 10), Causes: []suspectCause{{Print: crash.Fingerprint(next%uint64(remembered) + 1)}}}
				}
				for _, r := range runs { // two crashes at most, as most requests have
					c.poison.tracker.Clear(r.Causes[0].Print)
				}
				c.recordCrashes(start, runs)
				c.expirePoison(start)
			}
		})
	}
}

// BenchmarkCrashOfMany measures what one report of a crash under 20 requests costs a VM that
// remembers as many causes as it can, as after the loss of a rack of engines.
func BenchmarkCrashOfMany(b *testing.B) {
	c := loneVM()
	next := uint64(0)
	report := func() {
		runs := make([]crashRun, 20)
		for i := range runs {
			next++
			runs[i] = crashRun{ID: next, Upstream: strconv.FormatUint(next, 10)}
			for n := range uint64(4) {
				runs[i].Causes = append(runs[i].Causes, suspectCause{Print: crash.Fingerprint(4*next + n), Kind: crash.Kind(n % 3)})
			}
		}
		c.recordCrashes(start, runs)
	}
	for range maxCauses / 80 {
		report()
	}
	for b.Loop() {
		report()
	}
}

// BenchmarkGate measures what a request to an upstream that names a limit costs the VM that
// asks for it, and the VM that keeps the gate.
func BenchmarkGate(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("vms=%d", s.vms), func(b *testing.B) {
			c := newFleetControl(s.vms, s.engines)
			sender := netip.MustParseAddrPort("127.0.0.1:9")
			c.limits.pacer.send = func(netip.AddrPort, packet) {}
			c.observeLimit(start, "u", pace.Observation{Limit: pace.Limit{Named: true, Rate: 1e9}, Sent: start, At: start}, "test")
			b.Run("ask", func(b *testing.B) {
				for b.Loop() {
					c.limits.pacer.keeper("u")
				}
			})
			b.Run("keep", func(b *testing.B) {
				for b.Loop() {
					c.handlePaceRequest(start, sender, &paceRequest{ID: 1, Limit: upstreamLimit{Upstream: "u", Named: true, Rate: 1e9}})
				}
			})
		})
	}
}

// BenchmarkRestore measures what a VM does when the store has come back from a copy: it
// lists the upstreams' and the fleet's topic again, and finds the claims that it has to
// renew.
func BenchmarkRestore(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("vms=%d/engines=%d", s.vms, s.engines), func(b *testing.B) {
			c := newFleetControl(s.vms, s.engines)
			var entries, claims []platform.Record
			for i, u := range c.roster.IDs() {
				entries = append(entries, platform.Record{Offset: int64(i), Key: u, Value: fmt.Appendf(nil, `{"service":"s","address":"10.0.0.1:9","state":"ready","models":[{"name":"m","adapters":["a1@1","a2@1","a3@1","a4@1","a5@1","a6@1","a7@1"]}]}`)})
				claims = append(claims, platform.Record{Offset: int64(i), Key: keyClaim + u, Value: fmt.Appendf(nil, `{"engine":%q,"vm":"vm-%d","boot":1}`, u, i%s.vms)})
			}
			bytes := 0
			for _, r := range append(slices.Clone(entries), claims...) {
				bytes += len(r.Key) + len(r.Value)
			}
			era := int64(0)
			for b.Loop() {
				era++
				c.applyListing(b.Context(), start, topicListing{topic: platform.UpstreamsTopic, batch: platform.Batch{Records: entries, Era: era, Next: int64(s.engines)}})
				c.applyListing(b.Context(), start, topicListing{topic: platform.FleetTopic, batch: platform.Batch{Records: claims, Era: era, Next: int64(s.engines)}})
				c.fence.Outdated(fence.VM{Name: c.self.Name, Boot: c.self.Boot})
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}
