// Package edge implements an entry VM of the command `tanagerlb edge`, which runs
// on the users' platform. It wires together the control loop, the request path and
// the network interfaces. Packages ctrl and daemon do the same for `tanagerlb
// serve`.
//
// Each model engine is scheduled by one VM, its holder. A VM becomes the holder by
// appending a claim on the engine to the fleet topic of the platform's store.
package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/limit"
	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/fence"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/health"
	"github.com/tanagerlb/tanagerlb/pkg/loads"
	"github.com/tanagerlb/tanagerlb/pkg/retry"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
	"github.com/tanagerlb/tanagerlb/platform"
)

// Timeouts, intervals and sizes of the network interfaces and of the connections
// to the store, the engines and other upstreams.
const (
	storeTimeout        = 700 * time.Millisecond  // timeout of a call to the store
	orderTimeout        = 150 * time.Millisecond  // timeout of an order to an engine: some round trips and a scheduling pause of the VM
	longPoll            = 20 * time.Second        // longest time for which a read of the operator or fleet topic waits for new records
	turnShare           = 1.0 / 3                 // longest time without a read of the operator or fleet topic by any VM, as a share of Bounds.ConfigApply
	minTurn             = time.Second             // least such time, which bounds the calls to the store
	upstreamsPollShare  = 0.5                     // interval between reads of the upstreams topic, as a share of Bounds.Drain
	confirmPoll         = confirmTime / 3         // longest wait of a read for new fleet records if holders must confirm their claims; see confirmTime
	fleetInterval       = 1500 * time.Millisecond // interval between reads of the fleet topic, whose records come in bursts
	dialTimeout         = 400 * time.Millisecond  // timeout of a dial to an upstream: some round trips
	upstreamIdleTime    = 4 * time.Second         // idle timeout of a connection whose upstream announces none
	maxIdleConns        = 64                      // largest number of idle connections per upstream
	maxHeaderBytes      = 64 << 10                // largest header size that a configuration may allow
	maxOtherHeaderBytes = 16 << 10                // largest header size at the other ports
	maxHeaderTime       = 30 * time.Second        // longest header timeout that a configuration may allow
	maxIdleTime         = 2 * time.Minute         // longest idle timeout of a caller's connection that a configuration may allow
	eventBuffer         = 1024                    // capacity of the control loop's event channel
	directoryTTL        = 2 * time.Second         // time for which callers may cache a directory response
	lingerTime          = 3 * time.Second         // longest time for which a leaving VM still takes requests: callers may have cached an old directory response
	lingerShare         = 0.375                   // largest part of Bounds.Grace for the same; the rest is for requests in progress
	closeReserve        = 700 * time.Millisecond  // time before the end of Bounds.Grace at which requests in progress are answered
	closeShare          = 0.125                   // largest part of Bounds.Grace for the same
	answerTime          = 200 * time.Millisecond  // time in which these answers are written
	leaveInterval       = 20 * time.Millisecond   // interval at which a leaving VM closes connections that have become idle
)

// VM is a running entry VM: it serves callers' requests and schedules the engines
// that it holds.
type VM struct {
	settings  atomic.Pointer[platform.Settings]
	logger    *zap.Logger
	metrics   *metric.Set
	control   *control
	handler   *relay.Handler
	pool      *link.Pool
	transport *transport
	servers   []*http.Server
	callers   *http.Server
	listener  net.Listener   // of callers
	conns     *conns         // connections of callers
	room      *limit.Limiter // of what callers hold
	cancel    context.CancelFunc
}

// Start starts a VM, which runs until Shutdown or Close.
func Start(settings platform.Settings, logger *zap.Logger) (*VM, error) {
	ctx, cancel := context.WithCancel(context.Background())
	v := &VM{logger: logger, metrics: metric.New(), conns: newConns(), cancel: cancel}
	v.settings.Store(&settings)
	machine := limit.Machine(settings.Limits)
	machine.LimitRuntime()
	v.room = limit.New(limit.Config{Name: "callers", Budget: machine.Callers(), Forwards: true, Metrics: v.metrics, Logger: logger})
	if err := v.start(ctx); err != nil {
		v.Close()
		return nil, err
	}
	logger.Info("vm: started", zap.String("vm", settings.VM), zap.Int64("boot", v.control.self.Boot))
	return v, nil
}

