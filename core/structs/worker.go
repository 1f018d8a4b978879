package structs

import "time"

// WorkerTaskState is the state of a task as its worker reports it.
type WorkerTaskState string

// States of a task on a worker. The last four are final; the worker reports them until the owner acknowledges them.
const (
	WorkerTaskRunning WorkerTaskState = "running"
	WorkerTaskDone    WorkerTaskState = "done"
	WorkerTaskFailed  WorkerTaskState = "failed"
	WorkerTaskStopped WorkerTaskState = "stopped" // stopped by a command; Checkpoint is set if one was taken
	WorkerTaskExpired WorkerTaskState = "expired" // stopped by the worker because the task lease expired
)

// StartCommand makes a worker run one attempt of a task. It is idempotent: a worker confirms a repeated command for the
// same attempt without running it twice.
type StartCommand struct {
	Task       TaskID        `json:"task"`
	JobTask    TaskID        `json:"job_task"` // task in the numbering of the whole job; selects the work
	Attempt    int           `json:"attempt"`
	Kind       KindName      `json:"kind"`
	Shard      ShardID       `json:"shard"`
	Epoch      Epoch         `json:"epoch"`
	Reserved   Resources     `json:"reserved"`
	Lease      time.Duration `json:"lease_ns"`
	LeaseFrom  int64         `json:"lease_from_ns"` // start of the lease on the worker's clock; 0: on arrival
	Checkpoint string        `json:"checkpoint,omitempty"`
	Input      string        `json:"input,omitempty"`
	RunSeconds float64       `json:"run_seconds,omitempty"` // as in JobSpec
}

// WorkerTask is one task in a worker's inventory.
type WorkerTask struct {
	Task       TaskID          `json:"task"`
	Attempt    int             `json:"attempt"`
	Kind       KindName        `json:"kind"`
	State      WorkerTaskState `json:"state"`
	Reserved   Resources       `json:"reserved"`
	Usage      Resources       `json:"usage"`     // measured, with a delay of UsageAge
	UsageAge   time.Duration   `json:"usage_age"` // age of Usage
	Progress   float64         `json:"progress"`  // 0 to 1, as reported by the task; delayed like Usage
	Checkpoint string          `json:"checkpoint,omitempty"`
	Throttle   float64         `json:"throttle"` // share of full speed; 1 is unthrottled
	Reason     string          `json:"reason,omitempty"`
	RanFor     time.Duration   `json:"ran_for"` // run time of the attempt so far, or until its end
}

// Inventory is the response of a worker to a lease renewal.
//
// Clock is a reading of the worker's own clock, in nanoseconds from an arbitrary start. Leases start at such a reading
// and not at the arrival of a command: a command can be delayed for a long time in the buffers of a frozen worker and
// would then extend a lease that the shard owner regards as expired (compare Gray and Cheriton, "Leases", 1989, on
// bounding the term by what the lease holder knows).
type Inventory struct {
	Worker HostID       `json:"worker"`
	Clock  int64        `json:"clock_ns"`
	Tasks  []WorkerTask `json:"tasks"`
}
