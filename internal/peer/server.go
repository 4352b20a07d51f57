package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/tanagerlb/tanagerlb/internal/ctrl"
	"github.com/tanagerlb/tanagerlb/internal/keeper"
	"github.com/tanagerlb/tanagerlb/internal/owner"
	"github.com/tanagerlb/tanagerlb/internal/peer/peerpb"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/record"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// permitWait is how long the granter of load permits waits for a permit to become
// free before it answers that none was granted.
const permitWait = 650 * time.Millisecond

// keepaliveInterval is the time between two keepalive messages that are sent during
// a model call.
const keepaliveInterval = 300 * time.Millisecond

// Limits of requests from peers.
const (
	maxRequest     = 2 << 20         // bytes of a request
	maxStreams     = 4096            // concurrent requests on a connection
	maxHeader      = 16 << 10        // bytes of the headers of a request
	connectTimeout = 5 * time.Second // for the handshake of a connection
)

// ServerConfig holds the address and the dependencies of a Server.
type ServerConfig struct {
	Address netip.AddrPort
	Control *ctrl.Loop
	Owner   *owner.Owner
	Keeper  *keeper.Keeper
	NewID   func() string // returns an ID that is unique among all calls
}

// Server implements the gRPC service that the other VMs call.
type Server struct {
	peerpb.UnimplementedPeerServer
	config   ServerConfig
	grpc     *grpc.Server
	listener net.Listener
}

// Listen opens the listener and starts a Server in the background.
func Listen(c ServerConfig) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", c.Address.String())
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", c.Address, err)
	}
	s := &Server{config: c, listener: listener}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxRequest),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxHeader),
		grpc.ConnectionTimeout(connectTimeout),
	)
	peerpb.RegisterPeerServer(s.grpc, s)
	go s.run()
	return s, nil
}

func (s *Server) run() { _ = s.grpc.Serve(s.listener) }

// Shutdown accepts no further requests and waits until the requests in progress are
// complete. When ctx is done, it aborts the requests that are still in progress.
func (s *Server) Shutdown(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.grpc.Stop)
	defer stop()
	s.grpc.GracefulStop()
}

// Close closes all connections and aborts the requests in progress.
func (s *Server) Close() { s.grpc.Stop() }

// Probe handles the heartbeat of a peer and answers with this VM's heartbeat.
// Sign is the heartbeat message in the protocol between VMs (see peer.proto).
func (s *Server) Probe(_ context.Context, r *peerpb.Sign) (*peerpb.Sign, error) {
	heartbeat, err := decodeHeartbeat(r)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	s.config.Control.Post(heartbeat)
	return encodeHeartbeat(s.config.Control.Heartbeat()), nil
}

// Lend returns the log records of the service documents that are newer than the
// peer's. A peer asks for them if it cannot read the log or lags behind it.
func (s *Server) Lend(_ context.Context, r *peerpb.LendRequest) (*peerpb.LendReply, error) {
	var records []record.Record
	var err error
	s.config.Control.Query(func(_ time.Time, n *node.Node) { records, err = n.NewerDocuments(r.GetHave()) })
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	reply := &peerpb.LendReply{}
	for _, newer := range records {
		reply.Records = append(reply.Records, &peerpb.LogRecord{Offset: newer.Offset, Data: newer.Data})
	}
	return reply, nil
}

