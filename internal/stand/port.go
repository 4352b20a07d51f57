package stand

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Ports below those that systems give to outgoing connections, so that a port
// which is free stays free until it is used.
const (
	firstPort = 10_000
	portCount = 20_000
	portSteps = 2_000 // ports tried for one address
	pidStride = 97    // spreads processes over the ports
)

// ErrNoPort tells that no port is free.
var ErrNoPort = errors.New("no free port")

var portSerial atomic.Int64

// FreeAddress returns a loopback address that is free now.
func FreeAddress() (netip.AddrPort, error) {
	for range portSteps {
		offset := (int64(os.Getpid())*pidStride + portSerial.Add(1)) % portCount
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
