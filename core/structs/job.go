package structs

import (
	"slices"
	"time"
)

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
	TaskUnknown   TaskState = "unknown" // not idempotent, and it is not known whether it ran
)

// Final reports whether a task in state s never changes again.
func (s TaskState) Final() bool {
	switch s {
	case TaskDone, TaskFailed, TaskParked, TaskCancelled, TaskUnknown:
		return true
	}
	return false
}

// InProgress reports whether an attempt of a task in state s is running or may be running.
func (s TaskState) InProgress() bool {
	return s == TaskStarting || s == TaskRunning || s == TaskStopping
}

// JobSpec is a job as submitted by a caller.
type JobSpec struct {
	Team       TeamName  `json:"team"`
	Kind       KindName  `json:"kind"`
	Tasks      int       `json:"tasks"`
	Declared   Resources `json:"declared"` // per task; zero means the declaration of the kind
	Urgent     bool      `json:"urgent"`
	Input      string    `json:"input,omitempty"`       // opaque to the scheduler
	Key        string    `json:"key,omitempty"`         // idempotency key
	RunSeconds float64   `json:"run_seconds,omitempty"` // run time of a task; 0 means that of the kind
}

// TaskRecord is the durable state of one task.
type TaskRecord struct {
	State      TaskState `json:"state"`
	Attempt    int       `json:"attempt"` // number of the latest attempt; 0 before the first start
	Checkpoint string    `json:"checkpoint,omitempty"`
	Worker     HostID    `json:"worker,omitempty"` // worker of the latest attempt; empty if unknown
	Reason     string    `json:"reason,omitempty"`
	FailedOn   []HostID  `json:"failed_on,omitempty"`
	Evictions  int       `json:"evictions,omitempty"`
}

// JobPart identifies one part of a job that is stored as several records. It is zero for a job stored as one record.
type JobPart struct {
	Index     int `json:"index"`      // index of this part, from 0
	Count     int `json:"count"`      // number of parts of the job
	FirstTask int `json:"first_task"` // index of the part's first task in the whole job
}

// JobRecord is a job, or one part of a job, as stored under jobs/<id>. Spec describes the whole job.
// Only the owner of the home shard changes the record, except for CancelRequested.
type JobRecord struct {
	ID              JobID        `json:"id"`
	Spec            JobSpec      `json:"spec"`
	Part            JobPart      `json:"part,omitzero"`
	Home            ShardID      `json:"home"`
	HomeSince       time.Time    `json:"home_since"` // when Home was set
	CancelRequested bool         `json:"cancel_requested,omitempty"`
	Tasks           []TaskRecord `json:"tasks"`
	Submitted       time.Time    `json:"submitted"`
	Finished        time.Time    `json:"finished,omitzero"` // when the last task became final; zero before that
	Nonce           string       `json:"nonce"`             // identifies the latest write when its response is lost
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

// JobTask returns the task at index of this record with its job id and index in the whole job, as shown to callers.
func (j *JobRecord) JobTask(index int) TaskID {
	return TaskID{Job: j.ID.WithoutPart(), Index: j.Part.FirstTask + index}
}

// Pending returns the number of tasks that wait to be started.
func (j *JobRecord) Pending() int {
	count := 0
	for i := range j.Tasks {
		if j.Tasks[i].State == TaskPending {
			count++
		}
	}
	return count
}

// Clone returns a copy that shares no slice with the record.
func (j JobRecord) Clone() JobRecord {
	j.Tasks = slices.Clone(j.Tasks)
	for i := range j.Tasks {
		j.Tasks[i].FailedOn = slices.Clone(j.Tasks[i].FailedOn)
	}
	return j
}
