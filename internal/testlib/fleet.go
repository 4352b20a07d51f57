package testlib

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/stand"
)

// BaseModel is the name of the base model in the service documents of a Fleet.
const BaseModel = "base-7b"

var builds struct {
	sync.Mutex
	paths map[string]string
}

// Build builds a command of this module and returns the path of the binary. Each
// test process builds a command only once.
func Build(t testing.TB, command string) string {
	t.Helper()
	builds.Lock()
	defer builds.Unlock()
	if path, ok := builds.paths[command]; ok {
		return path
	}
	folder, err := os.MkdirTemp("", "tanagerlb-test-")
	if err != nil {
		t.Fatalf("make folder: %v", err)
	}
	path := filepath.Join(folder, command)
	out, err := exec.Command("go", "build", "-o", path, "github.com/tanagerlb/tanagerlb/cmd/"+command).CombinedOutput()
	if err != nil {
		t.Fatalf("build %s: %v\n%s", command, err, out)
	}
	if builds.paths == nil {
		builds.paths = map[string]string{}
	}
	builds.paths[command] = path
	return path
}

// RemoveBuilds removes the binaries that Build made. Call it at the end of
// TestMain.
func RemoveBuilds() {
	builds.Lock()
	defer builds.Unlock()
	for _, path := range builds.paths {
		_ = os.RemoveAll(filepath.Dir(path))
	}
}

// FleetConfig sets the size, the timing and the limits of a Fleet. Fields that are
// zero get a default.
type FleetConfig struct {
	VMs           int
	Engines       int
	Slots         int           // maximum number of resident adapters on an engine
	Batch         int           // maximum number of running requests on an engine
	Fencing       bool          // whether engines refuse load and unload requests with an old fencing token
	TokenTime     time.Duration // time in which an engine generates one token
	LoadTime      time.Duration // time in which an engine loads an adapter
	LoadRate      float64       // maximum loads per second from the weight store
	KeyPartitions int           // number of partitions of the idempotency keys
	KeyLifetime   time.Duration // lifetime of an idempotency key
	LogRetention  time.Duration // retention time of the log's records
	MaxQueue      int           // maximum number of requests that wait for an engine
	MemoryMb      int           // memory of a VM's machine; not set if 0
	Descriptors   int           // descriptors that a VM may have open; not set if 0
}

