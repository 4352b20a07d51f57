package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

// A call that crashes each upstream of a plain service that runs it crashed one each
// time that its caller sent it, under whatever key and at whatever VM.
func TestPoisonPlainCall(t *testing.T) {
	for _, c := range []struct {
		name string
		call func(vm *testlib.VM, number int, text string) testlib.Answer
	}{
		{"at most once", func(vm *testlib.VM, number int, text string) testlib.Answer {
			return testlib.Send(vm.Caller, keyOf("", fmt.Sprintf("poison-%06d", number)), 1, text)
		}},
		{"idempotent", func(vm *testlib.VM, _ int, text string) testlib.Answer {
			return testlib.Post(vm.Caller, "/v1/services/mailbox-api/calls/list", nil, map[string]string{"body": text})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := testlib.NewFleet(t, testlib.FleetConfig{})
			f.MustPublish(f.PlainDocument())
			var mu sync.Mutex
			crashes := 0
			f.Service.CrashOn("arsenic", func() {
				mu.Lock()
				defer mu.Unlock()
				crashes++
				f.ServiceProxy.SetMode(testlib.Down)
				time.AfterFunc(300*time.Millisecond, func() { f.ServiceProxy.SetMode(testlib.Forward) })
			})
			blocked := 0
			for i := range 12 {
				vm := f.VMs[i%len(f.VMs)]
				if a := c.call(vm, i, "arsenic"); a.Reason == "condemned" {
					blocked++
					is.True(a.RetryAfter > 0)
				}
				time.Sleep(500 * time.Millisecond)
				is.True(c.call(vm, 100+i, "sugar").Succeeded()) // other calls are served
			}
			mu.Lock()
			defer mu.Unlock()
			is.True(crashes <= 3)
			is.True(blocked >= 8)
		})
	}
}
