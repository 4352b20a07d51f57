package infer

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

func newTestClient(t *testing.T) *Client {
	c := NewClient(Config{TokenTimeout: 5 * time.Second, LoadTimeout: 5 * time.Second, RequestTimeout: 5 * time.Second})
	t.Cleanup(c.CloseIdle)
	return c
}

// framings returns whole answers with a body, and their heads.
func framings(body string) map[string][2]string {
	const line = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	size := fmt.Sprintf("Content-Length: %d", len(body))
	return map[string][2]string{
		"length":                        {line + size + "\r\n\r\n", body},
		"chunks":                        {line + "Transfer-Encoding: chunked\r\n\r\n", testlib.Chunked(body)},
		"no framing":                    {line + "X-Any: 1\r\n\r\n", body},
		"bare line feeds":               {"HTTP/1.1 200 OK\nContent-Type: text/event-stream\n" + size + "\n\n", body},
		"after an informational answer": {"HTTP/1.1 100 Continue\r\n\r\n" + line + size + "\r\n\r\n", body},
	}
}

// eachCut calls f for each part of a text, with the address of an engine that sends it and closes
// or resets the connection.
func eachCut(t *testing.T, text string, f func(address netip.AddrPort, part string, reset bool)) {
	for i := range 2 * (len(text) + 1) {
		part, reset := text[:i/2], i%2 == 1
		f(testlib.CutAnswer(t, part, reset), part, reset)
	}
}

// Guards against an answer that its engine breaks off, at any byte of its head or body, and that
// counts as complete.
func TestCompletionThatIsCutIsIncomplete(t *testing.T) {
	const end = "data: [DONE]"
	for name, answer := range framings("data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\n" + end + "\n\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, completed := newTestClient(t), 0
			eachCut(t, answer[0]+answer[1], func(address netip.AddrPort, part string, reset bool) {
				var texts []string
				tokens, err := client.Complete(t.Context(), address, Completion{Instance: "a", MaxTokens: 2}, func(offset int, text string) error {
					if offset != len(texts) {
						t.Errorf("cut after %q: token %d at offset %d", part, len(texts), offset)
					}
					texts = append(texts, text)
					return nil
				})
				switch {
				case err != nil && reset, err != nil && !strings.Contains(part, end):
				case err == nil && strings.Contains(part, end) && tokens == 2 && strings.Join(texts, "") == "ab":
					completed++
				default:
					t.Errorf("cut after %q, reset %t: %d tokens, %q, %v", part, reset, tokens, texts, err)
				}
			})
			is.New(t).True(completed > 0)
		})
	}
}

// Guards against an order to load an adapter that counts as carried out although the head of its
// answer is not whole, and against a report that is read in part.
func TestAnswersToOrdersAndReportsThatAreCut(t *testing.T) {
	const body = `{"boot":"b1","adapters":{"x":1}}`
	for name, answer := range framings(body) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, head, loads, reports := newTestClient(t), answer[0], 0, 0
			eachCut(t, head+answer[1], func(address netip.AddrPort, part string, reset bool) {
				err := client.Load(t.Context(), address, AdapterRequest{Instance: "x", Path: "p"})
				switch {
				case err != nil && !MayHaveApplied(err):
					t.Errorf("cut after %q: %v, which says that it was not carried out", part, err)
				case err == nil && len(part) < len(head), err != nil && len(part) >= len(head) && !reset:
					t.Errorf("cut after %q, reset %t: %v", part, reset, err)
				case err == nil:
					loads++
				}
			})
			eachCut(t, head+answer[1], func(address netip.AddrPort, part string, reset bool) {
				report, err := client.Report(t.Context(), address)
				whole := strings.Contains(part, body)
				switch {
				case err == nil && (!whole || report.Boot != "b1" || len(report.Instances) != 1), err != nil && whole && !reset:
					t.Errorf("cut after %q, reset %t: %+v, %v", part, reset, report, err)
				case err == nil:
					reports++
				}
			})
			is := is.New(t)
			is.True(loads > 0)
			is.True(reports > 0)
		})
	}
}

// Guards against a failed report that counts as one of an engine that has started anew without
// adapters.
func TestFailedReportIsNoReport(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			const body = `{"error":"busy"}`
			text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
			report, err := newTestClient(t).Report(t.Context(), testlib.CutAnswer(t, text, false))
			is.True(err != nil)
			is.Equal(report, Report{})
		})
	}
}
