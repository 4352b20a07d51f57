// Package config provides the settings of a VM.
package config

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/check"
)

// Settings are the settings of a VM, as its YAML file holds them.
type Settings struct {
	VM       string         `yaml:"vm"`       // name of the VM
	Zone     string         `yaml:"zone"`     // availability zone
	Caller   netip.AddrPort `yaml:"caller"`   // where callers connect
	Operator netip.AddrPort `yaml:"operator"` // where operators connect
	Peer     netip.AddrPort `yaml:"peer"`     // where other VMs connect
	Listen   Listen         `yaml:"listen"`   // where to listen, if elsewhere
	Bases    []string       `yaml:"bases"`    // base models that documents may name
	Log      Log            `yaml:"log"`
	List     List           `yaml:"list"`
	Store    Store          `yaml:"store"`
	Weights  Weights        `yaml:"weights"`
	Keys     Keys           `yaml:"keys"`
	Limits   Limits         `yaml:"limits"`
	Logging  Logging        `yaml:"logging"`
}

// Listen sets addresses to listen on that differ from those that others
// connect to.
type Listen struct {
	Caller netip.AddrPort `yaml:"caller"`
	Peer   netip.AddrPort `yaml:"peer"`
}

// Log describes the platform's log service.
type Log struct {
	Address netip.AddrPort `yaml:"address"`
	Group   time.Duration  `yaml:"group"`   // least time between two appends to a stream
	Wait    time.Duration  `yaml:"wait"`    // for which a read waits
	Timeout time.Duration  `yaml:"timeout"` // of an append, and of a read beyond its wait
	Retain  time.Duration  `yaml:"retain"`  // for which records are kept
}

// List describes the platform's list of VMs.
type List struct {
	Address netip.AddrPort `yaml:"address"`
	Every   time.Duration  `yaml:"every"` // between two reads
}

// Store describes the weight store.
type Store struct {
	Rate float64       `yaml:"rate"` // loads per second
	Most int           `yaml:"most"` // loads at once
	Load time.Duration `yaml:"load"` // expected time of a load
}

// Weights set what the scheduler prefers.
type Weights struct {
	Stall float64 `yaml:"stall"` // short waits for loads
	Batch float64 `yaml:"batch"` // full engine steps
}

// Keys describes how idempotency keys are kept.
type Keys struct {
	Partitions int           `yaml:"partitions"` // streams; the same on each VM, for good
	Life       time.Duration `yaml:"life"`       // for which a key may be used
	Skew       time.Duration `yaml:"skew"`       // bound on the difference of clocks
	Most       int           `yaml:"most"`       // keys in memory
	Keep       int           `yaml:"keep"`       // bytes of a reply that are kept
}

// Limits bound retries and waiting.
type Limits struct {
	Attempts int           `yaml:"attempts"` // of one call
	Retries  float64       `yaml:"retries"`  // share of retries among first attempts
	Calls    int           `yaml:"calls"`    // in progress at once
	Queue    int           `yaml:"queue"`    // requests waiting at an engine
	Silence  time.Duration `yaml:"silence"`  // without progress, after which a link is given up
	TTL      time.Duration `yaml:"ttl"`      // of an address answer
	Shutdown time.Duration `yaml:"shutdown"` // bound on a graceful shutdown
}

// Logging sets the log level.
type Logging struct {
	Level string `yaml:"level"` // debug, info, warn or error
}

// Defaults returns the settings that apply where the file says nothing.
func Defaults() Settings {
	return Settings{
		Log: Log{
			Group:   20 * time.Millisecond,
			Wait:    500 * time.Millisecond,
			Timeout: time.Second,
			Retain:  time.Hour,
		},
		List:    List{Every: time.Second},
		Store:   Store{Rate: 5, Most: 2, Load: 400 * time.Millisecond},
		Weights: Weights{Stall: 1, Batch: 1},
		Keys: Keys{
			Partitions: 16,
			Life:       10 * time.Minute,
			Skew:       5 * time.Second,
			Most:       200_000,
			Keep:       16 << 10,
		},
		Limits: Limits{
			Attempts: 4,
			Retries:  0.2,
			Calls:    2000,
			Queue:    512,
			Silence:  2 * time.Second,
			TTL:      2 * time.Second,
			Shutdown: 2 * time.Minute,
		},
		Logging: Logging{Level: "info"},
	}
}

// CallerListen returns where to listen for callers.
func (s Settings) CallerListen() netip.AddrPort { return either(s.Listen.Caller, s.Caller) }

// PeerListen returns where to listen for other VMs.
func (s Settings) PeerListen() netip.AddrPort { return either(s.Listen.Peer, s.Peer) }

func either(a, b netip.AddrPort) netip.AddrPort {
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
