package peer

import (
	"context"
	"fulmarcourse.example/fulmarcourse/pkg/netdial"
	"syscall"

	"github.com/juju/errors"
)

// Refused reports whether addr refused a TCP connection, which proves that the machine is up and no process listens on
// the port. It is false for an address that accepts, does not answer, or is unreachable.
func (p *Pool) Refused(ctx context.Context, addr string) bool {
	dialer := netdial.NewDialer(p.cfg.Source, 0)
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Only the result of the connection attempt is used.
	_ = conn.Close()
	return false
}
