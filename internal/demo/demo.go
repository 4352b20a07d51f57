package demo

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/tanagerlb/tanagerlb/gen/http/operator/client"
	"github.com/tanagerlb/tanagerlb/gen/operator"
	"github.com/tanagerlb/tanagerlb/internal/stand"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
)

// errUnexpected is returned if a step of the demonstration gives an unexpected
// result.
var errUnexpected = errors.New("demonstration failed")

// Run starts a fleet, sends calls of each kind through it, and writes what
// happens to out. It returns an error if a step gives an unexpected result.
func Run(ctx context.Context, out io.Writer) error {
	f, err := newFleet()
	if err != nil {
		return err
	}
	defer f.close()
	s := &demonstration{fleet: f, out: out}
	for _, step := range []func(context.Context) error{
		s.ready, s.publish, s.addresses, s.complete, s.stream, s.invoke, s.secondVersion, s.refusal,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	s.printf("all steps succeeded")
	return nil
}

// demonstration holds the state of a run.
type demonstration struct {
	fleet    *fleet
	out      io.Writer
	address  string           // base URL of the VM that the model calls are sent to
	versions map[string]int64 // version of the last accepted document, by service
}

func (s *demonstration) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", args...)
}

func (s *demonstration) ready(ctx context.Context) error {
	s.versions = map[string]int64{}
	err := waitUntil(ctx, "VMs ready", func() bool {
		for _, d := range s.fleet.daemons {
			if !d.Ready() {
				return false
			}
		}
		return true
	})
	s.printf("started: a log, a weight store, a VM list, 2 engines, 1 plain service and %d VMs in %d zones", len(s.fleet.daemons), zones)
	return err
}