func (v *VM) start(ctx context.Context) error {
	s := *v.settings.Load()
	peers, err := listen(s.Peer, v.logger)
	if err != nil {
		return err
	}
	v.transport = peers
	self := gossip.VM{Name: s.VM, Boot: time.Now().UnixMilli(), Zone: s.Zone, Peer: s.Peer, Caller: s.Caller}
	v.pool = link.NewPool(link.Config{DialTimeout: dialTimeout, IdleTimeout: upstreamIdleTime, MaxIdle: maxIdleConns}, v.metrics.ConnectionOpened)
	c := v.newControl(s, self, peers)
	v.control = c
	v.handler = relay.New(relay.Config{
		Zone: s.Zone, View: c.view.Load, Reserver: c.dispatcher, Pool: v.pool, Metrics: v.metrics, Logger: v.logger,
		Retries:      retry.Config{MaxAttempts: 2, Phase: rand.Float64(), MaxNames: 1000}, //nolint:gosec // only spreads retries
		CrashTracker: crashTracker{control: c}, Pacer: c.limits.pacer, Origins: c.origins, Leaving: c.reportLeaving, Fresh: c.fresh.await, Vouch: c.keyAge.vouch, Quotas: c.credit, HeadSize: limit.HeadSize, Hold: limit.Hold, Health: health.Config{MaxFailures: 3, Ejection: 500 * time.Millisecond, MaxEjection: 2 * time.Second, LocalLimit: 3},
	})
	if err := v.listen(); err != nil {
		return err
	}
	operator := v.feed(platform.OperatorTopic, longPoll, 0)
	turnInterval := max(minTurn, time.Duration(turnShare*float64(s.Bounds.ConfigApply)))
	operator.turnInterval = turnInterval
	operator.onProof = func(p operatorProof) { c.post(p) }
	fleet := v.feed(platform.FleetTopic, longPoll, fleetInterval)
	fleet.turnInterval = turnInterval
	if !s.Bounds.Fenced {
		fleet.wait, fleet.interval, fleet.confirmsClaims = confirmPoll, 0, true
	}
	upstreams := v.feed(platform.UpstreamsTopic, 0, upstreamsInterval(s.Bounds))
	c.feeds = map[platform.Topic]*feed{platform.OperatorTopic: operator, platform.FleetTopic: fleet, platform.UpstreamsTopic: upstreams}
	for _, f := range c.feeds {
		f.onUp = func() { c.readAgain(f) }
	}
	c.fresh.feed, c.origins.readSince = upstreams, c.fresh.awaitSince
	c.fresh.setBound(s.Bounds.Drain, upstreams.interval)
	go c.loop(ctx)
	go v.receiveLoop(ctx)
	go v.housekeepLoop(ctx)
	for _, f := range c.feeds {
		go f.loop(ctx)
	}
	go (&stateFetcher{vm: v, seeds: s.Seeds, port: s.Peer.Port(), http: c.peers}).run(ctx)
	go c.announce.run(ctx)
	go c.origins.saver.run(ctx)
	return nil
}

// defaultRetryLimit applies on a platform that states no limit on retries.
var defaultRetryLimit = retry.Limit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

// retryLimit returns the platform's limit on the retries of all VMs together.
func retryLimit(b platform.Bounds) retry.Limit {
	if b.RetryShare == 0 && b.RetrySlack == 0 {
		return defaultRetryLimit
	}
	return retry.Limit{Ratio: b.RetryShare, Slack: b.RetrySlack, Window: cmp.Or(b.RetryTime, defaultRetryLimit.Window)}
}

