// Package peer provides the client and the server of the gRPC protocol between
// the entry VMs that run `tanagerlb serve`.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/tanagerlb/tanagerlb/internal/ctrl"
	"github.com/tanagerlb/tanagerlb/internal/keeper"
	"github.com/tanagerlb/tanagerlb/internal/owner"
	"github.com/tanagerlb/tanagerlb/internal/peer/peerpb"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/place"
	"github.com/tanagerlb/tanagerlb/pkg/record"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// PeerTimeout is the reason of a failed model call if the VM that owns the engine
// could not be reached or sent no message for PoolConfig.MessageTimeout, or if the
// connection broke.
const PeerTimeout node.Reason = "peer-silent"

// maxMessage is the maximum size of a message received from another VM, in bytes.
const maxMessage = 32 << 20

// Pool sends requests to the other VMs. It keeps one connection to each VM that
// it has sent a request to.
type Pool struct {
	mu          sync.Mutex
	connections map[netip.AddrPort]*grpc.ClientConn
	timeout     time.Duration // maximum time without a message during a model call
}

// PoolConfig holds the settings of a Pool.
type PoolConfig struct {
	MessageTimeout time.Duration // maximum time without a message during a model call
}

// NewPool returns a Pool without connections.
func NewPool(c PoolConfig) *Pool {
	return &Pool{connections: map[netip.AddrPort]*grpc.ClientConn{}, timeout: c.MessageTimeout}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.connections {
		_ = c.Close()
		delete(p.connections, address)
	}
}

func dial(address netip.AddrPort) (*grpc.ClientConn, error) {
	c, err := grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithDisableRetry(),
	)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", address, err)
	}
	return c, nil
}

func (p *Pool) client(address netip.AddrPort) (peerpb.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.connections[address]
	if !ok {
		var err error
		if c, err = dial(address); err != nil {
			return nil, err
		}
		p.connections[address] = c
	}
	return peerpb.NewPeerClient(c), nil
}

// replace sets the connection to an address and closes the previous connection, if
// any.
func (p *Pool) replace(address netip.AddrPort, fresh *grpc.ClientConn) {
	p.mu.Lock()
	old, ok := p.connections[address]
	p.connections[address] = fresh
	p.mu.Unlock()
	if ok {
		_ = old.Close()
	}
}

// Probe sends a heartbeat to a VM and returns the VM's own heartbeat, which is the
// answer. If fresh is set, Probe opens a new connection. If the VM answers, the new
// connection replaces the one in the pool.
func (p *Pool) Probe(ctx context.Context, vm member.VM, self ctrl.Heartbeat, fresh bool) (node.PeerHeartbeat, error) {
	request := encodeHeartbeat(self)
	if !fresh {
		client, err := p.client(vm.Peer)
		if err != nil {
			return node.PeerHeartbeat{}, err
		}
		return probe(ctx, client, request)
	}
	connection, err := dial(vm.Peer)
	if err != nil {
		return node.PeerHeartbeat{}, err
	}
	heartbeat, err := probe(ctx, peerpb.NewPeerClient(connection), request)
	if err != nil {
		_ = connection.Close()
		return node.PeerHeartbeat{}, err
	}
	p.replace(vm.Peer, connection)
	return heartbeat, nil
}

func probe(ctx context.Context, client peerpb.PeerClient, request *peerpb.Sign) (node.PeerHeartbeat, error) {
	reply, err := client.Probe(ctx, request)
	if err != nil {
		return node.PeerHeartbeat{}, fmt.Errorf("probe peer: %w", err)
	}
	return decodeHeartbeat(reply)
}

// FetchDocuments fetches from a VM the log records of service documents that are
// newer than those of this VM. The map have holds the versions of this VM's
// documents, by service.
func (p *Pool) FetchDocuments(ctx context.Context, vm member.VM, have map[string]int64) ([]record.Record, error) {
	client, err := p.client(vm.Peer)
	if err != nil {
		return nil, err
	}
	reply, err := client.Lend(ctx, &peerpb.LendRequest{Have: have})
	if err != nil {
		return nil, fmt.Errorf("fetch documents from %s: %w", vm.Name, err)
	}
	var records []record.Record
	for _, r := range reply.GetRecords() {
		records = append(records, record.Record{Offset: r.GetOffset(), Data: r.GetData()})
	}
	return records, nil
}

// RequestPermit requests a load permit from a VM and reports whether the permit was
// granted. The VM must be the granter, that is, the VM that limits loads from the
// weight store.
func (p *Pool) RequestPermit(ctx context.Context, vm member.VM, request permit.Request) (bool, error) {
	client, err := p.client(vm.Peer)
	if err != nil {
		return false, err
	}
	reply, err := client.Permit(ctx, &peerpb.PermitRequest{
		Vm:     request.VM,
		Id:     request.Name,
		Weight: request.Weight,
	})
	if err != nil {
		return false, fmt.Errorf("request a permit from %s: %w", vm.Name, err)
	}
	return reply.GetGranted(), nil
}

// ReleasePermit releases a load permit, or cancels the request if the permit is not
// granted yet.
func (p *Pool) ReleasePermit(ctx context.Context, vm member.VM, id permit.ID) error {
	client, err := p.client(vm.Peer)
	if err != nil {
		return err
	}
	if _, err := client.Permit(ctx, &peerpb.PermitRequest{Vm: id.VM, Id: id.Name, Release: true}); err != nil {
		return fmt.Errorf("release a permit at %s: %w", vm.Name, err)
	}
	return nil
}

