package edge

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/origin"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/platform"
)

const (
	// saveInterval is the least time between two saves, of all VMs together. Streams that began
	// within it are refused if all VMs are lost.
	saveInterval = 40 * time.Millisecond
	// saveRetry is how long after a failed save the streams are tried again.
	saveRetry = time.Second
	// standByDelay is how long a stream is left to the first of the two VMs that are to save it.
	standByDelay = time.Second
	// vmsPerSaver is the number of VMs for which there is one VM that saves their streams.
	vmsPerSaver = 256
	// loadInterval is the least time between two listings of the saved streams.
	loadInterval = 100 * time.Millisecond
	// packetStreams bounds the streams in one packet, which must fit in a datagram.
	packetStreams = 50
	// recordStreams bounds the streams in one record.
	recordStreams = 4096
	// maxStreamRecord is the size from which a record of streams is not decoded, in bytes.
	maxStreamRecord = 1 << 20
	// streamFormat is the version of the format of records of streams.
	streamFormat = 1
	// maxExpired bounds the records that one save deletes, and is the number of them that is
	// reason for a save of its own.
	maxExpired = 200
)

// streamsToSave asks a VM to save who began streams.
type streamsToSave struct {
	streamGroup
	StandBy bool `msgpack:"b,omitempty"` // another VM was asked first
}

// streamsSaved tells the VM that stands by which streams were saved.
type streamsSaved struct{ streamGroup }

// streamGroup is a group of streams that one version of the engines' software began.
type streamGroup struct {
	Service  string `msgpack:"s"`
	Software string `msgpack:"v"`
	// Keys has the keys of the streams one after the other, and Ages the times since they were
	// noted, in milliseconds.
	Keys []byte   `msgpack:"k"`
	Ages []uint32 `msgpack:"a"`
}

// savedStreams is the value of a record of the streams topic.
type savedStreams struct {
	Format int           `msgpack:"f"`
	At     int64         `msgpack:"t"` // when it was written, in Unix milliseconds
	Groups []streamGroup `msgpack:"g"`
}

var (
	errStreamFormat = errors.New("unknown format of a record of streams")
	errStreamRecord = errors.New("malformed record of streams")
)

// newStreamGroups groups streams by who began them, with at most size streams in a group.
func newStreamGroups(now time.Time, list []origin.Stream, size int) []streamGroup {
	byOrigin := map[origin.Origin][]origin.Stream{}
	for _, s := range list {
		byOrigin[s.Origin] = append(byOrigin[s.Origin], s)
	}
	var groups []streamGroup
	for o, all := range byOrigin {
		for part := range slices.Chunk(all, size) {
			g := streamGroup{Service: o.Service, Software: o.Software}
			for _, s := range part {
				g.Keys = append(g.Keys, s.Key[:]...)
				g.Ages = append(g.Ages, uint32(max(now.Sub(s.Began), 0).Milliseconds())) //nolint:gosec // a minute at most
			}
			groups = append(groups, g)
		}
	}
	return groups
}

// streams returns the streams of a group, which was encoded at a time.
func (g streamGroup) streams(at time.Time) ([]origin.Stream, error) {
	const size = len(origin.Key{})
	if len(g.Keys) != size*len(g.Ages) {
		return nil, fmt.Errorf("%w: %d bytes of keys for %d streams", errStreamRecord, len(g.Keys), len(g.Ages))
	}
	list := make([]origin.Stream, len(g.Ages))
	for i, age := range g.Ages {
		list[i] = origin.Stream{
			Key: origin.Key(g.Keys[size*i : size*(i+1)]), Origin: origin.Origin{Service: g.Service, Software: g.Software},
			Began: at.Add(-time.Duration(age) * time.Millisecond),
		}
	}
	return list, nil
}

// encodeStreams encodes streams as values of records.
func encodeStreams(now time.Time, list []origin.Stream) ([][]byte, error) {
	var values [][]byte
	for part := range slices.Chunk(list, recordStreams) {
		value, err := msgpack.Marshal(savedStreams{Format: streamFormat, At: now.UnixMilli(), Groups: newStreamGroups(now, part, recordStreams)})
		if err != nil {
			return nil, fmt.Errorf("encode streams: %w", err)
		}
		values = append(values, value)
	}
	return values, nil
}

// decodeStreams decodes the value of a record of the streams topic. It also returns when the
// record was written, by the clock of the VM that wrote it, but never later than now.
func decodeStreams(now time.Time, value []byte) ([]origin.Stream, time.Time, error) {
	if len(value) > maxStreamRecord {
		return nil, time.Time{}, fmt.Errorf("%w: %d bytes", errStreamRecord, len(value))
	}
	var saved savedStreams
	if err := decode(value, &saved); err != nil {
		return nil, time.Time{}, fmt.Errorf("%w: %w", errStreamRecord, err)
	}
	if saved.Format != streamFormat {
		return nil, time.Time{}, fmt.Errorf("%w: %d", errStreamFormat, saved.Format)
	}
	at := now.Add(min(time.UnixMilli(saved.At).Sub(now), 0))
	var list []origin.Stream
	for _, g := range saved.Groups {
		streams, err := g.streams(at)
		if err != nil {
			return nil, time.Time{}, err
		}
		list = append(list, streams...)
	}
	return list, at, nil
}

