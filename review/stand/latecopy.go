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

func init() { cases["late-copy"] = lateCopy }

// plainReplica is a replica of a plain service. It runs a few requests at once and rejects the
// others. For a share of its rejections it sends a second copy late: right before the answer to
// the next request on the connection.
type plainReplica struct {
	id      string
	address netip.AddrPort
	slots   int
	queue   int
	delay   time.Duration // of the link, one way
	work    time.Duration
	extra   float64 // largest share of the answers that have a second copy
	record  *record
	mu      sync.Mutex
	held    int // requests that run or wait
	places  chan struct{}
	runs    map[string]int
	answers int
	copies  int
}

func (p *plainReplica) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.address = netip.MustParseAddrPort(listener.Addr().String())
	p.runs, p.places = map[string]int{}, make(chan struct{}, p.slots)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return nil
}

func (p *plainReplica) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held >= p.slots+p.queue {
		return false
	}
	p.held++
	return true
}

// serve serves one connection, one request at a time.
func (p *plainReplica) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	late, lateID := "", ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(request.Body); err != nil {
			return
		}
		time.Sleep(p.delay)
		if late != "" {
			p.record.printf("replica %s sends the second copy of its rejection of %s before the answer to %s", p.id, lateID, request.Header.Get("Request-Id"))
			_, _ = io.WriteString(conn, late)
			late = ""
		}
		id, target := request.Header.Get("Request-Id"), request.Header.Get("Target-Instance")
		var answer string
		switch {
		case target != "" && target != p.id:
			answer = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + p.id + "\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
		case request.URL.Path == "/health":
			answer = "HTTP/1.1 200 OK\r\nInstance-Id: " + p.id + "\r\nContent-Length: 0\r\n\r\n"
		case !p.begin():
			answer = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: " + id + "\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
			p.record.printf("replica %s rejects %s", p.id, id)
			p.mu.Lock()
			p.answers++
			if rand.Float64() < copiedShare && float64(p.copies+1) <= p.extra*float64(p.answers) {
				p.copies++
				late, lateID = answer, id
			}
			p.mu.Unlock()
		default:
			p.mu.Lock()
			p.answers++
			p.mu.Unlock()
			p.places <- struct{}{}
			p.mu.Lock()
			p.runs[id]++
			p.mu.Unlock()
			p.record.printf("replica %s runs %s", p.id, id)
			time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(p.work)))
			<-p.places
			p.mu.Lock()
			p.held--
			p.mu.Unlock()
			text := "answer to " + id
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, id, len(text), text)
		}
		time.Sleep(p.delay)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// answer is what a caller got.
type answer struct {
	id     string
	status int
	body   string
}

// lateCopy: a replica sends a second copy of some rejections late.
func lateCopy(dir string) (verdict, error) {
	f, err := newFleet(dir, 2, 61)
	if err != nil {
		return failed, err
	}
	defer f.close()
	f.store.Put("keyed.op", "config", operatorConfig(1, ""))
	var replicas []*plainReplica
	for i := range 2 {
		r := &plainReplica{id: fmt.Sprintf("i-api-%d", i+1), slots: 6, queue: 4, delay: 1400 * time.Microsecond, work: 30 * time.Millisecond, record: f.record}
		if f.trouble && i == 0 {
			r.extra = lateShare
		}
		if err := r.listen(); err != nil {
			return failed, err
		}
		f.register(r.id, plainEntry(r.id, "api", r.address, time.Now().UnixMilli()))
		replicas = append(replicas, r)
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
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var answers []answer
	var wait sync.WaitGroup
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	const total, perSecond = 24000, 400
	next := time.Now()
	for i := range total {
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
		time.Sleep(time.Until(next))
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := answer{id: fmt.Sprintf("%08x%04x", rand.Uint32(), i)}
			v := f.vms[i%len(f.vms)]
			request, err := http.NewRequest(http.MethodPost, v.url("/send/x"), strings.NewReader("message "+a.id))
			if err != nil {
				return
			}
			request.Host = "review.example"
			request.Header.Set("Request-Id", a.id)
			request.Header.Set("Deadline-Ms", "1000")
			response, err := client.Do(request)
			if err == nil {
				body, _ := io.ReadAll(response.Body)
				response.Body.Close()
				a.status, a.body = response.StatusCode, string(body)
			}
			f.record.printf("caller: %s sent to %s, answered %d", a.id, v.name, a.status)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		}()
	}
	wait.Wait()
	time.Sleep(time.Second)
	runs, sent, copies := map[string]int{}, 0, 0
	for _, r := range replicas {
		r.mu.Lock()
		for id, n := range r.runs {
			runs[id] += n
		}
		sent += r.answers
		copies += r.copies
		r.mu.Unlock()
	}
	byStatus := map[int]int{}
	refused, twice := 0, 0
	for _, a := range answers {
		byStatus[a.status]++
		if runs[a.id] > 0 && (a.status == 503 || a.status == 429) {
			refused++
			f.record.printf("REFUSED: %s was answered %d and has run", a.id, a.status)
		}
		if runs[a.id] > 1 {
			twice++
			f.record.printf("TWICE: %s has run %d times, and was answered %d", a.id, runs[a.id], a.status)
		}
	}
	summary := fmt.Sprintf("answers to callers %v, answers of the replicas %d, second copies %d, refused and run %d, run twice %d", byStatus, sent, copies, refused, twice)
	f.record.printf("%s", summary)
	fmt.Println(summary)
	if refused+twice > 0 {
		return broken, nil
	}
	return held, nil
}

const (
	// lateShare is the largest share of a faulty replica's answers that have a second copy.
	lateShare = 0.03
	// copiedShare is the share of its rejections that have one, within lateShare.
	copiedShare = 0.15
)
