package slots

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// Errors of RunnerClient.Do. Any other error is handled as ErrUncertain.
const (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.ConstError("request not sent to the runner")
	// ErrBusy means that the runner refused the request without running it.
	ErrBusy = errors.ConstError("runner is busy")
	// ErrUncertain means that the request may have been run and there is no complete answer.
	ErrUncertain = errors.ConstError("outcome of the request is unknown")
)

// Attempt is one transmission of a request to a runner.
type Attempt struct {
	ID        string // unique per transmission; the answer is matched by it
	Service   structs.ServiceName
	Kind      structs.KindName
	Body      []byte
	Remaining time.Duration // time left until the deadline
}

// Answer is the complete answer of a runner.
type Answer struct {
	Status int // HTTP status
	Body   []byte
}

// RunnerClient sends attempts to runners. Do returns a complete answer that belongs to the attempt, or an error that
// wraps ErrNotSent, ErrBusy or ErrUncertain. It never sends an attempt twice.
type RunnerClient interface {
	Do(ctx context.Context, addr string, a Attempt) (Answer, error)
}
