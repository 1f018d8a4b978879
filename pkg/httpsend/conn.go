package httpsend

import (
	"net"
	"sync/atomic"

	"github.com/juju/errors"
)

// sealed is the write count of a connection that rejects further writes.
const sealed = -1

const errSealed = errors.ConstError("connection is sealed")

// conn is a connection that counts its writes. A write is counted before it starts, so an unchanged count proves that
// nothing was written.
type conn struct {
	net.Conn
	writes atomic.Int64
	check  atomic.Pointer[func() error] // called before the next write; nil if there is none
}

// Write writes to the connection unless it is sealed or the check of the request fails. If the check fails, nothing is
// written or counted.
func (c *conn) Write(b []byte) (int, error) {
	if check := c.check.Swap(nil); check != nil {
		if err := (*check)(); err != nil {
			return 0, err
		}
	}
	for {
		n := c.writes.Load()
		if n == sealed {
			return 0, errSealed
		}
		if c.writes.CompareAndSwap(n, n+1) {
			return c.Conn.Write(b)
		}
	}
}

// seal closes the connection and prevents further writes if its write count still equals writes, which means that no
// write has started since that count was read. It reports whether the connection was sealed.
func (c *conn) seal(writes int64) bool {
	if !c.writes.CompareAndSwap(writes, sealed) {
		return false
	}
	_ = c.Close()
	return true
}
