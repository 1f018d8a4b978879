// Package structs defines the data types shared by the scheduling logic of this module and the services.
// Their methods only derive values, and none of the types contains a lock.
package structs

import (
	"fmt"
	"strings"
)

// HostID names one machine of the platform: an entry host, a worker or a runner.
type HostID string

// DatacentreID names one data centre.
type DatacentreID string

// ServiceName names a latency-critical service of the environment document.
type ServiceName string

// KindName names a kind of request or task of the environment document.
type KindName string

// TeamName names a team with a quota.
type TeamName string

// JobID names a job. It is derived from the team and the idempotency key when a key is given.
type JobID string

// WithoutPart returns the id under which the job was accepted: j without the suffix of a part, "<id>.<n>".
func (j JobID) WithoutPart() JobID {
	id, _, _ := strings.Cut(string(j), ".")
	return JobID(id)
}

// Digest is the lower-case hexadecimal SHA-256 of a document's text.
type Digest string

// Epoch fences the commands of a shard owner. It is the store revision at which the owner record was created, so a
// later owner of the same shard has a greater epoch.
type Epoch int64

// ShardID names one shard of a data centre.
type ShardID struct {
	Datacentre DatacentreID `json:"datacentre"`
	Index      int          `json:"index"`
}

// String returns the form used in store keys: "<datacentre>/<index>".
func (s ShardID) String() string { return fmt.Sprintf("%s/%d", s.Datacentre, s.Index) }

// TaskID names one task of a job.
type TaskID struct {
	Job   JobID `json:"job"`
	Index int   `json:"index"`
}

// String returns "<job>/<index>".
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }
