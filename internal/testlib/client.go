package testlib

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/tanagerlb/tanagerlb/gen/http/operator/client"
	"github.com/tanagerlb/tanagerlb/gen/operator"
)

// Answer is the answer to a call, with the header and body fields that callers use.
type Answer struct {
	Status       int
	Outcome      string // Tanager-Outcome header
	RetryAfter   int    `json:"Retry"` // Retry-After header, in seconds
	Body         []byte
	Text         string `json:"text"`
	Tokens       int    `json:"tokens"`
	Version      string `json:"version"`
	Document     int64  `json:"document"`
	Reason       string `json:"reason"`
	Reply        string `json:"body"`
	Replayed     bool   `json:"repeated"`
	OtherAddress string `json:"address"`
	Err          error  // set if no complete answer arrived
}

// Succeeded reports whether the call ran and its answer is complete.
func (a Answer) Succeeded() bool { return a.Err == nil && a.Outcome == "done" }

// callerTimeout is the maximum time that a caller waits for an answer. It is longer
// than any deadline in the documents of a Fleet.
const callerTimeout = 10 * time.Second

// caller is the HTTP client for all calls. It opens a new connection for each call,
// as some real callers do.
var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Post sends a POST request with body as JSON, and returns the answer.
func Post(address netip.AddrPort, path string, headers map[string]string, body any) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	return post(ctx, address, path, headers, body)
}

