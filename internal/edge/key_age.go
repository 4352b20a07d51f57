package edge

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/cursor"
	"github.com/tanagerlb/tanagerlb/pkg/proof"
	"github.com/tanagerlb/tanagerlb/platform"
)

// Shares of Bounds.Revoke.
const (
	// keyReadShare is the age of the known keys from which on a VM reads the store itself.
	keyReadShare = 0.5
	// keyReadSpread bounds the random delay of such a read.
	keyReadSpread = 0.2
	// keyEndingShare is the age from which on a VM is not ready for callers.
	keyEndingShare = 0.85
)

// keyRetryAfter is when callers are to try again whose keys may be outdated. Another VM may know more.
const keyRetryAfter = 300 * time.Millisecond

// maxProofAge bounds the age of a proof that a peer may tell, and of a probe that it may echo.
const maxProofAge = 30 * time.Second

// keyAge tracks how old what this VM knows of the keys of organisations is. A VM that knows too
// little serves no request with a key, as its key may have been taken away.
type keyAge struct {
	tracker *proof.Tracker
	active  atomic.Bool  // keys must be recent
	refuses bool         // requests with keys are refused; for logs
	known   atomic.Int64 // time of the newest proof whose configuration is in view, as time since the boot of the machine in nanoseconds; 0 for none
	maxAge  atomic.Int64 // Bounds.Revoke, in nanoseconds
	heard   bool         // a peer that knows the era of the store has told the version of its configuration
	lost    int64        // newest version that a peer has in force, and that the store has lost; 0 for none
}

func (k *keyAge) init(b platform.Bounds) {
	k.tracker = proof.New(proof.Config{})
	k.setBounds(b)
}

// setBounds sets the bounds of new settings.
func (k *keyAge) setBounds(b platform.Bounds) {
	k.maxAge.Store(int64(b.Revoke))
	if k.tracker == nil {
		return // in tests of other parts
	}
	k.tracker.SetConfig(proof.Config{
		ReadAfter:  time.Duration(keyReadShare * float64(b.Revoke)),
		ReadSpread: time.Duration(keyReadSpread * float64(b.Revoke)),
	})
}

// vouch implements relay.Config.Vouch.
func (k *keyAge) vouch() (bool, time.Duration) {
	if !k.active.Load() {
		return true, 0
	}
	known := k.known.Load()
	if known == 0 {
		return false, keyRetryAfter
	}
	return proof.Age(sinceBoot(), time.Duration(known), time.Duration(k.maxAge.Load()), keyRetryAfter)
}

// ending reports whether requests with keys are refused, or will be soon.
func (k *keyAge) ending(now time.Duration) bool {
	known := k.known.Load()
	return k.active.Load() && (known == 0 || now-time.Duration(known) >= time.Duration(keyEndingShare*float64(k.maxAge.Load())))
}

// decoding tells which large records of the operator topic are being decoded. They are told apart by
// number, as an offset may be given out again after the store came back from a copy.
type decoding struct {
	last    int64            // number of the record that was added last
	numbers map[string]int64 // number of the newest record of each key that is being decoded
}

// add notes that a record is being decoded, and returns its number.
func (d *decoding) add(r platform.Record) int64 {
	if d.numbers == nil {
		d.numbers = map[string]int64{}
	}
	d.last++
	d.numbers[r.Key] = d.last
	return d.last
}

// remove notes that a record was decoded. One that a later large record with its key has replaced
// meanwhile is decoded too, or not at all.
func (d *decoding) remove(e changeDecoded) {
	if d.numbers[e.record.Key] == e.number {
		delete(d.numbers, e.record.Key)
	}
}

// appliedPosition returns the position up to which the records of the operator topic are in force.
// It is the zero position, which no proof is for, while a large record is being decoded.
func (c *control) appliedPosition() cursor.Position {
	if len(c.decoding.numbers) > 0 {
		return cursor.Position{Era: -1}
	}
	return c.operatorPosition()
}

// askForProof makes a probe ask how old the receiver's knowledge is.
func (c *control) askForProof(now time.Duration, p *probe) {
	if c.keyAge.active.Load() {
		p.Sent = now
	}
}

