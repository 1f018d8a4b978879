// Package problem writes HTTP errors as problem details (RFC 9457).
package problem

import (
	"encoding/json"
	"net/http"
)

// ContentType is the media type of problem details in JSON.
const ContentType = "application/problem+json"

// Problem is a problem details object. Findings has one entry per fault in the input.
type Problem struct {
	Type     string    `json:"type,omitempty"` // relative URI reference, for example "/problems/version-conflict"
	Title    string    `json:"title"`
	Status   int       `json:"status"` // HTTP status
	Detail   string    `json:"detail,omitempty"`
	Outcome  string    `json:"outcome,omitempty"` // requests only: not-run or unknown
	Findings []Finding `json:"findings,omitempty"`
}

// Finding is one fault in the input with its position.
type Finding struct {
	Place    string `json:"place"` // "file:line" or a field name
	Section  string `json:"section,omitempty"`
	Key      string `json:"key,omitempty"`
	Message  string `json:"message"`
	Accepted string `json:"accepted,omitempty"` // description of the accepted values
}

// Write sends p as the response, with the status p.Status.
func Write(w http.ResponseWriter, p Problem) {
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(p.Status)
	// The error is ignored: p can always be encoded, so the connection is closed and no other response can be sent.
	_ = json.NewEncoder(w).Encode(p)
}