func (v *VM) newControl(s platform.Settings, self gossip.VM, peers *transport) *control {
	c := &control{
		settings: s, self: self, transport: peers, peers: newPeerClient(), metrics: v.metrics, logger: v.logger,
		store:   platform.NewStore(platform.StoreConfig{Address: s.Store, Timeout: storeTimeout}),
		engines: platform.NewEngineClient(platform.EngineConfig{Timeout: orderTimeout}),
		events:  make(chan event, eventBuffer),
		roster:  roster.New(), fence: fence.New(), versions: map[engine.Name]engine.Version{}, loadLimiters: map[string]*loads.Limiter{}, poison: newPoison(), newest: map[platform.Topic]map[string]platform.Record{}, held: map[string]*heldEngine{},
		fleetEnd: -1, turnsBegan: sinceBoot(), fetching: map[platform.Topic]bool{}, recent: newRecent(), storeEra: storeEra{topics: map[platform.Topic]int64{}}, closeIdle: v.pool.CloseIdle, check: checker{v.pool}.check,
		gossip: gossip.New(gossip.Config{
			ProbeTimeout: 200 * time.Millisecond, SuspicionTimeout: time.Second, MaxUpdates: 6, MaxTickGap: 400 * time.Millisecond,
		}, self),
	}
	c.decoder, c.lender = newDecoder(c.post), newLender(c.post, v.logger)
	c.keyAge.init(s.Bounds)
	c.announce = &announceJob{store: c.store, breaker: &c.breaker, self: self, logger: v.logger}
	c.limits = newLimits(newPacer(self, peers.send, c.post))
	c.credit = c.newCredit()
	c.creditPeers.Store(&map[string]netip.AddrPort{})
	c.software = newSoftware()
	saver := newStreamSaver(self, c.store, peers.send, &c.limits.pacer.vms, v.logger)
	saver.seenEra = func(era int64) { c.post(eraSeen{era: era}) }
	c.origins = newOrigins(self, peers.send, &c.limits.pacer.vms, saver)
	c.dispatcher = newDispatcher(self, peers, c.post, v.logger)
	c.dispatcher.takePace = c.limits.pacer.Take
	c.view.Store(&relay.View{})
	c.directory.Store(&directory{self: self})
	return c
}

func (v *VM) feed(topic platform.Topic, wait, interval time.Duration) *feed {
	return &feed{
		topic: topic, wait: wait, interval: interval, post: v.control.post, logger: v.logger, breaker: &v.control.breaker,
		store: platform.NewStore(platform.StoreConfig{Address: v.settings.Load().Store, Timeout: storeTimeout}),
	}
}

// upstreamsInterval returns the interval between reads of the upstreams topic:
// a share of Bounds.Drain, the longest time for which requests may still reach
// a draining upstream.
func upstreamsInterval(b platform.Bounds) time.Duration {
	return time.Duration(upstreamsPollShare * float64(b.Drain))
}

// announceJob writes this VM's addresses to the fleet topic, and retries until
// that succeeds.
type announceJob struct {
	store   *platform.Store
	breaker *breaker
	self    gossip.VM
	logger  *zap.Logger
}

func (j *announceJob) run(ctx context.Context) {
	value, err := json.Marshal(j.self)
	if err != nil {
		j.logger.Error("fleet: cannot encode the record of this VM", zap.Error(err))
		return
	}
	for {
		call, ok := j.breaker.await(ctx)
		if !ok {
			return
		}
		_, err := j.store.Append(ctx, platform.FleetTopic, anyOffset, platform.Record{Key: keyVM + j.self.Name, Value: value})
		backoff := j.breaker.end(time.Now(), call, resultOf(err), backoffRange{least: retryBackoff, most: maxBackoff})
		if err == nil {
			return
		}
		j.logger.Info("fleet: cannot announce this VM", zap.Error(err))
		time.Sleep(backoff)
	}
}

