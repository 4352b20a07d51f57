package stand

import (
	"io"
	"net/http"
	"strings"
	"sync"
)

// Service is a fake upstream of a plain service, which is an ordinary HTTP service.
// It counts the calls that it runs by idempotency key, so that tests detect a call
// that ran more than once.
type Service struct {
	faultInjector
	mux   *http.ServeMux
	mutex sync.Mutex
	runs  map[string]int
	crash func()
	text  string // text in the body of calls that crash the service; empty for none
}

// NewService returns a service that answers each call with the call's name and body.
// Its HTTP interface:
//
//	POST /calls/{call}  runs a call and counts it by its Idempotency-Key header
//	POST /control       sets the Faults to inject
//	GET  /counts        returns the number of runs by key
func NewService() *Service {
	s := &Service{mux: http.NewServeMux(), runs: map[string]int{}}
	s.mux.HandleFunc("POST /calls/{call}", s.call)
	s.mux.HandleFunc("POST /control", s.control)
	s.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return s
}

// ServeHTTP serves the HTTP interface that NewService describes.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.injectBefore(r) {
		return
	}
	s.mutex.Lock()
	s.runs[r.Header.Get("Idempotency-Key")]++
	s.mutex.Unlock()
	s.crashIfPoisoned(string(body))
	s.injectAfter()
	_, _ = w.Write(append([]byte(r.PathValue("call")+": "), body...))
}

// CrashOn makes calls whose body contains a text crash the service: crash is called
// when such a call runs, and the call gets no answer.
func (s *Service) CrashOn(text string, crash func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.text, s.crash = text, crash
}

// crashIfPoisoned crashes the service if CrashOn says so for a call with this body.
func (s *Service) crashIfPoisoned(body string) {
	s.mutex.Lock()
	text, crash := s.text, s.crash
	s.mutex.Unlock()
	if text == "" || !strings.Contains(body, text) {
		return
	}
	crash()
	panic(http.ErrAbortHandler)
}

func (s *Service) control(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if readJSON(w, r, &faults) {
		s.set(faults)
	}
}

// Counts returns how many calls ran under each idempotency key.
func (s *Service) Counts() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := make(map[string]int, len(s.runs))
	for key, count := range s.runs {
		counts[key] = count
	}
	return counts
}
