// Package infer provides the client for model engines that speak the HTTP
// protocol of common open-source engines: completions streamed by server-sent
// events, requests to load and unload LoRA adapters, and a status report.
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
	"mime"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/answer"
	"github.com/tanagerlb/tanagerlb/internal/link"
)

// Errors that a Client returns.
var (
	ErrNotLoaded       = errors.New("adapter is not loaded on the engine")
	ErrOldFencingToken = errors.New("engine rejected an old fencing token")
	ErrStatus          = errors.New("engine rejected the request")
	ErrIncomplete      = errors.New("incomplete response from the engine")
	ErrTimeout         = errors.New("engine sent no token within the time limit")
)

// fenceHeader is the HTTP header with the fencing token of a load or unload request.
const fenceHeader = "X-Fencing-Number"

const (
	maxLine   = 1 << 20 // maximum bytes of an event
	maxReport = 4 << 20 // maximum bytes of a status report
)

// Engines sends requests to model engines. Client implements it.
type Engines interface {
	Complete(ctx context.Context, address netip.AddrPort, c Completion, sink func(offset int, text string) error) (int, error)
	Load(ctx context.Context, address netip.AddrPort, r AdapterRequest) error
	Unload(ctx context.Context, address netip.AddrPort, r AdapterRequest) error
	Report(ctx context.Context, address netip.AddrPort) (Report, error)
	// CloseIdle closes the idle connections, so that the next request does not use
	// a stale one.
	CloseIdle()
}

// MayHaveApplied reports whether a load or unload that failed with err may
// still have taken effect.
func MayHaveApplied(err error) bool {
	return !errors.Is(err, ErrOldFencingToken) && !errors.Is(err, ErrStatus) && !errors.Is(err, ErrNotLoaded)
}

// Completion is a request to generate text.
type Completion struct {
	ID        string
	Instance  string // name of the loaded adapter on the engine
	Prompt    string
	MaxTokens int
	Offset    int // number of tokens already received, to resume an answer after them
	Urgency   int // sent as the priority; the engine runs lower values first
}

// AdapterRequest is a request to load or unload an adapter.
type AdapterRequest struct {
	Instance     string // name of the loaded adapter on the engine
	Path         string // path of the weights in the weight store; empty to unload
	FencingToken int64  // fencing token of the engine's owner
}

// Report is the status report of an engine.
type Report struct {
	Boot      string // incarnation of the engine's process: an ID that is new after each start
	Instances []ReportedInstance
}

// ReportedInstance is an adapter that is loaded on an engine.
type ReportedInstance struct {
	Name    string
	Running int // requests in progress with the adapter
}

// Config holds the timeouts of a Client.
type Config struct {
	TokenTimeout   time.Duration // maximum time until the first token of a completion, and between two tokens
	LoadTimeout    time.Duration // timeout of a load
	RequestTimeout time.Duration // timeout of an unload and of a status report
}

// Client sends requests to engines over HTTP. It keeps idle connections for reports only: answers
// have no id, so a late copy of one could not be told from the answer to the next request.
type Client struct {
	config         Config
	calls, reports *http.Client
}

