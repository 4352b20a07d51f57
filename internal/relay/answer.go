package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/answer"
	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
	"github.com/tanagerlb/tanagerlb/platform"
)

const (
	// maxAnswerBytes limits the body of an answer that is not streamed: such an
	// answer is read before it is passed on.
	maxAnswerBytes = 8 << 20
	// shortAnswerBytes is the size up to which any number of answers is read at once.
	shortAnswerBytes = 64 << 10
	// maxLongAnswers is the number of longer answers that are read at once, so that they
	// fit in the memory of a small VM.
	maxLongAnswers = 4
)

var errAnswerTooLong = errors.New("answer is too long")

// isAnswer reports whether an answer belongs to the request: it has the request's id, or it has none
// and no other request was sent on its connection. The connection of an answer without an id is not
// reused, as a late copy of it could not be told from the answer to the next request.
func (x *exchange) isAnswer(u roster.Upstream, e *link.Exchange, reply platform.ResponseInfo) bool {
	if e.Skipped > 0 {
		x.config.Metrics.AnswersSkipped(e.Skipped)
		x.config.Logger.Info("relay: skipped answers to earlier requests", zap.String("request", x.call.ID), zap.String("upstream", u.ID), zap.Int("answers", e.Skipped))
	}
	if reply.ID == "" {
		e.Response.Close = true
		return !e.Reused
	}
	return reply.ID == x.call.ID
}

// defect returns why the caller must not get an answer; empty if it may.
func (x *exchange) defect(response *http.Response, reply platform.ResponseInfo) string {
	switch {
	case !reply.Signed:
		return "answer bears no signature"
	case answer.IsEncoded(response) && !x.takesEncoded():
		return "answer is encoded"
	default:
		return ""
	}
}

// takesEncoded reports whether the caller may get an encoded body: it has asked for one, and the body
// is not that of an engine, whose events are read on the way.
func (x *exchange) takesEncoded() bool {
	encodings := x.r.Header.Get("Accept-Encoding")
	return x.service.Engine == nil && encodings != "" && encodings != "identity"
}

// readAnswer reads the body of an answer that is not streamed, and ends the exchange.
func (x *exchange) readAnswer(e *link.Exchange) ([]byte, error) {
	held := &heldReader{Reader: e.Response.Body, exchange: x, left: heldPiece}
	body, err := io.ReadAll(io.LimitReader(held, shortAnswerBytes))
	if err == nil && len(body) == shortAnswerBytes {
		body, err = x.readLongAnswer(body, held)
	}
	e.Close(time.Now(), err == nil)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return body, nil
}

// heldPiece is the size of the pieces of answers for which room is asked for. There is room for the
// first one with the request.
const heldPiece = 16 << 10

// heldReader reads an answer for which there must be room among what callers hold.
type heldReader struct {
	io.Reader
	exchange *exchange
	left     int // bytes for which there is room
}

// Read implements io.Reader.
func (h *heldReader) Read(b []byte) (int, error) {
	hold := h.exchange.config.Hold
	if hold == nil {
		return h.Reader.Read(b) //nolint:wrapcheck // wraps the reader transparently
	}
	if h.left == 0 {
		// What was read is copied once at the end.
		if err := hold(h.exchange.ctx, 2*heldPiece); err != nil {
			return 0, err
		}
		h.left = heldPiece
	}
	n, err := h.Reader.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err //nolint:wrapcheck // wraps the reader transparently
}

// readLongAnswer reads the rest of an answer that begins with a text.
func (x *exchange) readLongAnswer(begin []byte, body io.Reader) ([]byte, error) {
	if err := x.longAnswers.Acquire(x.ctx, 1); err != nil {
		return nil, err //nolint:wrapcheck // by readAnswer
	}
	defer x.longAnswers.Release(1)
	rest, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes-shortAnswerBytes+1))
	if err == nil && len(begin)+len(rest) > maxAnswerBytes {
		err = errAnswerTooLong
	}
	return append(begin, rest...), err //nolint:wrapcheck // by readAnswer
}

// discard reads the short body of an answer that is not needed, so that its connection can be
// reused, and ends the exchange.
func discard(e *link.Exchange) {
	n, err := io.Copy(io.Discard, io.LimitReader(e.Response.Body, shortAnswerBytes))
	e.Close(time.Now(), err == nil && n < shortAnswerBytes)
}
