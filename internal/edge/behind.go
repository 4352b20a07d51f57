package edge

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/cursor"
	"github.com/tanagerlb/tanagerlb/platform"
)

const (
	// behindTime is how long peers may be ahead before this VM reads the operator topic itself.
	behindTime = 300 * time.Millisecond
	// outdatedShare is the share of Bounds.ConfigApply for which this VM serves by a
	// configuration while peers have read more. The rest is for peers to tell.
	outdatedShare = 0.7
	// tellTime is how long what a peer has told counts in an outage of the store: the peer may
	// be gone, so that nobody knows more than this VM.
	tellTime = 3 * time.Second
	// maxTold bounds the number of positions that are kept.
	maxTold = 64
)

// behind tells that peers have read more of the operator topic than this VM.
type behind struct {
	told   []toldPosition // positions beyond the one of this VM, in rising order
	peer   netip.AddrPort // the last peer that told the newest one
	toldAt time.Time      // when it did
	asked  time.Time      // when this VM last started its own read again
}

// toldPosition is a position up to which a peer has read the operator topic.
type toldPosition struct {
	position cursor.Position
	at       time.Time // when a peer first told it
}

// note notes that a peer has read up to a position, beyond the one of this VM. It reports whether no peer
// has told that position or a later one before.
func (b *behind) note(now time.Time, from netip.AddrPort, next cursor.Position) bool {
	last := len(b.told) - 1
	switch {
	case last < 0:
		b.asked = now
	case next.Compare(b.told[last].position) < 0:
		return false
	}
	b.peer, b.toldAt = from, now
	switch {
	case last >= 0 && next == b.told[last].position:
		return false
	case len(b.told) == maxTold:
		b.told[last].position = next
	default:
		b.told = append(b.told, toldPosition{position: next, at: now})
	}
	return true
}

// reach notes the position of this VM.
func (b *behind) reach(own cursor.Position) {
	for len(b.told) > 0 && b.told[0].position.Compare(own) <= 0 {
		b.told = b.told[1:]
	}
}

// age returns for how long a peer has read more than this VM, 0 if none has.
func (b *behind) age(now time.Time) time.Duration {
	if len(b.told) == 0 {
		return 0
	}
	return now.Sub(b.told[0].at)
}

// operatorPosition returns the newest era that this VM knows of, and the offset up to which it
// has read the operator topic in that era.
func (c *control) operatorPosition() cursor.Position {
	p := cursor.Position{Era: c.storeEra.newest}
	if c.storeEra.topics[platform.OperatorTopic] == p.Era {
		p.Offset = c.operatorOffset
	}
	return p
}

// noteAhead notes the position up to which a peer has read the operator topic.
func (c *control) noteAhead(now time.Time, from netip.AddrPort, next cursor.Position) {
	own := c.operatorPosition()
	if next.Compare(own) > 0 && c.behind.note(now, from, next) {
		c.logger.Info("config: a peer has read more of the operator topic", zap.Stringer("peer", from), zap.Int64("next", own.Offset), zap.Int64("end", next.Offset),
			zap.Int64("era", own.Era), zap.Int64("peerEra", next.Era), zap.Duration("behind", c.behind.age(now)))
	}
}

// checkBehind fetches the records of the operator topic that this VM lacks from a peer that has
// been ahead for a while, and reads them itself if that takes too long: the response to
// its read may have been lost.
func (c *control) checkBehind(ctx context.Context, now time.Time) {
	c.behind.reach(c.operatorPosition())
	if outdated := c.isOutdated(now); outdated != c.outdated {
		c.outdated = outdated
		c.logger.Warn("config: serving stops or goes on, as peers have or had a newer configuration", zap.Bool("outdated", outdated),
			zap.Int64("next", c.operatorOffset), zap.Duration("behind", c.behind.age(now)))
		c.reconcile(now)
	}
	if len(c.behind.told) == 0 {
		return
	}
	if now.Sub(c.behind.asked) > behindTime && !c.fetching[platform.OperatorTopic] {
		c.logger.Info("config: a peer has read more of the operator topic; reading again", zap.Int64("next", c.operatorOffset),
			zap.Int64("peer", c.behind.told[len(c.behind.told)-1].position.Offset), zap.Duration("behind", c.behind.age(now)))
		c.behind.asked = now
		c.feeds[platform.OperatorTopic].refresh()
	}
	if age := c.behind.age(now); age >= catchUpDelay {
		c.catchUp(ctx, peerEnd{topic: platform.OperatorTopic, peer: c.behind.peer, end: c.behind.told[len(c.behind.told)-1].position.Offset, age: age})
	}
}

// isOutdated reports whether peers have had more of the operator topic than this VM for so long
// that it may not serve by its configuration any more. In an outage of the store a VM whose
// peers tell nothing goes on, as nobody knows more.
func (c *control) isOutdated(now time.Time) bool {
	bound := time.Duration(outdatedShare * float64(c.settings.Bounds.ConfigApply))
	if bound == 0 || c.behind.age(now) <= bound {
		return false
	}
	return !c.feeds[platform.OperatorTopic].down.Load() || now.Sub(c.behind.toldAt) <= tellTime
}
