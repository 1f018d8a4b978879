// Package operatorapi implements the HTTP interface for operators: documents, data centre states and status. fulmarctl
// uses the types of the bodies as well. Errors are problem details (RFC 9457); docs/OPERATIONS.md lists their types.
package operatorapi

import (
	"time"

	"fulmarcourse.example/core/document"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/control"
)

// Types of problems. fulmarctl derives its exit code from them.
const (
	ProblemBadRequest        = "/problems/bad-request"
	ProblemFindings          = "/problems/findings"
	ProblemNotTried          = "/problems/not-tried"
	ProblemWrongEnvironment  = "/problems/wrong-environment"
	ProblemNoDocument        = "/problems/no-document"
	ProblemUnknownDatacentre = "/problems/unknown-datacentre"
	ProblemConflict          = "/problems/conflict"
	ProblemNotApplied        = "/problems/not-applied"
	ProblemOutcomeUnknown    = "/problems/outcome-unknown"
	ProblemInternal          = "/problems/internal"
)

// DocumentBody is the body of validate, diff and try.
type DocumentBody struct {
	Name   string `json:"name,omitempty"` // file name used in findings
	Text   string `json:"text"`
	Author string `json:"author,omitempty"` // required for try
}

// PromoteBody is the body of promote.
type PromoteBody struct {
	Digest          structs.Digest `json:"digest"`
	ExpectedVersion int64          `json:"expected_version"` // version that the operator expects to be in effect
	Author          string         `json:"author"`
}

// DatacentreBody is the body of out and in.
type DatacentreBody struct {
	Author string `json:"author"`
}

// ValidateReply is the reply of validate for a document without findings.
type ValidateReply struct {
	Digest      structs.Digest `json:"digest"`
	Environment string         `json:"environment"`
}

// DiffReply is the reply of diff. Version is 0 when no document is in effect.
type DiffReply struct {
	Version int64             `json:"version"`
	Digest  structs.Digest    `json:"digest"` // of the document sent
	Changes []document.Change `json:"changes"`
}

// HistoryReply is the reply of history, newest version first. The records contain no document text.
type HistoryReply struct {
	Versions []structs.DocumentRecord `json:"versions"`
}

// StatusReply is the reply of status: the control state as known to this entry host.
type StatusReply struct {
	Host             structs.HostID         `json:"host"`
	Environment      string                 `json:"environment"`
	Time             time.Time              `json:"time"`    // of the host
	Version          int64                  `json:"version"` // 0 when no document is known
	Digest           structs.Digest         `json:"digest,omitempty"`
	Author           string                 `json:"author,omitempty"`
	StoreReachable   bool                   `json:"store_reachable"`
	Revision         int64                  `json:"revision"`          // store revision up to which the state is complete
	RevisionAgeMs    int64                  `json:"revision_age_ms"`   // -1 when no revision is known
	RemovalAttempted bool                   `json:"removal_attempted"` // see control.Service.RemovalAttempted
	Members          []structs.MemberRecord `json:"members"`
	Shards           []ShardStatus          `json:"shards"`
	Datacentres      []DatacentreStatus     `json:"datacentres"`
}

// ShardStatus is the owner of one shard with its fencing epoch.
type ShardStatus struct {
	Shard structs.ShardID `json:"shard"`
	Owner structs.HostID  `json:"owner"`
	Epoch structs.Epoch   `json:"epoch"`
}

// DatacentreStatus is the state of one data centre. Change is nil if no operator has changed the state.
type DatacentreStatus struct {
	Datacentre structs.DatacentreID    `json:"datacentre"`
	State      structs.DatacentreState `json:"state"`
	Change     *control.ChangeReport   `json:"change,omitempty"`
}
