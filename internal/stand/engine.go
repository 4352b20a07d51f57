package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerlb/tanagerlb/internal/delay"
)

// FenceHeader is the header with the fencing token of an order. An order is a
// request to load an adapter, to unload one, or to set the engine's role.
const FenceHeader = "X-Fencing-Number"

// EngineConfig sets the capacity, the speed and the fencing of an Engine.
type EngineConfig struct {
	Name      string
	Slots     int            // maximum number of resident adapters
	Batch     int            // maximum number of running requests
	Fencing   bool           // whether the engine refuses orders with old fencing tokens
	TokenTime time.Duration  // time to generate one token
	Store     netip.AddrPort // address of the weight store
}

// EngineFaults are the faults that an Engine can inject.
type EngineFaults struct {
	Faults
	FailLoads   int    `json:"failLoads"` // number of coming loads that fail
	CrashPrompt string `json:"poison"`    // a prompt that contains this text crashes the engine; empty for none
	ReportLagMs int    `json:"lag"`       // age of the status reports, in milliseconds
	Restart     bool   `json:"restart"`   // restart now, without adapters
	DowntimeMs  int    `json:"crash"`     // downtime after a crash or restart, in milliseconds
}

// EngineCounts counts what an engine did, and the cases in which a VM broke the
// engine's rules, such as unloading an adapter in use.
type EngineCounts struct {
	Completed    int            `json:"runs"`     // requests that completed
	Loads        int            `json:"loads"`    // adapters loaded
	Unloads      int            `json:"unloads"`  // adapters unloaded
	EvictedInUse int            `json:"evicted"`  // adapters unloaded while requests for them ran or waited
	NotResident  int            `json:"missing"`  // requests refused because their adapter was not resident
	FenceRejects int            `json:"refused"`  // orders refused because of an old fencing token
	Crashes      int            `json:"crashes"`  // crashes caused by CrashPrompt
	CompletedBy  map[string]int `json:"adapters"` // completed requests by "adapter@version"
}

// Engine is a fake model engine with the HTTP interface of open-source engines.
// The text that it generates contains the adapter, its version and a hash of the
// prompt, so that tests detect mixed-up and truncated answers.
//
// An adapter on the engine is called an instance. Its name is
// "adapter@version#token", with the fencing token of the owner that loaded it.
type Engine struct {
	faultInjector
	config       EngineConfig
	mux          *http.ServeMux
	mutex        sync.Mutex
	boot         int             // number of starts
	downUntil    time.Time       // end of the downtime after a crash or restart
	fence        int64           // highest fencing token seen
	resident     map[string]int  // number of running and waiting requests, by resident instance
	loading      map[string]bool // instances that are being loaded
	running      int
	waiting      int
	placeFreed   chan struct{} // closed when a request leaves the batch, then replaced
	crashed      chan struct{} // closed when the engine crashes, then replaced
	engineFaults EngineFaults
	counts       EngineCounts
	reports      []timedReport
}

// timedReport is a status report and the time at which it was recorded.
type timedReport struct {
	at   time.Time
	body EngineReport
}

// EngineReport is the status report of an engine: how busy it is, and which
// adapters are resident.
type EngineReport struct {
	Boot     string         `json:"boot"`
	Running  int            `json:"running"`
	Waiting  int            `json:"waiting"`
	Adapters map[string]int `json:"adapters"` // number of running and waiting requests, by resident instance
}

// NewEngine returns an engine without resident adapters. Its HTTP interface:
//
//	POST /v1/completions          generates text, also as a stream of events
//	POST /v1/load_lora_adapter    loads an adapter
//	POST /v1/unload_lora_adapter  unloads an adapter
//	POST /v1/role                 accepts an order to set the engine's role, without effect
//	GET  /v1/load                 returns an EngineReport
//	POST /control                 sets EngineFaults
//	GET  /counts                  returns EngineCounts
func NewEngine(c EngineConfig) *Engine {
	e := &Engine{config: c, mux: http.NewServeMux(), boot: 1, counts: EngineCounts{CompletedBy: map[string]int{}}}
	e.reset()
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /v1/load_lora_adapter", e.load)
	e.mux.HandleFunc("POST /v1/unload_lora_adapter", e.unload)
	e.mux.HandleFunc("POST /v1/role", e.role)
	e.mux.HandleFunc("GET /v1/load", e.report)
	e.mux.HandleFunc("POST /control", e.control)
	e.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) })
	return e
}

// ServeHTTP serves the HTTP interface that NewEngine describes. While the engine is
// down after a crash or restart, it closes the connections of requests to /v1/
// without an answer.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/") && e.isDown(time.Now()) {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) isDown(now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return now.Before(e.downUntil)
}

