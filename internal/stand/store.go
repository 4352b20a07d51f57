package stand

import (
	"net/http"
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/delay"
)

// StoreConfig sets the speed of a WeightStore.
type StoreConfig struct {
	LoadTime time.Duration // duration of each read of an adapter's weights
}

// WeightStore is a fake of the service that engines read the weights of adapters
// from. It counts concurrent reads and reads per second, so that tests can check
// that the VMs keep within the limits set for the store.
type WeightStore struct {
	faultInjector
	config StoreConfig
	mux    *http.ServeMux
	mutex  sync.Mutex
	active int
	counts StoreCounts
	starts []time.Time // start times of all reads
}

// StoreCounts holds the number of reads, the maximum number of concurrent reads, and
// the maximum and the mean rate of reads.
type StoreCounts struct {
	Loads         int     `json:"loads"`
	MaxConcurrent int     `json:"most"`   // maximum number of concurrent reads
	MaxPerSecond  int     `json:"second"` // maximum number of reads started within one second
	MeanPerSecond float64 `json:"mean"`   // mean number of reads started per second, from the first start to the last
}

// NewWeightStore returns a weight store. Its HTTP interface:
//
//	GET  /weights/{adapter}/{version}  reads an adapter's weights
//	POST /control                      sets the Faults to inject
//	GET  /counts                       returns StoreCounts
func NewWeightStore(c StoreConfig) *WeightStore {
	s := &WeightStore{config: c, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /weights/{path...}", s.weights)
	s.mux.HandleFunc("POST /control", s.control)
	s.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return s
}

// ServeHTTP serves the HTTP interface that NewWeightStore describes.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *WeightStore) control(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if readJSON(w, r, &faults) {
		s.set(faults)
	}
}

func (s *WeightStore) weights(w http.ResponseWriter, r *http.Request) {
	if !s.injectBefore(r) {
		return
	}
	s.startRead(time.Now())
	delay.Wait(r.Context(), s.config.LoadTime)
	s.endRead()
	_, _ = w.Write([]byte("weights"))
}

func (s *WeightStore) startRead(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active++
	s.counts.Loads++
	s.counts.MaxConcurrent = max(s.counts.MaxConcurrent, s.active)
	s.starts = append(s.starts, now)
	recent := 0
	for i := len(s.starts) - 1; i >= 0 && now.Sub(s.starts[i]) < time.Second; i-- {
		recent++
	}
	s.counts.MaxPerSecond = max(s.counts.MaxPerSecond, recent)
}

func (s *WeightStore) endRead() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active--
}

// Counts returns the counts of all reads since the store was created.
func (s *WeightStore) Counts() StoreCounts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.counts
	if n := len(s.starts); n > 1 {
		c.MeanPerSecond = float64(n-1) / s.starts[n-1].Sub(s.starts[0]).Seconds()
	}
	return c
}
