package edge

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/credit"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/org"
	"github.com/tanagerlb/tanagerlb/pkg/quota"
)

// newCredit returns the keeper of the organisations' quotas at this VM.
func (c *control) newCredit() *credit.Keeper {
	return credit.New(credit.Config{
		Self: c.self.Name, Now: sinceBoot, Logger: c.logger, Report: c.metrics.QuotaDecided,
		Send: func(vm string, r credit.Request) {
			if to, ok := (*c.creditPeers.Load())[vm]; ok {
				c.transport.send(to, packet{CreditAsked: &r})
			}
		},
	})
}

// handleCredit handles the packets about credit of organisations. It returns false for others.
func (c *control) handleCredit(from netip.AddrPort, p packet) bool {
	switch {
	case p.CreditAsked != nil:
		if reply := c.credit.Handle(*p.CreditAsked); reply != nil {
			c.transport.send(from, packet{CreditReply: reply})
		}
	case p.CreditReply != nil:
		c.credit.HandleReply(*p.CreditReply)
	default:
		return false
	}
	return true
}

func (c *control) quotaBounds() quota.Bounds { return quota.Bounds(c.settings.Bounds.Quota) }

// setOrganisations sets the quotas of the configuration that comes into force.
func (c *control) setOrganisations(d *org.Directory) {
	if c.credit != nil {
		c.credit.SetOrganisations(d, c.quotaBounds())
	}
}

const (
	// lostTime is how long a VM that is dead counts as one that may be on the other side of a network partition
	// and own quotas there. Partitions that last longer may let both sides lend whole quotas.
	lostTime = 2 * time.Minute
	// fleetReviewInterval is the interval at which the VMs that own quotas are looked at without a change of
	// members.
	fleetReviewInterval = time.Second
	// unansweredProbes in unansweredTime, without an answered one, show that this VM is cut off in one direction: it
	// may hear others all the same, which take it for dead, and another one for the owner.
	unansweredProbes = 8
	unansweredTime   = time.Second
	// listedTime is how long after its start a VM counts those as reached that the store lists and nobody has
	// heard yet. After a loss of all VMs, all then know the same owners at once.
	listedTime = 5 * time.Second
)

// tickCredit reviews which VMs own quotas, and sends the questions for credit that are due.
func (c *control) tickCredit(now time.Time) {
	if !c.hasOrganisations() {
		return
	}
	if now.Sub(c.creditFleet.reviewedAt) >= fleetReviewInterval {
		c.setCreditFleet(now)
	}
	c.credit.Tick()
}

func (c *control) hasOrganisations() bool {
	return c.credit != nil && c.table != nil && c.table.Organisations != nil
}

// setCreditFleet tells which VMs may own quotas.
func (c *control) setCreditFleet(now time.Time) {
	if !c.hasOrganisations() {
		return
	}
	members := c.gossip.Members()
	peers := make(map[string]netip.AddrPort, len(members))
	for _, m := range members {
		peers[m.VM.Name] = m.VM.Peer
	}
	c.creditPeers.Store(&peers)
	c.creditFleet.starting = now.Sub(c.started) < listedTime
	c.credit.SetFleet(c.creditFleet.review(now, c.self.Name, c.leaving, members))
}

// creditFleet finds the VMs that may own quotas.
type creditFleet struct {
	owners     map[string]bool      // VMs that may own quotas, from the last review
	left       map[string]int64     // VMs that have told that they leave, by name, and their start
	lost       map[string]time.Time // VMs that died without that, and when they were last seen as dead
	reviewedAt time.Time
	starting   bool            // this VM has started a moment ago; see listedTime
	unanswered int             // probes since the last one that was answered
	answeredAt time.Time       // when that was
	cutOff     map[string]bool // VMs that have told that none of their probes is answered
}

// noteSent counts probes that this VM sends.
func (f *creditFleet) noteSent(n int) { f.unanswered += n }

// noteProbe notes a probe, or the reply to one.
func (f *creditFleet) noteProbe(now time.Time, p *probe) {
	if p.Reply {
		f.unanswered, f.answeredAt = 0, now
	}
	name := p.From.VM.Name
	switch {
	case !p.CutOff:
		delete(f.cutOff, name)
	case f.cutOff == nil:
		f.cutOff = map[string]bool{name: true}
	default:
		f.cutOff[name] = true
	}
}

// isCutOff reports whether no probe of this VM is answered.
func (f *creditFleet) isCutOff(now time.Time) bool {
	return f.unanswered >= unansweredProbes && now.Sub(f.answeredAt) >= unansweredTime
}

// review returns the VMs that may own quotas, and the share of the known VMs that this VM reaches. A suspect VM
// stays an owner until it is dead: VMs that reach it may still borrow from it. VMs that are listed by the store,
// and those that have died, may be alive beyond a network partition.
func (f *creditFleet) review(now time.Time, self string, leaving bool, members []gossip.Update) (names []string, share float64) {
	if f.lost == nil {
		f.left, f.lost = map[string]int64{}, map[string]time.Time{}
	}
	f.reviewedAt = now
	owners := map[string]bool{self: true}
	reached, known, left := 1, 1, map[string]int64{}
	maps.DeleteFunc(f.cutOff, func(name string, _ bool) bool {
		return !slices.ContainsFunc(members, func(m gossip.Update) bool { return m.VM.Name == name })
	})
	for _, m := range members {
		name := m.VM.Name
		if m.Status == gossip.Leaving || (m.Status > gossip.Leaving && f.left[name] == m.VM.Boot) {
			left[name] = m.VM.Boot
			delete(f.lost, name)
			continue
		}
		switch m.Status {
		case gossip.Alive:
			delete(f.lost, name)
			known++
			if !f.cutOff[name] {
				owners[name] = true
				reached++
			}
		case gossip.Dead:
			f.lost[name] = now
		default: // listed or suspect
			known++
			delete(f.lost, name)
			switch {
			case m.Status == gossip.Listed && f.starting:
				owners[name] = true
				reached++
			case m.Status == gossip.Suspect && f.owners[name]:
				owners[name] = true
			}
		}
	}
	f.left, f.owners = left, owners
	maps.DeleteFunc(f.lost, func(_ string, at time.Time) bool { return now.Sub(at) > lostTime })
	known += len(f.lost)
	if f.isCutOff(now) {
		reached = 1
	}
	if leaving && len(owners) > 1 {
		names = slices.Sorted(maps.Keys(owners))
		return slices.DeleteFunc(names, func(name string) bool { return name == self }), float64(reached) / float64(known)
	}
	return slices.Sorted(maps.Keys(owners)), float64(reached) / float64(known)
}
