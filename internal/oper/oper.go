// Package oper implements the HTTP interface of `tanagerlb serve` for
// operators: documents, status, metrics and health checks. The interface has a
// listen address of its own, so that callers cannot reach it.
package oper

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/tanagerlb/tanagerlb/gen/http/operator/server"
	"github.com/tanagerlb/tanagerlb/gen/operator"
	"github.com/tanagerlb/tanagerlb/internal/ctrl"
	"github.com/tanagerlb/tanagerlb/internal/guard"
	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/pkg/check"
	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/record"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

const (
	maxBody        = 8 << 20                // maximum size of a request's body, in bytes
	bodyTimeout    = 10 * time.Second       // limit for reading a request's body
	maxReads       = 4                      // maximum request bodies read concurrently
	maxCalls       = 256                    // maximum requests in progress
	verdictTimeout = 5 * time.Second        // maximum wait for the verdict on a proposed document
	inForceTimeout = 10 * time.Second       // maximum wait until all live VMs have the accepted version in force
	inForcePoll    = 100 * time.Millisecond // interval between two counts of the live VMs that have the accepted version in force
)

// Config holds the dependencies and settings of the operator interface.
type Config struct {
	Control    *ctrl.Loop
	Metrics    *metric.Set
	BaseModels []string // base models that documents may name; empty for any
	NewID      func() string
}

// Operator implements the operator service, whose interface goa generates.
type Operator struct{ config Config }

// Handler returns the HTTP handler of the operator interface. It limits the
// size of requests, the time to read them and the number in progress.
func Handler(c Config) http.Handler {
	o := &Operator{config: c}
	mux := goahttp.NewMuxer()
	s := server.New(operator.NewEndpoints(o), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	s.Mount(mux)
	mux.Handle(http.MethodGet, "/metrics", func(w http.ResponseWriter, _ *http.Request) { c.Metrics.Write(w) })
	mux.Handle(http.MethodGet, "/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.Handle(http.MethodGet, "/readyz", o.serveReady)
	return guard.New(guard.Config{
		Handler:      mux,
		MaxBodyBytes: maxBody,
		BodyTimeout:  bodyTimeout,
		MaxReads:     maxReads,
		MaxRequests:  maxCalls,
		OnRefusal:    func(status int) { c.Metrics.Refused("operator-http-" + strconv.Itoa(status)) },
	})
}

func (o *Operator) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !o.config.Control.View().Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Publish appends a document to the log and returns the verdict that this VM
// reaches when it reads the record back. If p.Wait is set and the document is
// accepted, Publish first waits until all live VMs have the version in force,
// but at most for inForceTimeout.
func (o *Operator) Publish(ctx context.Context, p *operator.PublishPayload) (*operator.Verdict, error) {
	document, err := spec.Parse("document", []byte(p.Document), o.config.BaseModels)
	var findings *check.Error
	if errors.As(err, &findings) {
		return nil, operator.Invalid(findings.Error())
	}
	nonce := o.config.NewID()
	proposal := docs.Proposal{Service: document.Service, BaseVersion: p.Base, Nonce: nonce, Text: p.Document}
	data, err := record.Encode(docs.RecordKind, proposal)
	if err != nil {
		return nil, operator.Unavailable(err.Error())
	}
	reply := o.config.Control.Await(nonce)
	o.config.Control.Append(docs.StreamName, data)
	timer := time.NewTimer(verdictTimeout)
	defer timer.Stop()
	select {
	case a := <-reply:
		decided, ok := a.(node.ProposalDecided)
		if !ok {
			return nil, operator.Unavailable("no verdict")
		}
		return o.verdict(ctx, decided.Verdict, p.Wait), nil
	case <-ctx.Done():
	case <-timer.C:
	}
	o.config.Control.Forget(nonce)
	return nil, operator.Unavailable("no verdict could be read back; the document may still be accepted: look with show")
}

func (o *Operator) verdict(ctx context.Context, v docs.Verdict, wait bool) *operator.Verdict {
	out := &operator.Verdict{Service: v.Service, Accepted: v.Accepted}
	if !v.Accepted {
		out.Winner = v.Version
		return out
	}
	out.Version = v.Version
	deadline := time.Now().Add(inForceTimeout)
	for {
		out.Vms, out.Live = o.inForce(v.Service, v.Version)
		if !wait || out.Vms >= out.Live || time.Now().After(deadline) || ctx.Err() != nil {
			return out
		}
		time.Sleep(inForcePoll)
	}
}

// inForce returns how many live VMs have the version or a newer one in force, and
// how many VMs are live.
func (o *Operator) inForce(service string, version int64) (holders, live int) {
	o.config.Control.Query(func(now time.Time, n *node.Node) {
		holders, live = n.CountVersion(now, service, version)
	})
	return holders, live
}

// Show returns a service's document in force.
func (o *Operator) Show(_ context.Context, p *operator.ShowPayload) (*operator.Published, error) {
	revision, ok := o.config.Control.View().Revisions[p.Service]
	if !ok {
		return nil, operator.Missing("no document of service " + p.Service)
	}
	return &operator.Published{Service: revision.Service, Version: revision.Version, Document: revision.Text}, nil
}

// Status returns the state of the fleet as this VM sees it.
func (o *Operator) Status(context.Context) (*operator.Status2, error) {
	view := o.config.Control.View()
	status := &operator.Status2{VM: view.Self.Name, Log: "up", Vms: []*operator.VMStatus{}, Engines: []*operator.EngineStatus{}}
	if !view.LogUp {
		status.Log = "down"
	}
	o.config.Control.Query(func(now time.Time, n *node.Node) { o.fillStatus(now, n, status) })
	return status, nil
}

func (o *Operator) fillStatus(now time.Time, n *node.Node, status *operator.Status2) {
	for _, p := range n.Peers(now) {
		status.Vms = append(status.Vms, &operator.VMStatus{
			VM:       p.VM.Name,
			Zone:     p.VM.Zone,
			Boot:     p.VM.Boot,
			State:    p.State,
			Versions: p.Versions,
		})
	}
	owned := map[string]node.EngineState{}
	for _, e := range n.OwnedEngines() {
		owned[e.Name] = e
	}
	view, _ := n.View(now)
	for _, name := range view.EngineNames() {
		owner := view.Owners[name]
		out := &operator.EngineStatus{Engine: name, Owner: owner.VM.Name, Fence: owner.FencingToken}
		if e, ok := owned[name]; ok {
			out.Resident, out.Running, out.Waiting = e.Resident, &e.Running, &e.Waiting
		}
		status.Engines = append(status.Engines, out)
	}
}
