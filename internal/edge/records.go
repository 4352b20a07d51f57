package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/fence"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/origin"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
	"github.com/tanagerlb/tanagerlb/pkg/route"
	"github.com/tanagerlb/tanagerlb/platform"
)

// applyListing applies a listing of a topic. An upstream's entry is the record
// that it writes about itself in the upstreams topic; upstreams that have no entry
// in the listing are marked as missing.
func (c *control) applyListing(ctx context.Context, now time.Time, e topicListing) {
	era, listed := c.storeEra.topics[e.topic]
	known := c.operatorOffset
	accepted, restored := c.beginListing(now, e.topic, e.batch.Era)
	if !accepted {
		return
	}
	if e.topic == platform.OperatorTopic && e.batch.Next < c.operatorOffset {
		return // a peer's listing was newer
	}
	if f, ok := c.feeds[e.topic]; ok {
		f.known.Store(true)
	}
	from := c.newReadOrigin(now, sinceBoot(), e.recovered || restored)
	from.listing = true
	delete(c.newest, e.topic)
	if e.topic == platform.UpstreamsTopic {
		c.roster.ForgetEntries()
		present := make(map[string]bool, len(e.batch.Records))
		for _, r := range e.batch.Records {
			present[r.Key] = r.Value != nil
		}
		for _, id := range c.roster.IDs() {
			if !present[id] {
				c.markMissing(now, id, from.grace)
			}
		}
	}
	records := e.batch.Records
	if restored {
		records = c.dropOutdated(now, e.topic, records)
	}
	c.applyRecords(now, e.topic, records, from)
	c.advanceOffset(now, e.topic, e.batch.Next, e.began)
	if listed && era == e.batch.Era {
		c.forwardListing(now, e, known)
	}
	if restored {
		c.endListing(ctx, now, e.topic, records)
	}
}

// applyRead applies records that this VM has read. It returns false if they are of another
// era than the last listing of the topic.
func (c *control) applyRead(now time.Time, e recordsRead) bool {
	if !c.acceptEra(now, e.topic, e.batch.Era, string(e.topic)) {
		return false
	}
	if e.recovered {
		c.claimAfter = now
	}
	from := c.newReadOrigin(now, sinceBoot(), e.recovered)
	changed := c.applyRecords(now, e.topic, e.batch.Records, from)
	c.advanceOffset(now, e.topic, e.batch.Next, e.began)
	c.forward(now, e, changed, from.grace)
	return true
}

// dropOutdated returns the records of a listing without those that the store's copy has
// only because it is older than what this VM knows: entries of upstreams that are gone, and
// crashes under requests that have run to their end since.
func (c *control) dropOutdated(now time.Time, topic platform.Topic, records []platform.Record) []platform.Record {
	return slices.DeleteFunc(slices.Clone(records), func(r platform.Record) bool {
		switch topic {
		case platform.UpstreamsTopic:
			u, err := platform.DecodeUpstream(r)
			return err == nil && c.roster.IsGone(now, u)
		case platform.FleetTopic:
			text, ok := strings.CutPrefix(r.Key, keyCrash)
			if !ok {
				return false
			}
			f, err := crash.ParseFingerprint(text)
			if err != nil || !c.poison.complete.has(now, f) {
				return false
			}
			c.poison.saved[f] = nil // the record is to be deleted
			return true
		default:
			return false
		}
	})
}

// advanceOffset records the offset up to which a topic was read. began is the
// start of the read, as time since the boot of the machine. It is 0 for
// forwarded records, as the peer may have read them some time ago.
func (c *control) advanceOffset(now time.Time, topic platform.Topic, next int64, began time.Duration) {
	switch topic {
	case platform.StreamsTopic: // listed on demand only
	case platform.UpstreamsTopic:
		c.upstreamsOffset = max(c.upstreamsOffset, next)
		c.fresh.note(began)
	case platform.OperatorTopic:
		c.operatorOffset = max(c.operatorOffset, next)
	case platform.FleetTopic:
		c.fleetEnd = max(c.fleetEnd, next)
		if began > 0 {
			c.fleetReadAt, c.confirmedAt = now, began
		}
	}
}

// readOrigin tells how records were read.
type readOrigin struct {
	recovered bool          // earlier reads had failed, so that they may be old
	listing   bool          // they come from a listing or from a peer's state, so that they may be old
	grace     time.Duration // how long upstreams whose entries are gone have to register again
}

// newReadOrigin returns the origin of records that this VM has just read, at a time since the boot of
// the machine.
func (c *control) newReadOrigin(now time.Time, read time.Duration, recovered bool) readOrigin {
	from := readOrigin{recovered: recovered}
	if recovered {
		from.grace = c.reregisterTime(now, read)
	}
	return from
}

