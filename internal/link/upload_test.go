package link_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

// uploadPlays is how often an exchange is played in which the upstream's reset may reach the write of
// the request or the read of the answer.
const uploadPlays = 30

// Guards against an answer that counts as complete although its upstream has reset the connection,
// when the reset is reported to the write of a long request and the read then finds the end of the
// connection (MIXED).
func TestAnswerThatIsResetDuringTheUploadIsIncomplete(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\n\r\n"
	for _, c := range []struct {
		name     string
		config   testlib.RawConfig
		complete bool
	}{
		{"no length, reset at once", testlib.RawConfig{Answer: unframed + "part", Early: true, Reset: true}, false},
		{"no length, reset after a pause", testlib.RawConfig{Answer: unframed + "part", Early: true, Reset: true, Pause: 2 * time.Millisecond}, false},
		{"no length, no body", testlib.RawConfig{Answer: unframed, Early: true, Reset: true, Pause: 2 * time.Millisecond}, false},
		{"HTTP/1.0", testlib.RawConfig{Answer: "HTTP/1.0 200 OK\r\n\r\npart", Early: true, Reset: true, Pause: 2 * time.Millisecond}, false},
		{"pieces", testlib.RawConfig{Answer: unframed + "part", Piece: 7, Early: true, Reset: true}, false},
		{"part of a length", testlib.RawConfig{Answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", Early: true, Reset: true, Pause: 2 * time.Millisecond}, false},
		{"a length", testlib.RawConfig{Answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", Early: true, Reset: true, Pause: 2 * time.Millisecond}, true},
		{"no length, ends and reads on", testlib.RawConfig{Answer: unframed + "part", Early: true, End: true}, true},
		{"no length, reset after the upload", testlib.RawConfig{Answer: unframed + "part", Reset: true, Pause: 2 * time.Millisecond}, false},
	} {
		for _, first := range []string{"", sound} {
			name := c.name
			if first != "" {
				name += ", kept connection"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				upload, incomplete := make([]byte, bodySize), 0
				config := c.config
				config.First = first
				for range uploadPlays {
					is := is.New(t)
					s := testlib.NewRawServer(t, config)
					pool := link.NewPool(link.Config{DialTimeout: answerTime, IdleTimeout: answerTime, MaxIdle: 1}, func() {})
					if first != "" {
						_, _, err := ask(t, pool, s, link.Request{Method: http.MethodGet})
						is.NoErr(err)
					}
					_, body, err := ask(t, pool, s, link.Request{Method: http.MethodPost, Body: upload})
					if err != nil {
						incomplete++
					} else {
						is.Equal(body, "part")
					}
				}
				if c.complete && incomplete > 0 || !c.complete && incomplete < uploadPlays {
					t.Errorf("%d of %d answers are incomplete", incomplete, uploadPlays)
				}
			})
		}
	}
}

// Guards against a complete answer that is held until the deadline, as its upstream takes no more of
// the request.
func TestAnswerEndsWhileItsRequestIsNotTaken(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := testlib.NewRawServer(t, testlib.RawConfig{Answer: "HTTP/1.1 200 OK\r\n\r\nwhole", Early: true, End: true, Pause: answerTime})
	pool := link.NewPool(link.Config{DialTimeout: answerTime, IdleTimeout: answerTime, MaxIdle: 1}, func() {})
	_, body, err := ask(t, pool, s, link.Request{Method: http.MethodPost, Body: make([]byte, bodySize)})
	is.NoErr(err)
	is.Equal(body, "whole")
}
