// Package daemon implements the process that `tanagerlb serve` runs on each VM;
// package edge does so for `tanagerlb edge`. It connects the control loop, the
// network interfaces and the clients of the external services.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
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
	"github.com/tanagerlb/tanagerlb/internal/limit"
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
	headerTimeout = 5 * time.Second // limit for reading a request's headers
	idleTimeout   = time.Minute     // limit for an idle connection of a caller or operator
	maxHeader     = 16 << 10        // maximum size of a request's headers, in bytes
	engineTimeout = time.Second     // limit for reading an engine's status report, and for unloading an adapter

	minLoadTimeout    = time.Second
	loadTimeoutFactor = 5               // timeout of an adapter load as a multiple of its expected time
	permitMargin      = time.Second / 2 // time by which a load permit outlasts the timeout of the load
	dialTimeout       = time.Second     // limit for connecting to a plain service
	firstRetryPause   = 20 * time.Millisecond
	maxRetryPause     = 400 * time.Millisecond
	retryWindow       = 10 * time.Second // time for which the settings limit retries
	maxRetryBudgets   = 10_000           // maximum callers and services with a retry budget in memory
	lingerMargin      = time.Second      // a leaving VM answers for Limits.AddressTTL plus this margin, as callers may have its address cached
	drainPoll         = 100 * time.Millisecond
)

// loadTimeout returns the timeout of an adapter load, given its expected time.
func loadTimeout(expected time.Duration) time.Duration {
	return max(minLoadTimeout, loadTimeoutFactor*expected)
}

// Daemon is a running VM: its control loop, servers and connections.
type Daemon struct {
	settings     config.Settings
	logger       *zap.Logger
	control      *ctrl.Loop
	entry        *entry.Entry
	pool         *peer.Pool
	peers        *peer.Server
	callers      *server
	operator     *server
	cancel       context.CancelFunc
	handedOver   chan struct{} // closed when the engines and keys have been handed over
	handoverOnce sync.Once
}

// Start starts a VM under a new incarnation ID, and returns once all its servers
// are listening. Use Ready to learn when the VM can serve callers.
func Start(settings config.Settings, logger *zap.Logger) (*Daemon, error) {
	boot, err := newBoot()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{settings: settings, logger: logger, cancel: cancel, handedOver: make(chan struct{})}
	if err := d.start(ctx, boot); err != nil {
		d.Close()
		return nil, err
	}
	logger.Info("vm: started", zap.String("vm", settings.VM), zap.String("boot", boot))
	return d, nil
}

// newBoot returns a random ID for this incarnation of the VM, that is, for this
// run of its process.
func newBoot() (string, error) {
	raw := make([]byte, 8)
	if _, err := rand.Read(raw); err != nil {
		return "", fmt.Errorf("generate incarnation ID: %w", err)
	}
	return hex.EncodeToString(raw), nil
}

func (d *Daemon) start(ctx context.Context, boot string) error {
	s := d.settings
	metrics := metric.New()
	d.pool = peer.NewPool(peer.PoolConfig{MessageTimeout: s.Limits.ProgressTimeout})
	engines := infer.NewClient(infer.Config{TokenTimeout: s.Limits.ProgressTimeout, LoadTimeout: loadTimeout(s.Store.LoadTime), RequestTimeout: engineTimeout})
	self := member.VM{Name: s.VM, Boot: boot, Zone: s.Zone, Caller: s.Caller, Peer: s.Peer}
	d.control = ctrl.New(ctrl.Config{
		Node:               nodeConfig(s, self),
		Log:                logs.NewClient(logs.Config{Address: s.Log.Address, Timeout: s.Log.Timeout}),
		AppendInterval:     s.Log.AppendInterval,
		ReadWait:           s.Log.ReadWait,
		Peers:              d.pool,
		Engines:            engines,
		Metrics:            metrics,
		Logger:             d.logger,
		OnShutdownComplete: func() { d.handoverOnce.Do(func() { close(d.handedOver) }) },
	})
	services := plain.NewWatcher(plain.NewClient(plain.Config{DialTimeout: dialTimeout}), d.control)
	engineOwner := owner.New(owner.Config{Control: d.control, Engines: engines, Metrics: metrics})
	keyKeeper := keeper.New(keeper.Config{Control: d.control, Services: services, Metrics: metrics})
	d.entry = entry.New(entry.Config{
		View:     d.control.View,
		Place:    d.control.Place,
		Peers:    d.pool,
		Owner:    engineOwner,
		Keeper:   keyKeeper,
		Services: services,
		Metrics:  metrics,
		Retry: retry.Config{
			MaxAttempts: s.Limits.MaxAttempts,
			Backoff:     firstRetryPause,
			MaxBackoff:  maxRetryPause,
			Phase:       mathrand.Float64(), //nolint:gosec // only spreads retries
			MaxNames:    maxRetryBudgets,
		},
		RetryLimit: retry.Limit{Ratio: s.Limits.RetryRatio, Slack: s.Limits.RetrySlack, Window: retryWindow},
		Partitions: s.Keys.Partitions,
		Boot:       boot,
	})
	d.control.Start(ctx, keyKeeper)
	if err := d.listen(engineOwner, keyKeeper, metrics); err != nil {
		return err
	}
	vms.Watch(ctx, vms.Config{
		Address:  s.VMList.Address,
		Interval: s.VMList.Interval,
		OnList:   func(list []member.ListEntry) { d.control.Post(node.VMListRead{VMs: list}) },
		OnError: func(err error) {
			metrics.DependencyFailed("list")
			d.logger.Debug("list: request failed", zap.Error(err))
		},
	})
	return nil
}

