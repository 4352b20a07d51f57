package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/stand"
	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

// streamed is the part of a streamed answer that a caller received.
type streamed struct {
	text string
	done bool   // whether the done event arrived, which marks the end of a complete answer
	end  string // reason in the error event, or outcome if the call was refused before the stream began
	err  error
}

// stream sends a streaming model call and reads the answer to its end.
func stream(address netip.AddrPort, adapter, prompt string, tokens int) streamed {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	body := fmt.Sprintf(`{"adapter":%q,"prompt":%q,"tokens":%d,"call":"summary"}`, adapter, prompt, tokens)
	url := "http://" + address.String() + "/v1/services/lm-assist/stream"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return streamed{err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return streamed{err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return streamed{end: response.Header.Get("Tanager-Outcome")}
	}
	var got streamed
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var event struct {
			Event, Text, Reason string
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return streamed{err: err}
		}
		got.text += event.Text
		got.done = got.done || event.Event == "done"
		if event.Event == "error" {
			got.end = event.Reason
		}
	}
	got.err = lines.Err()
	return got
}

// When an engine restarts or its connections stop carrying data, a streamed answer
// either continues with the next token or ends with an error event. No token is
// missing or repeated, and an incomplete answer never ends with a done event.
func TestStreamUnderFaults(t *testing.T) {
	f := testlib.NewFleet(t, testlib.FleetConfig{Slots: 4, Engines: 3, TokenTime: 10 * time.Millisecond})
	f.MustPublish(f.ModelDocument(adapters...))
	f.AwaitOwned()
	var callers sync.WaitGroup
	var mu sync.Mutex
	complete, ended := 0, 0
	for c := range 6 {
		callers.Go(func() {
			for i := range 5 {
				adapter := adapters[(c+i)%len(adapters)]
				name, _, _ := splitAdapter(adapter)
				prompt := fmt.Sprintf("stream %d %d", c, i)
				got := stream(f.VMs[c%3].Caller, name, prompt, 100)
				want := stand.FullText(adapter, prompt, 100)
				mu.Lock()
				switch {
				case got.done && got.text == want:
					complete++
				case !got.done && got.end != "" && strings.HasPrefix(want, got.text):
					ended++
				default:
					t.Errorf("%s: done %t, end %q, err %v, %d bytes of %d", prompt, got.done, got.end, got.err, len(got.text), len(want))
				}
				mu.Unlock()
			}
		})
	}
	for i := range 4 {
		time.Sleep(700 * time.Millisecond)
		f.Engines[i%3].SetFaults(stand.EngineFaults{Restart: true, DowntimeMs: 100})
		time.Sleep(300 * time.Millisecond)
		f.EngineProxies[(i+1)%3].SetMode(testlib.StallOpen)
	}
	callers.Wait()
	t.Logf("%d complete, %d ended by an error event", complete, ended)
	if complete == 0 {
		t.Error("no stream was complete")
	}
}