func operatorClient(address netip.AddrPort) *operator.Client {
	doer := &http.Client{Timeout: 15 * time.Second}
	c := client.NewClient("http", address.String(), doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return operator.NewClient(c.Publish(), c.Show(), c.Status())
}

func (s *demonstration) document(version string) string {
	var b strings.Builder
	b.WriteString("service: lm-assist\nkind: model\nbase: base-7b\n")
	b.WriteString("calls:\n  - name: summary\n    urgency: patient\n    deadline: 20s\nengines:\n")
	for i, e := range s.fleet.engines {
		fmt.Fprintf(&b, "  - name: e%d\n    address: %s\n    slots: 2\n    batch: 4\n    fences: %t\n", i+1, e.Address(), i == 0)
	}
	fmt.Fprintf(&b, "adapters:\n  - name: school-12\n    version: %s\n  - name: parish-3\n    version: v1\n", version)
	return b.String()
}

func (s *demonstration) plainDocument() string {
	return fmt.Sprintf("service: mailbox-api\nkind: plain\ncalls:\n  - name: send\n    urgency: urgent\n    once: true\n    deadline: 5s\n"+
		"  - name: list\n    urgency: urgent\n    deadline: 2s\nupstreams:\n  - name: m1\n    address: %s\n", s.fleet.serviceServer.Address())
}

func (s *demonstration) publishText(ctx context.Context, text string) error {
	o := operatorClient(s.fleet.vms[0].Operator)
	service, _, _ := strings.Cut(strings.TrimPrefix(text, "service: "), "\n")
	v, err := o.Publish(ctx, &operator.PublishPayload{Base: s.versions[service], Document: text, Wait: true})
	if err != nil {
		return fmt.Errorf("publish %s: %w", service, err)
	}
	if !v.Accepted || v.Vms != v.Live || v.Live != zones {
		return fmt.Errorf("%w: verdict %+v", errUnexpected, *v)
	}
	s.versions[service] = v.Version
	s.printf("published %s: accepted as version %d, in force on %d of %d live VMs", service, v.Version, v.Vms, v.Live)
	return nil
}

func (s *demonstration) publish(ctx context.Context) error {
	err := waitUntil(ctx, "VMs know each other", func() bool {
		for _, vm := range s.fleet.vms {
			status, err := operatorClient(vm.Operator).Status(ctx)
			if err != nil {
				return false
			}
			live := 0
			for _, v := range status.Vms {
				if v.State == "live" {
					live++
				}
			}
			if live != zones {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	if err := s.publishText(ctx, s.document("v1")); err != nil {
		return err
	}
	return s.publishText(ctx, s.plainDocument())
}

type addressList struct {
	Addresses []struct {
		VM      string `json:"vm"`
		Zone    string `json:"zone"`
		Address string `json:"address"`
		Boot    string `json:"boot"`
	} `json:"addresses"`
}

func (s *demonstration) addresses(ctx context.Context) error {
	body, _, err := request(ctx, http.MethodGet, "http://"+s.fleet.vms[0].Caller.String()+"/v1/addresses?zone=zone-b", "", "")
	if err != nil {
		return err
	}
	var list addressList
	if err := json.Unmarshal(body, &list); err != nil {
		return fmt.Errorf("decode addresses: %w", err)
	}
	if len(list.Addresses) != zones || list.Addresses[0].Zone != "zone-b" {
		return fmt.Errorf("%w: addresses %s", errUnexpected, body)
	}
	s.address = "http://" + list.Addresses[0].Address
	s.printf("asked for addresses from zone-b: %s comes first, of %d", list.Addresses[0].VM, len(list.Addresses))
	return nil
}

// request sends an HTTP request and returns the body of the answer and its
// Tanager-Outcome header.
func request(ctx context.Context, method, url, key, body string) ([]byte, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewBufferString(body))
	if err != nil {
		return nil, "", fmt.Errorf("request %s: %w", url, err)
	}
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", fmt.Errorf("request %s: %w", url, err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, "", fmt.Errorf("request %s: %w", url, err)
	}
	return answer, response.Header.Get("Tanager-Outcome"), nil
}

func (s *demonstration) completeAs(ctx context.Context, version string) error {
	const prompt, tokens = "Minutes of the parents' meeting", 12
	body := fmt.Sprintf(`{"adapter":"school-12","prompt":%q,"tokens":%d,"call":"summary"}`, prompt, tokens)
	answer, outcome, err := request(ctx, http.MethodPost, s.address+"/v1/services/lm-assist/complete", "", body)
	if err != nil {
		return err
	}
	var got struct {
		Text    string `json:"text"`
		Tokens  int    `json:"tokens"`
		Version string `json:"version"`
	}
	if err := json.Unmarshal(answer, &got); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	want := stand.FullText("school-12@"+version, prompt, tokens)
	if outcome != "done" || got.Text != want || got.Version != version {
		return fmt.Errorf("%w: outcome %q, answer %s", errUnexpected, outcome, answer)
	}
	s.printf("model call: outcome %s, %d tokens by school-12@%s", outcome, got.Tokens, got.Version)
	return nil
}

func (s *demonstration) complete(ctx context.Context) error {
	err := waitUntil(ctx, "engines owned", func() bool {
		status, err := operatorClient(s.fleet.vms[0].Operator).Status(ctx)
		return err == nil && len(status.Engines) == len(s.fleet.engines)
	})
	if err != nil {
		return err
	}
	return s.completeAs(ctx, "v1")
}

func (s *demonstration) stream(ctx context.Context) error {
	body := `{"adapter":"parish-3","prompt":"Feast day","tokens":5,"call":"summary"}`
	answer, _, err := request(ctx, http.MethodPost, s.address+"/v1/services/lm-assist/stream", "", body)
	if err != nil {
		return err
	}
	tokens := bytes.Count(answer, []byte("event: token"))
	if tokens != 5 || !bytes.Contains(answer, []byte("event: done")) {
		return fmt.Errorf("%w: stream %s", errUnexpected, answer)
	}
	s.printf("streamed call: %d token events, then done", tokens)
	return nil
}

func (s *demonstration) invoke(ctx context.Context) error {
	key := keys.NewKey(time.Now(), "", rand.Text()).Text
	const body = `{"body":"to the congregation"}`
	for i, repeated := range []bool{false, true} {
		address := "http://" + s.fleet.vms[i].Caller.String()
		answer, outcome, err := request(ctx, http.MethodPost, address+"/v1/services/mailbox-api/calls/send", key, body)
		if err != nil {
			return err
		}
		if outcome != "done" || bytes.Contains(answer, []byte(`"repeated":true`)) != repeated {
			return fmt.Errorf("%w: outcome %q, answer %s", errUnexpected, outcome, answer)
		}
		s.printf("send through %s: outcome %s, repeated %t", s.fleet.vms[i].VM, outcome, repeated)
	}
	if runs := s.fleet.service.Counts()[key]; runs != 1 {
		return fmt.Errorf("%w: the send ran %d times", errUnexpected, runs)
	}
	s.printf("the mailbox service counts 1 run of that key")
	return nil
}

func (s *demonstration) secondVersion(ctx context.Context) error {
	if err := s.publishText(ctx, s.document("v2")); err != nil {
		return err
	}
	for _, vm := range s.fleet.vms {
		published, err := operatorClient(vm.Operator).Show(ctx, &operator.ShowPayload{Service: "lm-assist"})
		if err != nil || published.Version != s.versions["lm-assist"] {
			return fmt.Errorf("%w: %s does not have the second document version: %w", errUnexpected, vm.VM, err)
		}
	}
	return s.completeAs(ctx, "v2")
}

func (s *demonstration) refusal(ctx context.Context) error {
	body := `{"adapter":"unknown","prompt":"x","call":"summary"}`
	answer, outcome, err := request(ctx, http.MethodPost, s.address+"/v1/services/lm-assist/complete", "", body)
	if err != nil {
		return err
	}
	if outcome != "not-run" || !bytes.Contains(answer, []byte(`"reason":"no-adapter"`)) {
		return fmt.Errorf("%w: outcome %q, answer %s", errUnexpected, outcome, answer)
	}
	s.printf("call for an adapter that the document does not name: outcome %s, reason no-adapter", outcome)
	return nil
}
