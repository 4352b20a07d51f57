package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/cursor"
	"github.com/tanagerlb/tanagerlb/pkg/proof"
	"github.com/tanagerlb/tanagerlb/platform"
)

// feed reads one topic of the store and posts its records to the control loop.
type feed struct {
	topic          platform.Topic
	store          *platform.Store
	breaker        *breaker
	post           func(event)
	logger         *zap.Logger
	wait           time.Duration // longest wait of a read for new records
	interval       time.Duration // interval between reads
	turnInterval   time.Duration // time in which one of the VMs that wait for records is to read; 0 for no such limit
	readShare      float64       // share of the interval after which this VM reads again; 0 for all of it
	mu             sync.Mutex
	cancel         context.CancelFunc        // cancels the read or sleep in progress
	interruptible  bool                      // the read or sleep in progress may be canceled to read again
	reads          int                       // number of reads so far
	fetching       bool                      // a read is in progress
	turn           turn                      // of this VM; see turnInterval
	requested      bool                      // the next read does not wait for records, and is posted even if empty
	next           int64                     // offset of the next read; -1 to list the whole topic
	again          bool                      // the last listing was begun by listAgain
	era            int64                     // era of the store in which that offset holds
	delay          time.Duration             // time to wait before the next listing
	known          atomic.Bool               // this VM has a listing of the topic, from the store or a peer
	forwards       atomic.Bool               // this VM forwards what it reads to its group
	follows        atomic.Bool               // another VM forwards what it reads to this VM
	followsRole    atomic.Bool               // another VM forwards topics to this VM, not necessarily this one
	slowRetry      atomic.Bool               // back off longer: other VMs detect the end of an outage
	confirmsClaims bool                      // reads are posted even if empty, since each one confirms claims
	forwardedAt    time.Time                 // time at which a peer last read records that it forwarded
	proves         atomic.Bool               // a read that does not wait follows each one that did, to prove how old what is known is
	onProof        func(operatorProof)       // is told what reads that did not wait prove; nil if nobody asks
	down           atomic.Bool               // the last read failed
	upSince        atomic.Pointer[time.Time] // time from which on no read has failed; nil before the first
	readAt         atomic.Pointer[time.Time] // time of the last successful read; nil before the first
	downSince      atomic.Pointer[time.Time] // time of the first failure of the last outage; nil for none
	lastFailure    atomic.Pointer[failure]   // nil before the first
	onUp           func()                    // called when a read succeeds after failures
}

// failure is a read that failed.
type failure struct {
	began time.Duration // as time since the boot of the machine
	ended time.Time
}

// topicListing carries the newest record of each key of a topic.
type topicListing struct {
	topic     platform.Topic
	batch     platform.Batch
	recovered bool          // reads before this one had failed
	began     time.Duration // start of the listing, as time since the boot of the machine
}

// recordsRead carries records that were appended to a topic.
type recordsRead struct {
	topic     platform.Topic
	from      int64 // offset at which the read started
	batch     platform.Batch
	recovered bool          // reads before this one had failed
	began     time.Duration // start of the read, as time since the boot of the machine
}

// retryBackoff and maxBackoff are the initial and the longest backoff after failed
// calls to the store, slowBackoff and maxSlowBackoff those of followers.
const (
	retryBackoff   = 200 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	slowBackoff    = time.Second
	maxSlowBackoff = 3 * time.Second
)

func (f *feed) backoff() backoffRange {
	if f.slowRetry.Load() {
		return backoffRange{least: slowBackoff, most: maxSlowBackoff}
	}
	return backoffRange{least: retryBackoff, most: maxBackoff}
}

