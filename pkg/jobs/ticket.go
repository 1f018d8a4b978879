package jobs

import "context"

// Ticket is the pending outcome of a change passed to Batch.
type Ticket struct {
	done chan struct{}
	err  error // set before done is closed
}

func newTicket() *Ticket { return &Ticket{done: make(chan struct{})} }

// Done returns a channel that is closed when the outcome is known.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// Err waits until Done is closed and returns the outcome; nil means that the change is durable. After ErrNotOwner the
// change may or may not have been stored.
func (t *Ticket) Err() error {
	<-t.done
	return t.err
}

// Wait returns the outcome, or the error of ctx if it ends first.
func (t *Ticket) Wait(ctx context.Context) error {
	select {
	case <-t.done:
		return t.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *Ticket) resolve(err error) {
	t.err = err
	close(t.done)
}