// reset clears the running requests and the adapters, which a restart loses.
func (e *Engine) reset() {
	e.resident = map[string]int{}
	e.loading = map[string]bool{}
	e.running = 0
	e.placeFreed = make(chan struct{})
	e.crashed = make(chan struct{})
}

// Crash aborts all requests and restarts the engine without adapters. The engine is
// then down for EngineFaults.DowntimeMs.
func (e *Engine) Crash(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	close(e.crashed)
	e.reset()
	e.boot++
	e.fence = 0
	e.reports = nil
	e.downUntil = now.Add(time.Duration(e.engineFaults.DowntimeMs) * time.Millisecond)
}

func (e *Engine) control(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if !readJSON(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
}

// SetFaults replaces the faults of the engine.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.set(faults.Faults)
	e.mutex.Lock()
	e.engineFaults = faults
	e.mutex.Unlock()
	if faults.Restart {
		e.Crash(time.Now())
	}
}

// Counts returns a copy of the counts so far.
func (e *Engine) Counts() EngineCounts {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	c := e.counts
	c.CompletedBy = make(map[string]int, len(e.counts.CompletedBy))
	for name, count := range e.counts.CompletedBy {
		c.CompletedBy[name] = count
	}
	return c
}

// TokenText returns the text of the token at an offset in an engine's answer. The
// adapter is given as "adapter@version".
func TokenText(adapter, prompt string, offset int) string {
	return fmt.Sprintf("%s:%08x:%d ", adapter, uint32(xxhash.Sum64String(prompt)), offset)
}

// FullText returns the text of an engine's complete answer, which has the given
// number of tokens.
func FullText(adapter, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(TokenText(adapter, prompt, i))
	}
	return b.String()
}

type completion struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"max_tokens"`
	Offset int    `json:"resume_from"`
	Stream bool   `json:"stream"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c completion
	if !readJSON(w, r, &c) || !e.injectBefore(r) {
		return
	}
	crashed, ok := e.admit(c)
	if !ok {
		http.Error(w, `{"error":"the model does not exist"}`, http.StatusNotFound)
		return
	}
	finished := false
	defer func() { e.finish(c.Model, crashed, finished) }()
	e.crashIfPoisoned(c.Prompt)
	if !e.joinBatch(r.Context(), crashed) {
		panic(http.ErrAbortHandler)
	}
	defer e.leaveBatch(crashed)
	w.Header().Set("Content-Type", "text/event-stream")
	finished = e.generate(w, r, c, crashed)
}

// admit counts a request as a user of its adapter, or returns false if the adapter
// is not resident. It is called before the request waits to join the batch, because
// the adapter must stay loaded during this wait too. The returned channel is closed
// if the engine crashes.
func (e *Engine) admit(c completion) (chan struct{}, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if _, ok := e.resident[c.Model]; !ok {
		e.counts.NotResident++
		return nil, false
	}
	e.resident[c.Model]++
	return e.crashed, true
}

func (e *Engine) finish(model string, crashed chan struct{}, finished bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if crashed != e.crashed {
		return
	}
	if _, ok := e.resident[model]; ok {
		e.resident[model]--
	}
	if finished {
		e.counts.Completed++
		adapter, _, _ := strings.Cut(model, "#")
		e.counts.CompletedBy[adapter]++
	}
}

func (e *Engine) crashIfPoisoned(prompt string) {
	e.mutex.Lock()
	poison := e.engineFaults.CrashPrompt
	e.mutex.Unlock()
	if poison == "" || !strings.Contains(prompt, poison) {
		return
	}
	e.mutex.Lock()
	e.counts.Crashes++
	e.mutex.Unlock()
	e.Crash(time.Now())
	panic(http.ErrAbortHandler)
}

// joinBatch waits until a request can join the batch. It returns false if the engine
// crashes or the request is cancelled first.
func (e *Engine) joinBatch(ctx context.Context, crashed chan struct{}) bool {
	for {
		e.mutex.Lock()
		if crashed == e.crashed && e.running < e.config.Batch {
			e.running++
			e.mutex.Unlock()
			return true
		}
		placeFreed := e.placeFreed
		e.waiting++
		e.mutex.Unlock()
		ok := true
		select {
		case <-placeFreed:
		case <-crashed:
			ok = false
		case <-ctx.Done():
			ok = false
		}
		e.mutex.Lock()
		e.waiting--
		e.mutex.Unlock()
		if !ok {
			return false
		}
	}
}

