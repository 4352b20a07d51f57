// Package front implements the HTTP interface of `tanagerlb serve` for callers,
// on top of the code that goa generates.
package front

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/tanagerlb/tanagerlb/gen/caller"
	"github.com/tanagerlb/tanagerlb/gen/http/caller/server"
	"github.com/tanagerlb/tanagerlb/internal/entry"
	"github.com/tanagerlb/tanagerlb/internal/guard"
	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/node"
)

// Limits of the caller interface.
const (
	maxBody      = 1 << 20          // maximum size of a request's body, in bytes
	maxReads     = 64               // maximum request bodies read concurrently
	bodyTimeout  = 10 * time.Second // limit for reading a request's body
	maxAddresses = 3                // maximum VM addresses that a caller gets at once
)

// outcomeHeader names the header that carries the outcome of a call.
const outcomeHeader = "Tanager-Outcome"

// Config holds the dependencies and limits of a Front.
type Config struct {
	Entry      *entry.Entry
	View       func() *node.View
	AddressTTL time.Duration // time for which callers may cache the VM addresses that they got
	MaxCalls   int           // maximum calls in progress

	Metrics *metric.Set
}

// Front implements the caller service, whose interface goa generates.
type Front struct{ config Config }

// Handler returns the HTTP handler of the caller interface. It limits the size
// of requests, the time to read them and the number in progress.
func Handler(c Config) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := caller.NewEndpoints(&Front{config: c})
	s := server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	s.Mount(mux)
	guarded := guard.New(guard.Config{
		Handler:      mux,
		MaxBodyBytes: maxBody,
		BodyTimeout:  bodyTimeout,
		MaxReads:     maxReads,
		MaxRequests:  c.MaxCalls,
		OnRefusal:    func(status int) { c.Metrics.Refused("http-" + strconv.Itoa(status)) },
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), callerKey{}, hostOf(r.RemoteAddr))
		guarded.ServeHTTP(&outcomeWriter{ResponseWriter: w, possibleRetry: mayBeRetry(r)}, r.WithContext(ctx))
	})
}

// callerKey is the context key of the caller's IP address.
type callerKey struct{}

func hostOf(remote string) string {
	h, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return h
}

func callerOf(ctx context.Context) string {
	name, _ := ctx.Value(callerKey{}).(string)
	return name
}

// outcomeWriter adds the outcome header to refusals that are sent before a
// method of Front is called, such as the refusal of a malformed request.
type outcomeWriter struct {
	http.ResponseWriter

	possibleRetry bool // an earlier attempt may have used the idempotency key of the request
}

// mayBeRetry reports whether a request has an idempotency key that an earlier
// attempt may have used.
func mayBeRetry(r *http.Request) bool {
	return r.Header.Get("Idempotency-Key") != "" && r.Header.Get("Tanager-Attempt") != "1"
}

// WriteHeader writes the status. An error without an outcome header gets the
// outcome "not-run", as no method of Front was called. If a possible retry is
// refused with status 503 or 408, the outcome is "unknown" instead, as an
// earlier attempt may have run the call. All other such errors are about
// malformed or oversized requests, which cannot have run in any attempt.
func (w *outcomeWriter) WriteHeader(status int) {
	if status >= http.StatusBadRequest && w.Header().Get(outcomeHeader) == "" {
		outcome := keys.NotRun
		if w.possibleRetry && (status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout) {
			outcome = keys.Unknown
		}
		w.Header().Set(outcomeHeader, string(outcome))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *outcomeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Addresses returns the addresses of the VMs that the caller should connect to.
// VMs in the zone that the caller names, or else in this VM's zone, come first.
func (f *Front) Addresses(ctx context.Context, p *caller.AddressesPayload) (*caller.AddressList, error) {
	view := f.config.View()
	zone := view.Self.Zone
	if p.Zone != nil {
		zone = *p.Zone
	}
	list := &caller.AddressList{Addresses: []*caller.Address{}, TTL: int(f.config.AddressTTL.Seconds())}
	salt := callerOf(ctx) + " " + f.config.Entry.NewID()
	for _, vm := range member.SelectForCaller(view.Live, zone, salt, maxAddresses) {
		list.Addresses = append(list.Addresses, &caller.Address{
			VM:      vm.Name,
			Zone:    vm.Zone,
			Address: vm.Caller.String(),
			Boot:    vm.Boot,
		})
	}
	return list, nil
}

func modelCall(ctx context.Context, p *caller.Completion) entry.ModelCall {
	return entry.ModelCall{
		Service:   p.Service,
		Call:      p.Call,
		Adapter:   p.Adapter,
		Prompt:    p.Prompt,
		MaxTokens: p.Tokens,
		Caller:    callerOf(ctx),
	}
}

// Complete runs a model call and returns the complete answer.
func (f *Front) Complete(ctx context.Context, p *caller.Completion) (*caller.Answer, error) {
	answer, refusal := f.config.Entry.Complete(ctx, modelCall(ctx, p), nil)
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	return &caller.Answer{
		Outcome:  string(keys.Ran),
		Text:     answer.Text,
		Tokens:   answer.Tokens,
		Adapter:  answer.Adapter.Name,
		Version:  answer.Adapter.Version,
		Document: answer.Version,
	}, nil
}

// Stream runs a model call and streams the answer. A failure before the first
// token is returned as an error; a failure after it is sent as an error event.
func (f *Front) Stream(ctx context.Context, p *caller.Completion, stream caller.StreamServerStream) error {
	started := false
	emit := func(offset int, text string) error {
		started = true
		return stream.SendWithContext(ctx, &caller.Chunk{Event: "token", Offset: offset, Text: &text})
	}
	answer, refusal := f.config.Entry.Complete(ctx, modelCall(ctx, p), emit)
	switch {
	case refusal == nil:
		outcome := string(keys.Ran)
		return stream.SendWithContext(ctx, &caller.Chunk{Event: "done", Offset: answer.Tokens, Outcome: &outcome})
	case !started:
		return refusalError(refusal)
	default:
		outcome := string(refusal.Outcome)
		return stream.SendWithContext(ctx, &caller.Chunk{Event: "error", Outcome: &outcome, Reason: &refusal.Reason})
	}
}

// Invoke runs a call to a plain service.
func (f *Front) Invoke(ctx context.Context, p *caller.Invocation) (*caller.Reply, error) {
	call := entry.PlainCall{Service: p.Service, Call: p.Call, FirstAttempt: p.Attempt == 1, Caller: callerOf(ctx)}
	if p.Key != nil {
		call.Key = *p.Key
	}
	if p.Body != nil {
		call.Body = *p.Body
	}
	answer, refusal := f.config.Entry.Invoke(ctx, call)
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	return &caller.Reply{
		Outcome:  string(keys.Ran),
		Status:   answer.Reply.Status,
		Body:     answer.Reply.Body,
		Repeated: answer.Replayed,
	}, nil
}

func refusalError(r *entry.Refusal) error {
	out := &caller.Refusal{
		Name:       string(r.Class),
		Outcome:    string(r.Outcome),
		Reason:     r.Reason,
		RetryAfter: r.RetrySeconds(),
	}
	if r.AltAddress != "" {
		out.Address = &r.AltAddress
	}
	return out
}
