package edge

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/fence"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/platform"
)

// claimEngines claims this VM's share of the engines that have no live holder.
// For some time after its start (see listenTime and claimStagger), the VM only
// reclaims the engines that it held before.
func (c *control) claimEngines(ctx context.Context, now time.Time) {
	if c.claiming || c.leaving || now.Before(c.claimAfter) || c.fleetEnd < 0 || c.table == nil || c.storeEra.topics[platform.FleetTopic] < c.storeEra.newest {
		return
	}
	if c.renewClaims(ctx, now) {
		return
	}
	live := []fence.VM{{Name: c.self.Name, Boot: c.self.Boot}}
	before := 0 // number of VMs whose names sort before this one
	for _, m := range c.gossip.Members() {
		if m.Status <= gossip.Alive { // a VM that is listed in the store counts as live until probes fail
			live = append(live, fence.VM{Name: m.VM.Name, Boot: m.VM.Boot})
			if m.VM.Name < c.self.Name {
				before++
			}
		}
	}
	switch {
	case now.Sub(c.started) < listenTime+min(time.Duration(before)*claimStagger, maxClaimStagger):
		c.reclaim(ctx)
		return
	case len(live) > 1:
		c.aloneSince = now
	case now.Sub(c.aloneSince) < isolationTime && len(c.gossip.Members()) > 0:
		return
	}
	upstreams := c.engineUpstreams()
	ids := make([]string, len(upstreams))
	for i, u := range upstreams {
		ids[i] = u.ID
	}
	claimable := c.fence.Claimable(live[0], live, ids)
	if len(claimable) == 0 {
		return
	}
	uncontested, takeovers := c.splitClaimable(claimable)
	switch {
	case len(uncontested) > 0:
		c.writeClaims(ctx, uncontested, anyOffset, false)
	case now.Sub(c.fleetReadAt) > maxFleetAge:
		c.feeds[platform.FleetTopic].refresh() // other VMs may have claimed engines since the last read
	default:
		c.writeClaims(ctx, takeovers, c.fleetEnd, false)
	}
}

// claimRenewal is the time that a renewed claim has to be read back before it is written
// once more.
const claimRenewal = 2 * fleetInterval

// renewClaims writes this VM's claims of an earlier era again, as they may be gone from
// the store. It reports whether there are any. What others have claimed since the listing
// is read before these claims are.
func (c *control) renewClaims(ctx context.Context, now time.Time) bool {
	outdated := c.fence.Outdated(fence.VM{Name: c.self.Name, Boot: c.self.Boot})
	outdated = slices.DeleteFunc(outdated, func(id string) bool {
		_, known := c.roster.Get(id)
		return !known
	})
	if len(outdated) == 0 || now.Sub(c.renewedAt) < claimRenewal {
		return len(outdated) > 0
	}
	c.renewedAt = now
	c.writeClaims(ctx, outdated, anyOffset, false)
	return true
}

// anyOffset, given as the expected end of the topic, makes an append
// unconditional.
const anyOffset = -1

// splitClaimable separates engines to which no other VM can be sending orders
// (uncontested) from engines that were last held by another VM (takeovers). Claims
// of uncontested engines need no condition on the topic's end: if two VMs claim
// the same engine, the later record wins, and its VM waits for the lease of the
// other VM to expire.
func (c *control) splitClaimable(claimable []string) (uncontested, takeovers []string) {
	for _, id := range claimable {
		a, ok := c.fence.Get(id)
		if !ok || a.Released || a.VM == c.self.Name {
			uncontested = append(uncontested, id)
		} else {
			takeovers = append(takeovers, id)
		}
	}
	return uncontested, takeovers
}

// reclaim claims the engines that an earlier run of this VM's process held. It
// need not wait for listenTime: no other VM has claimed these engines since, so
// no other VM's lease is running.
func (c *control) reclaim(ctx context.Context) {
	var own []string
	for _, u := range c.engineUpstreams() {
		if a, ok := c.fence.Get(u.ID); ok && a.VM == c.self.Name && a.Boot != c.self.Boot && !a.Released {
			own = append(own, u.ID)
		}
	}
	if len(own) > 0 {
		c.writeClaims(ctx, own, anyOffset, false)
	}
}

// writeClaims appends claims of this VM to the fleet topic, on condition that
// the topic ends at offset (no condition if offset is anyOffset). If released
// is set, the records give the engines up instead.
func (c *control) writeClaims(ctx context.Context, engines []string, offset int64, released bool) {
	j := &claimJob{store: c.store, post: c.post, offset: offset}
	for _, id := range engines {
		value, err := json.Marshal(fence.Claim{Engine: id, VM: c.self.Name, Boot: c.self.Boot, Era: c.storeEra.newest, Released: released})
		if err != nil {
			c.logger.Error("claim: cannot encode a claim", zap.Error(err))
			continue
		}
		j.records = append(j.records, platform.Record{Key: keyClaim + id, Value: value})
	}
	c.claiming = true
	c.logger.Info("claim: claiming", zap.Strings("upstreams", engines), zap.Int64("at", offset), zap.Bool("free", released))
	go j.run(ctx)
}

type claimJob struct {
	store   *platform.Store
	post    func(event)
	offset  int64
	records []platform.Record
}

func (j *claimJob) run(ctx context.Context) {
	era, err := j.store.Append(ctx, platform.FleetTopic, j.offset, j.records...)
	j.post(claimDone{era: era, err: err})
}
