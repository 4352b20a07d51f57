// Package stand provides small stand-ins for the systems around the VMs: the
// log service, the weight store, the VM list, model engines and plain
// services. Each can be told over HTTP to misbehave, and each counts what the
// tests must know.
package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/delay"
)

// maxBody bounds the body of a request, in bytes.
const maxBody = 8 << 20

// Server serves a stand-in on an address of its own.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// Listen serves a handler on address; port 0 picks a free one.
func Listen(address netip.AddrPort, handler http.Handler) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &Server{
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second},
		listener: listener,
	}
	go s.run()
	return s, nil
}

func (s *Server) run() {
	_ = s.http.Serve(s.listener)
}

// Address returns the address that is served.
func (s *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Close cuts all connections and stops.
func (s *Server) Close() error {
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("close stand-in: %w", err)
	}
	return nil
}

// Faults are the ways in which each stand-in can misbehave.
type Faults struct {
	Down   bool `json:"down"`   // cut connections without an answer
	Silent bool `json:"silent"` // never answer
	Slow   int  `json:"slow"`   // milliseconds before each answer
	Lose   int  `json:"lose"`   // answers to lose after acting
}

type faulty struct {
	mu     sync.Mutex
	faults Faults
}

func (f *faulty) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// before applies the faults that come before acting. It tells whether to act.
func (f *faulty) before(r *http.Request) bool {
	f.mu.Lock()
	faults := f.faults
	f.mu.Unlock()
	switch {
	case faults.Down:
		panic(http.ErrAbortHandler)
	case faults.Silent:
		<-r.Context().Done()
		return false
	default:
		return delay.Wait(r.Context(), time.Duration(faults.Slow)*time.Millisecond)
	}
}

// after loses the answer if one is to be lost.
func (f *faulty) after() {
	f.mu.Lock()
	lose := f.faults.Lose > 0
	if lose {
		f.faults.Lose--
	}
	f.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil && !errors.Is(err, context.Canceled) {
		panic(http.ErrAbortHandler)
	}
}

// SetFaults replaces the faults of the stand-in.
func (f *faulty) SetFaults(faults Faults) { f.set(faults) }
