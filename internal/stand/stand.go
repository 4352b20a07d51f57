// Package stand provides small fakes of the external services that the VMs of
// `tanagerlb serve` use: the log service, the weight store, the VM list, model
// engines and plain services. Tests set the faults that a fake injects, from Go or
// over HTTP. All fakes except the VM list also keep counts for tests to check.
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

// maxBody is the maximum size of a request's body, in bytes.
const maxBody = 8 << 20

// Server is the HTTP server of one fake.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// Listen starts a server for a handler on address; port 0 selects a free port.
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

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Close stops the server and closes all its connections.
func (s *Server) Close() error {
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("close fake: %w", err)
	}
	return nil
}

// Faults are the faults that the fakes can inject. LoseAnswers applies only to
// appends to the log, to orders to engines (see FenceHeader) and to calls to plain
// services; the VM list and the weight store ignore it.
type Faults struct {
	Down        bool `json:"down"`   // close connections without an answer
	Hang        bool `json:"silent"` // never answer
	DelayMs     int  `json:"slow"`   // delay before each answer, in milliseconds
	LoseAnswers int  `json:"lose"`   // number of coming requests that take effect but get no answer
}

// faultInjector is embedded in each fake and injects Faults into its requests.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

func (f *faultInjector) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// injectBefore injects the faults Down, Hang and DelayMs, and reports whether to go
// on with the request. A fake calls it before a request takes effect. The log calls
// it again before it answers a read, and an engine after each token.
func (f *faultInjector) injectBefore(r *http.Request) bool {
	f.mu.Lock()
	faults := f.faults
	f.mu.Unlock()
	switch {
	case faults.Down:
		panic(http.ErrAbortHandler)
	case faults.Hang:
		<-r.Context().Done()
		return false
	default:
		return delay.Wait(r.Context(), time.Duration(faults.DelayMs)*time.Millisecond)
	}
}

// injectAfter injects the fault LoseAnswers: it closes the connection without an
// answer. It is called after a request took effect.
func (f *faultInjector) injectAfter() {
	f.mu.Lock()
	lose := f.faults.LoseAnswers > 0
	if lose {
		f.faults.LoseAnswers--
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

// SetFaults replaces the faults of the fake.
func (f *faultInjector) SetFaults(faults Faults) { f.set(faults) }
