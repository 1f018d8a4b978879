package worker

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// Paths of the worker's HTTP interface, with the types of request and response. All are called with POST and JSON
// bodies.
const (
	RenewPath      = "/v1/renew"      // RenewRequest, structs.Inventory
	StartPath      = "/v1/start"      // structs.StartCommand, Done
	CheckpointPath = "/v1/checkpoint" // AttemptRef, CheckpointReply
	ThrottlePath   = "/v1/throttle"   // ThrottleRequest, Done
	StopPath       = "/v1/stop"       // AttemptRef, Done
)

// Types of the problem details with which a worker rejects a command. No other response means that it was not run.
const (
	ProblemRefused    = "/problems/worker-refused"
	ProblemStaleEpoch = "/problems/stale-epoch"
)

// AttemptRef identifies one attempt of a task in a command of a shard owner.
type AttemptRef struct {
	Task    structs.TaskID  `json:"task"`
	Attempt int             `json:"attempt"`
	Shard   structs.ShardID `json:"shard"`
	Epoch   structs.Epoch   `json:"epoch"`
}

// RenewRequest renews the leases of all tasks of a shard on a worker and removes acknowledged finished attempts from
// its inventory. With a Lease of 0 it renews no lease and only reads the inventory.
type RenewRequest struct {
	Shard       structs.ShardID `json:"shard"`
	Epoch       structs.Epoch   `json:"epoch"`
	Lease       time.Duration   `json:"lease_ns"`
	LeaseFrom   int64           `json:"lease_from_ns"` // start of the lease on the worker's clock; 0: on arrival
	Acknowledge []AttemptRef    `json:"acknowledge,omitempty"`
}

// ThrottleRequest limits one attempt to a fraction of full speed, above 0 and at most 1.
type ThrottleRequest struct {
	AttemptRef
	Share float64 `json:"share"`
}

// CheckpointReply is the response to a checkpoint command, with the name of the checkpoint that was taken.
type CheckpointReply struct {
	Checkpoint string `json:"checkpoint"`
}

// Done confirms a command. The field is always true; it distinguishes a confirmation from an unrelated response.
type Done struct {
	Done bool `json:"done"`
}