func (f *feed) loop(ctx context.Context) {
	f.list()
	for ctx.Err() == nil {
		delay := f.takeDelay()
		f.sleep(ctx, delay, delay)
		call, ok := f.breaker.await(ctx)
		if !ok {
			return
		}
		next, began := f.offset(), sinceBoot()
		batch, wait, requested, err := f.fetch(ctx, next, call)
		backoff := f.breaker.end(time.Now(), call, resultOf(err), f.backoff())
		switch {
		case errors.Is(err, platform.ErrTrimmed):
			f.logger.Info("store: records were trimmed; listing the whole topic", zap.String("topic", string(f.topic)),
				zap.Int64("from", next), zap.Duration("wait", wait), zap.Duration("after", sinceBoot()-began))
			f.listAgain(0)
			continue
		case errors.Is(err, errRestarted):
			f.logger.Info("store: read was started again", zap.String("topic", string(f.topic)), zap.Int64("from", next), zap.Duration("after", sinceBoot()-began), zap.Error(err))
			continue
		case err != nil:
			f.markDown(failure{began: began, ended: time.Now()}, err)
			f.sleep(ctx, backoff, f.nextInterval()) // a VM that the store turns away may still hear from others
			continue
		}
		recovered := f.markUp()
		if !f.acceptEra(next, batch.Era) {
			f.post(eraSeen{era: batch.Era})
			continue
		}
		if f.topic == platform.OperatorTopic && (next < 0 || len(batch.Records) > 0) { // few records, and a read for each at most
			f.logger.Info("store: records were read", zap.String("topic", string(f.topic)), zap.Int64("from", next), zap.Duration("wait", wait),
				zap.Int64("next", batch.Next), zap.Int64("end", batch.End), zap.Int("records", len(batch.Records)), zap.Duration("after", sinceBoot()-began))
		}
		if next < 0 {
			f.post(topicListing{topic: f.topic, batch: batch, recovered: recovered, began: began})
		} else if len(batch.Records) > 0 || recovered || requested || f.confirmsClaims || f.forwards.Load() {
			f.post(recordsRead{topic: f.topic, from: next, batch: batch, recovered: recovered, began: began})
		}
		f.prove(next, wait, batch, began)
		if next >= 0 && batch.Next == next && batch.End > next {
			f.logger.Warn("store: a read brought none of the records before the end; listing the whole topic", zap.String("topic", string(f.topic)),
				zap.Int64("from", next), zap.Duration("wait", wait), zap.Int64("end", batch.End), zap.Duration("after", sinceBoot()-began))
			f.listAgain(retryBackoff)
			continue
		}
		f.advance(batch.Era, batch.Next)
		if wait > 0 && f.proves.Load() {
			f.refresh()
		}
		interval := f.nextInterval()
		f.sleep(ctx, interval, interval)
	}
}

// operatorProof carries what a read of the operator topic proves.
type operatorProof struct{ point proof.Point }

func (operatorProof) event() {}

// prove tells what a read or listing proves that began at a time since the boot of the machine: it has
// brought all that the store held then. A read that waits proves nothing, since records may be
// deleted that it does not bring.
func (f *feed) prove(next int64, wait time.Duration, batch platform.Batch, began time.Duration) {
	if f.onProof == nil || wait > 0 || next >= 0 && batch.Next != batch.End {
		return
	}
	f.onProof(operatorProof{proof.Point{Position: cursor.Position{Era: batch.Era, Offset: batch.Next}, At: began}})
}

// resultOf returns what the error of a call tells of the store.
func resultOf(err error) callResult {
	switch {
	case errors.Is(err, errRestarted):
		return callCanceled
	case err == nil, errors.Is(err, platform.ErrTrimmed), errors.Is(err, platform.ErrConflict):
		return callAnswered
	default:
		return callFailed
	}
}

// nextInterval returns the time until the next read.
func (f *feed) nextInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.readShare > 0:
		return time.Duration(f.readShare * float64(f.interval))
	case f.follows.Load():
		return max(f.interval, followInterval)
	case f.forwards.Load():
		return time.Duration(forwarderShare * float64(f.interval))
	default:
		return f.interval
	}
}

// setReadShare sets the share of the interval after which this VM reads again.
func (f *feed) setReadShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readShare = share
}

