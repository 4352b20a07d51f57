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
// once. A process starts with a random part of one load and no burst: its last
// process may have used that.
type loadLimiter struct {
	limiter *rate.Limiter
	loads   float64 // rate of the weight store, in loads per second
	vms     int     // number of VMs that divide the rate
}

// newLoadLimiter returns the limiter of one of several VMs, whose process started at a
// time. loads is the rate of the weight store, in loads per second. phase, from 0 to 1,
// is the part of the first load that the process starts with.
func newLoadLimiter(started time.Time, loads float64, vms int, b platform.Bounds, phase float64) *loadLimiter {
	interval, burst := loadShare(loads, vms, b)
	l := &loadLimiter{limiter: rate.NewLimiter(rate.Every(interval), burst), loads: loads, vms: vms}
	l.limiter.AllowN(started.Add(-time.Duration(phase*float64(interval))), burst)
	return l
}

// loadShare returns the interval between the loads of one of several VMs, and its burst.
func loadShare(loads float64, vms int, b platform.Bounds) (time.Duration, int) {
	interval := time.Duration(float64(vms) / (storeRateShare * loads) * float64(time.Second))
	fleetBurst := loads*b.LoadTime.Seconds()*(b.Overshoot-storeRateShare) + overshootSlack
	return interval, max(int(fleetBurst/float64(vms)), 1)
}

// divide sets the rate of the weight store and the number of VMs that divide it.
func (l *loadLimiter) divide(now time.Time, loads float64, vms int, b platform.Bounds) {
	interval, burst := loadShare(loads, vms, b)
	l.limiter.SetLimitAt(now, rate.Every(interval))
	l.limiter.SetBurstAt(now, burst)
	l.loads, l.vms = loads, vms
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
	vms := max(c.fleetSize(), 1)
	l, ok := c.loadLimiters[service]
	switch {
	case !ok:
		l = newLoadLimiter(c.started, s.Engine.LoadRate, vms, c.settings.Bounds, rand.Float64()) //nolint:gosec // only spreads load
		c.loadLimiters[service] = l
	case l.loads != s.Engine.LoadRate || l.vms < vms:
		l.divide(now, s.Engine.LoadRate, max(vms, l.vms), c.settings.Bounds)
	}
	return l.limiter.AllowN(now, 1)
}
