package stand

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// FreeAddress uses ports below the usual ephemeral range, so that no outgoing
// connection takes a free port before the test listens on it.
const (
	firstPort   = 10_000
	portCount   = 20_000
	maxAttempts = 2_000 // maximum number of ports that FreeAddress tries
	pidStride   = 97    // distance between the first ports that processes with consecutive IDs try; spreads concurrent processes over the range
)

// ErrNoPort is returned by FreeAddress if none of the ports that it tried was free.
var ErrNoPort = errors.New("no free port")

var portCounter atomic.Int64

// FreeAddress returns a loopback address with a port that is free now.
func FreeAddress() (netip.AddrPort, error) {
	for range maxAttempts {
		offset := (int64(os.Getpid())*pidStride + portCounter.Add(1)) % portCount
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+offset))
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String())
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address, nil
	}
	return netip.AddrPort{}, ErrNoPort
}
