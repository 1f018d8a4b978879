package workload

import (
	"strings"
	"testing"

	"fulmarcourse.example/core/structs"
)

func validJob() Job {
	return Job{ID: "j", Steps: []Step{{Tasks: 2}, {Tasks: 1, After: []int{0}}}}
}

// Guards against accepting a faulty job, reporting a fault for the wrong field, and reporting only the first of several
// faults.
func TestValidateFindsEveryFault(t *testing.T) {
	if findings := Validate(validJob()); len(findings) > 0 {
		t.Errorf("a job without faults: %v", findings)
	}
	for name, c := range map[string]struct {
		change func(*Job)
		want   []string // fields of the findings
	}{
		"no steps":                {func(j *Job) { j.Steps = nil }, []string{"steps"}},
		"too many steps":          {func(j *Job) { j.Steps = make([]Step, MaxSteps+1); setTasks(j, 1) }, []string{"steps"}},
		"long input":              {func(j *Job) { j.Input = strings.Repeat("x", MaxInputBytes+1) }, []string{"input"}},
		"no tasks":                {func(j *Job) { j.Steps[0].Tasks = 0 }, []string{"steps[0]"}},
		"too many tasks in total": {func(j *Job) { setTasks(j, MaxTasks) }, []string{"steps"}},
		"negative size": {
			func(j *Job) { j.Steps[1].Size = structs.Resources{MemoryBytes: -1} }, []string{"steps[1]"}},
		"after itself":           {func(j *Job) { j.Steps[1].After = []int{1} }, []string{"steps[1].after"}},
		"after a later step":     {func(j *Job) { j.Steps[0].After = []int{1} }, []string{"steps[0].after"}},
		"after a negative index": {func(j *Job) { j.Steps[0].After = []int{-1} }, []string{"steps[0].after"}},
		"gang":                   {func(j *Job) { j.Steps[1].Gang = true }, []string{"steps[1].gang"}},
		"negative interval":      {func(j *Job) { j.Recurrence.IntervalMs = -1 }, []string{"recurrence"}},
		"too many occurrences":   {func(j *Job) { j.Recurrence.Count = MaxOccurrences + 1 }, []string{"recurrence"}},
		"two faults": {
			func(j *Job) { j.Steps[0].Tasks = -1; j.Steps[1].After = []int{7} }, []string{"steps[0]", "steps[1].after"}},
	} {
		t.Run(name, func(t *testing.T) {
			job := validJob()
			c.change(&job)
			findings := Validate(job)
			if len(findings) != len(c.want) {
				t.Fatalf("findings %v, want fields %v", findings, c.want)
			}
			for i, finding := range findings {
				if finding.Field != c.want[i] {
					t.Errorf("field %s, want %s", finding.Field, c.want[i])
				}
			}
		})
	}
}

func setTasks(j *Job, tasks int) {
	for i := range j.Steps {
		j.Steps[i].Tasks = tasks
	}
}

// Guards against occurrences that start before they are due, and against a job without recurrence that waits for
// FirstMs.
func TestOccurrencesAreDueInTurn(t *testing.T) {
	r := Recurrence{FirstMs: 1000, IntervalMs: 250, Count: 3}
	if r.Occurrences() != 3 || r.DueMs(0) != 1000 || r.DueMs(2) != 1500 {
		t.Errorf("%d occurrences, due at %d and %d", r.Occurrences(), r.DueMs(0), r.DueMs(2))
	}
	if once := (Recurrence{FirstMs: 1000}); once.Occurrences() != 1 || once.DueMs(0) != 0 {
		t.Errorf("%d occurrences, due at %d", once.Occurrences(), once.DueMs(0))
	}
}

// Guards against fillers that reserve processor time, which no other task could then use.
func TestFillersReserveNoProcessorTime(t *testing.T) {
	size := structs.Resources{MilliCPU: 2000, MemoryBytes: 1 << 30}
	if got := (Step{Size: size, Filler: true}).Reserved(); got.MilliCPU != 0 || got.MemoryBytes != size.MemoryBytes {
		t.Errorf("a filler reserves %+v", got)
	}
	if got := (Step{Size: size}).Reserved(); got != size {
		t.Errorf("a task reserves %+v", got)
	}
}

// Guards against one job that takes more memory than a host has: the tasks of all occurrences are built at once, and the
// job would end the process of each owner in turn.
func TestValidateBoundsTheTasksOfAllOccurrences(t *testing.T) {
	job := Job{ID: "job", Steps: []Step{{Tasks: MaxTasks}}, Recurrence: Recurrence{Count: MaxOccurrences, IntervalMs: 1}}
	if findings := Validate(job); len(findings) == 0 {
		t.Error("a job with 200 million tasks is valid")
	}
	job.Recurrence.Count, job.Steps[0].Tasks = 10, 100
	if findings := Validate(job); len(findings) != 0 {
		t.Errorf("findings of a small recurring job: %v", findings)
	}
}
