package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/stand"
	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

// loadGenerator sends model calls to the VMs of a fleet until it is stopped. Its
// callers follow the documented protocol for callers: they retry a call that failed
// or was refused, and choose an address at random for each attempt.
type loadGenerator struct {
	fleet       *testlib.Fleet
	adapters    []string // "name@version"
	tokens      int
	bypassProxy bool // connect directly to the VMs that GET /v1/addresses lists, not through CallerProxy
	stop        chan struct{}
	workers     sync.WaitGroup

	mu           sync.Mutex
	done         int
	wrongAnswers []string       // successful answers with a wrong text
	brokenOff    []string       // attempts that ended without a complete answer
	refused      map[string]int // number of refusals by outcome and reason
	lost         int            // calls whose attempts all failed
}

// attemptTimeout is the maximum time that a caller waits for an answer before its
// next attempt.
const attemptTimeout = 3 * time.Second

// maxAttempts is the maximum number of attempts of a call.
const maxAttempts = 60

func startLoad(f *testlib.Fleet, callers, tokens int, adapters ...string) *loadGenerator {
	return newLoad(f, tokens, adapters...).start(callers)
}

func newLoad(f *testlib.Fleet, tokens int, adapters ...string) *loadGenerator {
	return &loadGenerator{fleet: f, adapters: adapters, tokens: tokens, stop: make(chan struct{}), refused: map[string]int{}}
}

func (l *loadGenerator) start(callers int) *loadGenerator {
	for i := range callers {
		l.workers.Add(1)
		go l.run(i)
	}
	return l
}

func (l *loadGenerator) run(caller int) {
	defer l.workers.Done()
	random := rand.New(rand.NewPCG(uint64(caller), 1))
	for number := 0; ; number++ {
		select {
		case <-l.stop:
			return
		default:
		}
		adapter := l.adapters[random.IntN(len(l.adapters))]
		l.call(random, adapter, fmt.Sprintf("caller %d call %d", caller, number))
	}
}

func (l *loadGenerator) call(random *rand.Rand, adapter, prompt string) {
	name, _, _ := splitAdapter(adapter)
	for range maxAttempts {
		address := l.address(random)
		a := testlib.CompleteWithin(attemptTimeout, address, name, prompt, l.tokens)
		if a.Succeeded() {
			l.recordSuccess(a, stand.FullText(adapter, prompt, l.tokens))
			return
		}
		l.recordFailure(address, a)
		time.Sleep(100 * time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost++
}

// address returns the address for an attempt: the caller proxy of a random VM. With
// bypassProxy, it asks a random VM for its list of addresses, and returns the
// ListenAddress of a random VM on that list.
func (l *loadGenerator) address(random *rand.Rand) netip.AddrPort {
	vm := l.fleet.VMs[random.IntN(len(l.fleet.VMs))]
	if !l.bypassProxy {
		return vm.Caller
	}
	list, err := testlib.Addresses(vm.ListenAddress, vm.Zone)
	if err != nil || len(list) == 0 {
		return vm.ListenAddress
	}
	return l.fleet.VMByName(list[random.IntN(len(list))].VM).ListenAddress
}

func splitAdapter(adapter string) (name, version string, ok bool) {
	for i := range adapter {
		if adapter[i] == '@' {
			return adapter[:i], adapter[i+1:], true
		}
	}
	return adapter, "", false
}

func (l *loadGenerator) recordSuccess(a testlib.Answer, want string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done++
	if a.Text != want {
		l.wrongAnswers = append(l.wrongAnswers, fmt.Sprintf("got %.80q, want %.80q", a.Text, want))
	}
}

func (l *loadGenerator) recordFailure(address netip.AddrPort, a testlib.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Err != nil {
		l.brokenOff = append(l.brokenOff, address.String()+": "+a.Err.Error())
		return
	}
	l.refused[a.Outcome+" "+a.Reason]++
}

// Done returns the number of successful calls so far.
func (l *loadGenerator) Done() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done
}

// awaitDone waits until the given number of further calls have succeeded.
func (l *loadGenerator) awaitDone(more int) {
	l.fleet.T.Helper()
	want := l.Done() + more
	defer l.logOnFailure()
	testlib.Await(l.fleet.T, "calls go on", func() bool { return l.Done() >= want })
}

// logOnFailure logs the results of the calls so far if the test has failed.
func (l *loadGenerator) logOnFailure() {
	if l.fleet.T.Failed() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.fleet.T.Logf("done %d, refused %v, broken off %d: %q", l.done, l.refused, len(l.brokenOff), l.brokenOff[max(0, len(l.brokenOff)-3):])
	}
}

// finish stops the calls. It checks what must hold in every test: no call was lost,
// no answer was wrong, and the checks of checkFakes pass.
func (l *loadGenerator) finish(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.workers.Wait()
	t.Logf("done %d, refused %v, broken off %d, lost %d", l.done, l.refused, len(l.brokenOff), l.lost)
	if l.lost > 0 {
		t.Errorf("%d calls lost", l.lost)
	}
	for _, w := range l.wrongAnswers {
		t.Errorf("wrong answer: %s", w)
	}
	checkFakes(t, l.fleet)
}

// checkFakes checks two counts: no fake engine unloaded an adapter while a request
// used it, and the fake weight store never had more than 2 loads at once.
func checkFakes(t *testing.T, f *testlib.Fleet) {
	t.Helper()
	for i, e := range f.Engines {
		if evicted := e.Counts().EvictedInUse; evicted > 0 {
			t.Errorf("engine %d: %d adapters evicted under a running request", i+1, evicted)
		}
	}
	if most := f.Store.Counts().MaxConcurrent; most > 2 {
		t.Errorf("%d loads at once", most)
	}
}
