// Package front provides the HTTP interface for callers, as goa generates it.
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

// Bounds of the interface.
const (
	maxBody      = 1 << 20          // bytes of a request's body
	maxReads     = 64               // bodies that are read at once
	bodyTime     = 10 * time.Second // for a body to arrive
	addressCount = 3                // addresses in an answer
)

// outcomeHeader tells the outcome of a call.
const outcomeHeader = "Tanager-Outcome"

// Config sets up a Front.
type Config struct {
	Entry *entry.Entry
	View  func() *node.View
	TTL   time.Duration // for which address answers may be kept
	Calls int           // calls in progress at once

	Metrics *metric.Set
}

// Front implements the generated caller service.
type Front struct{ config Config }

// Handler returns the HTTP handler of the caller interface.
func Handler(c Config) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := caller.NewEndpoints(&Front{config: c})
	s := server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	s.Mount(mux)
	guarded := guard.New(guard.Config{
		Handler:      mux,
		MaxBodyBytes: maxBody,
		BodyTimeout:  bodyTime,
		MaxReads:     maxReads,
		MaxRequests:  c.Calls,
		OnRefusal:    func(status int) { c.Metrics.Refused("http-" + strconv.Itoa(status)) },
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), callerKey{}, host(r.RemoteAddr))
		guarded.ServeHTTP(&outcomeWriter{ResponseWriter: w, sentBefore: sentBefore(r)}, r.WithContext(ctx))
	})
}

// callerKey is the context key of the caller's IP.
type callerKey struct{}

func host(remote string) string {
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

// outcomeWriter adds the outcome to the refusals of malformed requests, which
// are answered before the service is called.
type outcomeWriter struct {
	http.ResponseWriter

	sentBefore bool // the same call may have been sent before
}

// sentBefore tells whether a request bears a key that may have been sent
// before.
func sentBefore(r *http.Request) bool {
	return r.Header.Get("Idempotency-Key") != "" && r.Header.Get("Tanager-Attempt") != "1"
}

// WriteHeader writes the status and, for an error without an outcome, that the
// request was not run. A malformed one never ran; of one that was refused for
// lack of room or time, an earlier sending may have.
func (w *outcomeWriter) WriteHeader(status int) {
	if status >= http.StatusBadRequest && w.Header().Get(outcomeHeader) == "" {
		outcome := keys.NotRun
		if w.sentBefore && (status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout) {
			outcome = keys.Unknown
		}
		w.Header().Set(outcomeHeader, string(outcome))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController the writer beneath.
func (w *outcomeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Addresses returns the entry VMs that the caller should use.
func (f *Front) Addresses(ctx context.Context, p *caller.AddressesPayload) (*caller.AddressList, error) {
	view := f.config.View()
	zone := view.Self.Zone
	if p.Zone != nil {
		zone = *p.Zone
	}
	list := &caller.AddressList{Addresses: []*caller.Address{}, TTL: int(f.config.TTL.Seconds())}
	salt := callerOf(ctx) + " " + f.config.Entry.NewID()
	for _, vm := range member.Answer(view.Live, zone, salt, addressCount) {
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
		Service: p.Service,
		Call:    p.Call,
		Adapter: p.Adapter,
		Prompt:  p.Prompt,
		Tokens:  p.Tokens,
		Caller:  callerOf(ctx),
	}
}

// Complete runs a model call and returns the whole answer.
func (f *Front) Complete(ctx context.Context, p *caller.Completion) (*caller.Answer, error) {
	answer, refusal := f.config.Entry.Complete(ctx, modelCall(ctx, p), nil)
	if refusal != nil {
		return nil, encode(refusal)
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

// Stream runs a model call and streams the answer. After the first token a
// failure is told by an error event.
func (f *Front) Stream(ctx context.Context, p *caller.Completion, stream caller.StreamServerStream) error {
	begun := false
	emit := func(offset int, text string) error {
		begun = true
		return stream.SendWithContext(ctx, &caller.Chunk{Event: "token", Offset: offset, Text: &text})
	}
	answer, refusal := f.config.Entry.Complete(ctx, modelCall(ctx, p), emit)
	switch {
	case refusal == nil:
		outcome := string(keys.Ran)
		return stream.SendWithContext(ctx, &caller.Chunk{Event: "done", Offset: answer.Tokens, Outcome: &outcome})
	case !begun:
		return encode(refusal)
	default:
		outcome := string(refusal.Outcome)
		return stream.SendWithContext(ctx, &caller.Chunk{Event: "error", Outcome: &outcome, Reason: &refusal.Reason})
	}
}

// Invoke runs a call of a plain service.
func (f *Front) Invoke(ctx context.Context, p *caller.Invocation) (*caller.Reply, error) {
	call := entry.PlainCall{Service: p.Service, Call: p.Call, First: p.Attempt == 1, Caller: callerOf(ctx)}
	if p.Key != nil {
		call.Key = *p.Key
	}
	if p.Body != nil {
		call.Body = *p.Body
	}
	answer, refusal := f.config.Entry.Invoke(ctx, call)
	if refusal != nil {
		return nil, encode(refusal)
	}
	return &caller.Reply{
		Outcome:  string(keys.Ran),
		Status:   answer.Reply.Status,
		Body:     answer.Reply.Body,
		Repeated: answer.Repeated,
	}, nil
}

func encode(r *entry.Refusal) error {
	out := &caller.Refusal{
		Name:       string(r.Class),
		Outcome:    string(r.Outcome),
		Reason:     r.Reason,
		RetryAfter: r.Seconds(),
	}
	if r.Other != "" {
		out.Address = &r.Other
	}
	return out
}
