//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

func init() { cases["two-deadly"] = twoDeadly }

const (
	// crashAfter is how long a replica runs a deadly request before it crashes.
	crashAfter = 90 * time.Millisecond
	// backAfter is how long a replica is away after a crash.
	backAfter = 2500 * time.Millisecond
	// lateAfter is bounds.stableWindowMs.
	lateAfter = 3 * time.Second
	// lateAllowed is how many retries BUDGET allows later than that after the third crash.
	lateAllowed = 3
)

// deadlyLog records the runs and crashes of deadly requests, by their body.
type deadlyLog struct {
	mu      sync.Mutex
	runs    map[string][]time.Time
	crashes map[string][]time.Time
}

// fragile is a replica of a plain service that crashes when it runs a deadly request. Each start
// has a new id, at the same address.
type fragile struct {
	fleet    *fleet
	name     string
	log      *deadlyLog
	address  netip.AddrPort
	mu       sync.Mutex
	start    int
	born     int64
	up       bool
	listener net.Listener
	conns    map[net.Conn]bool
}

func (r *fragile) id() string { return fmt.Sprintf("i-%s-%d", r.name, r.start) }

// begin starts the replica, which reports to the store at once.
func (r *fragile) begin() error {
	r.mu.Lock()
	address := "127.0.0.1:0"
	if r.address.IsValid() {
		address = r.address.String()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		r.mu.Unlock()
		return err
	}
	r.listener, r.address = listener, netip.MustParseAddrPort(listener.Addr().String())
	r.start++
	r.up, r.born, r.conns = true, time.Now().UnixMilli(), map[net.Conn]bool{}
	id, born, number := r.id(), r.born, r.start
	r.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[conn] = true
			r.mu.Unlock()
			go r.serve(conn, id)
		}
	}()
	r.fleet.register(id, func() (string, []byte) {
		r.mu.Lock()
		alive := r.up && r.start == number
		r.mu.Unlock()
		if !alive {
			return id, nil
		}
		return plainEntry(id, "api", r.address, born)()
	})
	r.fleet.record.printf("replica %s starts", id)
	return nil
}

// crash ends the replica with all its connections; it starts again later. Its entry lapses after
// three heartbeats.
func (r *fragile) crash(bodies ...string) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	id := r.id()
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.fleet.record.printf("replica %s crashes", id)
	time.AfterFunc(3600*time.Millisecond, func() { r.fleet.store.Put("keyed.servers", id, nil) })
	time.AfterFunc(backAfter, func() {
		if err := r.begin(); err != nil {
			r.fleet.record.printf("cannot start %s: %v", r.name, err)
		}
	})
}

func (r *fragile) serve(conn net.Conn, own string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id, target, text := request.Header.Get("Request-Id"), request.Header.Get("Target-Instance"), string(body)
		switch {
		case target != "" && target != own:
			_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", own, id)
		case request.URL.Path == "/health":
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", own)
		default:
			if strings.HasPrefix(text, "deadly") && r.fleet.trouble {
				r.run(text, own, id)
				return
			}
			r.log.mu.Lock()
			r.log.runs[text] = append(r.log.runs[text], time.Now())
			r.log.mu.Unlock()
			time.Sleep(30 * time.Millisecond)
			answer := "answer to " + id
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, id, len(answer), answer)
		}
		if err != nil {
			return
		}
	}
}

// run runs a deadly request.
func (r *fragile) run(text, own, id string) {
	r.log.mu.Lock()
	r.log.runs[text] = append(r.log.runs[text], time.Now())
	r.log.mu.Unlock()
	r.fleet.record.printf("replica %s runs %s, %s", own, id, text)
	time.Sleep(crashAfter)
	r.log.mu.Lock()
	r.log.crashes[text] = append(r.log.crashes[text], time.Now())
	r.log.mu.Unlock()
	r.crash()
}

// send sends a message from a caller's address and returns the status; 0 for none.
func (f *fleet) send(v *vm, from netip.Addr, body string) int {
	id := fmt.Sprintf("%016x", rand.Uint64())
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
	request, err := http.NewRequest(http.MethodPost, v.url("/send/x"), strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "review.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1000")
	response, err := client.Do(request)
	if err != nil {
		f.record.printf("caller: %s, %s, to %s: no answer", id, body, v.name)
		return 0
	}
	defer response.Body.Close()
	reason, _ := io.ReadAll(response.Body)
	f.record.printf("caller: %s, %s, to %s: %d %s", id, body, v.name, response.StatusCode, strings.TrimSpace(string(reason)))
	return response.StatusCode
}

// twoDeadly: two callers each repeat a request that crashes the replicas that run it.
func twoDeadly(dir string) (verdict, error) {
	f, err := newFleet(dir, 3, 65)
	if err != nil {
		return failed, err
	}
	defer f.close()
	log := &deadlyLog{runs: map[string][]time.Time{}, crashes: map[string][]time.Time{}}
	f.store.Put("keyed.op", "config", operatorConfig(1, ""))
	var replicas []*fragile
	for i := range 9 {
		replicas = append(replicas, &fragile{fleet: f, name: fmt.Sprintf("api-%d", i+1), log: log})
	}
	if err := replicas[0].begin(); err != nil {
		return failed, err
	}
	done := make(chan struct{})
	defer close(done)
	go f.heartbeats(done)
	if err := f.startVMs(); err != nil {
		return failed, err
	}
	if err := f.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)
	one, two := netip.MustParseAddr("127.65.250.1"), netip.MustParseAddr("127.65.250.2")
	both := func() {
		go f.send(f.vms[1], two, "deadly two")
		f.send(f.vms[0], one, "deadly one")
		time.Sleep(backAfter + 2500*time.Millisecond)
	}
	both()
	both()
	for i := range replicas[1:] {
		if err := replicas[1+i].begin(); err != nil {
			return failed, err
		}
	}
	time.Sleep(2500 * time.Millisecond)
	f.send(f.vms[2], one, "deadly one")
	f.record.printf("deadly one has crashed its third replica")
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(1)
	go func() { // the first caller goes on to repeat its request, at any VM
		defer wait.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(repeatEvery):
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				f.send(f.vms[i%len(f.vms)], one, "deadly one")
			}()
		}
	}()
	time.Sleep(lateAfter + 2*time.Second)
	wait.Add(2)
	for range 2 {
		go func() {
			defer wait.Done()
			f.send(f.vms[0], two, "deadly two")
		}()
	}
	time.Sleep(8 * time.Second)
	close(stop)
	wait.Wait()
	log.mu.Lock()
	defer log.mu.Unlock()
	crashes, late := log.crashes["deadly one"], 0
	if len(crashes) >= 3 {
		for _, at := range log.runs["deadly one"] {
			if at.After(crashes[2].Add(lateAfter)) {
				late++
			}
		}
	}
	f.record.printf("deadly one: %d crashes, %d arrivals later than %s after the third, %d allowed; deadly two: %d crashes", len(crashes), late, lateAfter, lateAllowed, len(log.crashes["deadly two"]))
	fmt.Printf("deadly one: %d crashes, %d late arrivals, %d allowed; deadly two: %d crashes\n", len(crashes), late, lateAllowed, len(log.crashes["deadly two"]))
	if late > lateAllowed {
		return broken, nil
	}
	return held, nil
}

// repeatEvery is the time between two repeats of a request.
const repeatEvery = 20 * time.Millisecond
