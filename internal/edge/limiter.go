package edge

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/tanagerlb/tanagerlb/platform"
)

// storeRateShare is the share of the weight store's load rate that the VMs
// divide among themselves. The rest is a reserve, as a VM that knows only some
// of the other VMs takes too large a part.
const storeRateShare = 0.8

// loadLimiter limits the rate at which this VM orders loads of base models. In
// any period of Bounds.LoadTime, the platform allows all VMs together at most
// Bounds.Overshoot times as many loads as the weight store's rate gives for
// that period. The VMs do not coordinate: each takes an equal part of the rate,
// and a burst so small that the bound holds even if all VMs use their bursts at
// once. If that burst is less than one load, the VM's first load is delayed by
// a random part of the interval between its loads.
type loadLimiter struct {
	limiter *rate.Limiter
	loads   float64 // rate of the weight store, in loads per second
	vms     int     // number of VMs that divide the rate
}

// newLoadLimiter returns the limiter of one of several VMs. loads is the rate
// of the weight store, in loads per second. phase, from 0 to 1, is the part of
// the first interval that counts as already passed at now; it only matters if
// the burst is less than one load.
func newLoadLimiter(now time.Time, loads float64, vms int, b platform.Bounds, phase float64) *loadLimiter {
	interval := time.Duration(float64(vms) / (storeRateShare * loads) * float64(time.Second))
	fleetBurst := loads*b.LoadTime.Seconds()*(b.Overshoot-storeRateShare) + overshootSlack
	burst := int(fleetBurst / float64(vms))
	l := &loadLimiter{limiter: rate.NewLimiter(rate.Every(interval), max(burst, 1)), loads: loads, vms: vms}
	if burst == 0 {
		l.limiter.AllowN(now.Add(-time.Duration(phase*float64(interval))), 1)
	}
	return l
}

// overshootSlack is how many loads the platform tolerates in addition to its
// limit on the loads of all VMs together (see loadLimiter).
const overshootSlack = 3

// allowLoad reports whether this VM may load a base model for a service at now.
// If so, it counts the load.
func (c *control) allowLoad(now time.Time, service string) bool {
	s := c.table.Service(service)
	if s == nil || s.Engine == nil || s.Engine.LoadRate <= 0 {
		return true
	}
	vms := len(c.directory.Load().vms)
	l, ok := c.loadLimiters[service]
	if !ok || l.loads != s.Engine.LoadRate || l.vms < vms {
		l = newLoadLimiter(now, s.Engine.LoadRate, max(vms, 1), c.settings.Bounds, rand.Float64()) //nolint:gosec // only spreads load
		c.loadLimiters[service] = l
	}
	return l.limiter.AllowN(now, 1)
}
