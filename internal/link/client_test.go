package link_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/link"
)

// Guards against clients that open a connection for each request, or keep those that must not be
// used again.
func TestClientKeepsConnections(t *testing.T) {
	for _, c := range []struct {
		name        string
		config      link.Config
		read        bool // answers are read to their ends
		connections int64
	}{
		{"kept", link.Config{IdleTimeout: time.Minute, MaxIdle: 1}, true, 1},
		{"answers not read", link.Config{IdleTimeout: time.Minute, MaxIdle: 1}, false, 3},
		{"expired", link.Config{IdleTimeout: time.Nanosecond, MaxIdle: 1}, true, 3},
		{"none kept", link.Config{}, true, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var connections atomic.Int64
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(w, r.Body)
			}))
			server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					connections.Add(1)
				}
			}
			server.Start()
			t.Cleanup(server.Close)
			client := link.NewClient(c.config)
			t.Cleanup(client.CloseIdleConnections)
			for range 3 {
				response, err := client.Post(server.URL+"/x?y=z", "text/plain", strings.NewReader("body"))
				is.NoErr(err)
				if c.read {
					body, err := io.ReadAll(response.Body)
					is.NoErr(err)
					is.Equal(string(body), "body")
				}
				is.NoErr(response.Body.Close())
			}
			is.Equal(connections.Load(), c.connections)
		})
	}
}

// Guards against a request that a redirect sends to a second server, or twice to the same one.
func TestClientFollowsNoRedirects(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
	}))
	t.Cleanup(server.Close)
	response, err := link.NewClient(link.Config{}).Post(server.URL, "text/plain", strings.NewReader("body"))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusTemporaryRedirect)
	is.Equal(requests.Load(), int64(1))
}
