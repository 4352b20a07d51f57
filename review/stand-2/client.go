//go:build review

package main

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
)

// request is a request of a client.
type request struct {
	id, path, model, usage, prefix, deadline, padding string
	body                                              string // "hello" if empty
	key                                               string // of a tenant
}

func (r request) authorization() string {
	if r.key == "" {
		return ""
	}
	return "Token " + r.key
}

// send sends a request to a VM and returns the status of the answer; 0 if there is none, or not a whole one.
func send(ctx context.Context, client *http.Client, v *vm, r request) int {
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.caller()+r.path, strings.NewReader(cmp.Or(r.body, "hello")))
	if err != nil {
		return 0
	}
	post.Host = host
	post.Header.Set("Request-Id", r.id)
	for name, value := range map[string]string{"Model": r.model, "Token-Usage": r.usage, "Prompt-Prefix": r.prefix, "Deadline-Ms": r.deadline, "Padding": r.padding, "Authorization": r.authorization()} {
		if value != "" {
			post.Header.Set(name, value)
		}
	}
	response, err := client.Do(post)
	if err != nil {
		return 0
	}
	defer response.Body.Close() //nolint:errcheck // it was read
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
