package link_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

const (
	// answerTime is how long the server of an answer may take in tests.
	answerTime = 30 * time.Second
	sound      = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
)

// ask sends a request and returns the answer, read to its end.
func ask(t *testing.T, pool *link.Pool, s *testlib.RawServer, r link.Request) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	r.Target, r.Host, r.Header = "/", "upstream", http.Header{}
	x, err := pool.Do(ctx, s.Address, r)
	if err != nil {
		return 0, "", err
	}
	content, err := io.ReadAll(x.Response.Body)
	x.Close(time.Now(), err == nil)
	return x.Response.StatusCode, string(content), errors.Join(err, ctx.Err())
}

// eachExchange calls f for the ways in which an answer may reach a client: to a short and a long
// request, on a new and on a kept connection, whole and in pieces, and with resets.
func eachExchange(t *testing.T, a testlib.RawAnswer, f func(t *testing.T, c testlib.RawConfig, r link.Request)) {
	text := a.Text("X-Any: 1\r\n", "whole")
	for _, c := range []testlib.RawConfig{
		{Answer: text},
		{Answer: text, Piece: 7},
		{Answer: text, Reset: true},
		{Answer: text, Reset: true, Pause: 5 * time.Millisecond},
		{Answer: text, Early: true},
		{Answer: text, Early: true, Piece: 7, Reset: true, Pause: 5 * time.Millisecond},
	} {
		for _, size := range []int{0, 100, 256 << 10} {
			for _, first := range []string{"", sound} {
				name := fmt.Sprintf("%s/%d bytes, kept %t, pieces %d, early %t, reset %t %s", a.Name, size, first != "", c.Piece, c.Early, c.Reset, c.Pause)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					method := http.MethodPost
					if size == 0 {
						method = http.MethodGet
					}
					config := c
					config.First = first
					f(t, config, link.Request{Method: method, Body: make([]byte, size)})
				})
			}
		}
	}
}

// testMalformed checks that none of a list of answers counts as one.
func testMalformed(t *testing.T, list []testlib.RawAnswer) {
	for _, a := range list {
		eachExchange(t, a, func(t *testing.T, c testlib.RawConfig, r link.Request) {
			is := is.New(t)
			s := testlib.NewRawServer(t, c)
			pool := link.NewPool(link.Config{DialTimeout: answerTime, IdleTimeout: answerTime, MaxIdle: 1}, func() {})
			if c.First != "" {
				_, body, err := ask(t, pool, s, link.Request{Method: http.MethodGet})
				is.NoErr(err)
				is.Equal(body, "first")
			}
			status, body, err := ask(t, pool, s, r)
			if err == nil {
				t.Errorf("answer %d %q", status, body)
			}
			is.True(!errors.Is(err, context.DeadlineExceeded))
			is.True(!errors.Is(err, link.ErrNotSent)) // it may have run
			is.Equal(s.Requests(), 1)
			_, _, _ = ask(t, pool, s, link.Request{Method: http.MethodGet})
			is.Equal(s.Reuses(), 0)
		})
	}
}

// Guards against an answer whose status is none of HTTP: callers got it, or waited until their
// deadline for one that followed (MIXED).
func TestStatusThatIsNone(t *testing.T) { testMalformed(t, testlib.MalformedStatus()) }

// Guards against an answer with header lines that HTTP does not have: callers got it with that line,
// or with a body that was not the upstream's (MIXED).
func TestFieldThatIsNone(t *testing.T) { testMalformed(t, testlib.MalformedFields()) }

// Guards against an answer of which it is not certain where it ends: callers got another body than
// the upstream's (MIXED).
func TestLengthThatIsUncertain(t *testing.T) {
	testMalformed(t, slices.Concat(testlib.MalformedLengths(), testlib.MalformedBodies()))
}

// Guards against a body that comes after an answer that has none, and ahead of the answer to the next
// request on the connection.
func TestNoContentWithABody(t *testing.T) {
	const line = "HTTP/1.1 204 No Content\r\n"
	for _, c := range []struct {
		name, head string
		reused     int
	}{
		{"none", line + "\r\n", 1},
		{"length of 0", line + "Content-Length: 0\r\n\r\n", 1},
		{"length", line + "Content-Length: 5\r\n\r\n", 0},
		{"chunks", line + "Transfer-Encoding: chunked\r\n\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := testlib.NewRawServer(t, testlib.RawConfig{Answer: c.head})
			pool := link.NewPool(link.Config{DialTimeout: answerTime, IdleTimeout: answerTime, MaxIdle: 1}, func() {})
			status, body, err := ask(t, pool, s, link.Request{Method: http.MethodGet})
			is.NoErr(err)
			is.Equal(status, http.StatusNoContent)
			is.Equal(body, "")
			_, _, _ = ask(t, pool, s, link.Request{Method: http.MethodGet})
			is.Equal(s.Reuses(), c.reused)
		})
	}
}
