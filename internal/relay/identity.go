package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/call"
	"github.com/tanagerlb/tanagerlb/pkg/org"
	"github.com/tanagerlb/tanagerlb/pkg/quota"
	"github.com/tanagerlb/tanagerlb/platform"
)

// Quotas limits what organisations use over all VMs together.
type Quotas interface {
	// Take charges an organisation for a request, unless that is beyond its quota. Rank is the priority
	// of the request among the organisation's; 0 is the most urgent.
	Take(ctx context.Context, o *org.Organisation, amount int64, rank int) quota.Decision
	// Return gives back what was charged, for some time, for a request that was not sent and never will be.
	Return(o *org.Organisation, amount int64, age time.Duration)
}

// Reasons with which requests are refused or rejected for what their callers may use.
const (
	reasonUnknownKey = "unknown key"
	reasonKeyAge     = "keys may be outdated"
	reasonQuota      = "quota is used up"
)

// identity tells who sent a request, where callers are identified by keys.
type identity struct {
	vouched      bool              // the keys in force are known to be recent
	retryAfter   time.Duration     // when they may be recent again
	organisation *org.Organisation // nil if it is not known
	charged      int64             // what the request has taken of its quota
	chargedAt    time.Time
}

// vouch must be called before the view is loaded: a view that is older than the answer may lack
// a change of keys.
func (h *Handler) vouch() identity {
	if h.config.Vouch == nil {
		return identity{vouched: true}
	}
	ok, after := h.config.Vouch()
	return identity{vouched: ok, retryAfter: after}
}

// identify finds the organisation of a request's caller. If the request needs a key and has none
// that is known, it answers the caller and returns false.
func (x *exchange) identify() bool {
	directory := x.view.Table.Organisations
	if directory == nil {
		return true
	}
	if x.identity.vouched {
		x.identity.organisation = directory.Find(platform.ParseKey(x.r.Header))
	}
	switch {
	case x.identity.organisation != nil, x.route.Public:
		return true
	case !x.identity.vouched:
		x.refuse(reasonKeyAge, x.identity.retryAfter)
	default:
		x.reject(http.StatusUnauthorized, reasonUnknownKey)
	}
	return false
}

// organisationName returns the name of the caller's organisation, or "" if it is not known.
func (x *exchange) organisationName() string {
	if x.identity.organisation == nil {
		return ""
	}
	return x.identity.organisation.Name
}

// urgency returns the rank of the request; 0 is the most urgent.
func (x *exchange) urgency() int {
	if x.identity.organisation == nil {
		return x.route.Urgency
	}
	return x.identity.organisation.Urgency(x.route.Urgency)
}

// takeQuota charges the caller's organisation for the request. If that is beyond its quota, it
// answers the caller and returns false.
func (x *exchange) takeQuota() bool {
	o := x.identity.organisation
	if x.config.Quotas == nil || o == nil || !o.Quota.Limited() {
		return true
	}
	cost := o.Quota.Cost(tokensOf(x.call))
	if refused, ok := x.config.Quotas.Take(x.r.Context(), o, cost, x.route.Urgency).(quota.Refused); ok {
		x.refuseWith(http.StatusTooManyRequests, reasonQuota, refused.RetryAfter)
		return false
	}
	x.identity.charged, x.identity.chargedAt = cost, time.Now()
	return true
}

// tokensOf returns the number of tokens that a request states. It is bounded, as the sum of two great
// numbers would be negative and count as none.
func tokensOf(c call.Call) int64 {
	return min(int64(c.PromptTokens), org.MaxAmount) + min(int64(c.MaxTokens), org.MaxAmount)
}

// returnQuota gives back what the request was charged, once. What was sent to an upstream stays charged also if
// the upstream has not run it: the bound is on what upstreams are sent.
func (x *exchange) returnQuota() {
	if x.identity.charged > 0 && x.sends == 0 {
		x.config.Quotas.Return(x.identity.organisation, x.identity.charged, time.Since(x.identity.chargedAt))
		x.identity.charged = 0
	}
}
