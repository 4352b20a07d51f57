package answer_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"

	"github.com/tanagerlb/tanagerlb/internal/answer"
)

// An informational answer is skipped, and the next answer on the connection is read after the body.
func ExampleReader() {
	r := answer.NewReader(strings.NewReader("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyesHTTP/1.1 000 OK\r\n\r\n"))
	response, err := r.Read(answer.Request{Method: http.MethodGet})
	if err != nil {
		fmt.Println(err)
		return
	}
	body, err := io.ReadAll(response.Body)
	fmt.Println(response.StatusCode, string(body), err, response.Body.Close())
	_, err = r.Read(answer.Request{Method: http.MethodGet})
	fmt.Println(errors.Is(err, answer.ErrMalformed), err)
	// Output:
	// 200 yes <nil> <nil>
	// true malformed answer: status 000
}

// What is read as an answer has a status and fields of HTTP, and its bytes are read once.
func FuzzRead(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes")
	f.Add("HTTP/1.0 200 OK\n\nyes")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := answer.NewReader(strings.NewReader(text))
		got := 0
		for {
			response, err := r.Read(answer.Request{Method: http.MethodGet, Sent: func() error { return nil }})
			if err != nil {
				return
			}
			if response.StatusCode < 200 || response.StatusCode > 599 {
				t.Fatalf("status %d", response.StatusCode)
			}
			for name, values := range response.Header {
				if !httpguts.ValidHeaderFieldName(name) {
					t.Fatalf("name %q", name)
				}
				for _, value := range values {
					if !httpguts.ValidHeaderFieldValue(value) {
						t.Fatalf("value %q", value)
					}
				}
			}
			n, err := io.Copy(io.Discard, response.Body)
			if got += int(n); got > len(text) {
				t.Fatalf("%d bytes of bodies in %d", got, len(text))
			}
			if err != nil {
				return
			}
		}
	})
}
