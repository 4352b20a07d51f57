//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryVMs     = 3
	memoryEngines = 6
	memoryTime    = 75 * time.Second
	// endsOfFault is how often processes end by themselves on faultMachines machines or more in a
	// Fault.
	endsOfFault   = 3
	faultMachines = 2
)

// crowd is a number of clients of each VM. Each of them sends one request at a time.
type crowd struct {
	memoryMb int                      // limits.memoryMb in the settings
	clients  int                      // of each VM
	next     func() map[string]string // headers of the next request
	path     string
	logs     *collector
}

// enginePath is a path on the route to the engines.
const enginePath = "/lohu930/2f"

// otherBytes is left of maxHeaderBytes for the other lines of a request's head.
const otherBytes = 500

// playMemory plays clients that send one request at a time, each on a kept connection, and checks
// that the processes stay within the memory of their machines.
func playMemory(r *record, c crowd) (int, error) {
	f, err := newFleet(r, config(7), engines(memoryEngines))
	if err != nil {
		return failed, err
	}
	defer f.end()
	f.logs = c.logs
	if err := f.start(memoryVMs, c.memoryMb); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second) // the VMs claim the engines
	r.write("%d VMs are ready; %d clients of each begin to send requests like this one:", memoryVMs, c.clients)
	for name, value := range c.next() {
		r.write("POST %s, %s: %.60q, %d bytes", c.path, name, value, len(value))
	}
	ctx, cancel := context.WithTimeout(context.Background(), memoryTime)
	defer cancel()
	var wg sync.WaitGroup
	var sent atomic.Int64
	var statuses sync.Map
	for i := range memoryVMs * c.clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{
				MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+i))}}).DialContext,
			}}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				header := c.next()
				header["Request-Id"] = fmt.Sprintf("c%dn%d%s", i, n, header["Request-Id"])
				a := send(ctx, client, http.MethodPost, f.vms[i%memoryVMs].front, c.path, "{}", header)
				sent.Add(1)
				count, _ := statuses.LoadOrStore(a.status, new(atomic.Int64))
				count.(*atomic.Int64).Add(1)
				if a.status != http.StatusOK {
					time.Sleep(20 * time.Millisecond) // as clients do that do not wait as instructed
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
	r.write("requests sent: %d", sent.Load())
	statuses.Range(func(status, count any) bool {
		r.write("status %v: %d (0: no complete answer)", status, count.(*atomic.Int64).Load())
		return true
	})
	ran := 0
	for _, a := range f.recorder.Arrivals() {
		if a.Ran {
			ran++
		}
	}
	r.write("requests that replicas ran: %d", ran)
	if faulty >= faultMachines {
		r.write("broken: processes of %d machines ended by themselves %d times or more each", faulty, endsOfFault)
		return broken, nil
	}
	return held, nil
}

// faultMachines returns the number of machines whose processes have ended by themselves endsOfFault
// times or more.
func (f *fleet) faultMachines() int {
	count := 0
	for _, v := range f.vms {
		v.mu.Lock()
		if v.over+v.exits >= endsOfFault {
			count++
		}
		v.mu.Unlock()
	}
	return count
}

// report writes what the processes take and how often they have ended.
func (f *fleet) report() {
	for _, v := range f.vms {
		v.mu.Lock()
		pid, over, exits := v.command.Process.Pid, v.over, v.exits
		v.mu.Unlock()
		f.r.write("%s: %d MB; over the limit %d times, ended otherwise %d times", v.name, residentMb(pid), over, exits)
	}
}
