package edge

import (
	"math/rand/v2"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/loads"
)

// allowLoad reports whether this VM may load a base model for a service at now.
// If so, it counts the load.
func (c *control) allowLoad(now time.Time, service string) bool {
	s := c.table.Service(service)
	if s == nil || s.Engine == nil || s.Engine.LoadRate <= 0 {
		return true
	}
	vms := max(c.fleetSize(), 1)
	l, ok := c.loadLimiters[service]
	if !ok {
		config := loads.Config{Window: c.settings.Bounds.LoadTime, Overshoot: c.settings.Bounds.Overshoot}
		l = loads.New(c.started, config, s.Engine.LoadRate, vms, rand.Float64()) //nolint:gosec // only spreads load
		c.loadLimiters[service] = l
	}
	l.Divide(now, s.Engine.LoadRate, vms)
	return l.Allow(now)
}
