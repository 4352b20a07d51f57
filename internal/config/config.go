// Package config reads and checks the settings of a VM that runs `tanagerlb
// serve`.
package config

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/check"
)

// Settings holds the settings of a VM, as read from its YAML file.
type Settings struct {
	VM         string         `yaml:"vm"`       // name of the VM
	Zone       string         `yaml:"zone"`     // availability zone
	Caller     netip.AddrPort `yaml:"caller"`   // address that callers connect to
	Operator   netip.AddrPort `yaml:"operator"` // address that operators connect to
	Peer       netip.AddrPort `yaml:"peer"`     // address that other VMs connect to
	Listen     Listen         `yaml:"listen"`   // listen addresses, where they differ from Caller and Peer
	BaseModels []string       `yaml:"bases"`    // base models that documents may name; empty for any
	Log        Log            `yaml:"log"`
	VMList     VMList         `yaml:"list"`
	Store      Store          `yaml:"store"`
	Weights    Weights        `yaml:"weights"`
	Keys       Keys           `yaml:"keys"`
	Limits     Limits         `yaml:"limits"`
	Logging    Logging        `yaml:"logging"`
}

// Listen sets the listen addresses of a VM that others reach through different
// addresses, such as those of a proxy.
type Listen struct {
	Caller netip.AddrPort `yaml:"caller"`
	Peer   netip.AddrPort `yaml:"peer"`
}

// Log configures the client of the platform's log service.
type Log struct {
	Address        netip.AddrPort `yaml:"address"`
	AppendInterval time.Duration  `yaml:"group"`   // minimum interval between two appends to a stream
	ReadWait       time.Duration  `yaml:"wait"`    // maximum time that a read waits for new records
	Timeout        time.Duration  `yaml:"timeout"` // timeout of an append, and of a read in addition to ReadWait
	Retention      time.Duration  `yaml:"retain"`  // time for which the log keeps records
}

// VMList configures the client of the platform's list of VMs.
type VMList struct {
	Address  netip.AddrPort `yaml:"address"`
	Interval time.Duration  `yaml:"every"` // interval between two reads
}

// Store describes the weight store, not the platform's store. It limits the rate and
// the concurrency of the adapter loads of all VMs together, and gives the expected
// duration of a load.
type Store struct {
	LoadRate float64       `yaml:"rate"` // maximum adapter loads per second, over all VMs
	MaxLoads int           `yaml:"most"` // maximum concurrent adapter loads, over all VMs
	LoadTime time.Duration `yaml:"load"` // expected time of an adapter load
}

// Weights sets which waiting adapter the scheduler loads first. Only the ratio
// of the two weights affects the order, if all VMs have the same weights.
type Weights struct {
	Stall float64 `yaml:"stall"` // weight of the time that requests have waited, to shorten waits for adapter loads
	Batch float64 `yaml:"batch"` // weight of the number of waiting requests, to fill the engine's batch
}

// Keys configures the handling of idempotency keys.
type Keys struct {
	Partitions    int           `yaml:"partitions"` // number of log streams for keys; must be the same on all VMs and must never change
	Lifetime      time.Duration `yaml:"life"`       // time for which a key may be used after its creation
	MaxClockSkew  time.Duration `yaml:"skew"`       // maximum difference between the clocks of callers and VMs
	MaxKeys       int           `yaml:"most"`       // maximum keys in memory
	MaxReplyBytes int           `yaml:"keep"`       // maximum size of a stored reply, in bytes
}

// Limits bounds retries, queues and waiting times.
type Limits struct {
	MaxAttempts     int           `yaml:"attempts"` // maximum attempts of one call
	RetryRatio      float64       `yaml:"retries"`  // retries of a service, or of a caller, allowed per first attempt, over all VMs
	RetrySlack      float64       `yaml:"slack"`    // further retries allowed in 10 seconds, over all VMs
	MaxCalls        int           `yaml:"calls"`    // maximum calls in progress
	MaxQueue        int           `yaml:"queue"`    // maximum requests waiting at an engine
	ProgressTimeout time.Duration `yaml:"silence"`  // time without progress after which a connection is abandoned
	AddressTTL      time.Duration `yaml:"ttl"`      // time for which callers may cache the VM addresses that they got
	ShutdownTimeout time.Duration `yaml:"shutdown"` // timeout of a graceful shutdown
	MemoryMb        int           `yaml:"memory"`   // memory of the machine that the process may use, in MB; 0 if it is not known
	Descriptors     int           `yaml:"files"`    // descriptors that the process may have open; 0 if it is not known
}

// Logging sets the log level.
type Logging struct {
	Level string `yaml:"level"` // debug, info, warn or error
}

// Defaults returns the default settings, which apply to each key that the file
// does not set.
func Defaults() Settings {
	return Settings{
		Log: Log{
			AppendInterval: 20 * time.Millisecond,
			ReadWait:       500 * time.Millisecond,
			Timeout:        time.Second,
			Retention:      time.Hour,
		},
		VMList:  VMList{Interval: time.Second},
		Store:   Store{LoadRate: 5, MaxLoads: 2, LoadTime: 400 * time.Millisecond},
		Weights: Weights{Stall: 1, Batch: 1},
		Keys: Keys{
			Partitions:    16,
			Lifetime:      10 * time.Minute,
			MaxClockSkew:  5 * time.Second,
			MaxKeys:       200_000,
			MaxReplyBytes: 16 << 10,
		},
		Limits: Limits{
			MaxAttempts:     4,
			RetryRatio:      0.2,
			RetrySlack:      60,
			MaxCalls:        2000,
			MaxQueue:        512,
			ProgressTimeout: 2 * time.Second,
			AddressTTL:      2 * time.Second,
			ShutdownTimeout: 2 * time.Minute,
		},
		Logging: Logging{Level: "info"},
	}
}

// CallerListen returns the address to listen on for callers: Listen.Caller, or
// Caller if Listen.Caller is not set.
func (s Settings) CallerListen() netip.AddrPort { return firstValid(s.Listen.Caller, s.Caller) }

// PeerListen returns the address to listen on for other VMs: Listen.Peer, or
// Peer if Listen.Peer is not set.
func (s Settings) PeerListen() netip.AddrPort { return firstValid(s.Listen.Peer, s.Peer) }

func firstValid(a, b netip.AddrPort) netip.AddrPort {
	if a.IsValid() {
		return a
	}
	return b
}

// Read reads and checks a settings file.
func Read(file string) (Settings, error) {
	text, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, text)
}

// Parse decodes and checks settings. All findings are returned together in a
// *check.Error.
func Parse(file string, text []byte) (Settings, error) {
	s := Defaults()
	c := &checker{tree: check.Decode(file, text, &s)}
	c.settings(s)
	if err := c.tree.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}