func (d *Daemon) listen(engineOwner *owner.Owner, keyKeeper *keeper.Keeper, metrics *metric.Set) error {
	s := d.settings
	var err error
	d.peers, err = peer.Listen(peer.ServerConfig{
		Address: s.PeerListen(),
		Control: d.control,
		Owner:   engineOwner,
		Keeper:  keyKeeper,
		NewID:   d.entry.NewID,
	})
	if err != nil {
		return err
	}
	machine := limit.Machine{MemoryBytes: int64(s.Limits.MemoryMb) << 20, Descriptors: s.Limits.Descriptors}
	machine.LimitRuntime()
	others := limit.New(limit.Config{Name: "others", Budget: machine.Others(), Metrics: metrics, Logger: d.logger})
	callers := limit.New(limit.Config{Name: "callers", Budget: machine.Callers(), Forwards: true, Metrics: metrics, Logger: d.logger})
	handler := oper.Handler(oper.Config{Control: d.control, Metrics: metrics, BaseModels: s.BaseModels, NewID: d.entry.NewID})
	if d.operator, err = listen(s.Operator, handler, others); err != nil {
		return err
	}
	handler = front.Handler(front.Config{
		Entry:      d.entry,
		View:       d.control.View,
		AddressTTL: s.Limits.AddressTTL,
		MaxCalls:   s.Limits.MaxCalls,
		Metrics:    metrics,
	})
	d.callers, err = listen(s.CallerListen(), handler, callers)
	return err
}

func nodeConfig(s config.Settings, self member.VM) node.Config {
	timing := node.Defaults()
	timing.LogRetention = s.Log.Retention
	timing.MaxQueue = s.Limits.MaxQueue
	timing.PermitTTL = loadTimeout(s.Store.LoadTime) + permitMargin
	return node.Config{
		Self:       self,
		BaseModels: s.BaseModels,
		Weights:    slots.Weights{Stall: s.Weights.Stall, Batch: s.Weights.Batch},
		Store:      node.Store{LoadRate: s.Store.LoadRate, MaxLoads: s.Store.MaxLoads, LoadTime: s.Store.LoadTime},
		Keys: node.Keys{
			Partitions:    s.Keys.Partitions,
			Lifetime:      s.Keys.Lifetime,
			MaxClockSkew:  s.Keys.MaxClockSkew,
			MaxKeys:       s.Keys.MaxKeys,
			MaxReplyBytes: s.Keys.MaxReplyBytes,
		},
		Timing: timing,
	}
}

// Ready reports whether the VM can serve callers.
func (d *Daemon) Ready() bool { return d.control.View().Ready }

// Shutdown stops the VM gracefully. The VM refuses new calls and hands over its
// engines and keys. It stops when the calls in progress have ended and callers
// no longer have its address cached. If ctx ends first, the remaining calls are
// cut off.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.logger.Info("vm: leaving")
	d.control.Post(node.Leave{})
	lingerUntil := time.Now().Add(d.settings.Limits.AddressTTL + lingerMargin)
	var err error
	select {
	case <-d.handedOver:
	case <-ctx.Done():
		err = fmt.Errorf("hand over engines and keys: %w", ctx.Err())
	}
	for err == nil && (d.entry.Active() > 0 || time.Now().Before(lingerUntil)) {
		select {
		case <-ctx.Done():
			err = fmt.Errorf("shut down with %d calls in progress: %w", d.entry.Active(), ctx.Err())
		case <-time.After(drainPoll):
		}
	}
	err = errors.Join(err, d.callers.http.Shutdown(ctx))
	d.peers.Shutdown(ctx)
	d.Close()
	d.logger.Info("vm: left", zap.Error(err))
	return err
}

// Close stops the VM at once and cuts all connections.
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

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

func listen(address netip.AddrPort, handler http.Handler, limiter *limit.Limiter) (*server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &server{http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}}
	s.listener = limiter.Protect(s.http, listener)
	go s.run()
	return s, nil
}

func (s *server) run() { _ = s.http.Serve(s.listener) }
