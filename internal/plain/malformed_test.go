package plain

import (
	"context"
	"errors"
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
