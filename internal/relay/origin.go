package relay

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/origin"
)

// Origins knows which version of the engines' software began each stream that callers may take
// up again, at any VM.
type Origins interface {
	// Begin records who began a stream. It is called before an event of the stream is passed on.
	Begin(now time.Time, stream string, o origin.Origin)
	// Find returns who began a stream of a service. maxAge is how long ago that may have been. A
	// stream without an id is known only if all engines have had one version.
	Find(ctx context.Context, service, stream string, maxAge time.Duration) Found
}

// Found tells which version of the engines' software began a stream.
type Found struct {
	Known    bool
	Software string
	Source   string // how it is known, for logs
}

const (
	// streamAge times a route's timeout is the longest time for which a caller takes a stream up
	// again after it began.
	streamAge = 2
	// defaultStreamAge applies to routes without a timeout.
	defaultStreamAge = time.Minute
)

// reasonUnknownOrigin and reasonNoSoftware are the reasons with which a request that resumes a
// stream is refused.
const (
	reasonUnknownOrigin = "it is not known which software began the stream"
	reasonNoSoftware    = "no engine has the software that began the stream"
)

// findOrigin finds out at which version of the engines' software a stream that the caller
// resumes may go on. If that is not known, it refuses the request and returns false.
func (x *exchange) findOrigin() bool {
	if x.call.LastEventID == "" || !x.route.Resumable {
		return true
	}
	maxAge := streamAge * x.route.Timeout
	if maxAge == 0 {
		maxAge = defaultStreamAge
	}
	stream := cmp.Or(x.call.Stream, x.promptName())
	found := x.config.Origins.Find(x.ctx, x.service.Name, stream, maxAge)
	x.config.Metrics.StreamResumed(found.Source)
	x.config.Logger.Info("relay: resumes a stream", zap.String("request", x.call.ID), zap.String("stream", stream), zap.String("event", x.call.LastEventID),
		zap.Bool("known", found.Known), zap.String("software", found.Software), zap.String("source", found.Source), zap.Duration("after", time.Since(x.started)))
	if !found.Known {
		x.refuse(reasonUnknownOrigin, retryAfter)
		return false
	}
	x.software = &found.Software
	return true
}

// noteOrigin records who began the stream, before its first event from an engine is passed on. A
// stream that goes on is recorded again, as the VMs that knew it may be gone. It is recorded by the
// id of the caller's first attempt, and by its prompt, as callers need not name that attempt.
func (x *exchange) noteOrigin(software string) {
	if !x.route.Resumable || x.headersSent {
		return
	}
	x.software = &software
	stream := x.call.ID
	if x.call.LastEventID != "" {
		stream = x.call.Stream
	}
	for _, name := range []string{stream, x.promptName()} {
		if name != "" {
			x.config.Origins.Begin(time.Now(), name, origin.Origin{Service: x.service.Name, Software: software})
		}
	}
}

// promptName returns a name of the stream that is the same for each of its caller's attempts, or ""
// if there is none. The last part of a prompt is that of the request or its session alone.
func (x *exchange) promptName() string {
	if len(x.call.PromptParts) == 0 {
		return ""
	}
	return fmt.Sprintf("prompt %x %v %d %d", x.contentHash(), x.call.PromptParts, x.call.PromptTokens, x.call.MaxTokens)
}