// readAgain makes the other feeds read that are down, after one has found that the store answers
// again, and those that wait for records: their connections may be dead without an error.
func (c *control) readAgain(up *feed) {
	for _, f := range c.feeds {
		if f != up && (f.down.Load() || up.topic == platform.UpstreamsTopic && !f.follows.Load()) {
			f.refresh()
		}
	}
}

func (v *VM) receiveLoop(ctx context.Context) {
	for ctx.Err() == nil {
		from, p, err := v.transport.receive()
		if err != nil {
			if ctx.Err() == nil {
				v.logger.Warn("peer: cannot receive a packet", zap.Error(err))
				time.Sleep(retryBackoff)
			}
			continue
		}
		if p.SlotReply != nil {
			v.control.dispatcher.handleReply(p.SlotReply)
			continue
		}
		if p.PaceReply != nil {
			v.control.limits.pacer.handleReply(p.PaceReply)
			continue
		}
		if v.control.origins.handle(time.Now(), from, p) || v.control.handleCredit(from, p) {
			continue
		}
		v.control.post(packetReceived{from: from, packet: p})
	}
}

func (v *VM) housekeepLoop(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			v.pool.CloseExpired(now)
			v.sweep(now)
			v.handler.Decay(now)
		}
	}
}

// sweep closes callers' connections that exceed the time limits of the current
// configuration.
func (v *VM) sweep(now time.Time) {
	table := v.control.view.Load().Table
	if table == nil {
		return
	}
	if count := v.conns.sweep(now, table.Limits, v.settings.Load().Bounds.ConfigApply); count > 0 {
		v.logger.Info("vm: slow or idle caller connections expire", zap.Int("connections", count), zap.Int64("version", table.Version))
	}
}

func (v *VM) listen() error {
	s := v.settings.Load()
	v.callers = &http.Server{
		Handler: v.handler, ReadHeaderTimeout: maxHeaderTime, IdleTimeout: maxIdleTime, MaxHeaderBytes: maxHeaderBytes,
		ConnState: v.conns.trackState, BaseContext: v.handler.BaseContext,
		ErrorLog: zap.NewStdLog(v.logger),
	}
	ready := http.NewServeMux()
	ready.HandleFunc(platform.ReadyPath, v.ready)
	resolve := http.NewServeMux()
	resolve.HandleFunc(platform.ResolvePath, v.resolve)
	peers := http.NewServeMux()
	peers.HandleFunc(statePath, v.serveState)
	peers.Handle(recordsPath, v.control.lender)
	metrics := http.NewServeMux()
	metrics.HandleFunc("/metrics", v.serveMetrics)
	others := limit.New(limit.Config{Name: "others", Budget: limit.Machine(s.Limits).Others(), Metrics: v.metrics, Logger: v.logger})
	for _, i := range []struct {
		address netip.AddrPort
		server  *http.Server
	}{
		{s.Caller, v.callers},
		{s.Ready, &http.Server{Handler: ready, ReadHeaderTimeout: maxHeaderTime, ReadTimeout: maxHeaderTime, IdleTimeout: maxIdleTime, MaxHeaderBytes: maxOtherHeaderBytes}},
		{s.Directory, &http.Server{Handler: resolve, ReadHeaderTimeout: maxHeaderTime, ReadTimeout: maxHeaderTime, IdleTimeout: maxIdleTime, MaxHeaderBytes: maxOtherHeaderBytes}},
		{s.Peer, &http.Server{Handler: peers, ReadHeaderTimeout: maxHeaderTime, ReadTimeout: maxHeaderTime, IdleTimeout: maxIdleTime, MaxHeaderBytes: maxOtherHeaderBytes}},
		{s.Metrics, &http.Server{Handler: metrics, ReadHeaderTimeout: maxHeaderTime, ReadTimeout: maxHeaderTime, IdleTimeout: maxIdleTime, MaxHeaderBytes: maxOtherHeaderBytes}},
	} {
		listener, err := net.Listen("tcp", i.address.String()) //nolint:noctx // only at startup
		if err != nil {
			return fmt.Errorf("listen at %s: %w", i.address, err)
		}
		if i.server == v.callers {
			listener = trackedListener{v.room.Protect(i.server, listener)}
			v.listener = listener
		} else {
			listener = others.Protect(i.server, listener)
		}
		v.servers = append(v.servers, i.server)
		go (&serveJob{server: i.server, listener: listener, logger: v.logger}).run()
	}
	return nil
}