// NewClient returns a Client without open connections.
func NewClient(c Config) *Client {
	return &Client{
		config:  c,
		calls:   link.NewClient(link.Config{}),
		reports: link.NewClient(link.Config{IdleTimeout: 30 * time.Second, MaxIdle: 64}),
	}
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
	Error   json.RawMessage `json:"error"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Complete generates text and passes each token to sink with its offset in the
// answer. The engine does not send the first r.Offset tokens again. Complete returns
// the number of tokens of the whole answer, including these. If the answer is not
// complete, it returns an error.
func (c *Client) Complete(ctx context.Context, address netip.AddrPort, r Completion, sink func(offset int, text string) error) (int, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(c.config.TokenTimeout, func() { cancel(ErrTimeout) })
	defer watchdog.Stop()
	body := wireCompletion{Model: r.Instance, Prompt: r.Prompt, Tokens: r.MaxTokens, Offset: r.Offset, Stream: true, Priority: r.Urgency}
	response, err := c.post(ctx, address, "/v1/completions", body, 0)
	if err != nil {
		return 0, cause(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, statusError(response)
	}
	if !isStream(response) {
		return 0, fmt.Errorf("%w: not a stream of events", ErrIncomplete)
	}
	progress := func(offset int, text string) error {
		watchdog.Reset(c.config.TokenTimeout)
		return sink(offset, text)
	}
	tokens, err := readEvents(response.Body, r, progress)
	return tokens, cause(ctx, err)
}

// cause returns ErrTimeout instead of err if Complete cancelled ctx because no
// token arrived within TokenTimeout.
func cause(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), ErrTimeout) {
		return ErrTimeout
	}
	return err
}

// isStream reports whether a response is a stream of events whose body is not encoded.
func isStream(r *http.Response) bool {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && media == "text/event-stream" && !answer.IsEncoded(r)
}

// readEvents reads the server-sent events of a completion until the end marker and
// passes the tokens to sink. The result is the offset after the last token.
func readEvents(body io.Reader, r Completion, sink func(offset int, text string) error) (int, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	offset := r.Offset
	for lines.Scan() {
		data, err := parseLine(lines.Text())
		if err != nil {
			return offset, err
		}
		if data == "" {
			continue
		}
		if data == "[DONE]" {
			return offset, nil
		}
		var chunk wireChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 || chunk.failed() || offset >= r.MaxTokens {
			return offset, errMalformedEvent
		}
		if err := sink(offset, chunk.Choices[0].Text); err != nil {
			return offset, err
		}
		offset++
	}
	if err := lines.Err(); err != nil {
		return offset, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	return offset, ErrIncomplete
}

var errMalformedEvent = fmt.Errorf("%w: malformed event", ErrIncomplete)

// parseLine returns the data of a line of a stream of events, or "" if it has none. A
// line that is no field, or announces an error, is malformed.
func parseLine(line string) (string, error) {
	name, value, isField := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch {
	case line == "":
		return "", nil
	case !isField, name == "event" && value == "error":
		return "", errMalformedEvent
	case name == "data":
		return value, nil
	default:
		return "", nil
	}
}

// failed reports whether the event tells of an error.
func (c *wireChunk) failed() bool { return len(c.Error) > 0 && string(c.Error) != "null" }

type wireAdapter struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Load requests an engine to load an adapter. It returns no error if the adapter is
// already loaded.
func (c *Client) Load(ctx context.Context, address netip.AddrPort, r AdapterRequest) error {
	return c.postAdapter(ctx, address, "/v1/load_lora_adapter", r, c.config.LoadTimeout)
}

// Unload requests an engine to unload an adapter.
func (c *Client) Unload(ctx context.Context, address netip.AddrPort, r AdapterRequest) error {
	return c.postAdapter(ctx, address, "/v1/unload_lora_adapter", r, c.config.RequestTimeout)
}

// postAdapter sends a load or unload request to the given path.
func (c *Client) postAdapter(ctx context.Context, address netip.AddrPort, path string, r AdapterRequest, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.post(ctx, address, path, wireAdapter{Name: r.Instance, Path: r.Path}, r.FencingToken)
	if err != nil {
		return fmt.Errorf("post %s: %w", path, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("post %s: %w", path, statusError(response))
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
	return c.calls.Do(request)
}

// statusError returns the error for a response with a status other than 200.
func statusError(r *http.Response) error {
	switch r.StatusCode {
	case http.StatusNotFound:
		return ErrNotLoaded
	case http.StatusPreconditionFailed:
		return ErrOldFencingToken
	default:
		return fmt.Errorf("%w: %s", ErrStatus, r.Status)
	}
}

type wireReport struct {
	Boot     string         `json:"boot"`
	Adapters map[string]int `json:"adapters"`
}

// Report fetches the status report of an engine.
func (c *Client) Report(ctx context.Context, address netip.AddrPort) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/v1/load", nil)
	if err != nil {
		return Report{}, fmt.Errorf("read load report: %w", err)
	}
	response, err := c.reports.Do(request)
	if err != nil {
		return Report{}, fmt.Errorf("read load report: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Report{}, fmt.Errorf("read load report: %w", statusError(response))
	}
	var w wireReport
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(&w); err != nil {
		return Report{}, fmt.Errorf("read load report: %w", err)
	}
	report := Report{Boot: w.Boot}
	for _, name := range slices.Sorted(maps.Keys(w.Adapters)) {
		report.Instances = append(report.Instances, ReportedInstance{Name: name, Running: w.Adapters[name]})
	}
	return report, nil
}

// CloseIdle closes the idle connections, so that the next request does not use a
// stale one.
func (c *Client) CloseIdle() { c.reports.CloseIdleConnections() }
