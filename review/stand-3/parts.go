//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerlb/tanagerlb/platform/emul"
)

const (
	partsVMs     = 2
	partsEngines = 4
	partsConns   = 1000 // connections to each VM
	partsTime    = 80 * time.Second
	// partsWork is the time that an engine takes for an event while it has so many requests.
	partsWork = 3 * time.Second
)

// playParts plays a crowd of clients whose requests have prompts of very many parts, and wait for
// their answers.
func playParts(r *record, trouble bool) (int, error) {
	list := engines(partsEngines)
	for i := range list {
		list[i].WorkTime = partsWork
	}
	f, err := newFleet(r, config(7), list)
	if err != nil {
		return failed, err
	}
	defer f.end()
	if err := f.start(partsVMs, smallestMachine); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	prompt := "5c1e07a2:93,91bd3f06:62,e4402b7d:491"
	if trouble {
		prompt = strings.Repeat("1:,", (maxHeaderBytes-otherBytes)/len("1:,")) + "2:646"
	}
	r.write("%d VMs are ready; %d clients of each begin to send requests: POST %s, Prompt-Prefix %.40q, %d bytes", partsVMs, partsConns, enginePath, prompt, len(prompt))
	ctx, cancel := context.WithTimeout(context.Background(), partsTime)
	defer cancel()
	var wg sync.WaitGroup
	var sent, whole, refused atomic.Int64
	for i := range partsVMs * partsConns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 2, byte(1+i%40))}}
			for n := 0; ctx.Err() == nil; n++ {
				status := askOnce(ctx, dialer, f.vms[i%partsVMs].front, fmt.Sprintf("c%dn%d", i, n), prompt)
				sent.Add(1)
				switch status {
				case http.StatusOK:
					whole.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				}
				if status != http.StatusOK {
					time.Sleep(300 * time.Millisecond)
				}
			}
		}()
	}
	for ctx.Err() == nil && f.faultMachines() < faultMachines {
		time.Sleep(time.Second)
		f.report()
	}
	faulty := f.faultMachines()
	cancel()
	wg.Wait()
	r.write("requests sent: %d, answered with 200: %d, refused with 503: %d", sent.Load(), whole.Load(), refused.Load())
	r.write("requests that replicas ran: %d", countRuns(f.recorder))
	if faulty >= faultMachines {
		r.write("broken: processes of %d machines ended by themselves %d times or more each", faulty, endsOfFault)
		return broken, nil
	}
	return held, nil
}

// countRuns returns the number of requests that replicas began to run.
func countRuns(c *emul.Recorder) int {
	count := 0
	for _, a := range c.Arrivals() {
		if a.Ran {
			count++
		}
	}
	return count
}

// askOnce sends a request on a new connection, and returns the status of its answer; 0 for none.
func askOnce(ctx context.Context, dialer net.Dialer, to, id, prompt string) int {
	conn, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return 0
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: %s\r\nToken-Usage: 646,70\r\nDeadline-Ms: 10000\r\nPrompt-Prefix: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", enginePath, host, id, model, prompt)
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	buffer := make([]byte, 512)
	for {
		if _, err := response.Body.Read(buffer); err != nil {
			break
		}
	}
	return response.StatusCode
}
