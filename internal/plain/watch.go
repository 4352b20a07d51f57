package plain

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/delay"
	"github.com/tanagerlb/tanagerlb/pkg/node"
)

// Control is the control loop of this VM.
type Control interface {
	Post(e node.Event)
	View() *node.View
}

// Watcher sends calls to plain services, and tells the control loop which calls crash
// their upstreams.
type Watcher struct {
	client  *Client
	control Control
}

// NewWatcher returns a Watcher that sends calls with a client.
func NewWatcher(c *Client, control Control) *Watcher { return &Watcher{client: c, control: control} }

// probeDelay is the time from a broken call to the check whether its upstream still
// accepts connections: a process that ends closes them one after the other.
const probeDelay = 50 * time.Millisecond

const (
	// maxSilence is the longest time for which an upstream that still runs may not respond to
	// attempts to connect.
	maxSilence = 2500 * time.Millisecond
	// checkInterval is the least time between the begins of two checks of an upstream.
	checkInterval = 400 * time.Millisecond
	// maxResets is the number of connections that an upstream resets before it counts as running.
	maxResets = 3
)

// Call implements Services.
func (w *Watcher) Call(ctx context.Context, address netip.AddrPort, c Call) (Reply, error) {
	sent := time.Now()
	reply, err := w.client.Call(ctx, address, c)
	switch {
	case err == nil && reply.Status >= http.StatusInternalServerError: // it may have failed before it ran
	case err == nil:
		if _, suspect := w.control.View().Crashes[c.Fingerprint]; suspect {
			w.control.Post(node.PlainCompleted{Fingerprint: c.Fingerprint})
		}
	case !errors.Is(err, ErrNotSent):
		go (&probe{
			client: w.client, control: w.control, address: address,
			event: node.PlainCrashed{Fingerprint: c.Fingerprint, Upstream: address.String(), Sent: sent},
		}).run(context.WithoutCancel(ctx)) // the call has ended
	}
	return reply, err
}

// probe checks whether the upstream of a broken call still accepts connections. A sound one may be
// silent for a while, so that it is checked until it accepts or refuses one.
type probe struct {
	client  *Client
	control Control
	address netip.AddrPort
	event   node.PlainCrashed

	silentSince time.Time // begin of the first check that got no response; zero if the last one got one
	resets      int       // number of checks whose connection was reset
}

func (p *probe) run(ctx context.Context) {
	delay.Wait(ctx, probeDelay)
	for {
		began := time.Now()
		crashed, decided := p.decide(began, p.client.Check(ctx, p.address))
		if crashed {
			p.control.Post(p.event)
		}
		if decided {
			return
		}
		delay.Wait(ctx, time.Until(began.Add(checkInterval)))
	}
}

// decide reports whether the upstream has crashed by the error of a check that began at a time: it
// refuses connections, or is silent for longer than a sound one may be. It is not decided while the
// upstream may be silent for a time, or resets connections: it may have enough of them, or be ending.
func (p *probe) decide(began time.Time, err error) (crashed, decided bool) {
	switch {
	case err == nil:
		return false, true
	case errors.Is(err, syscall.ECONNREFUSED):
		return true, true
	case errors.Is(err, syscall.ECONNRESET):
		p.silentSince = time.Time{}
		p.resets++
		return false, p.resets >= maxResets
	case p.silentSince.IsZero():
		p.silentSince = began
	}
	silent := began.Sub(p.silentSince) >= maxSilence
	return silent, silent
}
