package guard_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/guard"
)

// fixture is an HTTP server whose handler is a Limiter. It records the statuses of
// the refused requests.
type fixture struct {
	*httptest.Server
	mu       sync.Mutex
	statuses []int
}

func newFixture(t *testing.T, maxRequests int, handler http.HandlerFunc) *fixture {
	f := &fixture{}
	f.Server = httptest.NewServer(guard.New(guard.Config{
		Handler:      handler,
		MaxBodyBytes: 16,
		BodyTimeout:  100 * time.Millisecond,
		MaxReads:     1,
		MaxRequests:  maxRequests,
		OnRefusal: func(status int) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.statuses = append(f.statuses, status)
		},
	}))
	t.Cleanup(f.Close)
	return f
}

func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

// sendRaw sends text unchanged, as an HTTP request, on a new TCP connection and returns
// the status line of the answer.
func sendRaw(t *testing.T, f *fixture, text string) string {
	c, err := net.Dial("tcp", f.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	return strings.TrimSpace(line)
}

func TestLimiter(t *testing.T) {
	for _, c := range []struct {
		name, request, want string
	}{
		{"whole", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK"},
		{"none", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200 OK"},
		{"too large", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 17\r\n\r\n", "HTTP/1.1 413 Request Entity Too Large"},
		{"too large in chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n" + strings.Repeat("a", 32) + "\r\n0\r\n\r\n", "HTTP/1.1 413 Request Entity Too Large"},
		{"far too large", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8000000\r\n\r\n" + strings.Repeat("a", 8_000_000), "HTTP/1.1 413 Request Entity Too Large"},
		{"slow", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nok", "HTTP/1.1 408 Request Timeout"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, 8, echo)
			is.Equal(sendRaw(t, f, c.request), c.want)
			refused := !strings.Contains(c.want, "200")
			f.mu.Lock()
			defer f.mu.Unlock()
			is.Equal(len(f.statuses) == 1, refused) // the OnRefusal callback runs once for each refusal
		})
	}
}

// Requests beyond the limit of concurrent requests are refused at once instead of
// being queued.
func TestLimiterRequests(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan bool), make(chan bool)
	f := newFixture(t, 1, func(http.ResponseWriter, *http.Request) {
		entered <- true
		<-release
	})
	done := make(chan string)
	go func() { done <- sendRaw(t, f, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }()
	<-entered
	is.Equal(sendRaw(t, f, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"), "HTTP/1.1 503 Service Unavailable")
	close(release)
	is.Equal(<-done, "HTTP/1.1 200 OK")
}
