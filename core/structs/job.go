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

// JobPart places a record in a job that is stored as several records. It is zero for a job in one record.
type JobPart struct {
	Index     int `json:"index"`      // of this part, from 0
	Count     int `json:"count"`      // of parts of the job
	FirstTask int `json:"first_task"` // number of the part's first task among all tasks of the job
}

// JobRecord is a job, or one part of it, as it is stored under jobs/<id>. Spec is that of the whole job.
// Only the owner of the home shard changes it, except for CancelRequested.
type JobRecord struct {
	ID              JobID        `json:"id"`
	Spec            JobSpec      `json:"spec"`
	Part            JobPart      `json:"part,omitzero"`
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

// JobTask returns a task of the record as callers number it: by the whole job and over all its parts.
func (j *JobRecord) JobTask(index int) TaskID {
	return TaskID{Job: j.ID.WithoutPart(), Index: j.Part.FirstTask + index}
}

// Pending returns the number of tasks that wait for a start.
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
