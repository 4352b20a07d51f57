package edge

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/fence"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
	"github.com/tanagerlb/tanagerlb/pkg/route"
	"github.com/tanagerlb/tanagerlb/platform"
	"github.com/tanagerlb/tanagerlb/platform/emul"
)

// newSoftwareControl returns the control of a VM that knows engines with the given versions of
// their software.
func newSoftwareControl(name string, store *platform.Store, versions ...string) *control {
	c := newCatchUpControl(name, 0, 0)
	c.store, c.roster, c.fence, c.software = store, roster.New(), fence.New(), newSoftware()
	c.origins = newOrigins(c.self, nil, &c.limits.pacer.vms, newStreamSaver(c.self, store, nil, &c.limits.pacer.vms, zap.NewNop()))
	c.table = route.New(route.Config{Services: []route.Service{{Name: "lm", Engine: &route.Engine{}}}})
	for i, version := range versions {
		c.roster.Apply(roster.Upstream{ID: version, Service: "lm", Software: version, StartTime: 1, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(i)}), 9)})
	}
	return c
}

// Guards against a stream that goes on at other software, as all VMs have started anew since it
// began and no engine has its version any more.
func TestVersionsOfSoftwareOutliveTheVMs(t *testing.T) {
	for _, c := range []struct {
		name  string
		gone  time.Duration // time since the last engine with the first version went
		saved bool          // the record tells that it went
		known bool          // it is known who began a stream of which no VM knows
	}{
		{name: "went just now", gone: time.Second, saved: true},
		{name: "went long ago", gone: 90 * time.Second, saved: true, known: true},
		{name: "nobody saved that it went", gone: 90 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			emulated := emul.NewStore(func() float64 { return 1 })
			server := httptest.NewServer(emulated)
			defer server.Close()
			store := platform.NewStore(platform.StoreConfig{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Timeout: time.Second})
			now := time.Now()

			a := newSoftwareControl("vm-000", store, "v1", "v2")
			a.reviewSoftware(t.Context(), now.Add(-c.gone-time.Minute))
			a.handle(t.Context(), now, <-a.events)
			is.Equal(a.software.saved["lm"].Versions, []softwareVersion{{Name: "v1"}, {Name: "v2"}})
			a.reviewSoftware(t.Context(), now.Add(-c.gone))
			is.Equal(len(a.events), 0) // the store has it
			if c.saved {
				a.roster.MarkMissing(now, "v1", 0)
				a.roster.Expire(now)
				a.reviewSoftware(t.Context(), now.Add(2*time.Second-c.gone))
				a.handle(t.Context(), now, <-a.events)
				is.True(a.software.saved["lm"].Versions[0].Seen > 0)
			}

			b := newSoftwareControl("vm-001", store, "v2")
			batch, err := store.Newest(t.Context(), platform.FleetTopic)
			is.NoErr(err)
			for _, r := range batch.Records {
				b.applyFleet(now, r)
			}
			b.reviewSoftware(t.Context(), now)
			found := b.origins.Find(t.Context(), "lm", "s", 20*time.Second)
			is.Equal(found.Known, c.known)
		})
	}
}

// A service whose engines all have one version costs no call to the store.
func TestOneVersionOfSoftwareIsNotSaved(t *testing.T) {
	is := is.New(t)
	c := newSoftwareControl("vm-000", nil, "v1")
	c.reviewSoftware(t.Context(), start)
	c.reviewSoftware(t.Context(), start.Add(time.Minute))
	is.True(!c.software.saving)
	is.Equal(len(c.software.unsaved), 0)
}
