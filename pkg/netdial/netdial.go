// Package netdial creates dialers with a fixed local address, so that a host with several addresses connects from the
// one that firewalls and peers expect.
package netdial

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// NewDialer returns a dialer that connects from source. With a zero source the system chooses the local address; with a
// zero timeout only the context limits the time to connect.
func NewDialer(source netip.Addr, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout}
	if source.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: source.AsSlice()}
	}
	return dialer
}

// ForGRPC returns a dial function for grpc.WithContextDialer that connects from source.
func ForGRPC(source netip.Addr) func(ctx context.Context, addr string) (net.Conn, error) {
	dialer := NewDialer(source, 0)
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", addr)
	}
}
