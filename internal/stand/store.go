package stand

import (
	"net/http"
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/delay"
)

// StoreConfig sets up a Store.
type StoreConfig struct {
	Load time.Duration // time to read an adapter's weights
}

// Store is the weight store. It counts the reads at once, so that tests see
// whether its limits were kept.
type Store struct {
	faulty
	config StoreConfig
	mux    *http.ServeMux
	mutex  sync.Mutex
	active int
	counts StoreCounts
	begun  []time.Time
}

// StoreCounts counts what the store was asked.
type StoreCounts struct {
	Loads  int     `json:"loads"`
	Most   int     `json:"most"`   // largest number of reads at once
	Second int     `json:"second"` // largest number of reads begun within a second
	Mean   float64 `json:"mean"`   // reads begun a second, over the whole run
}

// NewStore returns a weight store.
//
//	GET  /weights/{adapter}/{version}  reads an adapter's weights
//	POST /control                      sets Faults
//	GET  /counts                       returns StoreCounts
func NewStore(c StoreConfig) *Store {
	s := &Store{config: c, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /weights/{path...}", s.weights)
	s.mux.HandleFunc("POST /control", s.control)
	s.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return s
}

// ServeHTTP serves the weight store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Store) control(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if readJSON(w, r, &faults) {
		s.set(faults)
	}
}

func (s *Store) weights(w http.ResponseWriter, r *http.Request) {
	if !s.before(r) {
		return
	}
	s.begin(time.Now())
	delay.Wait(r.Context(), s.config.Load)
	s.end()
	_, _ = w.Write([]byte("weights"))
}

func (s *Store) begin(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active++
	s.counts.Loads++
	s.counts.Most = max(s.counts.Most, s.active)
	s.begun = append(s.begun, now)
	within := 0
	for i := len(s.begun) - 1; i >= 0 && now.Sub(s.begun[i]) < time.Second; i-- {
		within++
	}
	s.counts.Second = max(s.counts.Second, within)
}

func (s *Store) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active--
}

// Counts returns what the store was asked so far.
func (s *Store) Counts() StoreCounts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.counts
	if n := len(s.begun); n > 1 {
		c.Mean = float64(n-1) / s.begun[n-1].Sub(s.begun[0]).Seconds()
	}
	return c
}
