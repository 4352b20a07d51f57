package plain

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

// Guards against a reply that its upstream breaks off, at any byte of its head or body, and that
// counts as a whole one.
func TestReplyThatIsCutIsIncomplete(t *testing.T) {
	const line = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, head, body string
		framed           bool
	}{
		{"length", line + "Content-Length: 3\r\n\r\n", "yes", true},
		{"chunks", line + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nyes\r\n0\r\n\r\n", true},
		{"no framing", line + "X-Any: 1\r\n\r\n", "yes", false},
		{"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 3\n\n", "yes", true},
		{"after an informational answer", "HTTP/1.1 100 Continue\r\n\r\n" + line + "Content-Length: 3\r\n\r\n", "yes", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			client := NewClient(Config{DialTimeout: time.Second})
			text := c.head + c.body
			for i := range 2 * len(text) {
				cut, reset := i/2, i%2 == 1
				reply, err := client.Call(t.Context(), testlib.CutAnswer(t, text[:cut], reset), Call{Name: "x", Body: "b"})
				if !c.framed && cut >= len(c.head) && !reset { // it ends with its connection
					is.NoErr(err)
					is.Equal(reply, Reply{Status: http.StatusOK, Body: text[len(c.head):cut]})
					continue
				}
				if !errors.Is(err, ErrIncomplete) {
					t.Errorf("cut after %q, reset %t: %+v, %v", text[:cut], reset, reply, err)
				}
			}
			reply, err := client.Call(t.Context(), testlib.CutAnswer(t, text, false), Call{Name: "x", Body: "b"})
			is.NoErr(err)
			is.Equal(reply, Reply{Status: http.StatusOK, Body: "yes"})
		})
	}
}
