package e2e

import (
	"context"
	"os/exec"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/stand"
	"github.com/tanagerlb/tanagerlb/internal/testlib"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
)

// A request is served by the adapter and version that the document names, whether or
// not the VM that receives the request owns the engine.
func TestPathThroughEachVM(t *testing.T) {
	is := is.New(t)
	f := testlib.NewFleet(t, testlib.FleetConfig{Engines: 1})
	f.MustPublish(f.ModelDocument("school-12@v1"))
	owners := f.AwaitOwned()
	others := 0
	for _, vm := range f.VMs {
		if owners["lm-assist/e1"] != vm.Name {
			others++
		}
		a := testlib.Complete(vm.Caller, "school-12", "minutes", 10)
		is.Equal(a.Outcome, "done")                                                   // call ran
		is.Equal(a.Text, stand.FullText("school-12@v1", "minutes", 10))               // answer is complete
		is.Equal(f.Engines[0].Counts().NotResident, 0)                                // adapter was resident
		is.Equal(len(f.Engines[0].Counts().CompletedBy), 1)                           // no other adapter ran
		is.True(f.Engines[0].Counts().CompletedBy["school-12@v1"] >= 1)               // adapter ran on the engine
		is.Equal(testlib.Complete(vm.Caller, "x", "minutes", 1).Reason, "no-adapter") // unknown adapter is refused
	}
	is.Equal(others, 2)
}

// A call that must run at most once runs only once, even if it is sent to several
// VMs under the same idempotency key. The other VMs replay the first answer.
func TestSendRunsOnce(t *testing.T) {
	is := is.New(t)
	f := testlib.NewFleet(t, testlib.FleetConfig{})
	f.MustPublish(f.PlainDocument())
	key := keys.NewKey(time.Now(), "", "congregation-1").Text
	for i, vm := range f.VMs {
		a := testlib.Send(vm.Caller, key, i+1, "hello")
		is.Equal(a.Outcome, "done")
		is.Equal(a.Reply, "send: hello")
		is.Equal(a.Replayed, i > 0)
	}
	is.Equal(f.Service.Counts()[key], 1)
	is.Equal(testlib.Send(f.VMs[0].Caller, key, 0, "other").Reason, "key-conflict")
}

// The demo command succeeds when it is run as a separate process.
func TestDemoProcess(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	out, err := exec.CommandContext(ctx, testlib.Build(t, "tanagerlb"), "demo").CombinedOutput()
	t.Logf("%s", out)
	is.NoErr(err)
}
