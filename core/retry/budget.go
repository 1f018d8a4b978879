// Package retry decides whether a request is sent again: as a retry after a failure, or as a hedge while the first
// attempt is slow. The package reads no clock and does no I/O; the caller serialises calls.
package retry

const (
	// RequestsPerToken is the number of requests that earn one token, which pays for one additional send. With 10,
	// sends are at most 1.1 times the callers' requests even when every attempt fails.
	RequestsPerToken = 10
	// MaxSavedTokens bounds the tokens that are saved while nothing fails. An outage then starts with a small burst of
	// retries and not with all those of the last hour.
	MaxSavedTokens = 100
)

// Budget is a token bucket that is filled by requests, like the RetryBudget of Twitter's Finagle. It starts empty, so
// that the bound holds from the first request on. It counts whole requests because sums of floating-point shares could
// exceed the bound.
type Budget struct {
	earned int // requests whose share of a token is not spent yet
}

// RecordRequest counts one request of a caller.
func (b *Budget) RecordRequest() { b.earned = min(b.earned+1, MaxSavedTokens*RequestsPerToken) }

// Spend takes one token for an additional send and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.earned < RequestsPerToken {
		return false
	}
	b.earned -= RequestsPerToken
	return true
}
