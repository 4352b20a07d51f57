package edge

import (
	"time"

	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/retry"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
	"github.com/tanagerlb/tanagerlb/pkg/route"
	"github.com/tanagerlb/tanagerlb/platform"
)

// directory holds the VMs that callers may be directed to.
type directory struct {
	self  gossip.VM
	vms   []gossip.VM // live VMs: this VM first if it is ready, then the others by name
	ready bool        // this VM serves callers
}

// engineUpstreams returns the known upstreams that are model engines.
func (c *control) engineUpstreams() []roster.Upstream {
	if c.table == nil {
		return nil
	}
	var list []roster.Upstream
	for _, id := range c.roster.IDs() {
		if u, _ := c.roster.Get(id); c.isEngine(u) {
			list = append(list, u)
		}
	}
	return list
}

// isEngine reports whether an upstream is a model engine, by the configuration.
func (c *control) isEngine(u roster.Upstream) bool {
	if c.table == nil {
		return false
	}
	s := c.table.Service(u.Service)
	return s != nil && s.Engine != nil
}

// engineGroups returns which engines have each base model loaded, by service and
// model. It covers only services with several base models.
func (c *control) engineGroups(view *relay.View) map[string]map[string]relay.Group {
	engineGroups := map[string]map[string]relay.Group{}
	for service, list := range view.Upstreams {
		var s *route.Service
		if c.table != nil {
			s = c.table.Service(service)
		}
		if s == nil || s.Engine == nil || len(s.Engine.Models) < 2 {
			continue
		}
		groups := map[string]relay.Group{}
		for _, u := range list {
			for _, m := range u.Models {
				g := groups[m.Name]
				groups[m.Name] = relay.Group{Upstreams: append(g.Upstreams, u), IDs: append(g.IDs, u.ID)}
			}
		}
		engineGroups[service] = groups
	}
	return engineGroups
}

// fleetSize returns the number of VMs that divide the limits on all VMs together, or 0 if
// this VM does not know the fleet yet. VMs that are cut off from this one, or that have just died,
// count too: they may be sending requests, or have done so a moment ago.
func (c *control) fleetSize() int {
	if c.fleetEnd < 0 {
		return 0
	}
	size, heard := 1, 1
	for _, m := range c.gossip.Members() {
		size++
		if m.Status != gossip.Listed {
			heard++
		}
	}
	c.mostHeard = max(c.mostHeard, heard)
	return max(c.mostHeard, size)
}

func (c *control) publish() {
	view := &relay.View{Table: c.table, Outdated: c.outdated, Upstreams: c.roster.Serving(), UpstreamIDs: map[string][]string{}, Retries: retry.Share{Limit: retryLimit(c.settings.Bounds), VMs: c.fleetSize()}}
	for service, list := range view.Upstreams {
		ids := make([]string, len(list))
		for i, u := range list {
			ids[i] = u.ID
		}
		view.UpstreamIDs[service] = ids
	}
	view.ByModel = c.engineGroups(view)
	c.view.Store(view)
	if c.versionNumbers == nil || c.versionsChanged {
		c.versionNumbers, c.versionsChanged = make(map[engine.Name]int64, len(c.versions)), false
		for n, version := range c.versions {
			c.versionNumbers[n] = version.Number
		}
	}
	known := &fleetInfo{vms: map[string]gossip.VM{}, versions: c.versionNumbers}
	live := map[string]gossip.VM{c.self.Name: c.self}
	pacing := map[string]gossip.VM{c.self.Name: c.self}
	d := &directory{self: c.self, ready: c.table != nil && c.knowsTopic(platform.UpstreamsTopic) && !c.leaving && !c.outdated}
	if d.ready {
		d.vms = append(d.vms, c.self)
	}
	for _, m := range c.gossip.Members() {
		if m.Status <= gossip.Leaving { // a VM that is listed in the store, but not heard yet, may hold engines too
			live[m.VM.Name] = m.VM
		}
		if m.Status == gossip.Alive {
			pacing[m.VM.Name] = m.VM
			d.vms = append(d.vms, m.VM)
		}
	}
	for _, u := range c.engineUpstreams() {
		claim, ok := c.fence.Get(u.ID)
		if vm, alive := live[claim.VM]; ok && alive && vm.Boot == claim.Boot {
			known.vms[u.ID] = vm
		}
	}
	c.limits.pacer.vms.Store(&pacing)
	c.setCreditFleet(time.Now())
	c.dispatcher.fleet.Store(known)
	c.directory.Store(d)
}
