package edge

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/credit"
	"github.com/tanagerlb/tanagerlb/pkg/call"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/cursor"
	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/platform"
)

// packet is a message between VMs, sent as one datagram. Exactly one field is set.
type packet struct {
	Probe        *probe            `msgpack:"p,omitempty"`
	SlotRequest  *slotRequest      `msgpack:"a,omitempty"`
	SlotReply    *slotReply        `msgpack:"v,omitempty"`
	FirstToken   *firstToken       `msgpack:"b,omitempty"`
	SlotRelease  *slotRelease      `msgpack:"e,omitempty"`
	SlotSilent   *slotSilent       `msgpack:"sl,omitempty"`
	Records      *forwardedRecords `msgpack:"l,omitempty"`
	CrashReport  *crashReport      `msgpack:"cr,omitempty"`
	BlockNotice  *blockNotice      `msgpack:"cb,omitempty"`
	ClearNotice  *clearNotice      `msgpack:"cc,omitempty"`
	CrashQuery   *crashQuery       `msgpack:"q,omitempty"`
	PaceRequest  *paceRequest      `msgpack:"t,omitempty"`
	PaceReply    *paceReply        `msgpack:"u,omitempty"`
	LimitNotice  *limitNotice      `msgpack:"m,omitempty"`
	DrainNotice  *drainNotice      `msgpack:"d,omitempty"`
	OriginNotice *originNotice     `msgpack:"on,omitempty"`
	OriginQuery  *originQuery      `msgpack:"oq,omitempty"`
	OriginReply  *originReply      `msgpack:"or,omitempty"`
	SaveStreams  *streamsToSave    `msgpack:"ss,omitempty"`
	StreamsSaved *streamsSaved     `msgpack:"sd,omitempty"`
	CreditAsked  *credit.Request   `msgpack:"ca,omitempty"`
	CreditReply  *credit.Reply     `msgpack:"cy,omitempty"`
}

// probe is a failure detector probe, or the reply to one. It carries membership
// gossip.
type probe struct {
	From     gossip.Update       `msgpack:"f"`
	Updates  []gossip.Update     `msgpack:"n,omitempty"`
	Reply    bool                `msgpack:"r,omitempty"` // this is the reply to a probe
	Uptime   time.Duration       `msgpack:"u,omitempty"` // for how long the sender has read the store without a failure; 0 if its last read failed
	ReadAge  time.Duration       `msgpack:"a,omitempty"` // time since its last read
	Turns    time.Duration       `msgpack:"t,omitempty"` // time since the first turn of the VMs that wait for records; see turn
	Warm     bool                `msgpack:"w,omitempty"` // the sender has seen whole answers of engines shortly before
	Proved   []crash.Fingerprint `msgpack:"p,omitempty"` // causes with which requests ran to their end at the sender
	Sent     time.Duration       `msgpack:"s,omitempty"` // when the probe was sent, as time since the boot of the sender's machine; 0 unless keys of organisations must be recent
	Echo     time.Duration       `msgpack:"e,omitempty"` // Sent of the probe that this one replies to
	Config   int64               `msgpack:"c,omitempty"` // version of the configuration in force at the sender; 0 unless keys of organisations must be recent
	Proof    *probeProof         `msgpack:"k,omitempty"` // how old the sender's knowledge of the operator topic is; nil if Echo is 0
	CutOff   bool                `msgpack:"x,omitempty"` // no probe of the sender has been answered lately; it owns no quotas
	Operator cursor.Position     `msgpack:"o"`           // newest era that the sender knows of, and the offset up to which it has read the operator topic
}

// probeProof is the newest proof.Point that the sender of a probe has of the operator topic.
type probeProof struct {
	Position cursor.Position `msgpack:"p"`
	Age      time.Duration   `msgpack:"a"`
}

// slotRequest asks the holder of an engine for a slot. Times are sent as remaining
// durations, since the clocks of VMs differ.
type slotRequest struct {
	Engine        string        `msgpack:"e"`
	ID            string        `msgpack:"i"`
	Model         string        `msgpack:"m,omitempty"`
	Adapter       string        `msgpack:"a,omitempty"`
	PromptTokens  int           `msgpack:"p"`
	MaxTokens     int           `msgpack:"o"` // maximum number of tokens to generate
	PromptParts   []call.Part   `msgpack:"s,omitempty"`
	Urgency       int           `msgpack:"u,omitempty"`
	Objective     time.Duration `msgpack:"t"`           // time until the first token is due
	UsefulUntil   time.Duration `msgpack:"n"`           // time after which a first token is useless
	Deadline      time.Duration `msgpack:"d"`           // time after which the whole response is useless
	MayQueue      bool          `msgpack:"l,omitempty"` // no better engine is known; the request may be queued
	FirstChoice   bool          `msgpack:"f,omitempty"` // this is the first engine asked for the request
	Spread        int           `msgpack:"w,omitempty"` // number of engines across which the sender spreads the adapter's requests
	NewestVersion int64         `msgpack:"v,omitempty"` // newest version of the adapter that the sender knows of
}