// setTurn sets the place of this VM among those that wait for records. A read that waits for another
// turn begins again.
func (f *feed) setTurn(t turn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.turn
	f.turn = t
	moved := (t.began - before.began).Abs() > f.turnInterval/turnSlack
	if (moved || t.rank != before.rank || t.of != before.of) && f.turnInterval > 0 && f.fetching && f.interruptible {
		f.cancel()
	}
}

// setInterval sets the interval between reads.
func (f *feed) setInterval(interval time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interval = interval
}

// forwarderShare is the share of the interval after which the first VM that forwards records
// reads again, and forwarderStep is what each of the next storeReaders adds. As it is less than
// 1, forwarded records arrive before the members of the group read the store themselves.
const (
	forwarderShare = 0.8
	forwarderStep  = 0.05
)

func (f *feed) offset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// list makes the next read list the whole topic.
func (f *feed) list() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next, f.again = -1, false
}

// listAgain makes the next read list the whole topic after a delay, as records that it lacks are no
// longer in the log.
func (f *feed) listAgain(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next, f.delay, f.again = -1, delay, true
}

// restored reports whether the topic is to be listed, or is being listed, since it was never listed or
// the store came back from a copy.
func (f *feed) restored() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next < 0 && !f.again
}

// advance sets the offset of the next read, in an era.
func (f *feed) advance(era, next int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era == f.era && next > f.next { // a peer may have forwarded later records during the read
		f.next = next
	}
}

// skipTo accepts records that a peer read at a time and forwarded, of an era and with the offsets from (inclusive) to next
// (exclusive): the next read starts at next. skipTo changes nothing and returns
// false if the topic is not listed yet in that era, or if the records are older than those
// read so far or leave a gap after them.
func (f *feed) skipTo(readAt time.Time, era, from, next int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era != f.era || f.next < 0 || from > f.next || next < f.next {
		return false
	}
	f.next = next
	if readAt.After(f.forwardedAt) {
		f.forwardedAt = readAt
	}
	return true
}

// supersede accepts records that a peer has read, as skipTo does, and ends a read in progress:
// its records are known.
func (f *feed) supersede(readAt time.Time, era, from, next int64) bool {
	if !f.skipTo(readAt, era, from, next) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fetching {
		f.cancel()
	}
	return true
}

// adopt accepts a listing of the topic by a peer, unless the topic was listed in the meantime,
// and ends the listing in progress. The next read starts at next.
func (f *feed) adopt(era, next int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next >= 0 || era < f.era {
		return false
	}
	f.era, f.next, f.delay = era, next, 0
	if f.fetching {
		f.cancel()
	}
	return true
}

// beginEra makes the loop list the topic again after a delay, if the store is in a newer
// era than the last listing.
func (f *feed) beginEra(now time.Time, era int64, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era <= f.era {
		return
	}
	f.era, f.next, f.delay, f.again, f.forwardedAt = era, -1, delay, false, now
	if f.cancel != nil {
		f.cancel()
	}
}

// takeDelay returns the time to wait before the next listing, once.
func (f *feed) takeDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	delay := f.delay
	f.delay = 0
	return delay
}

// acceptEra reports whether the response to a read, or to a listing if next is negative,
// is of use: it is not if the store came back from a copy since the offset was read, or if
// the response is older than that. The topic is then listed again.
func (f *feed) acceptEra(next, era int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	reading := next >= 0
	switch {
	case !reading && f.next >= 0: // adopt has accepted a peer's listing
		return false
	case era < f.era:
		f.next, f.delay, f.again = -1, retryBackoff, false
		return false
	case reading && (era > f.era || f.next < 0):
		f.next, f.era, f.again = -1, era, false
		return false
	default:
		f.era = era
		return true
	}
}

// hasGap reports whether some records before the offset from were neither read nor
// forwarded.
func (f *feed) hasGap(from int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next >= 0 && from > f.next
}

var errRestarted = errors.New("read was canceled to restart it")

