package testlib

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// RawAnswer is an answer of a server, which need not be sound. Empty parts stand for those of a sound
// answer with status 200.
type RawAnswer struct {
	Name    string
	Line    string // status line, without its end
	Before  string // lines before the other header lines, with their ends
	After   string // lines after them, with their ends
	Framing string // the last header lines, which tell where the body ends, with their ends
	Body    func(content string) string
}

// Text returns the answer with further header lines and the content of its body.
func (a RawAnswer) Text(headers, content string) string {
	line, framing, body := a.Line, a.Framing, content
	if line == "" {
		line = "HTTP/1.1 200 OK"
	}
	if a.Body != nil {
		body = a.Body(content)
	}
	if framing == "" {
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return line + "\r\n" + a.Before + headers + a.After + framing + "\r\n" + body
}

// RawConfig says what a RawServer sends.
type RawConfig struct {
	First  string        // answer to the first request on a connection; Answer if empty
	Answer string        // answer to each other request
	Piece  int           // size of the pieces in which Answer is sent; 0 for the whole
	Early  bool          // Answer is sent before the body of its request is read
	Reset  bool          // the connection is reset after Answer
	End    bool          // the server's side of the connection is ended after Answer
	Pause  time.Duration // from Answer to the reset, or until the rest of the body is read
}

// RawServer is a server whose answers need not be sound.
type RawServer struct {
	Address  netip.AddrPort
	config   RawConfig
	listener net.Listener
	requests atomic.Int64
	reuses   atomic.Int64
}

// pieceInterval is the time between two pieces of an answer.
const pieceInterval = 200 * time.Microsecond

// arrivalTime is how long what was sent may take to arrive before the connection is reset.
const arrivalTime = 20 * time.Millisecond

// rawAddress differs from the addresses of other listeners, as some tests check that nobody listens on a
// port that they gave back.
const rawAddress = "127.0.0.2:0"

// windowBytes is about what a connection of a RawServer takes of a body that is not read.
const windowBytes = 64 << 10

// NewRawServer starts a server, which ends with the test.
func NewRawServer(t testing.TB, c RawConfig) *RawServer {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", rawAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &RawServer{Address: netip.MustParseAddrPort(listener.Addr().String()), config: c, listener: listener}
	go s.run()
	return s
}

// CutAnswer returns the address of a RawServer that sends a text in answer to a request, and then ends or
// resets the connection.
func CutAnswer(t testing.TB, text string, reset bool) netip.AddrPort {
	t.Helper()
	return NewRawServer(t, RawConfig{Answer: text, End: !reset, Reset: reset, Pause: arrivalTime}).Address
}

// Requests returns the number of requests that were answered with Answer.
func (s *RawServer) Requests() int { return int(s.requests.Load()) }

// Reuses returns the number of requests that arrived after Answer on the same connection.
func (s *RawServer) Reuses() int { return int(s.reuses.Load()) }

func (s *RawServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			go (&rawConn{TCPConn: tcp, server: s}).run()
		}
	}
}

// rawConn is a connection of a RawServer.
type rawConn struct {
	*net.TCPConn
	server *RawServer
}

func (c *rawConn) run() {
	defer func() { _ = c.Close() }()
	config := c.server.config
	r := bufio.NewReader(c)
	for first := config.First; ; first = "" {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if first != "" {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(c, first)
			continue
		}
		c.server.requests.Add(1)
		c.answer(request)
		break
	}
	if config.Reset {
		time.Sleep(config.Pause)
		_ = c.SetLinger(0)
		return
	}
	if _, err := http.ReadRequest(r); err == nil {
		c.server.reuses.Add(1)
	}
}

