package structs

import "time"

// Outcome states whether a request ran, as far as that is certain.
type Outcome string

// Outcomes of a request.
const (
	Answered       Outcome = "answered"
	NotRun         Outcome = "not-run" // certain: nothing was sent or the runner refused
	OutcomeUnknown Outcome = "unknown" // the request may have run
)

// Request is one latency-critical request that is forwarded to a runner.
type Request struct {
	ID         string        `json:"id"` // unique per caller request
	Service    ServiceName   `json:"service"`
	Kind       KindName      `json:"kind"`
	Idempotent bool          `json:"idempotent"`
	Key        string        `json:"key,omitempty"` // idempotency key of the caller
	Remaining  time.Duration `json:"remaining"`     // time until the deadline, when the message is received
	Body       []byte        `json:"body"`
}

// Reply is the result of a request.
type Reply struct {
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status"` // HTTP status of the runner; 0 unless answered
	Body    []byte  `json:"body,omitempty"`
	Reason  string  `json:"reason,omitempty"` // why the request was not run or its outcome is unknown
	Runner  HostID  `json:"runner,omitempty"`
}
