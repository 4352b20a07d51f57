package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/platform"
)

const (
	// headerLogInterval is the least time between two log lines on a malformed header of an
	// upstream, as each of its answers may have one.
	headerLogInterval = time.Minute
	// maxHeaderLog bounds the number of headers for which the last line is remembered.
	maxHeaderLog = 1000
	// maxHeaderText bounds the part of a malformed value that is logged, in bytes.
	maxHeaderText = 40
)

// headerLog logs malformed headers of upstreams, each one only now and then.
type headerLog struct {
	mu   sync.Mutex
	last map[headerKey]time.Time
}

type headerKey struct{ upstream, name string }

func (l *headerLog) warn(logger *zap.Logger, now time.Time, upstream string, h platform.Header) {
	key := headerKey{upstream: upstream, name: h.Name}
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.last[key]; ok && now.Sub(at) < headerLogInterval {
		return
	}
	if l.last == nil || len(l.last) >= maxHeaderLog {
		l.last = map[headerKey]time.Time{}
	}
	l.last[key] = now
	logger.Warn("relay: header of an upstream is ignored", zap.String("upstream", upstream), zap.String("header", h.Name),
		zap.String("value", h.Value[:min(len(h.Value), maxHeaderText)]))
}
