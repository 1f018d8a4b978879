package structs

import "time"

// WorkerTaskState is the state of a task as its worker reports it.
type WorkerTaskState string

// States that a worker reports. The last four are reported until the owner acknowledges them.
const (
	WorkerTaskRunning WorkerTaskState = "running"
	WorkerTaskDone    WorkerTaskState = "done"
	WorkerTaskFailed  WorkerTaskState = "failed"
	WorkerTaskStopped WorkerTaskState = "stopped" // stopped on command; Checkpoint is set if one was taken
	WorkerTaskExpired WorkerTaskState = "expired" // the task lease lapsed and the worker stopped the task
)

// StartCommand tells a worker to run one attempt of a task. The worker answers the same attempt again
// without running it twice.
type StartCommand struct {
	Task       TaskID        `json:"task"`
	JobTask    TaskID        `json:"job_task"` // the task as callers number it; selects the work to do
	Attempt    int           `json:"attempt"`
	Kind       KindName      `json:"kind"`
	Shard      ShardID       `json:"shard"`
	Epoch      Epoch         `json:"epoch"`
	Reserved   Resources     `json:"reserved"`
	Lease      time.Duration `json:"lease_ns"`
	LeaseFrom  int64         `json:"lease_from_ns"` // the lease runs from this reading of the worker's clock; 0 means from arrival
	Checkpoint string        `json:"checkpoint,omitempty"`
	Input      string        `json:"input,omitempty"`
	RunSeconds float64       `json:"run_seconds,omitempty"`
}

// WorkerTask is one task in a worker's inventory.
type WorkerTask struct {
	Task       TaskID          `json:"task"`
	Attempt    int             `json:"attempt"`
	Kind       KindName        `json:"kind"`
	State      WorkerTaskState `json:"state"`
	Reserved   Resources       `json:"reserved"`
	Usage      Resources       `json:"usage"`     // measured, lags
	UsageAge   time.Duration   `json:"usage_age"` // age of Usage
	Progress   float64         `json:"progress"`  // 0 to 1, as the task reports it; lags like Usage
	Checkpoint string          `json:"checkpoint,omitempty"`
	Throttle   float64         `json:"throttle"` // share of full speed; 1 is unthrottled
	Reason     string          `json:"reason,omitempty"`
	RanFor     time.Duration   `json:"ran_for"`
}

// Inventory is a worker's answer to a lease renewal.
//
// Clock is a reading of the worker's own clock, in nanoseconds from an arbitrary start. Leases are granted from such
// a reading and not from the arrival of a command, because a command can wait for a long time in the buffers of a
// frozen worker and would then extend a lease that its owner counts as expired (compare Gray and Cheriton, "Leases",
// 1989, on bounding the term by the holder's knowledge).
type Inventory struct {
	Worker HostID       `json:"worker"`
	Clock  int64        `json:"clock_ns"`
	Tasks  []WorkerTask `json:"tasks"`
}
