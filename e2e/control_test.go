package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tanagerlb/tanagerlb/gen/operator"
	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

// BenchmarkControl measures the cost of the control plane per VM: CPU time, resident
// memory, and bytes on the connections to the log and between the VMs. It sends no
// calls. It measures each fleet size twice: without publications, and while it
// publishes about one document version per second.
//
//	go test ./e2e -run xxx -bench Control -benchtime 1x
func BenchmarkControl(b *testing.B) {
	for _, vms := range []int{3, 6, 9, 18, 30} {
		for _, publish := range []bool{false, true} {
			b.Run(fmt.Sprintf("vms=%d/publish=%t", vms, publish), func(b *testing.B) {
				for range b.N {
					measureControl(b, vms, publish)
				}
			})
		}
	}
}

// measureTime is the duration of each measurement of BenchmarkControl.
const measureTime = 10 * time.Second

func measureControl(b *testing.B, vms int, publish bool) {
	f := testlib.NewFleet(b, testlib.FleetConfig{VMs: vms, Engines: 12, KeyPartitions: 16})
	f.MustPublish(f.ModelDocument(adapters...))
	f.AwaitOwned()
	time.Sleep(2 * time.Second)
	cpu, logs, peers, appends := controlTotals(f)
	end := time.Now().Add(measureTime)
	base := f.VMs[0].Version("lm-assist")
	for i := 0; publish && time.Now().Before(end); i++ {
		text := f.ModelDocument(append(adapters[1:], fmt.Sprintf("school-1@p%d", i))...)
		v, err := f.VMs[i%vms].OperatorClient().Publish(context.Background(), &operator.PublishPayload{Base: base, Document: text})
		if err != nil || !v.Accepted {
			b.Fatalf("publish: %v %+v", err, v)
		}
		base = v.Version
		time.Sleep(time.Second)
	}
	time.Sleep(time.Until(end))
	cpu2, logs2, peers2, appends2 := controlTotals(f)
	per := float64(vms) * measureTime.Seconds()
	b.ReportMetric(100*(cpu2-cpu)/per, "%core/VM")
	b.ReportMetric((logs2-logs)/per, "log-B/s/VM")
	b.ReportMetric((peers2-peers)/per, "peer-B/s/VM")
	b.ReportMetric(float64(appends2-appends)/measureTime.Seconds(), "appends/s")
	b.ReportMetric(f.VMs[0].SumMetrics("process_resident_memory_bytes")/(1<<20), "MB/VM")
	for _, vm := range f.VMs {
		vm.Kill()
	}
}

func controlTotals(f *testlib.Fleet) (cpu, logs, peers float64, appends int) {
	for _, vm := range f.VMs {
		cpu += vm.SumMetrics("process_cpu_seconds_total")
		logs += float64(vm.LogProxy.ForwardedBytes())
		peers += float64(vm.PeerProxy.ForwardedBytes())
	}
	return cpu, logs, peers, f.Log.Counts().Appends
}

// BenchmarkLatency measures the latency that the VMs add to a call. It sends model
// calls of one token directly to the fake engine, and through two VMs: one that
// receives the call, and the owner of the engine. It also sends calls that must run
// at most once, directly to the fake service and through the VMs. The calls through
// the VMs use two kinds of idempotency keys: keys that are bound to an incarnation
// (one process run of one VM), and plain keys, which are not.
//
//	go test ./e2e -run xxx -bench Latency -benchtime 200x
func BenchmarkLatency(b *testing.B) {
	f := testlib.NewFleet(b, testlib.FleetConfig{Engines: 1, TokenTime: time.Microsecond})
	base := f.MustPublish(f.ModelDocument("school-1@v1"))
	_ = base
	owner := leastLoadedOwner(f)
	other := f.VMs[0]
	if other == owner {
		other = f.VMs[1]
	}
	if a := testlib.Complete(other.Caller, "school-1", "warm", 1); !a.Succeeded() {
		b.Fatalf("%+v", a)
	}
	resident := owner.Status().Engines[0].Resident[0]
	b.Run("model/direct", func(b *testing.B) {
		for range b.N {
			testlib.Post(f.EngineProxies[0].Address(), "/v1/completions", nil, map[string]any{"model": resident, "prompt": "x", "max_tokens": 1})
		}
	})
	b.Run("model/two-VMs", func(b *testing.B) {
		for range b.N {
			testlib.Complete(other.Caller, "school-1", "x", 1)
		}
	})
	if _, err := f.VMs[0].Publish(0, f.PlainDocument()); err != nil {
		b.Fatal(err)
	}
	addresses, err := testlib.Addresses(other.Caller, other.Zone)
	if err != nil {
		b.Fatal(err)
	}
	for name, boot := range map[string]string{"plain-key": "", "bound-key": addresses[0].Boot} {
		b.Run("once/"+name, func(b *testing.B) {
			before := f.Log.Counts().Appends
			for i := range b.N {
				key := keyOf(boot, fmt.Sprintf("%s-%d-%08d", name, b.N, i))
				if a := testlib.Send(other.Caller, key, 1, "x"); !a.Succeeded() {
					b.Fatalf("%+v", a)
				}
			}
			b.ReportMetric(1000*float64(f.Log.Counts().Appends-before)/float64(b.N), "appends/1000")
		})
	}
	b.Run("once/direct", func(b *testing.B) {
		for range b.N {
			testlib.Post(f.ServiceProxy.Address(), "/calls/send", nil, "x")
		}
	})
}
