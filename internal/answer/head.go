package answer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that the bytes that arrived are not an answer of HTTP/1.1.
var ErrMalformed = errors.New("malformed answer")

var errHeadTooLong = fmt.Errorf("%w: head is too long", ErrMalformed)

// maxHeadBytes limits the head of an answer, with the informational answers (1xx)
// before it.
const maxHeadBytes = 64 << 10

// head is the head of an answer as it arrived.
type head struct {
	text   []byte // with the empty line that ends it
	bare   bool   // its lines end with a line feed alone
	minor  byte   // minor version of HTTP, as a digit
	status int    // 0 before the status line
	length bool   // it has Content-Length
	coding bool   // it has Transfer-Encoding
}

// readHead reads a head of at most limit bytes. It fails at the first line that is malformed, as more
// lines may never come.
func (r *Reader) readHead(limit int) (head, error) {
	var h head
	if err := r.expect(versionPrefix); err != nil {
		return h, err
	}
	h.text = make([]byte, 0, r.buffer.Buffered())
	for {
		line, err := r.readLine(&h, limit)
		if err != nil {
			return h, err
		}
		switch {
		case h.status == 0:
			err = h.addStatus(line)
		case len(line) == 0:
			return h, h.checkFraming()
		default:
			err = h.addField(line)
		}
		if err != nil {
			return h, err
		}
	}
}

// expect fails at the first byte that differs from a text, which remains to be read.
func (r *Reader) expect(text string) error {
	for n := range len(text) {
		got, err := r.buffer.Peek(n + 1)
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err //nolint:wrapcheck // the error of the connection
		case got[n] != text[n]:
			return fmt.Errorf("%w: begins with %q", ErrMalformed, got)
		}
	}
	return nil
}

// readLine appends the next line to a head and returns the line without its end.
func (r *Reader) readLine(h *head, limit int) ([]byte, error) {
	begin := len(h.text)
	for {
		part, err := r.buffer.ReadSlice('\n')
		h.text = append(h.text, part...)
		switch {
		case len(h.text) > limit:
			return nil, errHeadTooLong
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err //nolint:wrapcheck // the error of the connection
		default:
			return h.trimEnd(begin)
		}
	}
}

// trimEnd returns the last line, which begins at an index, without its end. Lines may end with a bare
// line feed if all of them do; in a head with other line ends it is a byte of a name or value.
func (h *head) trimEnd(begin int) ([]byte, error) {
	line := h.text[begin : len(h.text)-1]
	line, returned := bytes.CutSuffix(line, []byte("\r"))
	if begin == 0 {
		h.bare = !returned
	}
	if h.bare == returned {
		return nil, fmt.Errorf("%w: line feed after %.100q", ErrMalformed, line)
	}
	return line, nil
}

// versionPrefix is the beginning of each answer.
const versionPrefix = "HTTP/1."

// joinedLine matches the beginning of another answer within a line.
var joinedLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// isJoined reports whether a line holds the beginning of another answer.
func isJoined(line []byte) bool {
	return bytes.Contains(line, []byte(versionPrefix)) && joinedLine.Match(line)
}

// errJoined means that the head of an answer was cut off, and that of the next one goes on in it. Such
// an answer may have the status of the one and the id of the other.
var errJoined = fmt.Errorf("%w: its head goes on with that of another one", ErrMalformed)

// addStatus takes in the status line (RFC 9112, section 4). A client does not ask for another protocol,
// so that no answer may switch to one.
func (h *head) addStatus(line []byte) error {
	const begin, end = len("HTTP/1.1 "), len("HTTP/1.1 200")
	if len(line) < end || line[begin-1] != ' ' || !areDigits(line[begin-2:begin-1]) || !areDigits(line[begin:end]) {
		return fmt.Errorf("%w: status line %.100q", ErrMalformed, line)
	}
	reason := line[end:]
	if len(reason) > 0 && reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return fmt.Errorf("%w: reason in %.100q", ErrMalformed, line)
	}
	if isJoined(reason) {
		return errJoined
	}
	status, err := strconv.Atoi(string(line[begin:end]))
	if err != nil || status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %s", ErrMalformed, line[begin:end])
	}
	h.minor, h.status = line[begin-2], status
	return nil
}

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

func areDigits(text []byte) bool {
	return !bytes.ContainsFunc(text, func(r rune) bool { return r < '0' || r > '9' })
}

// addField takes in a header line (RFC 9112, section 5). It may not continue the line before it, which a
// proxy may refuse, since a blank before the name of a field would make it a part of another one.
func (h *head) addField(line []byte) error {
	if isJoined(line) {
		return errJoined
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
		return fmt.Errorf("%w: header line %.100q", ErrMalformed, line)
	}
	h.length = h.length || bytes.EqualFold(name, []byte("Content-Length"))
	h.coding = h.coding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return nil
}

// errFraming means that two clients may take different bytes for the body of an answer.
var errFraming = fmt.Errorf("%w: length of the body is uncertain", ErrMalformed)

// announcesBody reports whether an answer that has no body (204) announces one. It may follow, and then
// comes before the next answer.
func (h *head) announcesBody(fields http.Header) bool {
	length := fields.Get("Content-Length")
	return h.status == http.StatusNoContent && (h.coding || length != "" && length != "0")
}

// checkFraming checks the fields that tell where the body ends (RFC 9112, section 6), as far as net/http
// does not. An informational answer has no body, and neither of them.
func (h *head) checkFraming() error {
	informational := h.status < http.StatusOK
	switch {
	case h.coding && (h.length || h.minor == '0' || informational), h.length && informational:
		return errFraming
	default:
		return nil
	}
}
