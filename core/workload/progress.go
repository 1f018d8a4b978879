package workload

// Progress is what must outlive the owner of a job: which tasks are done, how often they failed, and from where they
// resume. What runs at the moment is not part of it; the workers' own lists tell that.
type Progress struct {
	State   State          `json:"state"`
	EndedMs int64          `json:"ended_ms,omitempty"` // Unix milliseconds at which a final state was reached
	Steps   []StepProgress `json:"steps,omitempty"`    // steps in which anything has ended
}

// StepProgress is the progress of one step of one occurrence.
type StepProgress struct {
	Occurrence int            `json:"k,omitempty"`
	Step       int            `json:"s"`
	AllDone    bool           `json:"all,omitempty"`
	Done       []int          `json:"done,omitempty"` // indexes of the tasks that are done; empty with AllDone
	Tasks      []TaskProgress `json:"marks,omitempty"`
}

// TaskProgress is what has to be remembered of a task that is not done.
type TaskProgress struct {
	Index       int     `json:"i"`
	Failed      []int64 `json:"f,omitempty"` // attempts that have failed
	LastAttempt int64   `json:"a,omitempty"` // highest attempt that has ended, or that Worker may run
	Worker      string  `json:"w,omitempty"` // service tasks: the only worker on which LastAttempt may run
	Checkpoint  string  `json:"c,omitempty"` // newest checkpoint of an attempt that has ended
}
