package edge

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/platform"
)

// Guards against an entry of another writer after which the true entries of an upstream are
// ignored: it stated a start time in the future, so that they counted as those of earlier runs.
func TestOddEntryDoesNotHideAnUpstream(t *testing.T) {
	const text = `{"service":"lm","address":"127.0.0.1:%d","zone":"z","slots":1,"state":"ready","born":%d,"seq":0,"models":[]}`
	born := start.Add(-time.Minute).UnixMilli()
	for _, c := range []struct {
		name, key, odd string
	}{
		{"largest start time", "u", fmt.Sprintf(text, 1, int64(math.MaxInt64))},
		{"start time in the future", "u", fmt.Sprintf(text, 1, start.Add(time.Hour).UnixMilli())},
		{"start time in the future, at its address", "v", fmt.Sprintf(text, 1, start.Add(time.Hour).UnixMilli())},
		{"port out of range", "u", fmt.Sprintf(text, 70000, born)},
		{"port 0", "u", fmt.Sprintf(text, 0, born)},
		{"not JSON", "u", "\xff"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			vms, _ := storeVMs(t, "a")
			vm := vms[0]
			apply := func(now time.Time, offset int64, key, value string) {
				vm.applyRecords(now, platform.UpstreamsTopic, []platform.Record{{Offset: offset, Key: key, Value: []byte(value)}}, readOrigin{})
				vm.reconcile(now)
			}
			serves := func() bool { return vm.view.Load().Available("lm", "u") }
			apply(start, 0, "u", fmt.Sprintf(text, 1, born))
			is.True(serves())
			apply(start.Add(time.Second), 1, c.key, c.odd)
			apply(start.Add(2*time.Second), 2, "u", fmt.Sprintf(text, 1, born)) // the next heartbeat
			is.True(serves())
			apply(start.Add(3*time.Second), 3, "u", fmt.Sprintf(text, 1, born+2000)) // a restart
			is.True(serves())
			u, _ := vm.roster.Get("u")
			is.Equal(u.StartTime, born+2000)
		})
	}
}

// Guards against a running upstream whose clock is ahead that is taken for one that starts later.
func TestClockOfAnUpstreamMayBeAhead(t *testing.T) {
	is := is.New(t)
	const text = `{"service":"lm","address":"127.0.0.1:1","state":"ready","born":%d}`
	for ahead, valid := range map[time.Duration]bool{5 * time.Second: true, 2 * time.Minute: false} {
		_, err := decodeUpstream(start, platform.Record{Key: "u", Value: fmt.Appendf(nil, text, start.Add(ahead).UnixMilli())})
		is.Equal(err == nil, valid)
	}
}
