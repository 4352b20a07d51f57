// Package answer reads the answers of HTTP/1.1 servers. All clients of tanagerlb use
// it, so that there is one place that decides what an answer is.
package answer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// bufferSize is the size of a read buffer in bytes: enough for the headers of
// an answer or a few events.
const bufferSize = 4 << 10

// Reader reads the answers that arrive on a connection, one after the other. It is not
// safe for concurrent use.
type Reader struct {
	source source
	buffer *bufio.Reader
}

// source returns bytes that were read before, and then those of a connection.
type source struct {
	unread []byte
	conn   io.Reader
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if len(s.unread) > 0 {
		n := copy(p, s.unread)
		if s.unread = s.unread[n:]; len(s.unread) == 0 {
			s.unread = nil // frees the memory
		}
		return n, nil
	}
	return s.conn.Read(p) //nolint:wrapcheck // an io.Reader
}

// NewReader returns a reader of the answers on a connection.
func NewReader(conn io.Reader) *Reader {
	r := &Reader{source: source{conn: conn}}
	r.buffer = bufio.NewReaderSize(&r.source, bufferSize)
	return r
}

// Await waits for the first byte of the next answer.
func (r *Reader) Await() error {
	_, err := r.buffer.Peek(1)
	return err //nolint:wrapcheck // the error of the connection
}

// Buffered returns the number of bytes that have arrived after the last answer.
func (r *Reader) Buffered() int { return r.buffer.Buffered() + len(r.source.unread) }

// Request is what the answer to a request depends on.
type Request struct {
	Method string
	// Sent waits until the request was sent, and returns an error if the connection was reset meanwhile.
	// It is called at the end of an answer that ends with its connection.
	Sent func() error
}

// Read reads the head of the next answer to a request, skipping informational answers. The body of the
// answer must be read before the next one. An error wraps ErrMalformed if the head is none of HTTP/1.1;
// heads are checked before net/http parses them, as it accepts more than RFC 9112 does.
func (r *Reader) Read(request Request) (*http.Response, error) {
	for limit := maxHeadBytes; ; {
		h, err := r.readHead(limit)
		if err != nil {
			return nil, err
		}
		limit -= len(h.text)
		if h.status < http.StatusOK {
			continue
		}
		r.unread(h.text)
		response, err := http.ReadResponse(r.buffer, &http.Request{Method: request.Method, URL: &url.URL{Path: "/"}})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		response.Close = response.Close || h.announcesBody(response.Header)
		if !IsFramed(response) && response.Body != http.NoBody {
			response.Body = unframedBody{ReadCloser: response.Body, sent: request.Sent}
		}
		return response, nil
	}
}

// unread makes a text that was read last the next to be read.
func (r *Reader) unread(text []byte) {
	rest, _ := r.buffer.Peek(r.buffer.Buffered()) // never fails, as all of it is buffered
	r.source.unread = append(append(text, rest...), r.source.unread...)
	r.buffer.Reset(&r.source)
}

// unframedBody is the body of an answer that ends with its connection. It is complete only if that was
// not reset (RFC 9112, section 8).
type unframedBody struct {
	io.ReadCloser
	sent func() error
}

// Read implements io.Reader.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if sendErr := b.sent(); sendErr != nil {
			return n, fmt.Errorf("connection ended while the request was sent: %w", sendErr)
		}
	}
	return n, err //nolint:wrapcheck // an io.Reader
}

// IsFramed reports whether the end of an answer's body is marked, by its length or its chunks.
func IsFramed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// IsEncoded reports whether the body of an answer is encoded, so that it is not the one that the upstream
// made.
func IsEncoded(r *http.Response) bool {
	encoding := r.Header.Get("Content-Encoding")
	return encoding != "" && encoding != "identity"
}
