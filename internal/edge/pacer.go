package edge

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/pace"
)

// pacer gives the request path access to the limits that upstreams name.
type pacer struct {
	post  func(event)
	rates atomic.Pointer[map[string]float64] // named limits by upstream, as the control loop knows them
}

func newPacer(post func(event)) *pacer {
	p := &pacer{post: post}
	p.rates.Store(&map[string]float64{})
	return p
}

// limitObserved reports what an answer of an upstream said of its limit.
type limitObserved struct {
	upstream string
	pace.Observation
}

func (limitObserved) event() {}

// Observe implements relay.Pacer. Answers of upstreams that name no limit, and had named
// none, are not reported.
func (p *pacer) Observe(upstream string, o pace.Observation) {
	if _, known := (*p.rates.Load())[upstream]; known || o.Named {
		p.post(limitObserved{upstream: upstream, Observation: o})
	}
}

// observeLimit records what an answer of an upstream said of its limit.
func (c *control) observeLimit(now time.Time, upstream string, o pace.Observation, source string) {
	if !c.limits.Observe(upstream, o) {
		return
	}
	if o.Named {
		c.logger.Info("upstream: names a limit", zap.String("upstream", upstream), zap.Float64("rate", o.Rate), zap.Duration("age", now.Sub(o.At)), zap.String("source", source))
	} else {
		c.logger.Info("upstream: names no limit any more", zap.String("upstream", upstream), zap.Duration("age", now.Sub(o.At)), zap.String("source", source))
	}
	c.publishLimits()
}

func (c *control) publishLimits() {
	rates := c.limits.Rates()
	c.pacer.rates.Store(&rates)
}
