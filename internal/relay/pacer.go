package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/pace"
	"github.com/tanagerlb/tanagerlb/platform"
)

// Pacer keeps to the request rates that upstreams name.
type Pacer interface {
	// Take counts a request of an organisation ("" for none) that is to be sent to an upstream
	// and returns 0, or returns after what time to ask again because the upstream's limit does
	// not allow it.
	Take(ctx context.Context, upstream, organisation string) time.Duration
	// Observe records what an answer of an upstream says of its limit.
	Observe(upstream string, o pace.Observation)
}

// observe records what the head of an answer says of the upstream.
func (x *exchange) observe(r *sentRun, reply platform.ResponseInfo) {
	x.observeLimit(r, reply)
	if reply.Leaving {
		x.config.Leaving(r.upstream)
	}
	if reply.RetryAfter > 0 {
		x.pauses.note(time.Now(), r.upstream, reply.RetryAfter)
		x.config.Logger.Info("relay: upstream wants no requests", zap.String("request", x.call.ID), zap.String("upstream", r.upstream.ID), zap.Duration("for", reply.RetryAfter))
	}
	for _, h := range reply.Malformed {
		x.config.Metrics.HeaderIgnored(h.Name)
		x.headerLog.warn(x.config.Logger, time.Now(), r.upstream.ID, h)
	}
}

// observeLimit records what the head of an answer says of the upstream's limit. An answer
// without the upstream's signature says nothing.
func (x *exchange) observeLimit(r *sentRun, reply platform.ResponseInfo) {
	if !reply.Signed && !reply.Limit.Named {
		return
	}
	x.config.Pacer.Observe(r.upstream.ID, pace.Observation{Limit: reply.Limit, Sent: r.sent, At: time.Now()})
}
