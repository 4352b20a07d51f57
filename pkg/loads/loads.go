// Package loads limits the rate at which the VMs order loads of base models from the weight
// store.
package loads

import (
	"time"

	"golang.org/x/time/rate"
)

// storeRateShare is the share of the weight store's load rate that the VMs
// divide among themselves. The rest is a reserve, as a VM that knows only some
// of the other VMs takes too large a part.
const storeRateShare = 0.8

// OvershootSlack is how many loads the platform tolerates in addition to its
// limit on the loads of all VMs together.
const OvershootSlack = 3

// Config holds the limit on the loads of all VMs together: in any Window, at most Overshoot times
// as many loads as the rate of the weight store gives for it.
type Config struct {
	Window    time.Duration
	Overshoot float64
}

// Limiter limits the rate at which one VM orders loads of base models. The VMs do not
// coordinate: each takes an equal part of the weight store's rate, and a burst so small that the
// limit holds even if all VMs use their bursts at once. A process starts with a random part of one
// load and no burst: its last process may have used that. It is not safe for concurrent use.
type Limiter struct {
	config  Config
	limiter *rate.Limiter
	loads   float64 // rate of the weight store, in loads per second
	vms     int     // number of VMs that divide the rate
}

// New returns the limiter of one of several VMs, whose process started at a time. loads is the rate
// of the weight store, in loads per second. phase, from 0 to 1, is the part of the first load that
// the process starts with.
func New(started time.Time, c Config, loads float64, vms int, phase float64) *Limiter {
	interval, burst := c.share(loads, vms)
	l := &Limiter{config: c, limiter: rate.NewLimiter(rate.Every(interval), burst), loads: loads, vms: vms}
	l.limiter.AllowN(started.Add(-time.Duration(phase*float64(interval))), burst)
	return l
}

// share returns the interval between the loads of one of several VMs, and its burst.
func (c Config) share(loads float64, vms int) (time.Duration, int) {
	interval := time.Duration(float64(vms) / (storeRateShare * loads) * float64(time.Second))
	fleetBurst := loads*c.Window.Seconds()*(c.Overshoot-storeRateShare) + OvershootSlack
	return interval, max(int(fleetBurst/float64(vms)), 1)
}

// Divide sets the rate of the weight store and the number of VMs that divide it, which never falls.
func (l *Limiter) Divide(now time.Time, loads float64, vms int) {
	if l.loads == loads && l.vms >= vms {
		return
	}
	l.loads, l.vms = loads, max(vms, l.vms)
	interval, burst := l.config.share(l.loads, l.vms)
	l.limiter.SetLimitAt(now, rate.Every(interval))
	l.limiter.SetBurstAt(now, burst)
}

// Allow reports whether this VM may load a base model now. If so, it counts the load.
func (l *Limiter) Allow(now time.Time) bool { return l.limiter.AllowN(now, 1) }