func post(ctx context.Context, address netip.AddrPort, path string, headers map[string]string, body any) Answer {
	data, err := json.Marshal(body)
	if err != nil {
		return Answer{Err: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+address.String()+path, bytes.NewReader(data))
	if err != nil {
		return Answer{Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := caller.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	return readAnswer(response)
}

func readAnswer(response *http.Response) Answer {
	a := Answer{Status: response.StatusCode, Outcome: response.Header.Get("Tanager-Outcome")}
	a.RetryAfter, _ = strconv.Atoi(response.Header.Get("Retry-After"))
	a.Body, a.Err = io.ReadAll(response.Body)
	if a.Err == nil && response.Header.Get("Content-Type") == "application/json" {
		a.Err = json.Unmarshal(a.Body, &a)
	}
	return a
}

// Complete sends a model call to the VM at an address, and waits at most
// callerTimeout for the answer.
func Complete(address netip.AddrPort, adapter, prompt string, tokens int) Answer {
	return CompleteWithin(callerTimeout, address, adapter, prompt, tokens)
}

// CompleteWithin sends a model call to the VM at an address, and waits at most
// timeout for the answer.
func CompleteWithin(timeout time.Duration, address netip.AddrPort, adapter, prompt string, tokens int) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	body := struct {
		Adapter string `json:"adapter"`
		Prompt  string `json:"prompt"`
		Tokens  int    `json:"tokens"`
		Call    string `json:"call"`
	}{adapter, prompt, tokens, "summary"}
	return post(ctx, address, "/v1/services/lm-assist/complete", nil, body)
}

// Send sends the VM at an address a call that must run at most once. The key is the
// call's idempotency key, and attempt is the number of the attempt, 1 for the first.
func Send(address netip.AddrPort, key string, attempt int, text string) Answer {
	headers := map[string]string{"Idempotency-Key": key, "Tanager-Attempt": strconv.Itoa(attempt)}
	return Post(address, "/v1/services/mailbox-api/calls/send", headers, map[string]string{"body": text})
}

// Address is an entry of the answer to GET /v1/addresses: a VM and the address at
// which callers reach it.
type Address struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Boot    string `json:"boot"`
}

// Addresses asks a VM for the addresses that callers in a zone should use.
func Addresses(address netip.AddrPort, zone string) ([]Address, error) {
	response, err := caller.Get("http://" + address.String() + "/v1/addresses?zone=" + zone)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var list struct {
		Addresses []Address `json:"addresses"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, fmt.Errorf("decode addresses: %w", err)
	}
	return list.Addresses, nil
}

// OperatorClient returns a client for the VM's operator interface.
func (v *VM) OperatorClient() *operator.Client {
	doer := &http.Client{Timeout: 20 * time.Second}
	c := client.NewClient("http", v.Operator.String(), doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return operator.NewClient(c.Publish(), c.Show(), c.Status())
}

// Publish publishes a document as the successor of version base, or as the first
// version if base is 0. It waits until the document is in force on all live VMs.
func (v *VM) Publish(base int64, text string) (*operator.Verdict, error) {
	return v.OperatorClient().Publish(context.Background(), &operator.PublishPayload{Base: base, Document: text, Wait: true})
}

// MustPublish waits until all VMs are live, publishes the first version of a
// document, and returns the version's number. It fails the test if the document is
// not accepted.
func (f *Fleet) MustPublish(text string) int64 {
	f.T.Helper()
	f.AwaitLive(len(f.VMs))
	v, err := f.VMs[0].Publish(0, text)
	if err != nil || !v.Accepted {
		f.T.Fatalf("publish: %v, %+v", err, v)
	}
	return v.Version
}

// Version returns the version of a service's document that is in force on the VM,
// or 0 if the VM does not return one.
func (v *VM) Version(service string) int64 {
	published, err := v.OperatorClient().Show(context.Background(), &operator.ShowPayload{Service: service})
	if err != nil {
		return 0
	}
	return published.Version
}

// Status returns the state of the fleet as the VM sees it, or an empty status if the
// VM does not answer.
func (v *VM) Status() *operator.Status2 {
	status, err := v.OperatorClient().Status(context.Background())
	if err != nil {
		return &operator.Status2{}
	}
	return status
}

// Owners returns the owner of each engine, by engine name, as the VM sees it.
func (v *VM) Owners() map[string]string {
	owners := map[string]string{}
	for _, e := range v.Status().Engines {
		owners[e.Engine] = e.Owner
	}
	return owners
}

// AwaitLive waits until every VM whose process runs reports that exactly count VMs
// are live.
func (f *Fleet) AwaitLive(count int) {
	f.T.Helper()
	for _, vm := range f.VMs {
		if vm.isEnded() {
			continue
		}
		defer func() {
			if f.T.Failed() {
				for _, s := range vm.Status().Vms {
					f.T.Logf("%s sees %+v", vm.Name, *s)
				}
			}
		}()
		Await(f.T, vm.Name+" sees the live VMs", func() bool { return vm.live() == count })
	}
}

func (v *VM) isEnded() bool {
	select {
	case <-v.ended:
		return true
	default:
		return false
	}
}

func (v *VM) live() int {
	live := 0
	for _, s := range v.Status().Vms {
		if s.State == "live" {
			live++
		}
	}
	return live
}

// AwaitOwned waits until the first VM reports an owner for every engine, and returns
// the owners by engine name.
func (f *Fleet) AwaitOwned() map[string]string {
	f.T.Helper()
	Await(f.T, "engines are owned", func() bool { return len(f.VMs[0].Owners()) == len(f.Engines) })
	return f.VMs[0].Owners()
}

// VMByName returns the VM with the given name, or fails the test.
func (f *Fleet) VMByName(name string) *VM {
	f.T.Helper()
	for _, vm := range f.VMs {
		if vm.Name == name {
			return vm
		}
	}
	f.T.Fatalf("no VM %q", name)
	return nil
}

// SumMetrics adds up the values of all lines that start with prefix in the VM's
// /metrics output. The prefix is a metric's name, with or without labels.
func (v *VM) SumMetrics(prefix string) float64 {
	response, err := http.Get("http://" + v.Operator.String() + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	sum := 0.0
	for _, line := range bytes.Split(text, []byte("\n")) {
		if !bytes.HasPrefix(line, []byte(prefix)) {
			continue
		}
		at := bytes.LastIndexByte(line, ' ')
		value, err := strconv.ParseFloat(string(line[at+1:]), 64)
		if err == nil {
			sum += value
		}
	}
	return sum
}
