// Package logs provides the client for the platform's log service, which stores
// records in streams. An Appender appends several records in one request (group
// commit). A Follower reads a stream continuously.
package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/fetch"
	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// ErrStatus is returned if the log service answers with a status other than 200.
var ErrStatus = errors.New("log service rejected the request")

// maxResponse is the maximum size of a response of the log service, in bytes.
const maxResponse = 64 << 20

// Config holds the settings of a Client.
type Config struct {
	Address netip.AddrPort
	// Timeout is the longest time until the first byte of a response, not counting the time that
	// a read waits for new records, and then between two of its bytes.
	Timeout time.Duration
}

// Client sends single requests to the log service. It does not retry them.
type Client struct {
	config Config
	http   *http.Client
}

// NewClient returns a Client without open connections.
func NewClient(c Config) *Client {
	return &Client{config: c, http: link.NewClient(link.Config{IdleTimeout: 30 * time.Second, MaxIdle: 16})}
}

type wireRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type wireBatch struct {
	Records []wireRecord `json:"records"`
	First   int64        `json:"first"`
	Next    int64        `json:"next"`
	Tail    int64        `json:"tail"`
}

type wireAppend struct {
	Records [][]byte `json:"records"`
}

type wireAppended struct {
	First int64 `json:"first"`
}

func (c *Client) url(stream string) string {
	return "http://" + c.config.Address.String() + "/streams/" + stream
}

// Append appends records to a stream and returns the offset of the first one.
// The records may have been appended even if it returns an error.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	body, err := json.Marshal(wireAppend{Records: records})
	if err != nil {
		return 0, fmt.Errorf("encode records for %s: %w", stream, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	var answer wireAppended
	if err := c.do(request, 0, &answer); err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	return answer.First, nil
}

// Read reads records of a stream, starting with the given offset. If there are none
// yet, it waits for new records for at most the given time.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (record.Batch, error) {
	url := c.url(stream) + "?from=" + strconv.FormatInt(from, 10) + "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return record.Batch{}, fmt.Errorf("read %s: %w", stream, err)
	}
	var answer wireBatch
	if err := c.do(request, wait, &answer); err != nil {
		return record.Batch{}, fmt.Errorf("read %s: %w", stream, err)
	}
	batch := record.Batch{First: answer.First, Next: answer.Next, Tail: answer.Tail}
	for _, r := range answer.Records {
		batch.Records = append(batch.Records, record.Record{Offset: r.Offset, Data: r.Data})
	}
	return batch, nil
}

func (c *Client) do(request *http.Request, wait time.Duration, out any) error {
	response, err := fetch.Do(c.http, request, fetch.Limits{Bytes: maxResponse, Stall: c.config.Timeout, Wait: wait})
	if err != nil {
		return err //nolint:wrapcheck // the callers name the stream
	}
	if response.Status != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrStatus, response.Status)
	}
	return json.Unmarshal(response.Body, out) //nolint:wrapcheck // the callers name the stream
}

// CloseIdle closes the idle connections, so that the next request does not use a
// stale one.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }
