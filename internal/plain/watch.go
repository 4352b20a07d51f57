package plain

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
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

// probe checks whether the upstream of a broken call still accepts connections.
type probe struct {
	client  *Client
	control Control
	address netip.AddrPort
	event   node.PlainCrashed
}

func (p *probe) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.client.dialer.Timeout+probeDelay)
	defer cancel()
	delay.Wait(ctx, probeDelay)
	if err := p.client.Check(ctx, p.address); err != nil {
		p.control.Post(p.event)
	}
}