func (c *FleetConfig) defaults() {
	setDefault(&c.VMs, 3)
	setDefault(&c.Engines, 2)
	setDefault(&c.Slots, 2)
	setDefault(&c.Batch, 4)
	setDefault(&c.TokenTime, 2*time.Millisecond)
	setDefault(&c.LoadTime, 30*time.Millisecond)
	setDefault(&c.LoadRate, 20)
	setDefault(&c.KeyPartitions, 4)
	setDefault(&c.KeyLifetime, 10*time.Minute)
	setDefault(&c.LogRetention, time.Hour)
	setDefault(&c.MaxQueue, 512)
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Fleet is a fleet of real VM processes, with fakes of the external services
// that run in the test process. Each VM has three proxies of its own: one for its
// connections to the log, one for connections from callers, and one for connections
// from peers. Each engine and the plain service have a proxy too.
type Fleet struct {
	T       testing.TB
	Config  FleetConfig
	Log     *stand.Log
	List    *stand.VMList
	Store   *stand.WeightStore
	Engines []*stand.Engine
	Service *stand.Service
	VMs     []*VM

	EngineProxies []*Proxy
	ServiceProxy  *Proxy
	logAddress    netip.AddrPort
	listAddress   netip.AddrPort
	binary        string
}

// VM is a VM process of a Fleet.
type VM struct {
	Name          string
	Zone          string
	Caller        netip.AddrPort // address of CallerProxy
	Operator      netip.AddrPort
	Peer          netip.AddrPort // address of PeerProxy
	LogProxy      *Proxy
	ListenAddress netip.AddrPort // the VM's own address for callers, behind CallerProxy

	CallerProxy *Proxy
	PeerProxy   *Proxy

	fleet    *Fleet
	settings string
	command  *exec.Cmd
	output   *os.File
	ended    chan struct{}
}

// NewFleet starts the fakes and the VMs, and waits until all VMs are ready.
func NewFleet(t testing.TB, c FleetConfig) *Fleet {
	t.Helper()
	c.defaults()
	f := &Fleet{
		T:       t,
		Config:  c,
		Log:     stand.NewLog(),
		List:    stand.NewVMList(),
		Store:   stand.NewWeightStore(stand.StoreConfig{LoadTime: c.LoadTime}),
		Service: stand.NewService(),
		binary:  Build(t, "tanagerlb"),
	}
	f.logAddress = Serve(t, f.Log)
	f.listAddress = Serve(t, f.List)
	store := Serve(t, f.Store)
	f.ServiceProxy = NewProxy(t, Serve(t, f.Service))
	for i := range c.Engines {
		e := stand.NewEngine(stand.EngineConfig{
			Name:      "e" + strconv.Itoa(i+1),
			Slots:     c.Slots,
			Batch:     c.Batch,
			Fencing:   c.Fencing,
			TokenTime: c.TokenTime,
			Store:     store,
		})
		f.Engines = append(f.Engines, e)
		f.EngineProxies = append(f.EngineProxies, NewProxy(t, Serve(t, e)))
	}
	for i := range c.VMs {
		f.VMs = append(f.VMs, f.newVM(i))
	}
	f.SetVMList()
	for _, vm := range f.VMs {
		vm.Start()
	}
	for _, vm := range f.VMs {
		vm.AwaitReady()
	}
	return f
}

// Serve serves a handler on a loopback address until the test ends.
func Serve(t testing.TB, handler http.Handler) netip.AddrPort {
	t.Helper()
	s, err := stand.Listen(netip.MustParseAddrPort("127.0.0.1:0"), handler)
	if err != nil {
		t.Fatalf("start fake: %v", err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s.Address()
}

// FreeAddress returns a loopback address that is free now.
func FreeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	address, err := stand.FreeAddress()
	if err != nil {
		t.Fatalf("find a free port: %v", err)
	}
	return address
}

func (f *Fleet) newVM(i int) *VM {
	vm := &VM{
		Name:     "vm-" + strconv.Itoa(i+1),
		Zone:     "zone-" + string(rune('a'+i%3)),
		Operator: FreeAddress(f.T),
		LogProxy: NewProxy(f.T, f.logAddress),
		fleet:    f,
	}
	callerListen, peerListen := FreeAddress(f.T), FreeAddress(f.T)
	vm.ListenAddress = callerListen
	vm.CallerProxy = NewProxy(f.T, callerListen)
	vm.PeerProxy = NewProxy(f.T, peerListen)
	vm.Caller, vm.Peer = vm.CallerProxy.Address(), vm.PeerProxy.Address()
	text := fmt.Sprintf(`vm: %s
zone: %s
caller: %s
operator: %s
peer: %s
listen:
  caller: %s
  peer: %s
bases: [%s]
log:
  address: %s
  timeout: 500ms
  retain: %s
list:
  address: %s
  every: 200ms
store:
  rate: %g
  most: 2
  load: %s
keys:
  partitions: %d
  life: %s
limits:
  queue: %d
  silence: 1s
logging:
  level: info
`, vm.Name, vm.Zone, vm.Caller, vm.Operator, vm.Peer, callerListen, peerListen, BaseModel, vm.LogProxy.Address(),
		f.Config.LogRetention, f.listAddress, f.Config.LoadRate, f.Config.LoadTime, f.Config.KeyPartitions, f.Config.KeyLifetime, f.Config.MaxQueue)
	if f.Config.MemoryMb > 0 {
		text = strings.Replace(text, "limits:\n", fmt.Sprintf("limits:\n  memory: %d\n", f.Config.MemoryMb), 1)
	}
	if f.Config.Descriptors > 0 {
		text = strings.Replace(text, "limits:\n", fmt.Sprintf("limits:\n  files: %d\n", f.Config.Descriptors), 1)
	}
	vm.settings = filepath.Join(f.T.TempDir(), vm.Name+".yaml")
	if err := os.WriteFile(vm.settings, []byte(text), 0o600); err != nil {
		f.T.Fatalf("write settings: %v", err)
	}
	return vm
}

// SetVMList sets the platform's VM list to all VMs except the named ones.
func (f *Fleet) SetVMList(without ...string) {
	var listed []stand.ListedVM
	for _, vm := range f.VMs {
		if !contains(without, vm.Name) {
			listed = append(listed, stand.ListedVM{Name: vm.Name, Zone: vm.Zone, Caller: vm.Caller, Peer: vm.Peer})
		}
	}
	f.List.Set(listed...)
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// Start starts the VM's process. It can be called again after the process has ended.
func (v *VM) Start() {
	v.fleet.T.Helper()
	output, err := os.CreateTemp(v.fleet.T.TempDir(), v.Name+"-*.log")
	if err != nil {
		v.fleet.T.Fatalf("open output: %v", err)
	}
	v.output = output
	v.command = exec.Command(v.fleet.binary, "serve", "--settings", v.settings)
	v.command.Stdout, v.command.Stderr = output, output
	if err := v.command.Start(); err != nil {
		v.fleet.T.Fatalf("start %s: %v", v.Name, err)
	}
	v.ended = make(chan struct{})
	go v.run(v.command, v.ended)
	v.fleet.T.Cleanup(func() { v.cleanUp() })
}

func (v *VM) run(command *exec.Cmd, ended chan struct{}) {
	_ = command.Wait()
	close(ended)
}

func (v *VM) cleanUp() {
	v.Signal(syscall.SIGCONT)
	v.Kill()
	if v.fleet.T.Failed() {
		text, _ := os.ReadFile(v.output.Name())
		v.fleet.T.Logf("output of %s:\n%s", v.Name, text)
	}
	_ = v.output.Close()
}

// Signal sends a signal to the VM's process.
func (v *VM) Signal(s os.Signal) { _ = v.command.Process.Signal(s) }

// Kill kills the VM's process and waits until it has ended.
func (v *VM) Kill() {
	_ = v.command.Process.Kill()
	<-v.ended
}

// Terminate starts a graceful shutdown of the VM and does not wait until the process
// has ended.
func (v *VM) Terminate() { v.Signal(syscall.SIGTERM) }

// PID returns the id of the VM's process.
func (v *VM) PID() int { return v.command.Process.Pid }

// Ended returns a channel that is closed when the current process of the VM ends.
func (v *VM) Ended() <-chan struct{} { return v.ended }

// ExitCode returns the exit status of the VM's process, which must have ended.
func (v *VM) ExitCode() int { return v.command.ProcessState.ExitCode() }

// AwaitReady waits until the VM answers /readyz with status 200.
func (v *VM) AwaitReady() {
	v.fleet.T.Helper()
	Await(v.fleet.T, v.Name+" is ready", func() bool {
		response, err := http.Get("http://" + v.Operator.String() + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// awaitTimeout is the maximum time that Await waits. It is long because only failing
// tests wait that long.
const awaitTimeout = 30 * time.Second

// Await polls a condition until it holds. It fails the test after awaitTimeout.
func Await(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

// ModelDocument returns the text of a document (the configuration of a service)
// for a model service that uses all engines of the fleet. The adapters are given as
// "name@version".
func (f *Fleet) ModelDocument(adapters ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "service: lm-assist\nkind: model\nbase: %s\n", BaseModel)
	b.WriteString("calls:\n  - name: reply\n    urgency: urgent\n    deadline: 5s\n")
	b.WriteString("  - name: summary\n    urgency: patient\n    deadline: 8s\nengines:\n")
	for i, p := range f.EngineProxies {
		fmt.Fprintf(&b, "  - name: e%d\n    address: %s\n    slots: %d\n    batch: %d\n    fences: %t\n",
			i+1, p.Address(), f.Config.Slots, f.Config.Batch, f.Config.Fencing)
	}
	b.WriteString("adapters:\n")
	for _, a := range adapters {
		name, version, _ := strings.Cut(a, "@")
		fmt.Fprintf(&b, "  - name: %s\n    version: %s\n", name, version)
	}
	return b.String()
}

// PlainDocument returns the text of a document for a plain service whose only
// upstream is Fleet.Service.
func (f *Fleet) PlainDocument() string {
	return fmt.Sprintf(`service: mailbox-api
kind: plain
calls:
  - name: send
    urgency: urgent
    once: true
    deadline: 5s
  - name: list
    urgency: urgent
    deadline: 5s
upstreams:
  - name: m1
    address: %s
`, f.ServiceProxy.Address())
}
