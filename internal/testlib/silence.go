package testlib

import (
	"math"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// Lose makes a connection lose all packets that arrive, or none.
func Lose(t testing.TB, c net.Conn, on bool) {
	t.Helper()
	filter(t, c, on, []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}})
}

// maxHeader is the size of the longest TCP header.
const maxHeader = 60

// LoseData makes the connections that a listener accepts from now on lose all packets with data that
// arrive, or none. Lose ends it for a connection.
func LoseData(t testing.TB, l net.Listener, on bool) {
	t.Helper()
	filter(t, l, on, []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_LEN},
		{Code: unix.BPF_JMP | unix.BPF_JGT | unix.BPF_K, K: maxHeader, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
	})
}

// filter attaches a filter of the packets that arrive to a socket, or detaches it.
func filter(t testing.TB, of any, on bool, program []unix.SockFilter) {
	t.Helper()
	socket, ok := of.(syscall.Conn)
	if !ok {
		t.Errorf("%T has no socket", of)
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		if !on {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if err != nil || optErr != nil {
		t.Error(err, optErr)
	}
}

// AcceptConns serves a handler and returns the address and the connections that it accepts.
func AcceptConns(t testing.TB, h http.Handler) (netip.AddrPort, <-chan net.Conn) {
	t.Helper()
	listener, conns := ServeHTTP(t, h)
	return netip.MustParseAddrPort(listener.Addr().String()), conns
}

// httpServer serves the connections of a listener until it is closed.
type httpServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *httpServer) run() { _ = s.server.Serve(s.listener) } // always an error

// ServeHTTP serves a handler and returns the listener and the connections that it accepts.
func ServeHTTP(t testing.TB, h http.Handler) (net.Listener, <-chan net.Conn) {
	t.Helper()
	var config net.ListenConfig
	config.SetMultipathTCP(false) // its sockets have no filters
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan net.Conn, 16)
	server := &http.Server{Handler: h, ConnState: func(c net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns <- c
		}
	}}
	go (&httpServer{server: server, listener: listener}).run()
	t.Cleanup(func() { _ = server.Close() })
	return listener, conns
}
