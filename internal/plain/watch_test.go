package plain

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/node"
)

// control is a fake that has one suspect and counts its complete runs.
type control struct{ completed int }

func (c *control) View() *node.View {
	return &node.View{Crashes: map[crash.Fingerprint]time.Time{7: {}}}
}

func (c *control) Post(e node.Event) {
	if _, ok := e.(node.PlainCompleted); ok {
		c.completed++
	}
}

// Guards against an error answer that ends the suspicion of a call: the upstream may have
// failed it before it could run (incident BUDGET, a request that crashes replicas).
func TestErrorAnswerIsNoCompleteRun(t *testing.T) {
	for status, completed := range map[int]int{http.StatusOK: 1, http.StatusNotFound: 1, http.StatusInternalServerError: 0} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		t.Cleanup(server.Close)
		c := &control{}
		w := NewWatcher(NewClient(Config{DialTimeout: time.Second}), c)
		reply, err := w.Call(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), Call{Name: "x", Fingerprint: 7})
		is.NoErr(err)
		is.Equal(reply.Status, status)
		is.Equal(c.completed, completed)
	}
}