// applyRecords applies records of a topic. It returns the records to forward to the group; of the
// upstreams topic, these are only the records that differ from the ones before them.
func (c *control) applyRecords(now time.Time, topic platform.Topic, records []platform.Record, from readOrigin) []platform.Record {
	var changed []platform.Record
	publishedAt := now
	if from.recovered || from.listing {
		publishedAt = now.Add(-c.settings.Bounds.Versions)
	}
	for _, r := range records {
		c.storeNewest(topic, r)
		switch topic {
		case platform.StreamsTopic: // listed on demand only
		case platform.OperatorTopic:
			c.applyOperator(now, publishedAt, r)
			changed = append(changed, r)
		case platform.UpstreamsTopic:
			if !from.listing && r.Offset < c.upstreamsOffset {
				continue // applied before, as a peer forwarded it
			}
			c.upstreamsOffset = max(c.upstreamsOffset, r.Offset+1)
			if c.applyUpstream(now, r, from.grace) {
				changed = append(changed, r)
			}
		case platform.FleetTopic:
			c.applyFleet(now, r)
			changed = append(changed, r)
		}
	}
	return changed
}

// applyOperator applies a record of the operator topic. publishedAt is the time at
// which an adapter version in the record is taken to have been published. Large records are
// decoded outside the control loop.
func (c *control) applyOperator(now, publishedAt time.Time, r platform.Record) {
	if len(r.Value) > maxForwardBytes {
		c.decoder.add(publishedAt, c.decoding.add(r), r)
		return
	}
	change, err := platform.DecodeChange(r)
	c.applyChange(now, changeDecoded{record: r, change: change, err: err, publishedAt: publishedAt})
}

// applyChange applies what a record of the operator topic holds.
func (c *control) applyChange(now time.Time, e changeDecoded) {
	c.decoding.remove(e)
	if e.err != nil {
		c.metrics.RecordIgnored("operator")
		c.logger.Warn("config: record is ignored", zap.Int64("offset", e.record.Offset), zap.Error(e.err))
		return
	}
	switch change := e.change.(type) {
	case platform.ConfigChange:
		next := route.New(change.Config)
		if route.Newer(c.table, next) == next {
			c.table = next
			c.reviewKeyAgeActive()
			c.setOrganisations(next.Organisations)
			c.logger.Info("config: in force", zap.Int64("version", next.Version), zap.Int64("offset", e.record.Offset),
				zap.Int("routes", len(change.Config.Routes)), zap.Int("bytes", len(e.record.Value)), zap.Duration("behind", c.behind.age(now)))
		}
	case platform.VersionChange:
		n := engine.Name{Model: change.Model, Adapter: change.Adapter}
		if change.Version <= c.versions[n].Number {
			return
		}
		version := engine.Version{Number: change.Version, Published: e.publishedAt}
		c.versions[n], c.versionsChanged = version, true
		c.logger.Info("config: adapter version", zap.String("adapter", n.Model+"/"+n.Adapter), zap.Int64("version", change.Version))
		for _, h := range c.held {
			h.scheduler.SetNewest(n, version)
		}
	}
}

// maxClockSkew is how far the time of day of an upstream may be ahead of this VM's.
const maxClockSkew = time.Minute

// errStartsLater is the error of an entry of an upstream that starts in the future.
var errStartsLater = errors.New("upstream starts later")

// decodeUpstream decodes an upstream's entry. One with a start time in the future is invalid: all
// later entries of the upstream would count as those of earlier runs.
func decodeUpstream(now time.Time, r platform.Record) (roster.Upstream, error) {
	u, err := platform.DecodeUpstream(r)
	if err == nil && time.UnixMilli(u.StartTime).After(now.Add(maxClockSkew)) {
		err = fmt.Errorf("%w: %s at %d", errStartsLater, r.Key, u.StartTime)
	}
	return u, err //nolint:wrapcheck // names the entry
}

// applyUpstream applies an upstream's entry, and reports whether to forward it: whether it
// differs from the entry before it in the store. What it changes in this VM's roster does
// not matter, as other VMs may know less: this VM may have read the same before the store
// came back from a copy.
func (c *control) applyUpstream(now time.Time, r platform.Record, grace time.Duration) bool {
	if r.Value == nil {
		c.markMissing(now, r.Key, grace)
		return c.roster.NoteEntry(r.Key, nil)
	}
	u, err := decodeUpstream(now, r)
	if err != nil {
		c.metrics.RecordIgnored("upstreams")
		c.logger.Info("upstream: entry is ignored", zap.Int64("offset", r.Offset), zap.Error(err))
		c.markMissing(now, r.Key, 0)
		return c.roster.NoteEntry(r.Key, &roster.Digest{})
	}
	digest := u.Digest()
	differs := c.roster.NoteEntry(r.Key, &digest)
	change := c.roster.Apply(u)
	if change == roster.Unchanged || change == roster.Stale {
		return differs
	}
	c.logger.Info("upstream: "+change.String(), zap.String("upstream", u.ID), zap.String("service", u.Service),
		zap.Stringer("address", u.Address), zap.Int64("offset", r.Offset), zap.Int64("born", u.StartTime))
	if c.isEngine(u) {
		c.origins.noteVersions(now, now, origin.Origin{Service: u.Service, Software: u.Software})
	}
	for _, id := range c.roster.Displaced(u) {
		c.logger.Info("upstream: another process uses its address", zap.String("upstream", id), zap.Stringer("address", u.Address))
		c.markMissing(now, id, 0)
	}
	if change == roster.Restarted {
		c.noteCrash(now, u.ID, time.UnixMilli(u.StartTime), learnedFromRestart)
		delete(c.held, u.ID)
		c.forgetLimit(u.ID)
	}
	return true
}

