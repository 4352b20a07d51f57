package edge

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/platform"
)

const (
	// recordsPath is the HTTP path at which a VM serves what it has read of a topic to VMs that
	// have read less. The store would send them each version of a large configuration whole.
	recordsPath = "/records"
	// headerBase names the record that a response was compressed against.
	headerBase = "Base"
	// headerReadAge tells how many milliseconds ago the VM last read the topic, or a peer that
	// forwarded what it read. It is not part of the body, which is kept for other peers.
	headerReadAge = "Read-Age"
	// maxReadAge is the longest age that is told apart; a topic that was never read is older.
	maxReadAge = time.Hour
	// catchUpDelay is how long a peer may be ahead before this VM fetches the records from it:
	// most come with a read of this VM's own, or are forwarded.
	catchUpDelay = 100 * time.Millisecond
	// maxLends is the number of peers that this VM serves at a time. The others ask another VM.
	maxLends = 4
	// keptEditions is the number of large records that are kept to compress others against.
	keptEditions = 3
)

// Errors of fetching records from a peer.
var (
	errBusy           = errors.New("peer serves enough others") // its next datagram makes this VM try again
	errUnknownRecords = errors.New("peer does not have the records")
	errMalformedAge   = errors.New("peer states an invalid age")
)

// edition is the value of a record that fits no datagram.
type edition struct {
	hash  uint64
	value []byte
}

// editions are the last large records of the operator topic. Two versions of a configuration
// have most in common, so that only what differs needs to be sent.
type editions struct{ list []edition }

// add adds a record as the newest one.
func (e *editions) add(value []byte) {
	if len(value) <= maxForwardBytes {
		return
	}
	next := edition{hash: xxhash.Sum64(value), value: value}
	e.list = slices.DeleteFunc(e.list, func(other edition) bool { return other.hash == next.hash })
	e.list = append(e.list, next)
	e.list = e.list[max(len(e.list)-keptEditions, 0):]
}

// newest returns the newest large record; the zero value if there is none.
func (e *editions) newest() edition {
	if len(e.list) == 0 {
		return edition{}
	}
	return e.list[len(e.list)-1]
}

// get returns the record with a hash; the zero value if there is none.
func (e *editions) get(hash uint64) edition {
	i := slices.IndexFunc(e.list, func(other edition) bool { return other.hash == hash })
	if i < 0 {
		return edition{}
	}
	return e.list[i]
}

// recordsRequest asks the control loop for the records of a topic from an offset on, of an era; or
// for all of them if the offset is negative, which only the operator topic allows.
type recordsRequest struct {
	topic     platform.Topic
	era, from int64
	base      uint64 // hash of a large record that the peer has; 0 for none
	reply     chan<- lentRecords
}

// lentRecords are the newest records of their keys.
type lentRecords struct {
	records forwardedRecords
	known   bool          // this VM has what was asked for
	base    edition       // what the peer has too; zero for nothing
	age     time.Duration // time since the topic was read
}

// recordsFetched carries the records that a peer has read, or the error.
type recordsFetched struct {
	topic   platform.Topic
	from    netip.AddrPort
	records forwardedRecords
	key     lentKey // of the response, for the peers that ask for the same
	body    []byte  // response
	err     error
}

func (recordsRequest) event() {}
func (recordsFetched) event() {}

