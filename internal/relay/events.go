package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 256 << 10

// Errors of readEvent.
var (
	errPartialEvent = errors.New("stream ended within an event")
	errEventTooLong = errors.New("event is too long")
)

// event is a server-sent event.
type event struct {
	bytes     []byte // as received, with the blank line that ends it
	id        string // empty if it has none
	ids       int    // number of lines with an id
	hasData   bool
	isComment bool // it has no fields
	isError   bool // its type is "error"
	malformed bool // a line of it is no field
}

// readEvent returns the next event.
func readEvent(r *bufio.Reader) (event, error) {
	e := event{isComment: true}
	for begin := 0; ; {
		part, err := r.ReadSlice('\n')
		e.bytes = append(e.bytes, part...)
		switch {
		case len(e.bytes) > maxEventBytes:
			return event{}, errEventTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.bytes)) > 0:
			return event{}, errPartialEvent
		case err != nil:
			return event{}, err //nolint:wrapcheck // by the caller
		}
		line := bytes.TrimRight(e.bytes[begin:], "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		e.addLine(line)
		begin = len(e.bytes)
	}
}

// addLine takes in a line of the event.
func (e *event) addLine(line []byte) {
	name, value, isField := bytes.Cut(line, []byte(":"))
	if isField && len(name) == 0 {
		return // a comment
	}
	e.isComment = false
	switch {
	case !isField:
		e.malformed = true
	case string(name) == "id":
		e.id = string(bytes.TrimSpace(value))
		e.ids++
	case string(name) == "data":
		e.hasData = true
	case string(name) == "event":
		e.isError = string(bytes.TrimSpace(value)) == "error"
	}
}

// isSound reports whether the event is one that an engine generated, as far as its form tells.
func (e *event) isSound() bool { return e.hasData && e.ids == 1 && !e.malformed && !e.isError }

// errOutOfOrder is the error of an event that does not follow the one before it.
var errOutOfOrder = errors.New("event is out of order")

// sequence tells which events may follow the ones that a caller has of a stream. If the first event
// has a number as its id, all of them do, and the numbers rise, over all answers that make up the
// stream. The zero value is that of a new stream.
type sequence struct {
	state sequenceState
	last  uint64 // id of the last event of a numbered stream
	steps sequenceSteps
}

type sequenceState int

const (
	noEvents   sequenceState = iota
	numbered                 // each event had a number
	unnumbered               // the first event had no number
)

// sequenceSteps tells by how much the ids of a stream rise.
type sequenceSteps int

const (
	unknownSteps sequenceSteps = iota
	singleSteps                // by one each time
	largerSteps
)

// resume begins with the id of the last event that a caller has of an earlier answer.
func (s *sequence) resume(id string) {
	if number, err := strconv.ParseUint(id, 10, 64); err == nil {
		s.state, s.last = numbered, number
	}
}

// resumable reports whether the stream can be resumed after its last event.
func (s *sequence) resumable() bool { return s.state != unnumbered }

// add takes in the next event. continues tells that the event does not come from the answer that
// began the stream. It returns errOutOfOrder for an event that must not follow.
func (s *sequence) add(e event, continues bool) error {
	if e.isComment || s.state == unnumbered {
		return nil
	}
	number, err := strconv.ParseUint(e.id, 10, 64)
	switch {
	case err != nil && s.state == noEvents && !continues:
		s.state = unnumbered
		return nil
	case err != nil, s.state == numbered && number <= s.last, continues && !e.isSound():
		return errOutOfOrder
	}
	switch step := number - s.last; {
	case s.state == noEvents && number > 1: // it may be the first of larger steps
	case step <= 1 && s.steps == unknownSteps:
		s.steps = singleSteps
	case step <= 1:
	case continues && s.steps == singleSteps: // an event is missing
		return errOutOfOrder
	default:
		s.steps = largerSteps
	}
	s.state, s.last = numbered, number
	return nil
}

// eventsType is the media type of a stream of events.
const eventsType = "text/event-stream"

// isStream reports whether an answer says that it is a stream of events.
func isStream(r *http.Response) bool {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return r.StatusCode == http.StatusOK && err == nil && media == eventsType
}
