package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/platform"
)

// statePath is the HTTP path at which a VM serves its state to VMs that cannot
// reach the store when they start.
const statePath = "/state"

// state is the newest record of each key that a VM has read from the store, and what
// it knows of poison requests.
type state struct {
	Topics  map[platform.Topic][]platform.Record `msgpack:"t"`
	Era     int64                                `msgpack:"e,omitempty"` // era of the store in which they were read
	Crashes []crashRun                           `msgpack:"c,omitempty"` // crashes under requests, which the store may not have yet
}

// stateRequest asks the control loop for its state.
type stateRequest struct{ reply chan<- state }

// stateReceived carries the state of a peer.
type stateReceived struct{ state state }

func (stateRequest) event()  {}
func (stateReceived) event() {}

// storeNewest stores a record as the newest of its key, for the state that is
// served to peers. A record without a value removes the key.
func (c *control) storeNewest(topic platform.Topic, r platform.Record) {
	if c.newest[topic] == nil {
		c.newest[topic] = map[string]platform.Record{}
	}
	if topic == platform.OperatorTopic {
		c.editions.add(r.Value)
	}
	if r.Value == nil {
		delete(c.newest[topic], r.Key)
		return
	}
	c.newest[topic][r.Key] = r
}

// replyState replies with the state of this VM.
func (c *control) replyState(now time.Time, reply chan<- state) {
	s := state{Topics: map[platform.Topic][]platform.Record{}, Era: c.storeEra.newest}
	for topic, records := range c.newest {
		if !c.knowsTopic(topic) {
			continue // some records were forwarded, others may be missing
		}
		for _, r := range records {
			s.Topics[topic] = append(s.Topics[topic], r)
		}
	}
	s.Crashes = c.knownCrashes(now)
	reply <- s
}

// applyState applies those topics of a peer's state that this VM does not know yet. They count as
// listed in the era of the state, whose offsets may be given out again in the next one.
func (c *control) applyState(now time.Time, s state) {
	var applied []platform.Topic
	for topic, records := range s.Topics {
		if f, ok := c.feeds[topic]; ok && f.known.Load() {
			continue
		}
		if accepted, _ := c.beginListing(now, topic, s.Era); !accepted {
			return
		}
		if f, ok := c.feeds[topic]; ok {
			f.known.Store(true)
		}
		c.applyRecords(now, topic, records, readOrigin{recovered: true, listing: true, grace: reregisterGrace})
		applied = append(applied, topic)
	}
	c.recordCrashes(now, s.Crashes)
	c.logger.Info("peer: applied the state of a peer", zap.Any("topics", applied), zap.Int64("era", s.Era))
}

// knowsTopic reports whether this VM has a listing of a topic, from the store or a peer.
func (c *control) knowsTopic(topic platform.Topic) bool {
	f, ok := c.feeds[topic]
	return !ok || f.known.Load()
}

// knowsTopics reports whether this VM has listings of all topics that it reads.
func (c *control) knowsTopics() bool {
	for topic := range c.feeds {
		if !c.knowsTopic(topic) {
			return false
		}
	}
	return true
}

// serveState serves the state of this VM to a peer.
func (v *VM) serveState(w http.ResponseWriter, r *http.Request) {
	reply := make(chan state, 1)
	v.control.post(stateRequest{reply: reply})
	select {
	case s := <-reply:
		if err := writeState(w, s); err != nil {
			v.logger.Debug("peer: cannot write the state", zap.Error(err))
		}
	case <-r.Context().Done():
	}
}

func writeState(w io.Writer, s state) error {
	body, err := pack(s, nil)
	if err != nil {
		return err
	}
	if _, err := w.Write(body); err != nil {
		return fmt.Errorf("write state: %w", err)
	}
	return nil
}

// stateFetcher fetches the state of the seeds (VMs that the settings name) until
// this VM knows all topics, in case the store is down at its start.
type stateFetcher struct {
	vm    *VM
	seeds []netip.Addr
	port  uint16
	http  *http.Client
}

// fetchInterval is the time between rounds over the seeds. The first round also waits this
// long, as the store may answer first.
const fetchInterval = 500 * time.Millisecond

func (f *stateFetcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(fetchInterval)
		for _, seed := range f.seeds {
			if f.vm.control.knowsTopics() {
				return
			}
			if seed == f.vm.settings.Load().Caller.Addr() {
				continue
			}
			s, err := f.fetch(ctx, seed)
			if err != nil {
				f.vm.logger.Info("peer: cannot fetch the state of a seed", zap.Stringer("seed", seed), zap.Error(err))
				continue
			}
			f.vm.control.post(stateReceived{state: s})
		}
	}
}

func (f *stateFetcher) fetch(ctx context.Context, seed netip.Addr) (state, error) {
	target := "http://" + netip.AddrPortFrom(seed, f.port).String() + statePath
	response, err := getFromPeer(ctx, f.http, target)
	if err != nil {
		return state{}, fmt.Errorf("request a seed's state: %w", err)
	}
	var s state
	if err := unpack(response.Body, nil, &s); err != nil {
		return state{}, fmt.Errorf("decode a seed's state: %w", err)
	}
	return s, nil
}