// lendRecords replies with the records that a peer asks for. Records of the operator topic that a
// later one with their key has replaced are left out.
func (c *control) lendRecords(now time.Time, r recordsRequest) {
	if r.topic != platform.OperatorTopic {
		var b batch
		recent, known := c.recent[r.topic]
		if known = known && r.era == c.storeEra.newest; known {
			b, known = recent.since(now, r.era, r.from)
		}
		r.reply <- lentRecords{records: forwardedRecords{
			Topic: r.topic, Era: r.era, From: r.from, Next: b.next, Recovered: b.recovered, Grace: b.grace, Records: b.records,
		}, known: known, age: c.readAge(now, r.topic)}
		return
	}
	era, listed := c.storeEra.topics[platform.OperatorTopic]
	if !listed || era != c.storeEra.newest || (r.from >= 0 && r.era != era) || r.from > c.operatorOffset {
		r.reply <- lentRecords{}
		return
	}
	l := forwardedRecords{Topic: platform.OperatorTopic, Era: era, From: r.from, Next: c.operatorOffset}
	for _, record := range c.newest[platform.OperatorTopic] {
		if record.Offset >= r.from {
			l.Records = append(l.Records, record)
		}
	}
	slices.SortFunc(l.Records, func(a, b platform.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	r.reply <- lentRecords{records: l, known: true, base: c.editions.get(r.base), age: c.readAge(now, r.topic)}
}

// readAge returns how long ago a topic was last read, by this VM or by a peer that forwarded what it
// read. Reads of the upstreams count from their begin, as their age bounds how long one that has left
// is used.
func (c *control) readAge(now time.Time, topic platform.Topic) time.Duration {
	if at := c.fresh.readAt.Load(); topic == platform.UpstreamsTopic && at > 0 {
		return max(sinceBoot()-time.Duration(at), 0)
	}
	f, ok := c.feeds[topic]
	if !ok {
		return 0
	}
	f.mu.Lock()
	at := f.forwardedAt
	f.mu.Unlock()
	if own := f.readAt.Load(); own != nil && own.After(at) {
		at = *own
	}
	return max(now.Sub(at), 0)
}

// lender serves records to peers.
type lender struct {
	post   func(event)
	logger *zap.Logger
	places chan struct{} // one for each peer that is being served
	mu     sync.Mutex
	last   lentKey
	body   []byte // response for the key
}

// lentKey tells responses apart.
type lentKey struct {
	era, from, next int64
	base            uint64
}

func newLentKey(l forwardedRecords, base edition) lentKey {
	return lentKey{era: l.Era, from: l.From, next: l.Next, base: base.hash}
}

func newLender(post func(event), logger *zap.Logger) *lender {
	return &lender{post: post, logger: logger, places: make(chan struct{}, maxLends)}
}

// ServeHTTP implements http.Handler.
func (l *lender) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := parseRecordsRequest(r.URL.Query())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case l.places <- struct{}{}:
		defer func() { <-l.places }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	reply := make(chan lentRecords, 1)
	request.reply = reply
	l.post(request)
	var lent lentRecords
	select {
	case lent = <-reply:
	case <-r.Context().Done():
		return
	}
	if !lent.known {
		w.WriteHeader(http.StatusConflict)
		return
	}
	body, err := l.encode(lent)
	if err != nil {
		l.logger.Error("config: cannot encode records for a peer", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerBase, strconv.FormatUint(lent.base.hash, 16))
	w.Header().Set(headerReadAge, strconv.FormatInt(lent.age.Milliseconds(), 10))
	if _, err := w.Write(body); err != nil {
		l.logger.Debug("config: cannot write records to a peer", zap.Error(err))
	}
}

func parseRecordsRequest(q url.Values) (recordsRequest, error) {
	era, errEra := strconv.ParseInt(q.Get("era"), 10, 64)
	from, errFrom := strconv.ParseInt(q.Get("from"), 10, 64)
	base, errBase := strconv.ParseUint(q.Get("base"), 16, 64)
	topic := platform.Topic(cmp.Or(q.Get("topic"), string(platform.OperatorTopic))) // earlier versions name none
	return recordsRequest{topic: topic, era: era, from: from, base: base}, errors.Join(errEra, errFrom, errBase)
}

// encode returns the compressed records. Most peers ask for the same ones of the operator topic.
func (l *lender) encode(lent lentRecords) ([]byte, error) {
	if lent.records.Topic != platform.OperatorTopic {
		return pack(lent.records, nil)
	}
	key := newLentKey(lent.records, lent.base)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.body != nil && l.last == key {
		return l.body, nil
	}
	body, err := pack(lent.records, lent.base.value)
	if err != nil {
		return nil, err
	}
	l.last, l.body = key, body
	return body, nil
}

// keep keeps a response that this VM has got, to pass it on.
func (l *lender) keep(key lentKey, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last, l.body = key, body
}

// peerEnd tells that a peer has read more of a topic than this VM.
type peerEnd struct {
	topic platform.Topic
	peer  netip.AddrPort
	end   int64         // offset up to which the peer has read it
	age   time.Duration // how long ago the peer read it, or first told it
}

// catchUp fetches records of a topic from a peer that has read more than this VM, unless that is
// under way.
func (c *control) catchUp(ctx context.Context, a peerEnd) {
	topic, from := a.topic, a.peer
	if c.fetching[topic] {
		return
	}
	c.logger.Info("peer: has read more of a topic; fetching it", zap.String("topic", string(topic)), zap.Stringer("peer", from),
		zap.Int64("next", c.feeds[topic].offset()), zap.Int64("end", a.end), zap.Duration("age", a.age))
	c.fetching[topic] = true
	j := &catchUpJob{http: c.peers, post: c.post, from: from, topic: topic, era: c.storeEra.topics[topic], offset: c.feeds[topic].offset()}
	if topic == platform.OperatorTopic {
		j.base = c.editions.newest()
		if j.offset >= 0 {
			j.offset = c.operatorOffset
		}
	}
	go j.run(ctx)
}

// catchUpJob fetches records of a topic from a peer.
type catchUpJob struct {
	http        *http.Client
	post        func(event)
	from        netip.AddrPort
	topic       platform.Topic
	era, offset int64
	base        edition
}

func (j *catchUpJob) run(ctx context.Context) {
	e, err := j.fetch(ctx)
	e.topic, e.from, e.err = j.topic, j.from, err
	j.post(e)
}

func (j *catchUpJob) fetch(ctx context.Context) (recordsFetched, error) {
	query := url.Values{"topic": {string(j.topic)}, "era": {strconv.FormatInt(j.era, 10)}, "from": {strconv.FormatInt(j.offset, 10)}, "base": {strconv.FormatUint(j.base.hash, 16)}}
	target := "http://" + j.from.String() + recordsPath + "?" + query.Encode()
	began := time.Now()
	response, err := getFromPeer(ctx, j.http, target)
	if err != nil {
		return recordsFetched{}, fmt.Errorf("request records: %w", err)
	}
	switch response.Status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return recordsFetched{}, errBusy
	default:
		return recordsFetched{}, fmt.Errorf("%w: status %d", errUnknownRecords, response.Status)
	}
	var base edition
	if response.Header.Get(headerBase) == strconv.FormatUint(j.base.hash, 16) {
		base = j.base
	}
	var l forwardedRecords
	if err := unpack(response.Body, base.value, &l); err != nil {
		return recordsFetched{}, err
	}
	if text := response.Header.Get(headerReadAge); text != "" { // earlier versions state none
		age, err := strconv.ParseInt(text, 10, 64)
		if err != nil || age < 0 {
			return recordsFetched{}, fmt.Errorf("%w: %s %q", errMalformedAge, headerReadAge, text)
		}
		l.Age = time.Duration(min(age, maxReadAge.Milliseconds())) * time.Millisecond
	}
	l.Age += time.Since(began)
	return recordsFetched{records: l, key: newLentKey(l, base), body: response.Body}, nil
}

// applyFetched applies the records that a peer has read.
func (c *control) applyFetched(ctx context.Context, now time.Time, e recordsFetched) {
	c.fetching[e.topic] = false
	l, f := e.records, c.feeds[e.topic]
	if e.err != nil || l.Topic != e.topic {
		c.logger.Info("peer: cannot fetch records", zap.String("topic", string(e.topic)), zap.Stringer("peer", e.from), zap.Error(e.err))
		if e.topic == platform.FleetTopic && !errors.Is(e.err, errBusy) {
			f.refresh()
		}
		return
	}
	if l.From < 0 {
		if !f.adopt(l.Era, l.Next) {
			return
		}
		c.applyListing(ctx, now, topicListing{topic: platform.OperatorTopic, batch: platform.Batch{Records: l.Records, Era: l.Era, Next: l.Next}})
	} else {
		if !c.acceptEra(now, e.topic, l.Era, "peer") || !f.supersede(now.Add(-l.Age), l.Era, l.From, l.Next) {
			return
		}
		c.relayFetched(now, l)
		c.recent[e.topic].add(l.Era, l.batch(now, l.From, l.Records))
		c.applyRecords(now, e.topic, l.Records, readOrigin{recovered: l.Recovered, grace: l.Grace})
		c.advanceOffset(now, e.topic, l.Next, 0)
	}
	if e.topic == platform.OperatorTopic {
		c.lender.keep(e.key, e.body)
	}
	c.logger.Info("peer: records were fetched", zap.String("topic", string(e.topic)), zap.Stringer("peer", e.from), zap.Int64("from", l.From), zap.Int64("next", l.Next),
		zap.Int("records", len(l.Records)), zap.Int("bytes", len(e.body)))
	c.reconcileSoon(now)
}
