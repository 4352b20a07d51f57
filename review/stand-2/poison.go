//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/platform/emul"
)

const (
	// deadlyTime is for how long the client sends its request again, every deadlyPause.
	deadlyTime  = 60 * time.Second
	deadlyPause = 500 * time.Millisecond
	// downTime is how long a replica is down after a crash.
	downTime = 3 * time.Second
	// Bounds of the rule BUDGET: more than maxLateRetries runs later than stableWindow after the crash
	// number lastCrash.
	lastCrash      = 3
	maxLateRetries = 3
	stableWindow   = 3 * time.Second
	deadlyBody     = "deadly"
)

// deadly is a request that crashes the replicas that run it.
type deadly struct {
	fleet   *fleet
	trouble bool
	mu      sync.Mutex
	crashes []time.Time
}

// newDeadly adds replicas of a plain service that a request with deadlyBody crashes.
func newDeadly(f *fleet, trouble bool) *deadly {
	d := &deadly{fleet: f, trouble: trouble}
	for i := range 6 {
		p := &process{fleet: f}
		p.replica = emul.NewReplica(emul.ReplicaConfig{
			ID: fmt.Sprintf("api-%d", i+1), Service: "api", WorkTime: 10 * time.Millisecond, Recorder: f.arrivals,
			Poison: func(_ string, _ http.Header, body string) string {
				if body == deadlyBody && d.trouble {
					return deadlyBody
				}
				return ""
			},
			OnPoison: func(string) { d.crash(p) },
		}, time.Now())
		if err := p.listen("127.0.0.1:0"); err != nil {
			f.record("cannot listen: %v", err)
			continue
		}
		f.closers = append(f.closers, p.close)
		f.mu.Lock()
		f.replicas = append(f.replicas, replica{p.replica, p.address})
		f.mu.Unlock()
	}
	return d
}

// crash ends the process of a replica, which starts again under its id after downTime.
func (d *deadly) crash(p *process) {
	d.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	number := len(d.crashes)
	d.mu.Unlock()
	d.fleet.record("%s crashes under the request; crash number %d", p.replica.ID(), number)
	p.replica.Crash()
	go p.restart()
}

// playPoisonQuery lets a client send a request again and again that crashes the replicas that run it:
// with the same path and body, from the same address, and with the number of the try in its query.
func playPoisonQuery(f *fleet, trouble bool) bool {
	return playPoison(f, trouble, func(number int) string { return fmt.Sprintf("/send/x?try=%d", number) })
}

// playPoisonSame is the same with the same query each time, for comparison.
func playPoisonSame(f *fleet, trouble bool) bool {
	return playPoison(f, trouble, func(int) string { return "/send/x?try=0" })
}

func playPoison(f *fleet, trouble bool, path func(number int) string) bool {
	d := newDeadly(f, trouble)
	time.Sleep(learnTime)
	ordinary := &crowd{clients: ordinaryClients, pause: ordinaryPause, next: func(number int64) request {
		return request{id: fmt.Sprintf("ordinary-%d", number), path: "/send/x", deadline: "4000"}
	}}
	ctx, cancel := context.WithTimeout(context.Background(), deadlyTime)
	defer cancel()
	var clients sync.WaitGroup
	for _, v := range f.vms {
		for range ordinary.clients {
			clients.Add(1)
			go ordinary.loop(ctx, v, &clients)
		}
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for number := 1; ctx.Err() == nil; number++ {
		r := request{id: fmt.Sprintf("deadly-%d", number), path: path(number), deadline: "4000", body: deadlyBody}
		status := send(context.Background(), client, f.vms[number%len(f.vms)], r)
		f.record("%s at vm %d: status %d", r.id, number%len(f.vms)+1, status)
		time.Sleep(deadlyPause)
	}
	clients.Wait()
	f.record("ordinary clients sent %d requests; answers by status, 0 for none:%s", ordinary.count.Load(), ordinary.statuses())
	return d.check()
}

// check counts the runs that the rule BUDGET counts.
func (d *deadly) check() bool {
	d.mu.Lock()
	crashes := d.crashes
	d.mu.Unlock()
	if len(crashes) < lastCrash {
		d.fleet.record("the request has crashed %d replicas", len(crashes))
		return true
	}
	late := 0
	for _, a := range d.fleet.arrivals.Arrivals() {
		if a.Poison != "" && a.At.Sub(crashes[lastCrash-1]) > stableWindow {
			late++
		}
	}
	d.fleet.record("the request has crashed %d replicas; it reached replicas %d times later than %s after crash %d, %d are allowed", len(crashes), late, stableWindow, lastCrash, maxLateRetries)
	return late <= maxLateRetries
}