// streamSaver saves in the platform's store who began streams, while a service has several
// versions of the engines' software, and loads that if all VMs that knew it are gone. One VM in
// vmsPerSaver saves the streams of all, so that the calls do not grow with the number of VMs; a
// second one stands by for each.
type streamSaver struct {
	self     gossip.VM
	store    *platform.Store
	send     func(netip.AddrPort, packet)
	vms      *atomic.Pointer[map[string]gossip.VM] // live VMs by name, this one included
	recall   func(now time.Time, list []origin.Stream)
	seenEra  func(era int64)
	logger   *zap.Logger
	wake     chan struct{} // signals that there is something to save
	mu       sync.Mutex    // guards the fields below
	backlog  *origin.Backlog
	written  []writtenStreams // records in the store, in the order in which they expire
	number   int              // records written so far
	loading  sync.Mutex       // held during a load; guards the fields below
	loadedAt time.Time        // when the last load began
	failedAt time.Time        // when the last load that failed ended
}

// writtenStreams is a record of streams in the store.
type writtenStreams struct {
	key     string
	expires time.Time
}

func newStreamSaver(self gossip.VM, store *platform.Store, send func(netip.AddrPort, packet), vms *atomic.Pointer[map[string]gossip.VM], logger *zap.Logger) *streamSaver {
	return &streamSaver{
		self: self, store: store, send: send, vms: vms, logger: logger, wake: make(chan struct{}, 1),
		recall: func(time.Time, []origin.Stream) {}, seenEra: func(int64) {},
		backlog: origin.NewBacklog(origin.BacklogConfig{Lifetime: originLifetime, Retry: saveRetry, MaxStreams: maxOrigins}),
	}
}

// add has streams saved, here or by other VMs.
func (s *streamSaver) add(now time.Time, list ...origin.Stream) {
	if len(list) == 0 {
		return
	}
	names := slices.Collect(maps.Keys(*s.vms.Load()))
	parts := streamParts(len(names))
	byPart := map[int][]origin.Stream{}
	for _, stream := range list {
		part := int(stream.Key[0]) % parts
		byPart[part] = append(byPart[part], stream)
	}
	for part, streams := range byPart {
		for i, name := range saversOf(part, names) {
			if name == s.self.Name {
				s.queue(now, streams, i > 0)
				continue
			}
			for _, g := range newStreamGroups(now, streams, packetStreams) {
				s.send((*s.vms.Load())[name].Peer, packet{SaveStreams: &streamsToSave{streamGroup: g, StandBy: i > 0}})
			}
		}
	}
}

// saversOf returns the VM that saves a part of the streams, and the one that stands by.
func saversOf(part int, names []string) []string {
	return rank.Top("streams/"+strconv.Itoa(part), names, 2)
}

func (s *streamSaver) queue(now time.Time, list []origin.Stream, standBy bool) {
	due := now
	if standBy {
		due = now.Add(standByDelay)
	}
	s.mu.Lock()
	for _, stream := range list {
		s.backlog.Add(due, stream)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// handle handles a packet about streams that are saved, and returns false for any other one.
func (s *streamSaver) handle(now time.Time, p packet) bool {
	switch {
	case p.SaveStreams != nil:
		list, err := p.SaveStreams.streams(now)
		if err != nil {
			s.logger.Info("streams: a packet is ignored", zap.Error(err))
			return true
		}
		s.queue(now, list, p.SaveStreams.StandBy)
	case p.StreamsSaved != nil:
		list, err := p.StreamsSaved.streams(now)
		if err != nil {
			s.logger.Info("streams: a packet is ignored", zap.Error(err))
			return true
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, stream := range list {
			s.backlog.Saved(stream.Began.Add(savedSlack), stream.Key)
		}
	default:
		return false
	}
	return true
}

// savedSlack is by how much the time at which a stream was noted may differ between the two VMs
// that were asked to save it.
const savedSlack = 300 * time.Millisecond

// run saves what is due, until ctx is done.
func (s *streamSaver) run(ctx context.Context) {
	for savedAt := time.Now(); ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for s.pending() && ctx.Err() == nil {
			time.Sleep(time.Until(savedAt.Add(saveInterval * time.Duration(streamParts(len(*s.vms.Load()))))))
			savedAt = time.Now()
			s.save(ctx, savedAt)
		}
	}
}

// streamParts returns the number of VMs that save streams in a fleet.
func streamParts(vms int) int { return 1 + vms/vmsPerSaver }

func (s *streamSaver) pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backlog.Len() > 0 || len(s.written) > maxExpired && time.Now().After(s.written[maxExpired].expires)
}

// save writes the streams that are due, and deletes records that have expired.
func (s *streamSaver) save(ctx context.Context, now time.Time) {
	s.mu.Lock()
	list := s.backlog.Take(now)
	expired := s.takeExpired(now)
	s.mu.Unlock()
	if len(list) == 0 && len(expired) < maxExpired {
		s.keep(expired...)
		return
	}
	records, added, err := s.newRecords(now, list)
	if err != nil {
		s.logger.Error("streams: cannot encode", zap.Error(err))
		return
	}
	for _, w := range expired {
		records = append(records, platform.Record{Key: w.key})
	}
	era, err := s.store.Append(ctx, platform.StreamsTopic, anyOffset, records...)
	took := time.Since(now)
	if err != nil {
		s.mu.Lock()
		s.backlog.Failed(now, list)
		s.mu.Unlock()
		s.keep(expired...)
		s.logger.Info("streams: cannot save", zap.Int("streams", len(list)), zap.Duration("took", took), zap.Error(err))
		return
	}
	s.seenEra(era)
	s.keep(added...)
	s.logger.Info("streams: saved", zap.Int("streams", len(list)), zap.Int("expired", len(expired)), zap.Duration("took", took))
	s.tellStandBy(now, list)
}

// newRecords returns the records for streams.
func (s *streamSaver) newRecords(now time.Time, list []origin.Stream) ([]platform.Record, []writtenStreams, error) {
	values, err := encodeStreams(now, list)
	if err != nil {
		return nil, nil, err
	}
	var records []platform.Record
	var added []writtenStreams
	for _, value := range values {
		s.number++
		key := fmt.Sprintf("%s/%d/%d", s.self.Name, s.self.Boot, s.number)
		records = append(records, platform.Record{Key: key, Value: value})
		added = append(added, writtenStreams{key: key, expires: now.Add(originLifetime)})
	}
	return records, added, nil
}

// takeExpired removes records that have expired from the list of those in the store.
func (s *streamSaver) takeExpired(now time.Time) []writtenStreams {
	count := 0
	for count < min(len(s.written), maxExpired) && now.After(s.written[count].expires) {
		count++
	}
	expired := slices.Clone(s.written[:count])
	s.written = s.written[count:]
	return expired
}

// keep adds records to the list of those in the store.
func (s *streamSaver) keep(list ...writtenStreams) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = append(s.written, list...)
	slices.SortStableFunc(s.written, func(a, b writtenStreams) int { return a.expires.Compare(b.expires) })
}

