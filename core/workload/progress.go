package workload

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Progress is the state of a job that must survive a change of its owner: which tasks are done, how often they failed,
// and the checkpoints from which they resume. Running attempts are not part of it; the workers list them.
type Progress struct {
	State   State          `json:"state"`
	EndedMs int64          `json:"ended_ms,omitempty"` // when a final state was reached, in milliseconds of the partition's clock
	Steps   []StepProgress `json:"steps,omitempty"`    // steps with any progress
}

// DecodeProgress decodes a progress record. One without a state comes from another writer: it says nothing about the tasks.
func DecodeProgress(value []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(value, &p); err != nil {
		return p, errors.Annotate(err, "decode progress")
	}
	if !p.State.Known() {
		return p, errors.NotValidf("progress with state %.40q", string(p.State))
	}
	return p, nil
}

// StepProgress is the progress of one step of one occurrence.
type StepProgress struct {
	Occurrence int            `json:"k,omitempty"`     // index of the occurrence, from 0
	Step       int            `json:"s"`               // index of the step in Job.Steps
	AllDone    bool           `json:"all,omitempty"`   // every task is done
	Done       []int          `json:"done,omitempty"`  // indexes of the tasks that are done; empty with AllDone
	Tasks      []TaskProgress `json:"marks,omitempty"` // tasks that are not done and have progress to store
}

// TaskProgress is the stored state of a task that is not done.
type TaskProgress struct {
	Index       int     `json:"i"`
	Failed      []int64 `json:"f,omitempty"` // attempts that have failed
	LastAttempt int64   `json:"a,omitempty"` // highest attempt that has ended or that Worker may run
	Worker      string  `json:"w,omitempty"` // service tasks: the only worker on which LastAttempt may run
	Crashes     []Crash `json:"x,omitempty"` // crashes of workers that ran the task and may have been caused by it
	// SilentOn lists workers that stopped answering soon after they had accepted the task. Whether they have crashed is not
	// known yet.
	SilentOn []Silence `json:"q,omitempty"`
	// UncertainCrashes is the number of crashes of workers that may have started the task: the starts were not answered.
	UncertainCrashes int    `json:"y,omitempty"`
	Checkpoint       string `json:"c,omitempty"` // latest checkpoint of an attempt that has ended
}

// Crash is the end of a worker's process while it ran a task.
type Crash struct {
	Worker    string `json:"w"`
	StartedMs int64  `json:"s"`           // start of the process that has ended, Unix milliseconds
	RanMs     int64  `json:"r,omitempty"` // for how long the task was listed as running
	Explained bool   `json:"e,omitempty"` // another task was found to have caused it
	Uncertain bool   `json:"u,omitempty"` // the task may have ended before
	Lone      bool   `json:"l,omitempty"` // few other workers stopped answering near that time; only if uncertain
	NoPeers   bool   `json:"n,omitempty"` // too few other workers were there to show a cause that they share; only if lone

	// MayHaveEnded states that the task can have been done by then: it had little left to do. Only if not uncertain.
	MayHaveEnded bool `json:"m,omitempty"`
}

// SameProcess reports whether both are the end of the same process.
func (c Crash) SameProcess(other Crash) bool {
	return c.Worker == other.Worker && c.StartedMs == other.StartedMs
}

// Silence is a worker that has stopped answering.
type Silence struct {
	Worker    string `json:"w"`
	StartedMs int64  `json:"s,omitempty"` // start of the process that does not answer, Unix milliseconds; 0 if unknown
	SinceMs   int64  `json:"t"`           // last report, Unix milliseconds
	AskedMs   int64  `json:"a,omitempty"` // poll that was answered last, Unix milliseconds; 0 if unknown
	Broken    bool   `json:"b,omitempty"` // its connection broke soon after its last answer, which shows when its process ended

	// MayHaveEnded states that the task can have been done when the connection broke. Only with Broken.
	MayHaveEnded bool `json:"m,omitempty"`
}
