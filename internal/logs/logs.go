// Package logs provides the client of the platform's log service: group
// commit of appends and a reader for each followed stream.
package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// ErrStatus tells that the log service refused a request.
var ErrStatus = errors.New("log service refused the request")

// maxAnswer bounds an answer of the log service, in bytes.
const maxAnswer = 64 << 20

// Config sets up a Client.
type Config struct {
	Address netip.AddrPort
	Timeout time.Duration // of an append, and of a read beyond its wait
}

// Client sends requests to the log service.
type Client struct {
	config Config
	http   *http.Client
}

// NewClient returns a client of the log service.
func NewClient(c Config) *Client {
	return &Client{config: c, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}}}
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

// Append appends records to a stream and returns the offset of the first. An
// error leaves open whether they were appended.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	body, err := json.Marshal(wireAppend{Records: records})
	if err != nil {
		return 0, fmt.Errorf("encode records for %s: %w", stream, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	var answer wireAppended
	if err := c.do(request, &answer); err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	return answer.First, nil
}

// Read reads a stream from an offset on. If there is nothing it waits.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (record.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.config.Timeout)
	defer cancel()
	url := c.url(stream) + "?from=" + strconv.FormatInt(from, 10) + "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return record.Batch{}, fmt.Errorf("read %s: %w", stream, err)
	}
	var answer wireBatch
	if err := c.do(request, &answer); err != nil {
		return record.Batch{}, fmt.Errorf("read %s: %w", stream, err)
	}
	batch := record.Batch{First: answer.First, Next: answer.Next, Tail: answer.Tail}
	for _, r := range answer.Records {
		batch.Records = append(batch.Records, record.Record{Offset: r.Offset, Data: r.Data})
	}
	return batch, nil
}

func (c *Client) do(request *http.Request, out any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s", ErrStatus, response.Status)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(out)
}

// Fresh drops the open connections, which may have gone silent.
func (c *Client) Fresh() { c.http.CloseIdleConnections() }