// Permit handles a peer's request for a load permit, or the release of a permit. A
// request waits up to permitWait for a permit to become free.
func (s *Server) Permit(ctx context.Context, r *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	id := permit.ID{VM: r.GetVm(), Name: r.GetId()}
	if r.GetRelease() {
		s.config.Control.Post(node.PermitReleased{ID: id})
		return &peerpb.PermitReply{}, nil
	}
	request := permit.Request{ID: id, Weight: r.GetWeight()}
	granted := s.config.Control.Ask(ctrl.PermitID(id), node.PermitRequested{Request: request})
	timer := time.NewTimer(permitWait)
	defer timer.Stop()
	select {
	case <-granted:
		return &peerpb.PermitReply{Granted: true}, nil
	case <-timer.C:
		return &peerpb.PermitReply{}, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// Place chooses the engine for a request. This VM must be the directory of the
// request's adapter, that is, the VM that chooses the engines for this adapter. The
// reply is empty if no engine can take the request.
func (s *Server) Place(ctx context.Context, r *peerpb.PlaceRequest) (*peerpb.PlaceReply, error) {
	placed, err := s.config.Control.Place(ctx, node.PlaceRequested{
		ID:      r.GetId(),
		Service: r.GetService(),
		Adapter: spec.Adapter{Name: r.GetAdapter(), Version: r.GetVersion()},
		Tried:   r.GetTried(),
	})
	if err != nil {
		return nil, status.FromContextError(err).Err()
	}
	if placed.Engine == "" {
		return &peerpb.PlaceReply{}, nil
	}
	return &peerpb.PlaceReply{Engine: placed.Engine, Demand: placed.ExpectedRate, Owner: encodeVM(placed.Owner, false)}, nil
}

// Bid returns the bids on an adapter for the requested engines. Engines that this
// VM does not own or that cannot take requests are left out.
func (s *Server) Bid(_ context.Context, r *peerpb.BidRequest) (*peerpb.BidReply, error) {
	adapter := spec.Adapter{Name: r.GetAdapter(), Version: r.GetVersion()}
	return &peerpb.BidReply{Bids: encodeBids(s.config.Control.Bids(adapter, r.GetEngines()))}, nil
}

// Evicted handles a peer's notice that an engine unloads an adapter. The peer sends
// the notice to the directory of the adapter, which is this VM.
func (s *Server) Evicted(_ context.Context, r *peerpb.EvictedRequest) (*peerpb.EvictedReply, error) {
	s.config.Control.Post(node.Evicted{
		Service: r.GetService(),
		Adapter: spec.Adapter{Name: r.GetAdapter(), Version: r.GetVersion()},
		Engine:  r.GetEngine(),
	})
	return &peerpb.EvictedReply{}, nil
}

// Complete runs a model call on an engine that this VM owns, and streams the
// tokens and the result to the peer.
func (s *Server) Complete(w *peerpb.CompleteRequest, stream peerpb.Peer_CompleteServer) error {
	r := decodeRequest(time.Now(), w)
	ctx, cancel := context.WithDeadline(stream.Context(), r.Deadline)
	defer cancel()
	sink := &streamSink{stream: stream}
	go sink.keepalive(ctx)
	result := s.config.Owner.Complete(ctx, r, sink)
	if result.Reason == "" {
		return sink.send(&peerpb.CompleteEvent{Event: &peerpb.CompleteEvent_Done{
			Done: &peerpb.Done{Tokens: int32(result.Tokens)}, //nolint:gosec // bounded by the request
		}})
	}
	return sink.send(&peerpb.CompleteEvent{Event: &peerpb.CompleteEvent_Refused{Refused: &peerpb.Refused{
		Reason:  string(result.Reason),
		RetryMs: result.RetryAfter.Milliseconds(),
		Ran:     result.Started,
	}}})
}

// streamSink implements owner.Sink. It sends the tokens of a call to the peer that
// requested the call.
type streamSink struct {
	stream peerpb.Peer_CompleteServer
	mu     sync.Mutex // guards ended, err and stream.Send
	ended  bool       // the last event was sent
	err    error      // first error of sending
}

func (s *streamSink) send(event *peerpb.CompleteEvent) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.err != nil {
		return s.err
	}
	s.err = s.stream.Send(event)
	s.ended = isLast(event)
	return s.err
}

// isLast reports whether an event is the last of its call.
func isLast(event *peerpb.CompleteEvent) bool {
	switch event.GetEvent().(type) {
	case *peerpb.CompleteEvent_Done, *peerpb.CompleteEvent_Refused:
		return true
	default:
		return false
	}
}

// keepalive sends keepalive messages until ctx is done. They show the peer that the
// connection is not broken while the call waits.
func (s *streamSink) keepalive(ctx context.Context) {
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = s.send(&peerpb.CompleteEvent{Event: &peerpb.CompleteEvent_Alive{Alive: &peerpb.Alive{}}})
		}
	}
}

// Started notifies the peer that the request is about to be sent to the engine.
func (s *streamSink) Started() {
	_ = s.send(&peerpb.CompleteEvent{Event: &peerpb.CompleteEvent_Started{Started: &peerpb.Started{}}})
}

// Token sends a token and its offset in the answer to the peer.
func (s *streamSink) Token(offset int, text string) error {
	token := &peerpb.Token{Offset: int32(offset), Text: text} //nolint:gosec // bounded by the request
	return s.send(&peerpb.CompleteEvent{Event: &peerpb.CompleteEvent_Token{Token: token}})
}

// Invoke runs a call with an idempotency key that this VM keeps. Package keeper
// ensures that the call of each key runs at most once.
func (s *Server) Invoke(ctx context.Context, w *peerpb.InvokeRequest) (*peerpb.InvokeReply, error) {
	key, err := keys.Parse(w.GetKey())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	answer := s.config.Keeper.Invoke(ctx, keeper.Request{
		ID:           s.config.NewID(),
		Service:      w.GetService(),
		Call:         w.GetCall(),
		Key:          key,
		Body:         w.GetBody(),
		Fingerprint:  w.GetPrint(),
		FirstAttempt: w.GetFirst(),
		Deadline:     time.Now().Add(time.Duration(w.GetBudgetMs()) * time.Millisecond),
	})
	return &peerpb.InvokeReply{
		Outcome:  string(answer.Outcome),
		Reason:   string(answer.Reason),
		RetryMs:  answer.RetryAfter.Milliseconds(),
		Status:   int32(answer.Reply.Status), //nolint:gosec // an HTTP status
		Body:     answer.Reply.Body,
		Repeated: answer.Replayed,
	}, nil
}
