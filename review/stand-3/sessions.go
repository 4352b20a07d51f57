//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/platform/emul"
)

const (
	sessionVMs   = 3
	sessionCount = 30 // sessions, each with two callers
	sessionTime  = 40 * time.Second
	killEvery    = 12 * time.Second
	kills        = 2
	takeUpAfter  = 400 * time.Millisecond // after a stream broke off
	eventTime    = 80 * time.Millisecond
	eventCount   = 30
	fewSlots     = 12 // requests that an engine runs at once
)

// streamResult is what a caller got of one stream, over all its tries.
type streamResult struct {
	ids      []string // of its tries
	versions []string // of the software that wrote its pieces, without repeats in a row
	last     int
	tries    int
}

// playSessions plays sessions that send a prompt twice at a time while engines of two versions of their
// software serve, and kills a VM now and then.
func playSessions(r *record, trouble bool) (int, error) {
	var list []emul.ReplicaConfig
	for i := range 6 {
		list = append(list, emul.ReplicaConfig{
			ID: fmt.Sprintf("i-llm%d", i), Service: "llm", Software: fmt.Sprintf("v%d", 1+i%2), Model: model, AdapterSlots: 18,
			LoadTime: 250 * time.Millisecond, WorkTime: eventTime, Events: eventCount,
		})
	}
	text := strings.Replace(config(7), `"resumable":false`, `"resumable":true`, 1)
	text = strings.Replace(text, `"maxAttempts":1`, `"maxAttempts":2`, 1)
	text = strings.Replace(text, `"slots":128`, fmt.Sprintf(`"slots":%d`, fewSlots), 1)
	f, err := newFleet(r, text, list)
	if err != nil {
		return failed, err
	}
	defer f.end()
	if err := f.start(sessionVMs, smallMachine); err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), sessionTime)
	defer cancel()
	var mu sync.Mutex
	var results []streamResult
	var wg sync.WaitGroup
	for i := range sessionCount {
		for k := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; ctx.Err() == nil; n++ {
					if k == 1 {
						time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond) //nolint:gosec // not security
					}
					result := f.stream(ctx, fmt.Sprintf("s%dk%dn%d", i, k, n), fmt.Sprintf("5c1e07a2:93,%x:62,%x:491", 100+i, 5000+i))
					mu.Lock()
					results = append(results, result)
					mu.Unlock()
				}
			}()
		}
	}
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-time.After(killEvery):
		case <-ctx.Done():
		}
		if trouble && n < kills && ctx.Err() == nil {
			v := f.vms[n%sessionVMs]
			v.mu.Lock()
			_ = v.command.Process.Kill()
			v.mu.Unlock()
			r.write("%s: killed", v.name)
		}
	}
	wg.Wait()
	joined, takenUp, complete := 0, 0, 0
	for _, x := range results {
		if x.tries > 1 {
			takenUp++
		}
		if x.last == eventCount {
			complete++
		}
		if len(x.versions) > 1 {
			joined++
			r.write("tries %v: pieces of %v, last %d", x.ids, x.versions, x.last)
		}
	}
	r.write("requests that replicas ran: %d", countRuns(f.recorder))
	r.write("streams %d, complete %d, taken up again %d, joined from two versions %d", len(results), complete, takenUp, joined)
	if joined > 0 {
		return broken, nil
	}
	return held, nil
}

// stream asks for one stream, and takes it up again once if it breaks off.
func (f *fleet) stream(ctx context.Context, name, prompt string) streamResult {
	var x streamResult
	for try := range 3 {
		client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		v := f.vms[rand.IntN(len(f.vms))] //nolint:gosec // not security
		id := fmt.Sprintf("%st%d", name, try)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.front+enginePath, strings.NewReader("{}"))
		if err != nil {
			return x
		}
		request.Host = host
		for key, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "8000", "Token-Usage": "646,70", "Model": model, "Prompt-Prefix": prompt} {
			request.Header.Set(key, value)
		}
		if x.last > 0 {
			request.Header.Set("Last-Event-Id", fmt.Sprint(x.last))
		}
		response, err := client.Do(request)
		if err != nil {
			time.Sleep(takeUpAfter)
			continue
		}
		if response.StatusCode == http.StatusOK {
			if x.last > 0 || x.tries == 0 {
				x.tries++
			}
			x.ids = append(x.ids, id)
			x.read(bufio.NewScanner(response.Body))
		}
		_ = response.Body.Close()
		if x.last == eventCount || ctx.Err() != nil {
			return x
		}
		time.Sleep(takeUpAfter)
	}
	return x
}

// read reads the pieces of an answer.
func (x *streamResult) read(lines *bufio.Scanner) {
	id := 0
	for lines.Scan() {
		line := lines.Text()
		if _, err := fmt.Sscanf(line, "id: %d", &id); err == nil {
			continue
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			_, version, _ := strings.Cut(data, " ")
			if len(x.versions) == 0 || x.versions[len(x.versions)-1] != version {
				x.versions = append(x.versions, version)
			}
			x.last = id
		}
	}
}
