// Package daemon provides a whole VM: it joins the control thread, the
// interfaces and the clients of the outside systems.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/config"
	"github.com/tanagerlb/tanagerlb/internal/ctrl"
	"github.com/tanagerlb/tanagerlb/internal/entry"
	"github.com/tanagerlb/tanagerlb/internal/front"
	"github.com/tanagerlb/tanagerlb/internal/infer"
	"github.com/tanagerlb/tanagerlb/internal/keeper"
	"github.com/tanagerlb/tanagerlb/internal/logs"
	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/internal/oper"
	"github.com/tanagerlb/tanagerlb/internal/owner"
	"github.com/tanagerlb/tanagerlb/internal/peer"
	"github.com/tanagerlb/tanagerlb/internal/plain"
	"github.com/tanagerlb/tanagerlb/internal/vms"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/retry"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
)

const (
	headerTimeout = 5 * time.Second // for a request's headers
	idleTimeout   = time.Minute     // of a caller's connection
	maxHeader     = 16 << 10        // bytes of a request's headers
	orderTimeout  = time.Second     // of engine reports and unloads

	minLoadTimeout = time.Second
	loadSlack      = 5               // times the expected time of a load, that one may take
	permitMargin   = time.Second / 2 // by which a permit outlasts the bound of a load
	dialTimeout    = time.Second     // for connecting to a plain service
	retryPause     = 20 * time.Millisecond
	retryLongest   = 400 * time.Millisecond
	retryBurst     = 20          // retries saved up
	retryNames     = 10_000      // callers and services whose budgets are kept
	lingerMore     = time.Second // beyond the lifetime of address answers
	settlePause    = 100 * time.Millisecond
)

// loadTimeout bounds a load by its expected time.
func loadTimeout(expected time.Duration) time.Duration {
	return max(minLoadTimeout, loadSlack*expected)
}

// Daemon is a running VM.
type Daemon struct {
	settings config.Settings
	logger   *zap.Logger
	control  *ctrl.Loop
	entry    *entry.Entry
	pool     *peer.Pool
	peers    *peer.Server
	callers  *server
	operator *server
	cancel   context.CancelFunc
	left     chan struct{}
	leftOnce sync.Once
}

// Start starts a VM.
func Start(settings config.Settings, logger *zap.Logger) (*Daemon, error) {
	boot, err := newBoot()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{settings: settings, logger: logger, cancel: cancel, left: make(chan struct{})}
	if err := d.start(ctx, boot); err != nil {
		d.Close()
		return nil, err
	}
	logger.Info("vm: started", zap.String("vm", settings.VM), zap.String("boot", boot))
	return d, nil
}

// newBoot returns the name of a new incarnation.
func newBoot() (string, error) {
	raw := make([]byte, 8)
	if _, err := rand.Read(raw); err != nil {
		return "", fmt.Errorf("name the incarnation: %w", err)
	}
	return hex.EncodeToString(raw), nil
}

func (d *Daemon) start(ctx context.Context, boot string) error {
	s := d.settings
	metrics := metric.New()
	d.pool = peer.NewPool(peer.PoolConfig{Silence: s.Limits.Silence})
	engines := infer.NewClient(infer.Config{Silence: s.Limits.Silence, Load: loadTimeout(s.Store.Load), Order: orderTimeout})
	services := plain.NewClient(plain.Config{Dial: dialTimeout})
	self := member.VM{Name: s.VM, Boot: boot, Zone: s.Zone, Caller: s.Caller, Peer: s.Peer}
	d.control = ctrl.New(ctrl.Config{
		Node:    nodeConfig(s, self),
		Log:     logs.NewClient(logs.Config{Address: s.Log.Address, Timeout: s.Log.Timeout}),
		Group:   s.Log.Group,
		Wait:    s.Log.Wait,
		Peers:   d.pool,
		Engines: engines,
		Metrics: metrics,
		Logger:  d.logger,
		Left:    func() { d.leftOnce.Do(func() { close(d.left) }) },
	})
	own := owner.New(owner.Config{Control: d.control, Engines: engines, Metrics: metrics})
	keep := keeper.New(keeper.Config{Control: d.control, Services: services, Metrics: metrics})
	d.entry = entry.New(entry.Config{
		View:     d.control.View,
		Place:    d.control.Place,
		Peers:    d.pool,
		Owner:    own,
		Keeper:   keep,
		Services: services,
		Metrics:  metrics,
		Retry: retry.Config{
			MaxAttempts: s.Limits.Attempts,
			Ratio:       s.Limits.Retries,
			Burst:       retryBurst,
			Backoff:     retryPause,
			MaxBackoff:  retryLongest,
			MaxNames:    retryNames,
		},
		Streams: s.Keys.Partitions,
		Boot:    boot,
	})
	d.control.Start(ctx, keep)
	if err := d.listen(own, keep, metrics); err != nil {
		return err
	}
	vms.Watch(ctx, vms.Config{
		Address: s.List.Address,
		Every:   s.List.Every,
		Sink:    func(list []member.Listed) { d.control.Post(node.ListRead{VMs: list}) },
		Failed: func(err error) {
			metrics.DependencyFailed("list")
			d.logger.Debug("list: request failed", zap.Error(err))
		},
	})
	return nil
}

