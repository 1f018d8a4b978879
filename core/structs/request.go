package structs

import "time"

// Outcome states what is certain about a request.
type Outcome string

// Outcomes of a request.
const (
	Answered       Outcome = "answered"
	NotRun         Outcome = "not-run" // certain: nothing was sent or the runner refused
	OutcomeUnknown Outcome = "unknown" // it may have run
)

// Request is one latency-critical request on its way to a runner.
type Request struct {
	ID         string        `json:"id"` // unique per caller request
	Service    ServiceName   `json:"service"`
	Kind       KindName      `json:"kind"`
	Idempotent bool          `json:"idempotent"`
	Key        string        `json:"key,omitempty"` // idempotency key of the caller
	Remaining  time.Duration `json:"remaining"`     // time left until the deadline, at the receiver of the message
	Body       []byte        `json:"body"`
}

// Reply is the result of a request.
type Reply struct {
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status"` // HTTP status of the runner; 0 unless answered
	Body    []byte  `json:"body,omitempty"`
	Reason  string  `json:"reason,omitempty"` // why it was not run or is unknown
	Runner  HostID  `json:"runner,omitempty"`
}
