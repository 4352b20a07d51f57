// Package answer reads the answers of HTTP/1.1 servers. All clients of tanagerlb use
// it, so that there is one place that decides what an answer is.
package answer

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"slices"
)

const (
	// maxHeadBytes limits the head of an answer, with the informational answers (1xx)
	// before it.
	maxHeadBytes = 64 << 10
	// bufferSize is the size of a read buffer in bytes: enough for the headers of
	// an answer or a few events.
	bufferSize = 4 << 10
)

var (
	errHeadTooLong = errors.New("head of the answer is too long")
	// errJoined means that the head of an answer was cut off, and that of the next one goes on in it.
	errJoined = errors.New("head of an answer goes on with that of another one")
)

// Reader reads the answers that arrive on a connection, one after the other. It is not
// safe for concurrent use.
type Reader struct {
	source source
	buffer *bufio.Reader
}

// source is a connection whose bytes are limited while a head is read.
type source struct {
	conn     io.Reader
	headLeft int // number of bytes that may still be read before the head of the answer ends; negative after that
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.headLeft == 0 {
		return 0, errHeadTooLong
	}
	if s.headLeft > 0 {
		p = p[:min(len(p), s.headLeft)]
	}
	n, err := s.conn.Read(p)
	if s.headLeft > 0 {
		s.headLeft -= n
	}
	return n, err //nolint:wrapcheck // an io.Reader
}

// NewReader returns a reader of the answers on a connection.
func NewReader(conn io.Reader) *Reader {
	r := &Reader{source: source{conn: conn, headLeft: -1}}
	r.buffer = bufio.NewReaderSize(&r.source, bufferSize)
	return r
}

// Await waits for the first byte of the next answer.
func (r *Reader) Await() error {
	_, err := r.buffer.Peek(1)
	return err //nolint:wrapcheck // the error of the connection
}

// Buffered returns the number of bytes that have arrived after the last answer.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// Read reads the head of the next answer to a request with a method, skipping informational
// answers. The body of the answer must be read before the next one.
func (r *Reader) Read(method string) (*http.Response, error) {
	request := &http.Request{Method: method, URL: &url.URL{Path: "/"}}
	r.source.headLeft = maxHeadBytes
	defer func() { r.source.headLeft = -1 }()
	for {
		response, err := http.ReadResponse(r.buffer, request)
		if err == nil && isJoined(response) {
			err = errJoined
		}
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err //nolint:wrapcheck // the callers name what they request
		}
	}
}

// IsFramed reports whether the end of an answer's body is marked, by its length or its chunks.
func IsFramed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// statusLine matches the beginning of an answer.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// isJoined reports whether the head of an answer holds the beginning of another one. Such an answer
// may have the status of the one and the id of the other.
func isJoined(r *http.Response) bool {
	if statusLine.MatchString(r.Status) {
		return true
	}
	for name, values := range r.Header {
		if statusLine.MatchString(name) || slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}
