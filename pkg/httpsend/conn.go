package httpsend

import (
	"net"
	"sync/atomic"

	"github.com/juju/errors"
)

// sealed marks a connection that accepts no further writes.
const sealed = -1

const errSealed = errors.ConstError("connection is sealed")

// conn counts the writes to a connection. A write is counted before it starts, so that a connection with an
// unchanged count has certainly carried nothing.
type conn struct {
	net.Conn
	writes atomic.Int64
	check  atomic.Pointer[func() error] // of the request that is about to be written; nil when there is none
}

// Write writes to the connection unless it is sealed or the check of the request fails. A failed check writes nothing
// and is not counted.
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

// seal prevents further writes if none has started since the count was since. It reports whether that is so.
func (c *conn) seal(since int64) bool {
	if !c.writes.CompareAndSwap(since, sealed) {
		return false
	}
	_ = c.Close()
	return true
}
