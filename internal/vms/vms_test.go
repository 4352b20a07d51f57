package vms

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/member"
)

// Guards against VMs that count as gone, since the platform's error answer was read as a list without
// them.
func TestErrorIsNoList(t *testing.T) {
	for status, ok := range map[int]bool{http.StatusOK: true, http.StatusNotFound: false, http.StatusInternalServerError: false, http.StatusServiceUnavailable: false} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte("[]"))
			}))
			t.Cleanup(server.Close)
			lists, failures := make(chan []member.ListEntry, 1), make(chan error, 1)
			Watch(t.Context(), Config{
				Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Interval: time.Minute,
				OnList:  func(list []member.ListEntry) { lists <- list },
				OnError: func(err error) { failures <- err },
			})
			select {
			case <-lists:
				is.True(ok)
			case <-failures:
				is.True(!ok)
			}
		})
	}
}