func (c *rawConn) answer(request *http.Request) {
	config := c.server.config
	if !config.Early {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	for text := config.Answer; text != ""; {
		size := len(text)
		if config.Piece > 0 {
			size = min(size, config.Piece)
			time.Sleep(pieceInterval)
		}
		if _, err := io.WriteString(c, text[:size]); err != nil {
			return
		}
		text = text[size:]
	}
	if config.End {
		_ = c.CloseWrite()
	}
	if config.Early && !config.Reset {
		time.Sleep(config.Pause)
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// MalformedStatus returns answers without a status that HTTP has.
func MalformedStatus() []RawAnswer {
	var list []RawAnswer
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
		"HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 2x0 OK",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1 200 O\x01K", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "http/1.1 200 OK", "ICY 200 OK",
	} {
		list = append(list, RawAnswer{Name: strings.ReplaceAll(line, "/", " "), Line: line})
	}
	return list
}

// MalformedFields returns answers with header lines that HTTP does not have, some of which tell
// where the body ends.
func MalformedFields() []RawAnswer {
	var list []RawAnswer
	for name, line := range map[string]string{
		"blank in a name": "X Y: 1\r\n", "blank after a name": "X : 1\r\n", "blank before a name": " X: 1\r\n",
		"tab in a name": "X\tY: 1\r\n", "tab before a name": "\tX: 1\r\n", "no name": ": 1\r\n", "no colon": "X\r\n",
		"control byte in a name": "X\x01Y: 1\r\n", "NUL in a name": "X\x00: 1\r\n", "DEL in a name": "X\x7f: 1\r\n",
		"return in a name": "X\rY: 1\r\n", "line feed in a name": "X\nY: 1\r\n", "line feed before a name": "\nX: 1\r\n",
		"bracket in a name": "X(Y: 1\r\n", "byte beyond ASCII in a name": "X\xe9: 1\r\n", "long name with a blank": strings.Repeat("x", 5000) + " : 1\r\n",
		"control byte in a value": "X: a\x01b\r\n", "return in a value": "X: a\rb\r\n", "line feed after a value": "X: a\nY: b\r\n",
	} {
		list = append(list, RawAnswer{Name: name, Before: line}, RawAnswer{Name: name + ", last line", After: line})
	}
	return append(
		list,
		RawAnswer{Name: "blank after Transfer-Encoding", Framing: "Transfer-Encoding : chunked\r\n", Body: Chunked},
		RawAnswer{Name: "blank before Transfer-Encoding", Framing: " Transfer-Encoding: chunked\r\n", Body: Chunked},
		RawAnswer{Name: "blank after Content-Length", Framing: "Content-Length : 1\r\n"},
		RawAnswer{Name: "tab before Content-Length", Framing: "\tContent-Length: 1\r\n"},
	)
}

// MalformedLengths returns answers that do not tell where their bodies end.
func MalformedLengths() []RawAnswer {
	return []RawAnswer{
		{Name: "length and chunks", Framing: "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", Body: Chunked},
		{Name: "chunks in HTTP 1.0", Line: "HTTP/1.0 200 OK", Framing: "Transfer-Encoding: chunked\r\n", Body: Chunked},
		{Name: "length and chunks in HTTP 1.0", Line: "HTTP/1.0 200 OK", Framing: "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", Body: Chunked},
		{Name: "two lengths", Framing: "Content-Length: 1\r\nContent-Length: 2\r\n"},
		{Name: "list of two lengths", Framing: "Content-Length: 1, 2\r\n"},
		{Name: "length with a sign", Framing: "Content-Length: +1\r\n"},
		{Name: "length below zero", Framing: "Content-Length: -1\r\n"},
		{Name: "length that is no number", Framing: "Content-Length: 1x\r\n"},
		{Name: "empty length", Framing: "Content-Length:\r\n"},
		{Name: "length beyond 64 bits", Framing: "Content-Length: 99999999999999999999\r\n"},
		{Name: "another encoding", Framing: "Transfer-Encoding: gzip, chunked\r\n", Body: Chunked},
		{Name: "chunked twice", Framing: "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", Body: Chunked},
		{Name: "informational answer with a length", Line: "HTTP/1.1 103 Early Hints\r\nContent-Length: 1\r\n\r\nHTTP/1.1 200 OK"},
		{Name: "informational answer with chunks", Line: "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK"},
	}
}

// MalformedBodies returns answers whose heads are sound.
func MalformedBodies() []RawAnswer {
	return []RawAnswer{
		{Name: "chunk without a size", Framing: "Transfer-Encoding: chunked\r\n", Body: func(content string) string { return "\r\n" + Chunked(content) }},
		{Name: "chunk size with a sign", Framing: "Transfer-Encoding: chunked\r\n", Body: func(content string) string { return "+" + Chunked(content) }},
		{Name: "chunk longer than its size", Framing: "Transfer-Encoding: chunked\r\n", Body: func(content string) string { return "1\r\n" + content + "\r\n0\r\n\r\n" }},
		{Name: "trailer that is no field", Framing: "Transfer-Encoding: chunked\r\n", Body: func(content string) string { return strings.TrimSuffix(Chunked(content), "\r\n") + "X\r\n\r\n" }},
	}
}

// Chunked returns a content as a body in one chunk.
func Chunked(content string) string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(content), content)
}

// MalformedHeads returns answers whose heads are none of HTTP/1.1.
func MalformedHeads() []RawAnswer {
	return slices.Concat(MalformedStatus(), MalformedFields(), MalformedLengths())
}
