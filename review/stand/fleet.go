//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tanagerlb/tanagerlb/platform/emul"
)

// Ports of the VMs; each VM has a loopback address of its own.
const (
	callerPort  = 28149
	readyPort   = 28141
	controlPort = 28144
	resolvePort = 28143
)

// vm is a VM of the system under test: its settings and its process.
type vm struct {
	name    string
	address netip.Addr
	folder  string
	program string
	mu      sync.Mutex
	command *exec.Cmd
}

func (v *vm) settingsPath() string { return filepath.Join(v.folder, v.name+".conf") }

// writeSettings writes the settings file, with the bounds of the site pk-riga.
func (v *vm) writeSettings(store netip.AddrPort, seed netip.Addr) error {
	text := fmt.Sprintf(`nodeName=%s
role=edge
machineClass=front
serves=front,control,directory
ip=%[2]s
zone=riga-a
region=riga
zones.riga-a=riga
listen.front=%[2]s:%[3]d
listen.ready=%[2]s:%[4]d
listen.control=%[2]s:%[5]d
listen.directory=%[2]s:%[6]d
internalPortRange=27380,27395
seeds=%[7]s:%[5]d
bootstrap=true
heartbeatMs=1200
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
platform.address=%[8]s
platform.form=log
`, v.name, v.address, callerPort, readyPort, controlPort, resolvePort, seed, store)
	return os.WriteFile(v.settingsPath(), []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	output, err := os.OpenFile(filepath.Join(v.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	v.command = exec.Command(v.program, "edge")
	v.command.Env = append(os.Environ(), "TANAGERLB_BOOT="+v.settingsPath())
	v.command.Stdout, v.command.Stderr = output, output
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return v.command.Start()
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command != nil {
		_ = v.command.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (v *vm) kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command == nil {
		return
	}
	_ = v.command.Process.Signal(syscall.SIGCONT)
	_ = v.command.Process.Kill()
	_ = v.command.Wait()
	v.command = nil
}

func (v *vm) url(path string) string {
	return fmt.Sprintf("http://%s%s", netip.AddrPortFrom(v.address, callerPort), path)
}

// entry is what a replica reports about itself; nil deletes the entry.
type entry func() (key string, value []byte)

// fleet is the system under test with the platform's store.
type fleet struct {
	store   *emul.Store
	address netip.AddrPort // of the store
	vms     []*vm
	folder  string
	trouble bool
	record  *record
	mu      sync.Mutex
	entries map[string]entry // by name
}

// record is the file record.txt of a case.
type record struct {
	mu      sync.Mutex
	file    io.Writer
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// newFleet starts the store and prepares the VMs. network is the second byte of their addresses.
func newFleet(dir string, count int, network byte) (*fleet, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		store: emul.NewStore(func() float64 { return 1 }), folder: folder, trouble: os.Getenv("TROUBLE") != "0",
		record: &record{file: file, started: time.Now()}, entries: map[string]entry{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.address = netip.MustParseAddrPort(listener.Addr().String())
	go func() { _ = http.Serve(listener, f.store) }()
	third := byte(os.Getpid() % 250)
	for i := range count {
		f.vms = append(f.vms, &vm{
			name: fmt.Sprintf("front-%d", i+1), address: netip.AddrFrom4([4]byte{127, network, third, byte(1 + i)}),
			folder: folder, program: "target/tanagerlb",
		})
	}
	return f, nil
}

// startVMs writes the settings and starts all VMs.
func (f *fleet) startVMs() error {
	for _, v := range f.vms {
		if err := v.writeSettings(f.address, f.vms[0].address); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, v := range f.vms {
		v.kill()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(f.folder, keep)
	}
	_ = os.RemoveAll(f.folder)
}

// register makes a replica report to the store, at once and with each heartbeat.
func (f *fleet) register(name string, e entry) {
	f.mu.Lock()
	f.entries[name] = e
	f.mu.Unlock()
	f.report(name)
}

func (f *fleet) report(name string) {
	f.mu.Lock()
	e := f.entries[name]
	f.mu.Unlock()
	if e == nil {
		return
	}
	if key, value := e(); value != nil {
		f.store.Put("keyed.servers", key, value)
	}
}

// heartbeats reports for all replicas every 1.2 s.
func (f *fleet) heartbeats(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(1200 * time.Millisecond):
		}
		f.mu.Lock()
		names := make([]string, 0, len(f.entries))
		for name := range f.entries {
			names = append(names, name)
		}
		f.mu.Unlock()
		for _, name := range names {
			f.report(name)
		}
	}
}

// awaitReady waits until each VM is ready.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	client := &http.Client{Timeout: time.Second}
	for _, v := range f.vms {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s/-/ready", netip.AddrPortFrom(v.address, readyPort)))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// operatorConfig returns a configuration with a plain service and an engine service.
func operatorConfig(version int, extra string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[
{"name":"stream","hostname":"review.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":800,"priority":0,"service":"lm","maxAttempts":1,"sticky":true,"resumable":false,"gapAimMs":400},
{"name":"resume","hostname":"review.example","pathPrefix":"/resume/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":1000,"priority":0,"service":"lm","maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":400},
%s{"name":"send","hostname":"review.example","pathPrefix":"/send/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"api","maxAttempts":1},
{"name":"list","hostname":"review.example","pathPrefix":"/list/","kind":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"api","maxAttempts":2}],
"services":[{"name":"lm","healthCheck":"/health","maxConns":630,"engine":{"slots":16,"kvCapacity":150260,"weightsMb":16700,"adapterSlots":18,"loadsPerS":5,
"models":[{"name":"base","weightsMb":16100,"adapters":3000,"adapterMb":14,"loadS":0.6}]}},{"name":"api","healthCheck":"/health","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, extra))
}

func plainEntry(id, service string, address netip.AddrPort, born int64) entry {
	return func() (string, []byte) {
		return id, emul.PlainEntry(service, address.String(), born, false)
	}
}

func contains(list []string, prefix string) bool {
	for _, s := range list {
		if strings.HasPrefix(s, prefix) {
			return true
		}
	}
	return false
}
