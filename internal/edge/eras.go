package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/platform"
)

// eraSpread bounds the random delay with which a VM lists the topics again when the store
// has come back from a copy, so that the VMs don't all do so at once.
const eraSpread = 300 * time.Millisecond

// eraSeen reports the era of the store in a response.
type eraSeen struct{ era int64 }

func (eraSeen) event() {}

// storeEra is what a VM knows of the era of the store.
type storeEra struct {
	newest int64                    // newest era that this VM has seen or been told of
	since  time.Time                // when it did
	topics map[platform.Topic]int64 // era of the last listing of each topic
}

// noteEra handles that the store is in an era, or was. In a new one, all topics are listed
// again: what was read since the copy may be gone, and its offsets may hold other records.
func (c *control) noteEra(now time.Time, era int64, source string) {
	if era <= c.storeEra.newest {
		return
	}
	old := c.storeEra.newest
	c.storeEra.newest, c.storeEra.since, c.renewedAt = era, now, time.Time{}
	if len(c.storeEra.topics) == 0 { // this VM has just started, and its first listings are under way
		return
	}
	c.metrics.StoreRestored()
	c.logger.Warn("store: came back from a copy; listing all topics", zap.Int64("old", old), zap.Int64("era", era), zap.String("source", source))
	for _, f := range c.feeds {
		f.beginEra(now, era, rand.N(eraSpread)) //nolint:gosec // only spreads load
	}
	c.origins.saveAgain(now)
}

// acceptEra reports whether records of a topic that were read in an era may be applied: if
// the topic was listed in that era, and no newer one is known. It notes a newer era.
func (c *control) acceptEra(now time.Time, topic platform.Topic, era int64, source string) bool {
	c.noteEra(now, era, source)
	listed, ok := c.storeEra.topics[topic]
	return ok && era == listed && era == c.storeEra.newest
}

// beginListing prepares for a listing of a topic in an era. It reports whether the listing
// may be applied, and whether it is the first one since the store came back from a copy.
func (c *control) beginListing(now time.Time, topic platform.Topic, era int64) (accepted, restored bool) {
	c.noteEra(now, era, string(topic))
	if era < c.storeEra.newest {
		return false, false
	}
	listed, ok := c.storeEra.topics[topic]
	restored = ok && era > listed
	c.storeEra.topics[topic] = era
	if topic == platform.FleetTopic {
		c.fence.BeginEra(era, now.Add(c.lease()))
	}
	if !restored {
		return true, false
	}
	switch topic {
	case platform.StreamsTopic: // listed on demand only
	case platform.UpstreamsTopic:
		c.upstreamsOffset = 0
	case platform.OperatorTopic:
		c.operatorOffset, c.behind = 0, behind{}
	case platform.FleetTopic:
		c.fleetEnd = -1
		clear(c.poison.saved)
		clear(c.software.saved)
	}
	return true, true
}

// endListing checks what a listing in a new era lacks of this VM's own records, and logs
// when all topics were listed.
func (c *control) endListing(ctx context.Context, now time.Time, topic platform.Topic, records []platform.Record) {
	if topic == platform.FleetTopic && c.announce != nil && !c.isAnnounced(records) {
		go c.announce.run(ctx)
	}
	for _, f := range c.feeds {
		if c.storeEra.topics[f.topic] < c.storeEra.newest {
			return
		}
	}
	c.logger.Info("store: all topics are listed again", zap.Int64("era", c.storeEra.newest), zap.Duration("after", now.Sub(c.storeEra.since)))
}

// isAnnounced reports whether the record of this VM's own process is among the records.
func (c *control) isAnnounced(records []platform.Record) bool {
	for _, r := range records {
		if vm, ok := decodeVM(r); ok && vm.Name == c.self.Name && vm.Boot == c.self.Boot {
			return true
		}
	}
	return false
}