// leavingAnswered reports that an answer of an upstream said that it leaves.
type leavingAnswered struct {
	run roster.Run
	at  time.Time
}

func (leavingAnswered) event() {}

// reportLeaving is told of an upstream whose answer says that it leaves. It is called on the
// request path.
func (c *control) reportLeaving(u roster.Upstream) {
	if c.view.Load().Available(u.Service, u.ID) {
		c.post(leavingAnswered{run: roster.Run{ID: u.ID, StartTime: u.StartTime}, at: time.Now()})
	}
}

// noteLeaving holds an upstream that says that it leaves to be draining, as if its entry
// said so, and tells all VMs. Only another start of the upstream ends it: an upstream that
// has said so gets no requests by which it could take it back.
func (c *control) noteLeaving(now time.Time, e leavingAnswered) {
	r := e.run
	if !c.roster.NoteLeaving(e.at, r) {
		return
	}
	c.logger.Info("upstream: "+roster.Draining.String(), zap.String("upstream", r.ID), zap.Int64("born", r.StartTime), zap.String("source", "answer"))
	c.sendToAll(packet{DrainNotice: &drainNotice{Upstreams: []drainingUpstream{drainingUpstream(r)}}})
	c.reconcile(now)
}

// replyDraining tells a VM that has started which upstreams are draining.
func (c *control) replyDraining(to netip.AddrPort) {
	for part := range slices.Chunk(c.roster.Draining(), packetDrains) {
		notice := &drainNotice{}
		for _, r := range part {
			notice.Upstreams = append(notice.Upstreams, drainingUpstream(r))
		}
		c.transport.send(to, packet{DrainNotice: notice})
	}
}

// packetDrains bounds the number of draining upstreams in one packet, which must fit in a
// datagram.
const packetDrains = 30

// applyDrainNotice applies what a VM that has run for longer knows of draining upstreams.
func (c *control) applyDrainNotice(now time.Time, n *drainNotice) {
	changed := false
	for _, u := range n.Upstreams {
		if c.roster.NoteDraining(now, roster.Run(u)) {
			c.logger.Info("upstream: "+roster.Draining.String(), zap.String("upstream", u.ID), zap.Int64("born", u.StartTime), zap.String("source", "vm"))
			changed = true
		}
	}
	if changed {
		c.reconcileSoon(now)
	}
}

// markMissing records that an upstream has no entry, and has a time to register again.
func (c *control) markMissing(now time.Time, id string, grace time.Duration) {
	if c.roster.MarkMissing(now, id, grace) {
		c.logger.Info("upstream: entry is missing", zap.String("upstream", id), zap.Duration("grace", grace))
	}
}

func (c *control) applyFleet(now time.Time, r platform.Record) {
	if name, ok := strings.CutPrefix(r.Key, keyVM); ok {
		if name == c.self.Name || r.Value == nil {
			return
		}
		vm, ok := decodeVM(r)
		if !ok {
			c.logger.Warn("fleet: record is ignored", zap.String("key", r.Key))
			return
		}
		c.gossip.Apply(now, gossip.Update{VM: vm})
		return
	}
	if text, ok := strings.CutPrefix(r.Key, keyCrash); ok {
		c.applyCrashRecord(now, text, r.Value)
		return
	}
	if service, ok := strings.CutPrefix(r.Key, keySoftware); ok {
		if r.Value != nil {
			c.applySoftware(now, service, r.Value)
		}
		return
	}
	var claim fence.Claim
	if err := json.Unmarshal(r.Value, &claim); err != nil || claim.Engine == "" {
		c.logger.Warn("fleet: record is ignored", zap.String("key", r.Key), zap.Error(err))
		return
	}
	if c.fence.Apply(now, r.Offset, claim) {
		active, _ := c.fence.Get(claim.Engine)
		c.logger.Info("claim: in force", zap.String("upstream", claim.Engine), zap.String("vm", claim.VM),
			zap.Int64("token", active.Token), zap.Int64("era", claim.Era), zap.Bool("free", claim.Released))
	}
}

// decodeVM decodes a VM's record of its own addresses. It returns false for any other
// record.
func decodeVM(r platform.Record) (gossip.VM, bool) {
	var vm gossip.VM
	if !strings.HasPrefix(r.Key, keyVM) || json.Unmarshal(r.Value, &vm) != nil {
		return gossip.VM{}, false
	}
	return vm, true
}
