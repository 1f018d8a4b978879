// Package retry decides whether a request is sent again: after a failure, or as a hedge while the first attempt
// is slow. It is pure; the caller serialises calls.
package retry

const (
	// RequestsPerToken is the number of offered requests that earn one additional send: sends are at most 1.1 times
	// the offered requests even when every attempt fails.
	RequestsPerToken = 10
	// MaxSavedTokens bounds the tokens saved while nothing fails, in additional sends, so that an outage starts with a
	// small burst of retries and not with all those of the last hour.
	MaxSavedTokens = 100
)

// Budget is a token bucket that is filled by offered requests, as in the RetryBudget of Twitter's Finagle. It
// starts empty, so the bound holds from the first request on. It counts in whole requests because sums of
// floating-point shares could exceed the bound.
type Budget struct {
	earned int // offered requests that are not yet spent
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
