package plain

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

// An answer may have neither a length nor chunks and end with its connection. One that is
// reset on the way is not whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	for _, c := range []struct {
		name, text string
		reset      bool
		whole      bool
	}{
		{"closed", "HTTP/1.1 200 OK\r\n\r\nyes", false, true},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nyes", false, true},
		{"reset", "HTTP/1.1 200 OK\r\n\r\nyes", true, false},
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nyes", false, false},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := NewClient(Config{DialTimeout: time.Second})
			reply, err := client.Call(t.Context(), testlib.CutAnswer(t, c.text, c.reset), Call{Name: "x", Body: "b"})
			if !c.whole {
				is.True(errors.Is(err, ErrIncomplete))
				return
			}
			is.NoErr(err)
			is.Equal(reply, Reply{Status: http.StatusOK, Body: "yes"})
		})
	}
}