// slotReply is a holder's reply to a slotRequest: the slot is granted, the request
// is queued, or Reason tells why it is refused.
type slotReply struct {
	ID             string        `msgpack:"i"`
	Granted        bool          `msgpack:"g,omitempty"`
	Queued         bool          `msgpack:"q,omitempty"` // not final: another reply follows
	Version        int64         `msgpack:"v,omitempty"`
	Reason         engine.Reason `msgpack:"r,omitempty"`
	Wait           time.Duration `msgpack:"w,omitempty"` // expected wait; see engine.Queued and engine.Refused
	LoadWait       time.Duration `msgpack:"c,omitempty"` // part of Wait that is spent on loading the adapter
	Engine         string        `msgpack:"e,omitempty"`
	FirstTokenWait time.Duration `msgpack:"l,omitempty"` // expected time to first token of a short prompt at the engine
	Spread         int           `msgpack:"s,omitempty"` // number of engines across which the adapter's requests should be spread
	Unread         int           `msgpack:"p,omitempty"` // tokens of the prompt that the engine does not hold, at least 1; 0 if not told, as for a prompt without shared parts
	Rate           float32       `msgpack:"x,omitempty"` // prompt tokens that the engine reads per millisecond
	Reserved       int           `msgpack:"k,omitempty"` // tokens of the engine's KV cache that running requests have reserved
}

// firstToken reports that the first token of a request arrived.
type firstToken struct {
	Engine  string        `msgpack:"e"`
	ID      string        `msgpack:"i"`
	Elapsed time.Duration `msgpack:"a"` // time since the request was sent
}

// slotSilent tells that the engine does not acknowledge a request that has a slot.
type slotSilent struct {
	Engine string `msgpack:"e"`
	ID     string `msgpack:"i"`
}

// slotRelease frees the slot of a request, or withdraws a request that is queued.
type slotRelease struct {
	Engine  string         `msgpack:"e"`
	ID      string         `msgpack:"i"`
	Outcome engine.Outcome `msgpack:"o,omitempty"`
}

// forwardedRecords carries the records of a topic that were read in an era, with the offsets From
// (inclusive) to Next (exclusive), so that not every VM must read them from the
// store. For the upstreams topic, it has only the records that differ
// from the ones before them.
type forwardedRecords struct {
	Topic     platform.Topic    `msgpack:"t"`
	Era       int64             `msgpack:"e,omitempty"`
	From      int64             `msgpack:"f"`
	Next      int64             `msgpack:"n"`
	Recovered bool              `msgpack:"a,omitempty"` // earlier reads of the sender had failed
	Grace     time.Duration     `msgpack:"g,omitempty"` // how long upstreams whose entries are gone have to register again
	Age       time.Duration     `msgpack:"d,omitempty"` // time since the start of the read
	Relayed   bool              `msgpack:"l,omitempty"` // another VM than the one that read them sends them
	Records   []platform.Record `msgpack:"r,omitempty"`
}

// drainNotice tells a VM that has started which upstreams are draining. The store may have
// older entries of them, if it has come back from a copy.
type drainNotice struct {
	Upstreams []drainingUpstream `msgpack:"u"`
}

type drainingUpstream struct {
	ID        string `msgpack:"i"`
	StartTime int64  `msgpack:"b"`
}

func newSlotReply(id string, d engine.Decision) *slotReply {
	switch d := d.(type) {
	case engine.Admitted:
		return &slotReply{ID: id, Granted: true, Version: d.Version}
	case engine.Queued:
		return &slotReply{ID: id, Queued: true, Wait: d.Wait}
	case engine.Refused:
		return &slotReply{ID: id, Reason: d.Reason, Wait: d.Wait, LoadWait: d.LoadWait}
	default:
		return &slotReply{ID: id, Reason: engine.Closed}
	}
}

// packetBytes bounds the size of a datagram, to avoid IP fragmentation.
const packetBytes = 1400

// decode decodes what another process has encoded by msgpack. It first checks that all elements that
// the data announces are there: the library allocates slices by their announced length.
func decode(data []byte, to any) error {
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
		return fmt.Errorf("incomplete message: %w", err)
	}
	if err := msgpack.Unmarshal(data, to); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// transport sends and receives packets over UDP.
type transport struct {
	conn   *net.UDPConn
	logger *zap.Logger
}

func listen(address netip.AddrPort, logger *zap.Logger) (*transport, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &transport{conn: conn, logger: logger}, nil
}

// send sends a packet. Errors are only logged, as a datagram may be lost anyway.
func (t *transport) send(to netip.AddrPort, p packet) {
	data, err := msgpack.Marshal(p)
	if err != nil {
		t.logger.Error("peer: cannot encode a packet", zap.Error(err))
		return
	}
	if _, err := t.conn.WriteToUDPAddrPort(data, to); err != nil {
		t.logger.Debug("peer: cannot send a packet", zap.Stringer("to", to), zap.Error(err))
	}
}

// receive waits for a packet and returns it. It skips malformed packets.
func (t *transport) receive() (netip.AddrPort, packet, error) {
	buffer := make([]byte, 2*packetBytes)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return from, packet{}, fmt.Errorf("receive from peers: %w", err)
		}
		var p packet
		if err := decode(buffer[:n], &p); err != nil {
			t.logger.Debug("peer: dropped a malformed packet", zap.Stringer("from", from), zap.Error(err))
			continue
		}
		return netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), p, nil
	}
}