type serveJob struct {
	server   *http.Server
	listener net.Listener
	logger   *zap.Logger
}

func (s *serveJob) run() {
	if err := s.server.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.logger.Error("vm: cannot serve", zap.Stringer("address", s.listener.Addr()), zap.Error(err))
	}
}

func (v *VM) ready(w http.ResponseWriter, _ *http.Request) {
	if !v.control.directory.Load().ready || v.control.keyAge.ending(sinceBoot()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// minLocal is the number of VMs in the caller's availability zone that suffice for
// a directory response. If there are fewer, the response includes VMs of other
// zones too.
const minLocal = 2

// maxAddresses bounds the addresses in one directory response, as callers accept
// no more.
const maxAddresses = 64

func (v *VM) resolve(w http.ResponseWriter, r *http.Request) {
	d := v.control.directory.Load()
	q := platform.ParseDirectoryRequest(r)
	var local, remote []string
	for _, vm := range d.vms {
		if vm.Zone == q.Zone {
			local = append(local, vm.Caller.String())
		} else {
			remote = append(remote, vm.Caller.String())
		}
	}
	if len(local) < minLocal {
		local = append(local, remote...)
	}
	if len(local) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	response := platform.DirectoryResponse{Addresses: local[:min(len(local), maxAddresses)], TTL: min(directoryTTL, v.settings.Load().Bounds.TTL).Seconds()}
	if err := json.NewEncoder(w).Encode(response); err != nil {
		v.logger.Debug("vm: cannot write a directory response", zap.Error(err))
	}
}

func (v *VM) serveMetrics(w http.ResponseWriter, _ *http.Request) { v.metrics.Write(w) }

// drainOf returns how a VM leaves from now on, if its process may run on for a time.
func drainOf(now time.Time, grace time.Duration) relay.Drain {
	return relay.Drain{
		TakeUntil: now.Add(min(lingerTime, time.Duration(lingerShare*float64(grace)))),
		EndAt:     now.Add(grace - min(closeReserve, time.Duration(closeShare*float64(grace)))),
	}
}

// Shutdown leaves the fleet. It directs callers to other VMs and lets requests
// in progress finish, as far as the platform's shutdown time (Bounds.Grace)
// allows. Requests that are not finished by then get a final answer.
func (v *VM) Shutdown(now time.Time) {
	drain := drainOf(now, v.settings.Load().Bounds.Grace)
	v.control.post(leave{})
	v.handler.StartDrain(now, drain)
	for time.Now().Before(drain.TakeUntil) {
		time.Sleep(retryBackoff)
	}
	_ = v.listener.Close() // callers see that it is closed
	// http.Server.Shutdown would also close connections on which a request has just arrived.
	left := v.conns.leave(time.Now())
	for end := drain.EndAt.Add(answerTime); left > 0 && time.Now().Before(end); left = v.conns.leave(time.Now()) {
		time.Sleep(leaveInterval)
	}
	if left > 0 {
		v.logger.Warn("vm: shutdown time is over; closing connections with requests in progress", zap.Int64("active", v.handler.Active()), zap.Int("connections", left))
	}
	v.Close()
	v.logger.Info("vm: stopped", zap.Duration("after", time.Since(now)))
}

// Close stops the VM immediately, without waiting for requests in progress.
func (v *VM) Close() {
	v.cancel()
	for _, s := range v.servers {
		_ = s.Close() // the process ends
	}
	if v.transport != nil {
		_ = v.transport.conn.Close() // the process ends
	}
}
