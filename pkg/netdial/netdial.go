// Package netdial makes dialers that connect from a given local address. A host with several addresses then appears
// under the one that firewalls and peers know.
package netdial

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// NewDialer returns a dialer that connects from source. A zero source leaves the choice to the system; a zero timeout
// means no limit besides the context.
func NewDialer(source netip.Addr, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout}
	if source.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: source.AsSlice()}
	}
	return dialer
}

// ForGRPC returns a dial function for grpc.WithContextDialer.
func ForGRPC(source netip.Addr) func(ctx context.Context, addr string) (net.Conn, error) {
	dialer := NewDialer(source, 0)
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", addr)
	}
}
