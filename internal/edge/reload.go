package edge

import (
	"net/netip"
	"slices"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/platform"
)

// Reload applies settings that the platform changed. The store's address and the
// bounds take effect immediately, except Bounds.Fenced, which takes effect at the next
// start as the VM's name, its addresses and the limits of the machine do. Engines
// that are already held keep the Lease and Versions bounds, and existing load
// limiters keep the Overshoot and LoadTime bounds, with which they were set up.
func (v *VM) Reload(s platform.Settings) {
	old := v.settings.Load()
	if old.VM != s.VM || !slices.Equal(addresses(old), addresses(&s)) || old.Bounds.Fenced != s.Bounds.Fenced || old.Limits != s.Limits {
		v.logger.Warn("vm: some settings are in force after a restart only")
	}
	v.settings.Store(&s)
	v.control.store.SetAddress(s.Store)
	for _, f := range v.control.feeds {
		f.store.SetAddress(s.Store)
		if f.topic == platform.UpstreamsTopic {
			f.setInterval(upstreamsInterval(s.Bounds))
			v.control.fresh.setBound(s.Bounds.Drain, upstreamsInterval(s.Bounds))
		}
	}
	v.control.post(reloaded{settings: s})
	v.logger.Info("vm: settings are reloaded", zap.Stringer("store", s.Store), zap.Any("bounds", s.Bounds))
}

// reload applies changed settings. Bounds.Fenced keeps its value, as the
// schedulers of the held engines were set up with it.
func (c *control) reload(s platform.Settings) {
	s.Bounds.Fenced = c.settings.Bounds.Fenced
	c.settings = s
	c.keyAge.setBounds(s.Bounds)
}

func addresses(s *platform.Settings) []netip.AddrPort {
	return []netip.AddrPort{s.Caller, s.Ready, s.Directory, s.Peer, s.Metrics}
}
