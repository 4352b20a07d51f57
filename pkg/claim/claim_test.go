package claim_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tanagerlb/tanagerlb/pkg/claim"
	"github.com/tanagerlb/tanagerlb/pkg/record"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func encode(t rapid.TB, offset int64, c claim.Claim) record.Record {
	data, err := record.Encode(claim.Kind, c)
	if err != nil {
		t.Fatal(err)
	}
	return record.Record{Offset: offset, Data: data}
}

// For any sequence of claims, releases and repeated claims, the engine's fencing
// token never decreases, and a VM that reads the records later finds the same owner.
func TestReadersAgreeOnOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []record.Record
		writer := claim.New()
		token := int64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "records") {
			held, _ := writer.Lookup("e")
			c := claim.Claim{
				Engine:           "e",
				VM:               strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "vm")),
				Boot:             "b",
				PrevFencingToken: rapid.SampledFrom([]int64{held.FencingToken, held.FencingToken, 0, 1}).Draw(t, "prev"),
				Released:         rapid.IntRange(0, 4).Draw(t, "free") == 0,
			}
			if rapid.IntRange(0, 4).Draw(t, "restate") == 0 && held.FencingToken != 0 {
				c = held.Claim
				c.FencingToken = held.FencingToken
			}
			r := encode(t, int64(i+1), c)
			log = append(log, r)
			if _, _, err := writer.Apply(start, r); err != nil {
				t.Fatal(err)
			}
			current, _ := writer.Lookup("e")
			if current.FencingToken < token {
				t.Fatalf("fencing token went from %d to %d", token, current.FencingToken)
			}
			token = current.FencingToken
		}
		reader := claim.New()
		for _, r := range log {
			if _, _, err := reader.Apply(start.Add(time.Hour), r); err != nil {
				t.Fatal(err)
			}
		}
		a, _ := writer.Lookup("e")
		b, _ := reader.Lookup("e")
		if a.FencingToken != b.FencingToken || a.VM != b.VM || a.Released != b.Released {
			t.Fatalf("readers differ: %+v and %+v", a, b)
		}
	})
}

// A new owner waits until the previous owner's lease has expired, even if the
// previous owner renewed the lease at the last possible moment. After a
// yield of the previous owner, the new claim is clean (Ownership.Clean).
func TestLeaseBeforeFirstOrder(t *testing.T) {
	is := is.New(t)
	lease := claim.Lease{Length: 2 * time.Second, Drift: 500 * time.Millisecond}
	table := claim.New()
	_, _, err := table.Apply(start, encode(t, 1, claim.Claim{Engine: "e", VM: "a", Boot: "1"}))
	is.NoErr(err)
	lease.Confirm(start) // the previous owner's last read was sent just before the new claim was appended
	_, accepted, err := table.Apply(start, encode(t, 2, claim.Claim{Engine: "e", VM: "b", Boot: "2", PrevFencingToken: 1}))
	is.NoErr(err)
	is.True(accepted)
	o, _ := table.Lookup("e")
	is.True(!o.Clean)
	ready := lease.Ready(o)
	is.True(!lease.Valid(ready))
	is.True(table.ApplyYield(start, claim.Yield{Engine: "e", Boot: "1", Remaining: time.Second}))
	o, _ = table.Lookup("e")
	is.True(o.Clean)
	is.Equal(o.DrainedAt, start.Add(time.Second))
}
