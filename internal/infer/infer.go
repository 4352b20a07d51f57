// Package infer provides the client of model engines that speak the HTTP
// protocol of common open-source engines: completions streamed by server-sent
// events, orders to load and unload LoRA adapters, and a load report.
package infer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Errors of the client.
var (
	ErrMissing = errors.New("engine does not hold the adapter")
	ErrFenced  = errors.New("engine refused an old fencing number")
	ErrStatus  = errors.New("engine refused the request")
	ErrCut     = errors.New("engine cut the answer")
	ErrSilent  = errors.New("engine made no progress")
)

// fenceHeader carries the fencing number of an order.
const fenceHeader = "X-Fencing-Number"

const (
	maxLine   = 1 << 20 // bytes of one event
	maxReport = 4 << 20 // bytes of a report
)

// Engines is the port to model engines.
type Engines interface {
	Complete(ctx context.Context, address netip.AddrPort, c Completion, sink func(offset int, text string) error) (int, error)
	Load(ctx context.Context, address netip.AddrPort, o Order) error
	Unload(ctx context.Context, address netip.AddrPort, o Order) error
	Report(ctx context.Context, address netip.AddrPort) (Report, error)
	// Fresh drops the open connections, which may have gone silent.
	Fresh()
}

// Doubtful tells whether an order that failed may have taken effect.
func Doubtful(err error) bool {
	return !errors.Is(err, ErrFenced) && !errors.Is(err, ErrStatus) && !errors.Is(err, ErrMissing)
}

// Completion is a request to generate text.
type Completion struct {
	ID       string
	Instance string // name of the adapter on the engine
	Prompt   string
	Tokens   int
	Offset   int // tokens to skip, to resume an answer
	Urgency  int
}

// Order is an order to load or unload an adapter.
type Order struct {
	Instance string
	Path     string // of the adapter in the weight store
	Fence    int64
}

// Report is an engine's load report.
type Report struct {
	Boot      string // incarnation
	Instances []Resident
}

// Resident is an adapter that an engine holds.
type Resident struct {
	Name    string
	Running int // requests
}

// Config sets up a Client.
type Config struct {
	Silence time.Duration // without progress, after which an engine is given up
	Load    time.Duration // bound on a load
	Order   time.Duration // bound on other orders and on reports
}

// Client sends requests to engines.
type Client struct {
	config Config
	http   *http.Client
}

// NewClient returns a client.
func NewClient(c Config) *Client {
	return &Client{config: c, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
	}}}
}

type wireCompletion struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Tokens   int    `json:"max_tokens"`
	Offset   int    `json:"resume_from,omitempty"`
	Stream   bool   `json:"stream"`
	Priority int    `json:"priority"`
}

type wireChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Complete generates text and passes on each token with its offset. It returns
// the number of tokens of the whole answer, or an error if the answer is not
// whole.
func (c *Client) Complete(ctx context.Context, address netip.AddrPort, r Completion, sink func(offset int, text string) error) (int, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.config.Silence, func() { cancel(ErrSilent) })
	defer silence.Stop()
	body := wireCompletion{Model: r.Instance, Prompt: r.Prompt, Tokens: r.Tokens, Offset: r.Offset, Stream: true, Priority: r.Urgency}
	response, err := c.post(ctx, address, "/v1/completions", body, 0)
	if err != nil {
		return 0, cause(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, status(response)
	}
	progress := func(offset int, text string) error {
		silence.Reset(c.config.Silence)
		return sink(offset, text)
	}
	tokens, err := readEvents(response.Body, r.Offset, progress)
	return tokens, cause(ctx, err)
}

// cause replaces a cancellation by its cause.
func cause(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), ErrSilent) {
		return ErrSilent
	}
	return err
}

func readEvents(body io.Reader, offset int, sink func(offset int, text string) error) (int, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return offset, nil
		}
		var chunk wireChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
			return offset, fmt.Errorf("%w: malformed event", ErrCut)
		}
		if err := sink(offset, chunk.Choices[0].Text); err != nil {
			return offset, err
		}
		offset++
	}
	if err := lines.Err(); err != nil {
		return offset, fmt.Errorf("%w: %w", ErrCut, err)
	}
	return offset, ErrCut
}

type wireOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Load orders an engine to load an adapter. An adapter that is loaded already
// is no error.
func (c *Client) Load(ctx context.Context, address netip.AddrPort, o Order) error {
	return c.order(ctx, address, "/v1/load_lora_adapter", o, c.config.Load)
}

// Unload orders an engine to unload an adapter.
func (c *Client) Unload(ctx context.Context, address netip.AddrPort, o Order) error {
	return c.order(ctx, address, "/v1/unload_lora_adapter", o, c.config.Order)
}

func (c *Client) order(ctx context.Context, address netip.AddrPort, path string, o Order, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	response, err := c.post(ctx, address, path, wireOrder{Name: o.Instance, Path: o.Path}, o.Fence)
	if err != nil {
		return fmt.Errorf("order %s: %w", path, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("order %s: %w", path, status(response))
	}
	return nil
}

func (c *Client) post(ctx context.Context, address netip.AddrPort, path string, body any, fence int64) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if fence != 0 {
		request.Header.Set(fenceHeader, strconv.FormatInt(fence, 10))
	}
	return c.http.Do(request)
}

func status(r *http.Response) error {
	switch r.StatusCode {
	case http.StatusNotFound:
		return ErrMissing
	case http.StatusPreconditionFailed:
		return ErrFenced
	default:
		return fmt.Errorf("%w: %s", ErrStatus, r.Status)
	}
}

type wireReport struct {
	Boot     string         `json:"boot"`
	Adapters map[string]int `json:"adapters"`
}

// Report asks an engine for its load report.
func (c *Client) Report(ctx context.Context, address netip.AddrPort) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Order)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/v1/load", nil)
	if err != nil {
		return Report{}, fmt.Errorf("read report: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Report{}, fmt.Errorf("read report: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var w wireReport
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(&w); err != nil {
		return Report{}, fmt.Errorf("read report: %w", err)
	}
	report := Report{Boot: w.Boot}
	for _, name := range slices.Sorted(maps.Keys(w.Adapters)) {
		report.Instances = append(report.Instances, Resident{Name: name, Running: w.Adapters[name]})
	}
	return report, nil
}

// Fresh drops the open connections, which may have gone silent.
func (c *Client) Fresh() { c.http.CloseIdleConnections() }