// Place asks a VM to choose the engine for a request. The VM must be the directory
// of the request's adapter, that is, the VM that chooses the engines for this
// adapter.
func (p *Pool) Place(ctx context.Context, vm member.VM, request node.PlaceRequested) (node.Placed, error) {
	client, err := p.client(vm.Peer)
	if err != nil {
		return node.Placed{}, err
	}
	reply, err := client.Place(ctx, &peerpb.PlaceRequest{
		Id:      request.ID,
		Service: request.Service,
		Adapter: request.Adapter.Name,
		Version: request.Adapter.Version,
		Tried:   request.Tried,
	})
	if err != nil {
		return node.Placed{}, fmt.Errorf("request an engine from %s: %w", vm.Name, err)
	}
	if reply.GetEngine() == "" {
		return node.Placed{ID: request.ID}, nil
	}
	owner, err := decodeVM(reply.GetOwner())
	return node.Placed{ID: request.ID, Engine: reply.GetEngine(), ExpectedRate: reply.GetDemand(), Owner: owner}, err
}

// Bids requests bids on an adapter from the VM that owns the given engines. It
// returns one bid for each engine that can take requests. A bid states the cost of
// taking the adapter and how busy the engine is.
func (p *Pool) Bids(ctx context.Context, owner node.BidOwner, a spec.Adapter) ([]place.Bid, error) {
	client, err := p.client(owner.VM.Peer)
	if err != nil {
		return nil, err
	}
	reply, err := client.Bid(ctx, &peerpb.BidRequest{Adapter: a.Name, Version: a.Version, Engines: owner.Engines})
	if err != nil {
		return nil, fmt.Errorf("request bids from %s: %w", owner.VM.Name, err)
	}
	return decodeBids(reply.GetBids()), nil
}

// NotifyEvicted tells an adapter's directory, the VM given as vm, that an engine is
// unloading the adapter.
func (p *Pool) NotifyEvicted(ctx context.Context, vm member.VM, e node.Evicted) error {
	client, err := p.client(vm.Peer)
	if err != nil {
		return err
	}
	request := &peerpb.EvictedRequest{Service: e.Service, Adapter: e.Adapter.Name, Version: e.Adapter.Version, Engine: e.Engine}
	if _, err := client.Evicted(ctx, request); err != nil {
		return fmt.Errorf("notify %s of an eviction: %w", vm.Name, err)
	}
	return nil
}

// Complete runs a model call at the VM that owns the engine. If that VM sends no
// message for PoolConfig.MessageTimeout, the call fails with PeerTimeout.
func (p *Pool) Complete(ctx context.Context, vm member.VM, r owner.Request, sink owner.Sink) owner.Result {
	client, err := p.client(vm.Peer)
	if err != nil {
		return owner.Result{Reason: PeerTimeout}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Complete(ctx, encodeRequest(time.Now(), r))
	if err != nil {
		return owner.Result{Reason: PeerTimeout}
	}
	return p.receive(cancel, stream, sink)
}

// receive passes the events of a model call to the sink until the call ends. It
// calls cancel if no event arrives for the pool's timeout.
func (p *Pool) receive(cancel func(), stream peerpb.Peer_CompleteClient, sink owner.Sink) owner.Result {
	started := false
	watchdog := time.AfterFunc(p.timeout, cancel)
	defer watchdog.Stop()
	for {
		event, err := stream.Recv()
		if err != nil {
			return owner.Result{Reason: streamReason(err), Started: started}
		}
		switch e := event.GetEvent().(type) {
		case *peerpb.CompleteEvent_Started:
			started = true
			sink.Started()
		case *peerpb.CompleteEvent_Token:
			if err := sink.Token(int(e.Token.GetOffset()), e.Token.GetText()); err != nil {
				return owner.Result{Reason: owner.Canceled, Started: true}
			}
		case *peerpb.CompleteEvent_Done:
			return owner.Result{Tokens: int(e.Done.GetTokens()), Started: true}
		case *peerpb.CompleteEvent_Refused:
			after := time.Duration(e.Refused.GetRetryMs()) * time.Millisecond
			return owner.Result{Reason: node.Reason(e.Refused.GetReason()), RetryAfter: after, Started: e.Refused.GetRan()}
		}
		watchdog.Reset(p.timeout)
	}
}

// streamReason returns the reason for the failure of a call whose stream ended
// with err before its result arrived.
func streamReason(err error) node.Reason {
	if errors.Is(err, io.EOF) {
		return owner.AnswerIncomplete
	}
	return PeerTimeout
}

// Invoke runs a call with an idempotency key at the VM that keeps the key. The call
// may have run even if Invoke returns an error.
func (p *Pool) Invoke(ctx context.Context, vm member.VM, r keeper.Request) (keys.Answer, error) {
	client, err := p.client(vm.Peer)
	if err != nil {
		return keys.Answer{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(time.Second))
	defer cancel()
	reply, err := client.Invoke(ctx, &peerpb.InvokeRequest{
		Service:  r.Service,
		Call:     r.Call,
		Key:      r.Key.Text,
		Body:     r.Body,
		Print:    r.Fingerprint,
		First:    r.FirstAttempt,
		BudgetMs: time.Until(r.Deadline).Milliseconds(),
	})
	if err != nil {
		return keys.Answer{}, fmt.Errorf("invoke at %s: %w", vm.Name, err)
	}
	return keys.Answer{
		ID:         r.ID,
		Outcome:    keys.Outcome(reply.GetOutcome()),
		Reason:     keys.Reason(reply.GetReason()),
		Reply:      keys.Reply{Status: int(reply.GetStatus()), Body: reply.GetBody()},
		Replayed:   reply.GetRepeated(),
		RetryAfter: time.Duration(reply.GetRetryMs()) * time.Millisecond,
	}, nil
}