// echo answers a probe that asks how old this VM's knowledge is.
func (c *control) echo(now time.Duration, p, reply *probe) {
	if p.Sent <= 0 || c.keyAge.tracker == nil {
		return
	}
	if best, ok := c.keyAge.tracker.Known(); ok {
		reply.Echo, reply.Proof = p.Sent, &probeProof{Position: best.Position, Age: now - best.At}
	}
}

// noteProof notes how old a peer's knowledge is. The age counts from the time at which this VM sent its
// probe: the reply may have waited for long, if this VM was frozen.
func (c *control) noteProof(now time.Duration, p *probe) {
	if p.Proof == nil || c.keyAge.tracker == nil || p.Echo <= 0 || p.Echo > now || now-p.Echo > maxProofAge || p.Proof.Age < 0 || p.Proof.Age > maxProofAge {
		return
	}
	if at := p.Echo - p.Proof.Age; at > 0 {
		c.keyAge.tracker.Prove(proof.Point{Position: p.Proof.Position, At: at}, c.appliedPosition())
	}
}

// tellVersion makes a probe tell the version of the configuration in force.
func (c *control) tellVersion(p *probe) {
	if c.keyAge.active.Load() {
		p.Config = c.table.Version
	}
}

// noteVersion notes the version of the configuration in force at a peer. If this VM has read as much of
// the operator topic, and has an older version, the store has come back from a copy without the newer one,
// which may have taken keys away.
func (c *control) noteVersion(p *probe) {
	if p.Config == 0 {
		return
	}
	c.keyAge.heard = c.keyAge.heard || p.Operator.Era == c.storeEra.newest
	applied := c.appliedPosition()
	if c.table != nil && p.Config > c.table.Version && applied.Era == p.Operator.Era && applied.Offset >= p.Operator.Offset {
		c.keyAge.lost = max(c.keyAge.lost, p.Config)
	}
}

// hearTime is how long a VM that has just started waits for a peer that knows a newer configuration than
// the store, if the store has come back from a copy.
const hearTime = time.Second

// lacksVersion reports whether the store has lost a newer configuration than the one in force, or may have.
func (c *control) lacksVersion() bool {
	if c.table == nil {
		return false
	}
	waits := c.storeEra.newest > 0 && !c.keyAge.heard && time.Since(c.started) < hearTime
	return waits || c.keyAge.lost > c.table.Version
}

// reviewKeyAgeActive decides whether keys must be recent. It is called before a new configuration comes
// into view.
func (c *control) reviewKeyAgeActive() {
	active := c.settings.Bounds.FailClosed && c.settings.Bounds.Revoke > 0 && c.table != nil && c.table.Organisations != nil
	if active == c.keyAge.active.Load() {
		return
	}
	c.keyAge.active.Store(active)
	if operator := c.feeds[platform.OperatorTopic]; operator != nil {
		operator.proves.Store(active)
	}
}

// publishProof publishes the newest proof, after the configuration that it is about.
func (c *control) publishProof() {
	k := &c.keyAge
	if k.tracker == nil {
		return // in tests of other parts
	}
	c.reviewKeyAgeActive()
	k.tracker.Apply(c.appliedPosition())
	if best, ok := k.tracker.Known(); c.lacksVersion() {
		k.known.Store(0)
	} else if ok && c.view.Load().Table == c.table {
		k.known.Store(int64(best.At))
	}
}

// reviewProof publishes the newest proof, and reads the store if it is old.
func (c *control) reviewProof(now time.Duration) {
	c.publishProof()
	k := &c.keyAge
	if k.tracker == nil || !k.active.Load() {
		return
	}
	if ok, _ := k.vouch(); ok == k.refuses {
		k.refuses = !ok
		c.logger.Warn("config: requests with keys are refused or served again, as the keys may be outdated", zap.Bool("refused", !ok),
			zap.Duration("age", now-time.Duration(k.known.Load())), zap.Int64("next", c.operatorOffset))
	}
	if operator := c.feeds[platform.OperatorTopic]; operator != nil && k.tracker.ReadDue(now, rand.Float64()) { //nolint:gosec // only spreads reads
		operator.refresh()
	}
}
