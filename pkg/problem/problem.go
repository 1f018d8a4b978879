// Package problem writes HTTP errors as problem details (RFC 9457).
package problem

import (
	"encoding/json"
	"net/http"
)

// ContentType is the media type of problem details in JSON.
const ContentType = "application/problem+json"

// Problem is one problem details object. Findings carries one entry per fault found in the input.
type Problem struct {
	Type     string    `json:"type,omitempty"` // short URI reference, for example "/problems/version-conflict"
	Title    string    `json:"title"`
	Status   int       `json:"status"` // HTTP status
	Detail   string    `json:"detail,omitempty"`
	Outcome  string    `json:"outcome,omitempty"` // requests only: not-run or unknown
	Findings []Finding `json:"findings,omitempty"`
}

// Finding is one fault in the input with its place.
type Finding struct {
	Place    string `json:"place"` // "file:line" or a field name
	Section  string `json:"section,omitempty"`
	Key      string `json:"key,omitempty"`
	Message  string `json:"message"`
	Accepted string `json:"accepted,omitempty"` // what would be accepted
}

// Write sends p with its status.
func Write(w http.ResponseWriter, p Problem) {
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(p.Status)
	// The status line is already sent, so an encoding error can only be a closed connection.
	_ = json.NewEncoder(w).Encode(p)
}
