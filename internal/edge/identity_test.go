package edge

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// Guards against a crash that is not learned of because another process uses the address by
// the time of the check.
func TestCheckTellsAnotherProcessAtTheAddress(t *testing.T) {
	const path = "/health"
	for _, c := range []struct {
		name   string
		answer http.HandlerFunc
		path   string
		failed bool
	}{
		{"the same one", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", "u") }, path, false},
		{"the same one, busy", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, path, false},
		{"no answer in time", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, path, false},
		{"another one", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, path, true},
		{"another one, which answers", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", "v") }, path, true},
		{"no health check", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, "", false},
		{"no process", nil, path, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.answer)
			t.Cleanup(server.Close)
			u := roster.Upstream{ID: "u", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
			if c.answer == nil {
				server.Close()
			}
			pool := link.NewPool(link.Config{DialTimeout: time.Second, IdleTimeout: time.Second, MaxIdle: 1}, func() {})
			is.Equal(checker{pool}.check(t.Context(), u, c.path) != nil, c.failed)
		})
	}
}
