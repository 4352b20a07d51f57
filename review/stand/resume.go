//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tanagerlb/tanagerlb/platform/emul"
)

func init() { cases["resume-alone"] = resumeAlone }

// stream is a stream as its caller got it, over all attempts.
type stream struct {
	last     int      // id of the last event
	software []string // version of the software that wrote each event
	first    string   // id of the attempt that brought the first event
}

// streamCaller sends streaming requests one after the other. A stream that breaks off is taken up
// again with the header Last-Event-Id, at another VM and on a new connection.
type streamCaller struct {
	fleet   *fleet
	home    int
	done    <-chan struct{}
	resumes bool // the header Resumes is sent too
	mu      *sync.Mutex
	joined  *int // streams whose events are of several versions
	resumed *int
	streams *int
}

func (c *streamCaller) run(wait *sync.WaitGroup) {
	defer wait.Done()
	for {
		select {
		case <-c.done:
			return
		default:
		}
		s := &stream{}
		deadline, resumed := time.Now().Add(12*time.Second), false
		vm := c.home
		for try := 0; try < 4 && time.Until(deadline) > 100*time.Millisecond; try++ {
			id := fmt.Sprintf("%016x", rand.Uint64())
			if s.last > 0 {
				resumed = true
			}
			if c.attempt(vm, id, s, time.Until(deadline)) {
				break
			}
			vm = (vm + 1 + rand.IntN(len(c.fleet.vms)-1)) % len(c.fleet.vms)
			time.Sleep(300 * time.Millisecond)
		}
		c.mu.Lock()
		*c.streams++
		if resumed {
			*c.resumed++
		}
		if versions := slices.Compact(slices.Clone(s.software)); len(versions) > 1 {
			*c.joined++
			c.fleet.record.printf("ORDER: the stream that began as %s is joined from the versions %v", s.first, versions)
		}
		c.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// attempt sends one request and adds its events to the stream. It returns true if the stream is
// complete.
func (c *streamCaller) attempt(vm int, id string, s *stream, left time.Duration) bool {
	v := c.fleet.vms[vm]
	client := &http.Client{Timeout: left, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	request, err := http.NewRequest(http.MethodPost, v.url("/resume/x"), strings.NewReader("prompt "+id))
	if err != nil {
		return false
	}
	request.Host = "review.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("Model", "base/a"+strconv.Itoa(1+rand.IntN(60)))
	request.Header.Set("Token-Usage", "646,80")
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:155,%s:491", id))
	from := s.last
	if from > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(from))
		if c.resumes {
			request.Header.Set("Resumes", s.first)
		}
	}
	response, err := client.Do(request)
	if err != nil {
		c.fleet.record.printf("caller: %s to %s, Last-Event-Id %d: no answer (%v)", id, v.name, from, err)
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.fleet.record.printf("caller: %s to %s, Last-Event-Id %d: %d", id, v.name, from, response.StatusCode)
		return false
	}
	scanner := bufio.NewScanner(response.Body)
	number, software := 0, ""
	for scanner.Scan() {
		switch key, value, _ := strings.Cut(scanner.Text(), ": "); key {
		case "id":
			number, _ = strconv.Atoi(value)
		case "data":
			_, software, _ = strings.Cut(value, " ")
		case "":
			if s.last == 0 {
				s.first = id
			}
			s.last = number
			s.software = append(s.software, software)
		}
	}
	c.fleet.record.printf("caller: %s to %s, Last-Event-Id %d: events to %d of version %s, complete %v", id, v.name, from, s.last, software, scanner.Err() == nil)
	return scanner.Err() == nil
}

// addEngine starts an engine with a version of its software and registers it.
func (f *fleet) addEngine(name, software string, recorder *emul.Recorder) (*emul.Replica, error) {
	r := emul.NewReplica(emul.ReplicaConfig{
		ID: name, Service: "lm", Software: software, Model: "base", AdapterSlots: 18, LoadTime: 250 * time.Millisecond,
		WorkTime: 40 * time.Millisecond, Events: 40, Recorder: recorder,
	}, time.Now())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, r) }()
	f.register(name, func() (string, []byte) { return r.ID(), r.Entry(listener.Addr().String()) })
	return r, nil
}

// resumeAlone: streams break off before and during a release as a VM's process is killed, and
// callers take them up again with Last-Event-Id.
func resumeAlone(dir string) (verdict, error) {
	f, err := newFleet(dir, 3, 63)
	if err != nil {
		return failed, err
	}
	defer f.close()
	recorder := emul.NewRecorder()
	var old []*emul.Replica
	for _, name := range []string{"i-lm-1", "i-lm-2", "i-lm-3", "i-lm-4"} {
		r, err := f.addEngine(name, "v1", recorder)
		if err != nil {
			return failed, err
		}
		old = append(old, r)
	}
	f.store.Put("keyed.op", "config", operatorConfig(1, ""))
	done := make(chan struct{})
	go f.heartbeats(done)
	if err := f.startVMs(); err != nil {
		return failed, err
	}
	if err := f.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var mu sync.Mutex
	var joined, resumed, streams int
	var wait sync.WaitGroup
	for i := range 54 {
		c := &streamCaller{fleet: f, home: i % 3, done: stop, resumes: os.Getenv("RESUMES") != "", mu: &mu, joined: &joined, resumed: &resumed, streams: &streams}
		wait.Add(1)
		go c.run(&wait)
	}
	time.Sleep(6 * time.Second)
	f.crash(1)
	time.Sleep(8 * time.Second)
	for i, name := range []string{"i-lm-5", "i-lm-6"} {
		if _, err := f.addEngine(name, "v2", recorder); err != nil {
			return failed, err
		}
		time.Sleep(time.Second)
		old[i].Drain()
		f.report(old[i].ID())
		f.record.printf("release: %s of version v2 has started, %s of version v1 drains", name, old[i].ID())
	}
	time.Sleep(10 * time.Second)
	f.crash(2)
	time.Sleep(8 * time.Second)
	close(stop)
	wait.Wait()
	close(done)
	f.record.printf("streams %d, taken up again %d, joined from two versions %d", streams, resumed, joined)
	fmt.Printf("streams %d, taken up again %d, joined from two versions %d\n", streams, resumed, joined)
	if joined > 0 {
		return broken, nil
	}
	return held, nil
}

// crash kills the process of a VM, which starts again a second later.
func (f *fleet) crash(number int) {
	if !f.trouble {
		return
	}
	v := f.vms[number]
	f.record.printf("the process of %s is killed", v.name)
	v.signal(syscall.SIGKILL)
	v.kill()
	time.Sleep(time.Second)
	if err := v.start(); err != nil {
		f.record.printf("cannot start %s: %v", v.name, err)
	}
	f.record.printf("the process of %s starts again", v.name)
}
