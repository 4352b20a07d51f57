//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdTime is for how long the crowd sends requests.
	crowdTime = 90 * time.Second
	// ordinaryClients is the number of other clients at each VM, and ordinaryPause the time between
	// two requests of one of them.
	ordinaryClients = 2
	ordinaryPause   = 100 * time.Millisecond
	// unansweredPause is added to the pause after a request without an answer.
	unansweredPause = 50 * time.Millisecond
	// faultEnds and faultVMs are the bounds of the rule Fault: a tenth of the machines in use, two
	// at least, on which processes end by themselves three times.
	faultEnds = 3
	faultVMs  = 2
)

// crowd is clients whose requests stay inside the limits of the configuration.
type crowd struct {
	next    func(number int64) request
	clients int           // at each VM
	pause   time.Duration // between two requests of a client
	count   atomic.Int64
	answers sync.Map // number of answers by status
}

// playCrowd lets a crowd send requests to all VMs, and reports whether the rule Fault held.
func playCrowd(f *fleet, c *crowd) bool {
	f.addPlain()
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	f.record("%d clients at each VM send requests for %s, %s after the last answer; a head has some %d bytes of at most 16384",
		c.clients, crowdTime, c.pause, headBytes(c.next(0)))
	ordinary := &crowd{clients: ordinaryClients, pause: ordinaryPause, next: func(number int64) request {
		return request{id: fmt.Sprintf("ordinary-%d", number), path: "/send/x", deadline: "4000"}
	}}
	var clients sync.WaitGroup
	for _, v := range f.vms {
		for _, of := range []*crowd{c, ordinary} {
			for range of.clients {
				clients.Add(1)
				go of.loop(ctx, v, &clients)
			}
		}
	}
	done := make(chan struct{})
	go func() {
		clients.Wait()
		close(done)
	}()
	c.watch(f, done, cancel)
	ended := 0
	for _, v := range f.vms {
		ends, most := v.state()
		f.record("vm %d: its process has ended %d times, and held %d MB at most", v.number, ends, most>>20)
		if ends >= faultEnds {
			ended++
		}
	}
	f.record("the crowd sent %d requests; answers by status, 0 for none:%s", c.count.Load(), c.statuses())
	f.record("ordinary clients sent %d requests; answers by status, 0 for none:%s", ordinary.count.Load(), ordinary.statuses())
	return ended < faultVMs
}

// watch records the progress until the clients have ended or the rule is broken.
func (c *crowd) watch(f *fleet, done <-chan struct{}, cancel context.CancelFunc) {
	for {
		select {
		case <-done:
			return
		case <-time.After(2 * time.Second):
		}
		ended := 0
		var text strings.Builder
		for _, v := range f.vms {
			ends, _ := v.state()
			v.mu.Lock()
			pid := v.pid
			v.mu.Unlock()
			fmt.Fprintf(&text, " %d MB (%d ends)", resident(pid)>>20, ends)
			if ends >= faultEnds {
				ended++
			}
		}
		f.record("%d requests sent; the processes hold%s", c.count.Load(), text.String())
		if ended >= faultVMs {
			cancel()
			<-done
			return
		}
	}
}

func (c *crowd) statuses() string {
	text := ""
	c.answers.Range(func(status, count any) bool {
		text += fmt.Sprintf(" %v: %d;", status, count.(*atomic.Int64).Load()) //nolint:forcetypeassert // the map holds nothing else
		return true
	})
	return text
}

func (c *crowd) loop(ctx context.Context, v *vm, clients *sync.WaitGroup) {
	defer clients.Done()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for ctx.Err() == nil {
		r := c.next(c.count.Add(1))
		status := send(context.Background(), client, v, r)
		count, _ := c.answers.LoadOrStore(status, &atomic.Int64{})
		count.(*atomic.Int64).Add(1) //nolint:forcetypeassert // the map holds nothing else
		if status == 0 {             // the VM may be starting again
			time.Sleep(unansweredPause)
		}
		time.Sleep(c.pause)
	}
}

func headBytes(r request) int {
	return len(r.path) + len(r.id) + len(r.model) + len(r.usage) + len(r.prefix) + len(r.deadline) + len(r.padding) + 250
}

// longBytes is the length of a long header, which leaves room for the others within
// maxHeaderBytes.
const longBytes = 15_000

func randomText(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for range size {
		b.WriteByte(letters[rand.IntN(len(letters))]) //nolint:gosec // not security
	}
	return b.String()
}

// playModelNames lets clients ask for models that do not exist. Without the disruption, they ask
// for the one that does, in requests of the same size.
func playModelNames(f *fleet, trouble bool) bool {
	filler := randomText(longBytes)
	return playCrowd(f, &crowd{clients: 36, next: func(number int64) request {
		r := request{id: fmt.Sprintf("crowd-%d", number), path: "/chat/x", usage: "100,10", prefix: "1:60,2:40", deadline: "50"}
		if trouble {
			r.model = fmt.Sprintf("m%d%s", number, filler)
		} else {
			r.model, r.padding = model, fmt.Sprintf("m%d%s", number, filler)
		}
		return r
	}})
}

// playPromptParts lets clients send prompts of very many empty parts. Without the disruption, the
// prompts have two parts, in requests of the same size.
func playPromptParts(f *fleet, trouble bool) bool {
	return playCrowd(f, &crowd{clients: 14, pause: 100 * time.Millisecond, next: func(number int64) request {
		r := request{id: fmt.Sprintf("crowd-%d", number), path: "/chat/x", model: model, usage: "100,10", deadline: "2000"}
		var parts strings.Builder
		for i := 0; parts.Len() < longBytes; i++ {
			fmt.Fprintf(&parts, "%x:0,", uint64(number)<<16+uint64(i)) //nolint:gosec // not negative
		}
		if trouble {
			r.prefix = parts.String() + "1:60,2:40"
		} else {
			r.prefix, r.padding = "1:60,2:40", parts.String()
		}
		return r
	}})
}