// fetch lists the whole topic if next is negative, and otherwise reads records
// from the offset next on. A read that is to find out whether the store answers waits for no
// records, since others wait for it. It also returns for how long it was to wait, and whether refresh
// requested it.
func (f *feed) fetch(ctx context.Context, next int64, call storeCall) (batch platform.Batch, wait time.Duration, requested bool, err error) {
	bounded, wait, requested := f.beginRead(ctx, next < 0 || call.probe)
	defer f.endRead()
	if next < 0 {
		batch, err = f.store.Newest(bounded, f.topic)
	} else {
		batch, err = f.store.Read(bounded, f.topic, next, wait)
	}
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		err = fmt.Errorf("%w: %w", errRestarted, err)
	}
	return batch, wait, requested, err
}

// beginRead returns a context for a read, for how long the read is to wait for records, and
// whether refresh requested it. A read that waits may be interrupted until its response begins:
// its connection may be dead without an error. Any other read runs until it ends or stalls, or
// it would never end if it took longer than the time between two requests for it.
func (f *feed) beginRead(ctx context.Context, prompt bool) (context.Context, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
	bounded, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	requested := f.requested
	f.requested = false
	wait := f.wait
	if f.turnInterval > 0 {
		wait = min(wait, f.turn.wait(sinceBoot(), f.turnInterval))
	}
	if requested || prompt || f.follows.Load() {
		wait = 0
	}
	f.reads++
	f.fetching = true
	number := f.reads
	f.interruptible = wait > 0
	return httptrace.WithClientTrace(bounded, &httptrace.ClientTrace{GotFirstResponseByte: func() { f.responseBegan(number) }}), wait, requested
}

func (f *feed) endRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
}

// responseBegan records that the response to a read begins to arrive.
func (f *feed) responseBegan(number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reads == number {
		f.interruptible = false
	}
}

// refresh makes the loop read as soon as no read is in progress but one that waits for
// records; this read does not wait for any.
func (f *feed) refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requested = true
	if f.cancel != nil && f.interruptible {
		f.cancel()
	}
}

// markDown records a read that failed. An outage begins with it if a peer has read the topic since
// the failure before it.
func (f *feed) markDown(r failure, err error) {
	last := f.lastFailure.Swap(&r)
	if wasDown := f.down.Swap(true); !wasDown || last != nil && f.heardSince(last.ended) {
		f.downSince.Store(&r.ended)
		f.logger.Warn("store: read failed", zap.String("topic", string(f.topic)), zap.Duration("after", sinceBoot()-r.began), zap.Bool("again", wasDown), zap.Error(err))
	}
	f.store.CloseIdle()
}

// failedAfter reports whether a read has failed that began later than a time since the boot of the
// machine.
func (f *feed) failedAfter(at time.Duration) bool {
	last := f.lastFailure.Load()
	return f.down.Load() && last != nil && last.began > at
}

// heardSince reports whether a peer has forwarded what it read at a later time.
func (f *feed) heardSince(at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.forwardedAt.After(at)
}

// markUp records a successful call, and reports whether earlier calls had failed.
func (f *feed) markUp() bool {
	wasDown := f.down.Swap(false)
	now := time.Now()
	if f.readAt.Store(&now); wasDown || f.upSince.Load() == nil {
		f.upSince.Store(&now)
	}
	if wasDown {
		f.logger.Info("store: read succeeded again", zap.String("topic", string(f.topic)))
		if f.onUp != nil {
			f.onUp()
		}
	}
	return wasDown
}

// sleep waits for d before the next read. If a peer forwards records, sleep waits until
// interval after it read them.
func (f *feed) sleep(ctx context.Context, d, interval time.Duration) {
	until := time.Now().Add(d)
	for left := d; left > 0 && ctx.Err() == nil; left = time.Until(until) {
		f.mu.Lock()
		if f.requested {
			f.mu.Unlock()
			return
		}
		bounded, cancel := context.WithTimeout(ctx, left)
		f.cancel, f.interruptible = cancel, true
		f.mu.Unlock()
		<-bounded.Done()
		restarted := errors.Is(bounded.Err(), context.Canceled)
		cancel()
		if restarted {
			return
		}
		f.mu.Lock()
		if t := f.forwardedAt.Add(interval); t.After(until) {
			until = t
		}
		f.mu.Unlock()
	}
}
