//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tanagerlb/tanagerlb/platform/emul"
)

// The fleet is like that of the small deployments, with fewer VMs and replicas.
const (
	vmCount      = 3
	engineCount  = 6
	memoryMb     = 284 // limits.memoryMb of both small deployments
	host         = "ficu95.example"
	model        = "daka510000"
	restartDelay = 500 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
)

const configuration = `{"version":7,"routes":[
{"name":"chat","hostname":"ficu95.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":800,"priority":0,"service":"lm","maxAttempts":1,"sticky":true,"resumable":false,"gapAimMs":400},
{"name":"send","hostname":"ficu95.example","pathPrefix":"/send/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":150,"priority":2,"service":"api","maxAttempts":1}],
"services":[{"name":"lm","healthCheck":"/health","maxConns":630,"protocol":"h1","tls":false,"engine":{"slots":128,"kvCapacity":150260,"models":[{"name":"daka510000","weightsMb":16100,"loadS":0.6,"adapters":3000,"adapterMb":14}],"weightsMb":17000,"adapterSlots":18,"loadsPerS":5}},
{"name":"api","healthCheck":"/health","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const settings = `nodeName=front-riga-%[1]d
role=edge
machineClass=front
serves=front,control,directory
ip=%[2]s
zone=z
region=riga
zones.z=riga
listen.front=%[2]s:8149
listen.ready=%[2]s:8141
listen.control=%[2]s:8144
listen.directory=%[2]s:8143
internalPortRange=7380,7395
seeds=%[3]s
bootstrap=true
lossCounts=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=%[4]d
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=directory
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stableWindowMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.skewMaxMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=58
bounds.recoveryS=12
bounds.passMs=120
bounds.retryAfterS=0
bounds.requireFence=true
bounds.leaseMs=3000
bounds.thawMs=300
bounds.ceilingWindowS=5
bounds.ceilingOvershoot=1.1
bounds.version_ms=5000
bounds.ttl_max_s=5
platform.address=%[5]s
platform.form=log
platform.writesPerS=400
platform.readsPerS=2000
platform.parts=12
platform.appendMs=2.0
platform.partMbS=20.0
platform.readMbS=80.0
platform.recordBytes=262144
platform.callBytes=2097152
platform.keep_s=300
platform.partMb=200
platform.ttlMinMs=1000
`

// fleet is three entry VMs with their platform.
type fleet struct {
	scenario scenario
	store    *emul.Store
	arrivals *emul.Recorder
	replicas []replica
	vms      []*vm
	closers  []func()
	stop     context.CancelFunc
	loops    sync.WaitGroup
	began    time.Time
	down     atomic.Bool // the store answers no call
	mu       sync.Mutex
	log      *os.File
}

// replica is an emulated replica and its address.
type replica struct {
	*emul.Replica
	address string
}

// vm is an entry VM, which the platform starts again when its process has ended.
type vm struct {
	fleet   *fleet
	number  int
	address netip.Addr
	path    string // of the settings
	mu      sync.Mutex
	pid     int // 0 while no process runs
	ends    int // times at which the process has ended
	most    int64
	loops   sync.WaitGroup
}

// record adds a line to the record of the case.
func (f *fleet) record(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, values...))
	_, _ = f.log.WriteString(line)
	fmt.Print(line)
}

// startFleet starts the platform, the replicas and the VMs, and waits until all VMs are ready.
func startFleet(folder string, s scenario) (*fleet, error) {
	log, err := os.Create(filepath.Join(folder, "record.txt")) //nolint:gosec // the folder of the case
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{
		scenario: s, store: emul.NewStore(func() float64 { return 1 }), arrivals: emul.NewRecorder(), stop: stop, began: time.Now(), log: log,
	}
	f.closers = append(f.closers, func() { _ = log.Close() })
	if err := f.start(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context) error {
	storeAddress := f.serve(f.store)
	f.store.Put("keyed.op", "config", []byte(f.scenario.configuration))
	for i := range engineCount {
		f.addReplica(emul.ReplicaConfig{
			ID: fmt.Sprintf("lm-%d", i), Service: "lm", Model: model, AdapterSlots: 18, LoadTime: 250 * time.Millisecond,
			WorkTime: 10 * time.Millisecond, Events: 5, Recorder: f.arrivals,
		})
	}
	f.loops.Add(1)
	go f.beatLoop(ctx)
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return fmt.Errorf("create a folder: %w", err)
	}
	f.closers = append(f.closers, func() { _ = os.RemoveAll(temporary) })
	pid := os.Getpid()
	var seeds []string
	for i := range vmCount {
		v := &vm{fleet: f, number: i + 1, address: netip.AddrFrom4([4]byte{127, byte(20 + i), byte(pid >> 8), byte(1 + pid%250)})} //nolint:gosec // a part of the id
		v.path = filepath.Join(temporary, fmt.Sprintf("vm-%d.conf", i+1))
		f.vms = append(f.vms, v)
		seeds = append(seeds, netip.AddrPortFrom(v.address, 8144).String())
	}
	for _, v := range f.vms {
		text := fmt.Sprintf(settings, v.number, v.address, strings.Join(seeds, ","), memoryMb, storeAddress) + f.scenario.settings
		if err := os.WriteFile(v.path, []byte(text), 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		v.loops.Add(1)
		go v.keepLoop(ctx)
	}
	return f.awaitReady(20 * time.Second)
}

// serve serves a handler at a free port and returns its address.
func (f *fleet) serve(h http.Handler) string {
	server := httptest.NewUnstartedServer(h)
	server.Config.ConnContext = emul.ConnContext
	server.Start()
	f.closers = append(f.closers, func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

// addReplica adds a replica, of which the VMs learn with its next entry.
func (f *fleet) addReplica(c emul.ReplicaConfig) {
	r := emul.NewReplica(c, time.Now())
	address := f.serve(r)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicas = append(f.replicas, replica{r, address})
}

// learnTime is a time in which the VMs learn of a replica that was added.
const learnTime = 2 * heartbeat

// addPlain adds a replica of the plain service, and waits until the VMs know it.
func (f *fleet) addPlain() {
	f.addReplica(emul.ReplicaConfig{ID: "api-0", Service: "api", WorkTime: 10 * time.Millisecond, Recorder: f.arrivals})
	time.Sleep(learnTime)
}

// setStoreDown makes the store answer all calls with 503, or answer them again. Replicas cannot write their
// entries meanwhile; none lapses.
func (f *fleet) setStoreDown(down bool) {
	f.down.Store(down)
	f.store.SetFaults(emul.StoreFaults{Down: down})
}

// beatLoop writes the entries of the replicas.
func (f *fleet) beatLoop(ctx context.Context) {
	defer f.loops.Done()
	for {
		f.mu.Lock()
		replicas := slices.Clone(f.replicas)
		f.mu.Unlock()
		for _, r := range replicas {
			if f.down.Load() {
				continue
			}
			f.store.Put("keyed.servers", r.ID(), r.Entry(r.address))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

var errNotReady = errors.New("the VMs are not ready")

// awaitReady waits until all VMs are ready and serve a request.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i, v := range f.vms {
			if status := send(context.Background(), client, v, request{id: fmt.Sprintf("ready-%d-%d", i, time.Now().UnixNano()), path: "/chat/x", model: model, usage: "100,10", prefix: "1:60,2:40", key: tenantKey}); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.vms) {
			f.record("all VMs serve requests")
			return nil
		}
	}
	return errNotReady
}

// close ends the VMs and all stand-ins.
func (f *fleet) close() {
	f.stop()
	for _, v := range f.vms {
		v.kill()
		v.loops.Wait()
	}
	f.loops.Wait()
	for _, c := range f.closers {
		c()
	}
}

// keepLoop runs the process of the VM. As the platform does, it kills a process that exceeds the
// memory of its machine, and starts one again that has ended.
func (v *vm) keepLoop(ctx context.Context) {
	defer v.loops.Done()
	for ctx.Err() == nil {
		if err := v.runOnce(ctx); err != nil {
			v.fleet.record("vm %d: %v", v.number, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartDelay):
		}
	}
}

func (v *vm) runOnce(ctx context.Context) error {
	command := exec.CommandContext(ctx, "target/tanagerlb", "edge")
	command.Env = []string{"TANAGERLB_BOOT=" + v.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if folder := os.Getenv("STAND_LOGS"); folder != "" {
		out, err := os.OpenFile(filepath.Join(folder, fmt.Sprintf("vm-%d.log", v.number)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600) //nolint:gosec // the caller's folder
		if err == nil {
			command.Stdout, command.Stderr = out, out
			defer out.Close() //nolint:errcheck // only for a reader of the logs
		}
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	pid := command.Process.Pid
	v.mu.Lock()
	v.pid = pid
	v.mu.Unlock()
	ended := make(chan struct{})
	v.loops.Add(1)
	go v.watchLoop(pid, ended)
	err := command.Wait()
	close(ended)
	v.mu.Lock()
	v.pid = 0
	if ctx.Err() == nil {
		v.ends++
	}
	ends := v.ends
	v.mu.Unlock()
	if ctx.Err() == nil {
		v.fleet.record("vm %d: the process has ended for the time %d: %v", v.number, ends, err)
	}
	return nil
}

// watchInterval is the time between two looks at the memory of a process.
const watchInterval = 50 * time.Millisecond

// watchLoop kills the process if it exceeds the memory of its machine.
func (v *vm) watchLoop(pid int, ended <-chan struct{}) {
	defer v.loops.Done()
	for {
		select {
		case <-ended:
			return
		case <-time.After(watchInterval):
		}
		used := resident(pid)
		v.mu.Lock()
		v.most = max(v.most, used)
		v.mu.Unlock()
		if used > memoryMb<<20 {
			v.fleet.record("vm %d: the process holds %d MB of %d MB and is killed", v.number, used>>20, memoryMb)
			_ = syscall.Kill(pid, syscall.SIGKILL) // it may have ended
			return
		}
	}
}

var residentPattern = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// resident returns the resident memory of a process, in bytes; 0 if it has ended.
func resident(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	match := residentPattern.FindSubmatch(text)
	if match == nil {
		return 0
	}
	kb, _ := strconv.ParseInt(string(match[1]), 10, 64) // digits
	return kb << 10
}

// kill ends the process of the VM.
func (v *vm) kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.pid != 0 {
		_ = syscall.Kill(v.pid, syscall.SIGKILL) // it may have ended
	}
}

// state returns how often the process has ended, and the most memory that it has held.
func (v *vm) state() (ends int, most int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ends, v.most
}

// caller returns the address for callers.
func (v *vm) caller() string { return net.JoinHostPort(v.address.String(), "8149") }