func (e *Engine) leaveBatch(crashed chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if crashed != e.crashed {
		return
	}
	e.running--
	close(e.placeFreed)
	e.placeFreed = make(chan struct{})
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, c completion, crashed chan struct{}) bool {
	adapter, _, _ := strings.Cut(c.Model, "#")
	flush := http.NewResponseController(w)
	for offset := c.Offset; offset < c.Tokens; offset++ {
		delay.Wait(r.Context(), e.config.TokenTime)
		select {
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return false
		default:
		}
		data, err := json.Marshal(chunk{Choices: []choice{{Text: TokenText(adapter, c.Prompt, offset)}}})
		if err != nil {
			panic(http.ErrAbortHandler) // the stream must not look complete
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return false
		}
		_ = flush.Flush()
		if !e.injectBefore(r) {
			return false
		}
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	return err == nil
}

type adapterRequest struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// checkFence reports whether to carry out an order. An engine with fencing refuses
// an order whose fencing token is lower than the highest one seen. Otherwise, it
// records the token as the highest one.
func (e *Engine) checkFence(w http.ResponseWriter, r *http.Request) bool {
	token, _ := strconv.ParseInt(r.Header.Get(FenceHeader), 10, 64)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.config.Fencing {
		return true
	}
	if token < e.fence {
		e.counts.FenceRejects++
		http.Error(w, `{"error":"old fencing number"}`, http.StatusPreconditionFailed)
		return false
	}
	e.fence = token
	return true
}

func (e *Engine) role(w http.ResponseWriter, r *http.Request) {
	if e.injectBefore(r) && e.checkFence(w, r) {
		e.injectAfter()
	}
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var o adapterRequest
	if !readJSON(w, r, &o) || !e.injectBefore(r) || !e.checkFence(w, r) {
		return
	}
	if present, room := e.reserve(o.Name); present || !room {
		if !present {
			http.Error(w, `{"error":"no free slot"}`, http.StatusConflict)
		}
		return
	}
	ok := e.fetch(r.Context(), o.Path)
	if !e.finishLoad(o.Name, ok) {
		http.Error(w, `{"error":"load failed"}`, http.StatusInternalServerError)
		return
	}
	e.injectAfter()
}

func (e *Engine) reserve(name string) (present, room bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if _, ok := e.resident[name]; ok {
		return true, true
	}
	if len(e.resident)+len(e.loading) >= e.config.Slots || e.loading[name] {
		return false, false
	}
	e.loading[name] = true
	return false, true
}

func (e *Engine) fetch(ctx context.Context, path string) bool {
	url := "http://" + e.config.Store.String() + "/weights/" + path
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (e *Engine) finishLoad(name string, ok bool) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.loading[name] {
		return false
	}
	delete(e.loading, name)
	if e.engineFaults.FailLoads > 0 {
		e.engineFaults.FailLoads--
		ok = false
	}
	if ok {
		e.resident[name] = 0
		e.counts.Loads++
	}
	return ok
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	var o adapterRequest
	if !readJSON(w, r, &o) || !e.injectBefore(r) || !e.checkFence(w, r) {
		return
	}
	e.removeAdapter(o.Name)
	e.injectAfter()
}

func (e *Engine) removeAdapter(name string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	running, ok := e.resident[name]
	if !ok {
		return
	}
	if running > 0 {
		e.counts.EvictedInUse++
	}
	delete(e.resident, name)
	e.counts.Unloads++
}

func (e *Engine) report(w http.ResponseWriter, r *http.Request) {
	if e.injectBefore(r) {
		writeJSON(w, e.laggedReport(time.Now()))
	}
}

// laggedReport records the current status and returns the latest recorded status
// that is at least ReportLagMs old. If there is none, it returns the oldest recorded
// status.
func (e *Engine) laggedReport(now time.Time) EngineReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	body := EngineReport{
		Boot:     e.config.Name + "-" + strconv.Itoa(e.boot),
		Running:  e.running,
		Waiting:  e.waiting,
		Adapters: make(map[string]int, len(e.resident)),
	}
	for name, running := range e.resident {
		body.Adapters[name] = running
	}
	e.reports = append(e.reports, timedReport{at: now, body: body})
	until := now.Add(-time.Duration(e.engineFaults.ReportLagMs) * time.Millisecond)
	at := 0
	for i, r := range e.reports {
		if !r.at.After(until) {
			at = i
		}
	}
	e.reports = slices.Delete(e.reports, 0, at)
	return e.reports[0].body
}

// chunk is one event of a token stream, in the format of OpenAI completions.
type chunk struct {
	Choices []choice `json:"choices"`
}

type choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}