// tellStandBy tells the VMs that stand by which streams were saved.
func (s *streamSaver) tellStandBy(now time.Time, list []origin.Stream) {
	vms := *s.vms.Load()
	names := slices.Collect(maps.Keys(vms))
	parts := streamParts(len(names))
	byVM := map[string][]origin.Stream{}
	for _, stream := range list {
		for _, name := range saversOf(int(stream.Key[0])%parts, names) {
			byVM[name] = append(byVM[name], stream)
		}
	}
	delete(byVM, s.self.Name)
	for name, streams := range byVM {
		for _, g := range newStreamGroups(now, streams, packetStreams) {
			s.send(vms[name].Peer, packet{StreamsSaved: &streamsSaved{g}})
		}
	}
}

// load lists the saved streams and passes them on to recall, unless another request has done so
// since the given time. It returns false if the store does not answer, or did not shortly before.
func (s *streamSaver) load(ctx context.Context, since time.Time) bool {
	s.loading.Lock()
	defer s.loading.Unlock()
	if s.loadedAt.After(since) || time.Since(s.failedAt) < saveRetry {
		return !s.failedAt.After(s.loadedAt)
	}
	time.Sleep(time.Until(s.loadedAt.Add(loadInterval)))
	s.loadedAt = time.Now()
	batch, err := s.store.Newest(context.WithoutCancel(ctx), platform.StreamsTopic)
	if err != nil {
		s.failedAt = time.Now()
		s.logger.Info("streams: cannot load", zap.Duration("took", time.Since(s.loadedAt)), zap.Error(err))
		return false
	}
	s.seenEra(batch.Era)
	list, expired := s.decode(time.Now(), batch.Records)
	s.recall(time.Now(), list)
	if saversOf(0, slices.Collect(maps.Keys(*s.vms.Load())))[0] == s.self.Name {
		s.keep(expired...)
	}
	s.logger.Info("streams: loaded", zap.Int("streams", len(list)), zap.Int("records", len(batch.Records)), zap.Int("expired", len(expired)),
		zap.Int64("era", batch.Era), zap.Int64("end", batch.Next), zap.Duration("took", time.Since(s.loadedAt)))
	return true
}

// decode decodes records of the streams topic. It also returns those that have expired, other
// than this VM's own.
func (s *streamSaver) decode(now time.Time, records []platform.Record) ([]origin.Stream, []writtenStreams) {
	var list []origin.Stream
	var expired []writtenStreams
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		streams, at, err := decodeStreams(now, r.Value)
		if err != nil {
			s.logger.Warn("streams: record is ignored", zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
			continue
		}
		if now.Sub(at) <= originLifetime {
			list = append(list, streams...)
		} else if !strings.HasPrefix(r.Key, fmt.Sprintf("%s/%d/", s.self.Name, s.self.Boot)) {
			expired = append(expired, writtenStreams{key: r.Key, expires: at.Add(originLifetime)})
		}
	}
	return list, expired
}
