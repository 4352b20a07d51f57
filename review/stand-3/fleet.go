//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/platform/emul"
)

// fleet is a small deployment: a store, replicas and entry VMs.
type fleet struct {
	r        *record
	folder   string // for settings files and logs
	store    *emul.Store
	storeAt  string
	recorder *emul.Recorder
	replicas []*emul.Replica
	ats      []string // addresses of the replicas
	vms      []*vm
	done     chan struct{}
	logs     *collector // reads what processes write; nil for files
}

// settings are those of a small deployment; see DEPLOY.md.
const settings = `nodeName=%[1]s
role=edge
machineClass=front
serves=front,control,directory
ip=%[2]s
zone=z-a
region=r
zones.z-a=r
listen.front=%[2]s:%[3]d
listen.ready=%[2]s:%[4]d
listen.control=%[2]s:%[5]d
listen.directory=%[2]s:%[6]d
internalPortRange=%[7]d,%[8]d
seeds=%[9]s
bootstrap=true
lossCounts=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=%[10]d
limits.maxFds=%[12]d
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
platform.address=%[11]s
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

// Memory of the machines in MB: of those of the small deployments, and of the smallest ones.
const (
	smallMachine    = 284
	smallestMachine = 144
)

// maxFds is limits.maxFds of these machines.
var maxFds = map[int]int{smallMachine: 4100, smallestMachine: 3075}

// newFleet starts the store and the replicas of a configuration.
func newFleet(r *record, configuration string, replicas []emul.ReplicaConfig) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	f := &fleet{r: r, folder: folder, store: emul.NewStore(func() float64 { return 1 }), recorder: emul.NewRecorder(), done: make(chan struct{})}
	if f.storeAt, err = serve(f.store); err != nil {
		return nil, err
	}
	now := time.Now()
	for _, c := range replicas {
		c.Recorder = f.recorder
		replica := emul.NewReplica(c, now)
		at, err := serve(replica)
		if err != nil {
			return nil, err
		}
		f.replicas, f.ats = append(f.replicas, replica), append(f.ats, at)
	}
	f.store.Put("keyed.op", "config", []byte(configuration))
	f.beat()
	go f.beatLoop()
	return f, nil
}

// serve serves a stand-in at a free port of a loopback address.
func serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, ConnContext: emul.ConnContext}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// beat writes the entries of the replicas.
func (f *fleet) beat() {
	for i, replica := range f.replicas {
		f.store.Put("keyed.servers", replica.ID(), replica.Entry(f.ats[i]))
	}
}

func (f *fleet) beatLoop() {
	for {
		select {
		case <-time.After(1200 * time.Millisecond):
			f.beat()
		case <-f.done:
			return
		}
	}
}

// vm is an entry VM's process, which the platform starts again when it ends.
type vm struct {
	name, settings, log string
	front, ready        string
	memoryMb            int // memory of its machine
	mu                  sync.Mutex
	command             *exec.Cmd
	starts              int
	over                int // times that the process took more memory than its machine has
	exits               int // times that the process ended without a kill by the platform
}

var (
	running   []*vm
	runningMu sync.Mutex
	ending    bool
)

// killAll ends all processes that the script started.
func killAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	ending = true
	for _, v := range running {
		v.mu.Lock()
		if v.command != nil && v.command.Process != nil {
			_ = v.command.Process.Kill()
		}
		v.mu.Unlock()
	}
}

// freePorts returns free ports of an address.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// start starts entry VMs.
func (f *fleet) start(count, memoryMb int) error {
	base := os.Getpid()
	var ips []string
	for i := range count {
		ips = append(ips, netip.AddrFrom4([4]byte{127, byte(30 + i), byte(base >> 8), byte(1 + base%250)}).String())
	}
	ports, err := freePorts(ips[0], 6)
	if err != nil {
		return err
	}
	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, net.JoinHostPort(ip, strconv.Itoa(ports[2])))
	}
	for i, ip := range ips {
		v := &vm{name: fmt.Sprintf("front-z-a-%d", i+1), memoryMb: memoryMb}
		v.front, v.ready = net.JoinHostPort(ip, strconv.Itoa(ports[0])), net.JoinHostPort(ip, strconv.Itoa(ports[1]))
		v.settings, v.log = filepath.Join(f.folder, v.name+".conf"), filepath.Join(f.folder, v.name+".log")
		text := fmt.Sprintf(settings, v.name, ip, ports[0], ports[1], ports[2], ports[3], ports[4], ports[4]+15, strings.Join(seeds, ","), memoryMb, f.storeAt, maxFds[memoryMb])
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		f.vms = append(f.vms, v)
		runningMu.Lock()
		running = append(running, v)
		runningMu.Unlock()
		if err := f.run(v); err != nil {
			return err
		}
		go f.memoryLoop(v)
	}
	for _, v := range f.vms {
		if err := f.await(v); err != nil {
			return err
		}
	}
	return nil
}

// run starts the process of a VM, and starts it again after a short delay when it has ended.
func (f *fleet) run(v *vm) error {
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	command := exec.Command("target/tanagerlb", "edge")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "TANAGERLB_BOOT=" + v.settings}
	if f.logs == nil {
		command.Stdout = log
	} else if command.Stdout, err = f.logs.open(); err != nil {
		return err
	}
	command.Stderr = log
	runningMu.Lock()
	defer runningMu.Unlock()
	if ending {
		return nil
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	v.mu.Lock()
	v.command = command
	v.starts++
	v.mu.Unlock()
	go func() {
		err := command.Wait()
		_ = log.Close()
		if pipe, ok := command.Stdout.(*os.File); ok && pipe != log {
			_ = pipe.Close()
		}
		runningMu.Lock()
		over := ending
		runningMu.Unlock()
		if over {
			return
		}
		f.r.write("%s: process has ended: %v", v.name, err)
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() >= 0 {
			v.mu.Lock()
			v.exits++
			v.mu.Unlock()
		}
		time.Sleep(500 * time.Millisecond)
		if err := f.run(v); err != nil {
			f.r.write("%v", err)
		}
	}()
	return nil
}

// await waits until a VM says that it is ready.
func (f *fleet) await(v *vm) error {
	for range 200 {
		response, err := http.Get("http://" + v.ready + "/-/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s does not get ready", v.name)
}

// memoryLoop ends a process that takes more memory than its machine has, as the platform does.
func (f *fleet) memoryLoop(v *vm) {
	for {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-f.done:
			return
		}
		v.mu.Lock()
		command := v.command
		v.mu.Unlock()
		if mb := residentMb(command.Process.Pid); mb > v.memoryMb {
			f.r.write("%s: process takes %d MB of %d MB, and is killed", v.name, mb, v.memoryMb)
			v.mu.Lock()
			v.over++
			v.mu.Unlock()
			_ = command.Process.Kill()
			for command.ProcessState == nil && residentMb(command.Process.Pid) > 0 {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

// residentMb returns the resident memory of a process in MB, without that of files such as the
// program's text; 0 if it has ended.
func residentMb(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// end ends all processes and removes the folder.
func (f *fleet) end() {
	close(f.done)
	killAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		f.r.write("logs are in %s", f.folder)
	}
}

// answer is what a client got for a request.
type answer struct {
	status int // 0 if there was no complete answer
	sealed bool
	body   string
}

// send sends a request on a connection of a client and reads the whole answer.
func send(ctx context.Context, client *http.Client, method, to, path, body string, header map[string]string) answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{}
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{status: response.StatusCode, sealed: response.Header.Get("Response-Seal") != "", body: string(text)}
}

// host is the host of all routes.
const host = "ficu95.example"

// config returns a configuration with one engine service and one plain service.
func config(version int) string {
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-chat", "hostname": host, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 800, "priority": 0, "service": "llm", "maxAttempts": 1, "sticky": true, "resumable": false, "gapAimMs": 400},
			{"name": "r-plain", "hostname": host, "pathPrefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2, "service": "api", "maxAttempts": 1},
		},
		"services": []map[string]any{
			{"name": "llm", "healthCheck": "/health", "maxConns": 630, "engine": map[string]any{
				"slots": 128, "kvCapacity": 150260, "weightsMb": 16700.0, "adapterSlots": 18, "loadsPerS": 5.0,
				"models": []map[string]any{{"name": model, "weightsMb": 16100.0, "loadS": 0.6, "adapters": 3000, "adapterMb": 14.0}},
			}},
			{"name": "api", "healthCheck": "/health", "maxConns": 110},
		},
		"limits": map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return string(text)
}

// model is the base model of the engines.
const model = "daka510000"

// maxHeaderBytes is the limit of the configuration on the headers of a request.
const maxHeaderBytes = 16384

// engines returns the configurations of replicas of the engine service.
func engines(count int) []emul.ReplicaConfig {
	var list []emul.ReplicaConfig
	for i := range count {
		list = append(list, emul.ReplicaConfig{ID: fmt.Sprintf("i-llm%d", i), Service: "llm", Model: model, AdapterSlots: 18, LoadTime: 250 * time.Millisecond, WorkTime: 5 * time.Millisecond, Events: 2})
	}
	return list
}
