package edge

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/route"
)

// Guards against connection limits that ignore a changed configuration, as the
// timeouts of http.Server are fixed once it runs.
func TestLimitsOfCallersFollowTheConfiguration(t *testing.T) {
	limits := route.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	for _, c := range []struct {
		name  string
		sent  string
		after time.Duration
		count int
	}{
		{"new and silent", "", 10 * time.Second, 0},
		{"new and silent for too long", "", 20 * time.Second, 1},
		{"slow headers", "GET / HT", 2 * time.Second, 0},
		{"too slow headers", "GET / HT", 4 * time.Second, 1},
		{"idle after an answer", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 10 * time.Second, 0},
		{"idle for too long", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 20 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracked := newConns()
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			server.Config.ConnState = tracked.trackState
			server.Listener = trackedListener{server.Listener}
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write([]byte(c.sent))
			is.NoErr(err)
			if len(c.sent) > 10 { // a complete request, which is answered
				_, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
			}
			waitFor(t, func() bool { return tracked.waiting(len(c.sent) > 0 && len(c.sent) < 10) })
			is.Equal(tracked.sweep(time.Now().Add(c.after), limits), c.count)
		})
	}
}

// waiting reports whether the only connection waits for input: if part is set,
// for the rest of a request whose beginning has arrived; otherwise, for the
// first byte since it was opened or became idle.
func (c *conns) waiting(part bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.since {
		t, ok := conn.(*trackedConn)
		return ok && (t.firstByte.Load() != nil) == part
	}
	return false
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 10 s")
		}
	}
}
