package structs

import "time"

// TaskState is the state of one task of a job.
type TaskState string

// States of a task. Done, Failed, Parked, Cancelled and Unknown are final.
const (
	TaskPending   TaskState = "pending"
	TaskStarting  TaskState = "starting" // start intent recorded or start command sent
	TaskRunning   TaskState = "running"
	TaskStopping  TaskState = "stopping" // checkpoint or stop command sent
	TaskDone      TaskState = "done"
	TaskFailed    TaskState = "failed"
	TaskParked    TaskState = "parked" // failed on several healthy workers
	TaskCancelled TaskState = "cancelled"
	TaskUnknown   TaskState = "unknown" // not idempotent, and it cannot be told whether it ran
)

// Final reports whether a task in state s never changes again.
func (s TaskState) Final() bool {
	switch s {
	case TaskDone, TaskFailed, TaskParked, TaskCancelled, TaskUnknown:
		return true
	}
	return false
}

// InProgress reports whether an attempt of a task in state s runs or may run.
func (s TaskState) InProgress() bool {
	return s == TaskStarting || s == TaskRunning || s == TaskStopping
}

// JobSpec is what a caller submits.
type JobSpec struct {
	Team       TeamName  `json:"team"`
	Kind       KindName  `json:"kind"`
	Tasks      int       `json:"tasks"`
	Declared   Resources `json:"declared"` // per task; zero takes the kind's declaration
	Urgent     bool      `json:"urgent"`
	Input      string    `json:"input,omitempty"` // opaque to the scheduler
	Key        string    `json:"key,omitempty"`   // idempotency key
	RunSeconds float64   `json:"run_seconds,omitempty"`
}

// TaskRecord is the durable state of one task.
type TaskRecord struct {
	State      TaskState `json:"state"`
	Attempt    int       `json:"attempt"` // number of the latest attempt; 0 before the first start
	Checkpoint string    `json:"checkpoint,omitempty"`
	Worker     HostID    `json:"worker,omitempty"` // worker of the latest attempt, when known
	Reason     string    `json:"reason,omitempty"`
	FailedOn   []HostID  `json:"failed_on,omitempty"`
	Evictions  int       `json:"evictions,omitempty"`
}

// JobRecord is a job as it is stored under jobs/<id>.
// Only the owner of the home shard changes it, except for CancelRequested.
type JobRecord struct {
	ID              JobID        `json:"id"`
	Spec            JobSpec      `json:"spec"`
	Home            ShardID      `json:"home"`
	HomeSince       time.Time    `json:"home_since"`
	CancelRequested bool         `json:"cancel_requested,omitempty"`
	Tasks           []TaskRecord `json:"tasks"`
	Submitted       time.Time    `json:"submitted"`
	Finished        time.Time    `json:"finished,omitzero"` // when the last task became final; zero before that
	Nonce           string       `json:"nonce"`
}

// Final reports whether every task is in a final state.
func (j *JobRecord) Final() bool {
	for i := range j.Tasks {
		if !j.Tasks[i].State.Final() {
			return false
		}
	}
	return true
}