func (d *Daemon) listen(own *owner.Owner, keep *keeper.Keeper, metrics *metric.Set) error {
	s := d.settings
	var err error
	d.peers, err = peer.Listen(peer.ServerConfig{
		Address: s.PeerListen(),
		Control: d.control,
		Owner:   own,
		Keeper:  keep,
		NewID:   d.entry.NewID,
	})
	if err != nil {
		return err
	}
	handler := oper.Handler(oper.Config{Control: d.control, Metrics: metrics, Bases: s.Bases, NewID: d.entry.NewID})
	if d.operator, err = listen(s.Operator, handler); err != nil {
		return err
	}
	handler = front.Handler(front.Config{
		Entry:   d.entry,
		View:    d.control.View,
		TTL:     s.Limits.TTL,
		Calls:   s.Limits.Calls,
		Metrics: metrics,
	})
	d.callers, err = listen(s.CallerListen(), handler)
	return err
}

func nodeConfig(s config.Settings, self member.VM) node.Config {
	timing := node.Defaults()
	timing.Retain = s.Log.Retain
	timing.Queue = s.Limits.Queue
	timing.PermitOK = loadTimeout(s.Store.Load) + permitMargin
	return node.Config{
		Self:    self,
		Bases:   s.Bases,
		Weights: slots.Weights{Stall: s.Weights.Stall, Batch: s.Weights.Batch},
		Store:   node.Store{Rate: s.Store.Rate, Most: s.Store.Most, Load: s.Store.Load},
		Keys: node.Keys{
			Partitions: s.Keys.Partitions,
			Life:       s.Keys.Life,
			Skew:       s.Keys.Skew,
			Most:       s.Keys.Most,
			Keep:       s.Keys.Keep,
		},
		Timing: timing,
	}
}

// Ready tells whether the VM can serve callers.
func (d *Daemon) Ready() bool { return d.control.View().Ready }

// Shutdown leaves gracefully: it takes no new work, hands over its engines and
// keys, finishes what runs, and stops. It gives up when ctx is done.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.logger.Info("vm: leaving")
	d.control.Post(node.Leave{})
	linger := time.Now().Add(d.settings.Limits.TTL + lingerMore)
	var err error
	select {
	case <-d.left:
	case <-ctx.Done():
		err = fmt.Errorf("leave: %w", ctx.Err())
	}
	for err == nil && (d.entry.Active() > 0 || time.Now().Before(linger)) {
		select {
		case <-ctx.Done():
			err = fmt.Errorf("leave with %d calls: %w", d.entry.Active(), ctx.Err())
		case <-time.After(settlePause):
		}
	}
	err = errors.Join(err, d.callers.http.Shutdown(ctx))
	d.peers.Shutdown(ctx)
	d.Close()
	d.logger.Info("vm: left", zap.Error(err))
	return err
}

// Close stops at once and cuts all connections.
func (d *Daemon) Close() {
	d.cancel()
	if d.callers != nil {
		_ = d.callers.http.Close()
	}
	if d.operator != nil {
		_ = d.operator.http.Close()
	}
	if d.peers != nil {
		d.peers.Close()
	}
	d.pool.Close()
}

// server serves an HTTP interface.
type server struct {
	http     *http.Server
	listener net.Listener
}

func listen(address netip.AddrPort, handler http.Handler) (*server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &server{listener: listener, http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}}
	go s.run()
	return s, nil
}

func (s *server) run() { _ = s.http.Serve(s.listener) }
