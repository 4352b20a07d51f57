package plain

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

// Guards against a call that ends with an answer that is none of HTTP, which callers of tanagerlb serve
// got as a reply: it may have run.
func TestMalformedAnswerIsNoReply(t *testing.T) {
	for _, a := range testlib.MalformedHeads() {
		t.Run(a.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := testlib.NewRawServer(t, testlib.RawConfig{Answer: a.Text("X-Any: 1\r\n", "yes")})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := NewClient(Config{DialTimeout: time.Second}).Call(ctx, s.Address, Call{Name: "x", Body: "b"})
			is.True(errors.Is(err, ErrIncomplete))
			is.True(!errors.Is(err, context.DeadlineExceeded))
			is.Equal(s.Requests(), 1)
		})
	}
}

// Guards against a part of a reply that counts as a whole one, since the upstream has reset the
// connection while a long call was sent.
func TestReplyThatIsResetDuringTheUploadIsIncomplete(t *testing.T) {
	const plays, upload = 10, 8 << 20
	client := NewClient(Config{DialTimeout: time.Second})
	for range plays {
		is := is.New(t)
		s := testlib.NewRawServer(t, testlib.RawConfig{Answer: "HTTP/1.1 200 OK\r\n\r\npart", Early: true, Reset: true})
		_, err := client.Call(t.Context(), s.Address, Call{Name: "x", Body: strings.Repeat("x", upload)})
		is.True(errors.Is(err, ErrIncomplete))
		is.Equal(s.Requests(), 1)
	}
}

// Guards against an encoded body that callers get as the reply, which has no field for its encoding.
func TestEncodedAnswerIsNoReply(t *testing.T) {
	is := is.New(t)
	s := testlib.NewRawServer(t, testlib.RawConfig{Answer: "HTTP/1.1 200 OK\r\nContent-Encoding: br\r\nContent-Length: 1\r\n\r\nx"})
	_, err := NewClient(Config{DialTimeout: time.Second}).Call(t.Context(), s.Address, Call{Name: "x", Body: "b"})
	is.True(errors.Is(err, ErrIncomplete))
}
