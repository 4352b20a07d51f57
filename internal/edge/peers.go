package edge

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tanagerlb/tanagerlb/internal/fetch"
	"github.com/tanagerlb/tanagerlb/internal/link"
)

// peerStall is the longest time without bytes of a peer's response.
const peerStall = 700 * time.Millisecond

// newPeerClient returns a client for calls to peers.
func newPeerClient() *http.Client {
	return link.NewClient(link.Config{DialTimeout: dialTimeout}) // two VMs rarely talk to each other twice in a row
}

// getFromPeer returns a peer's response to a GET request.
func getFromPeer(ctx context.Context, client *http.Client, target string) (fetch.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fetch.Response{}, fmt.Errorf("create request to a peer: %w", err)
	}
	return fetch.Do(client, request, fetch.Limits{Bytes: maxUnpackedBytes, Stall: peerStall}) //nolint:wrapcheck // the callers name what they request
}

// pack encodes the body of a response to a peer, compressed against a base that the peer has
// too; nil for none.
func pack(content any, base []byte) ([]byte, error) {
	data, err := msgpack.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encode for a peer: %w", err)
	}
	return compress(data, base)
}

// unpack reverses pack.
func unpack(body, base []byte, content any) error {
	data, err := decompress(body, base)
	if err != nil {
		return err
	}
	if err := decode(data, content); err != nil {
		return fmt.Errorf("decode a peer's response: %w", err)
	}
	return nil
}
