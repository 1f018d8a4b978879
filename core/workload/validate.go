package workload

import "fmt"

// Limits of a submission.
const (
	// MaxInputBytes is the longest input that callers may pass to their tasks.
	MaxInputBytes = 4000
	// MaxSteps bounds the dependency graph of one job.
	MaxSteps = 256
	// MaxTasks bounds the tasks of one occurrence, so that the stored progress of a job stays far below the largest
	// value of the store.
	MaxTasks = 20000
	// MaxOccurrences bounds the recurrence of one job.
	MaxOccurrences = 10000
	// MaxJobTasks bounds the tasks of all occurrences of one job, which the owner keeps in memory.
	MaxJobTasks = 100000
)

// Finding is one fault in a submitted job.
type Finding struct {
	Field   string // path of the field, for example "steps[2].after"
	Message string
}

// String returns the finding as one line of text.
func (f Finding) String() string { return f.Field + ": " + f.Message }

// Validate returns all faults of a job. A job without findings can be accepted.
func Validate(job Job) []Finding {
	var findings []Finding
	add := func(field, format string, args ...any) {
		findings = append(findings, Finding{field, fmt.Sprintf(format, args...)})
	}
	if len(job.Input) > MaxInputBytes {
		add("input", "longer than %d bytes", MaxInputBytes)
	}
	if len(job.Steps) == 0 || len(job.Steps) > MaxSteps {
		add("steps", "there must be 1 to %d", MaxSteps)
	}
	if n := job.Recurrence.Count; n < 0 || n > MaxOccurrences {
		add("recurrence", "the count must be 0 to %d", MaxOccurrences)
	}
	if job.Recurrence.IntervalMs < 0 {
		add("recurrence", "the interval must not be negative")
	}
	total := 0
	for i, step := range job.Steps {
		field := fmt.Sprintf("steps[%d]", i)
		if step.Tasks < 1 || step.Tasks > MaxTasks {
			add(field, "there must be 1 to %d tasks", MaxTasks)
			continue
		}
		total += step.Tasks
		if size := step.Size; size.MilliCPU < 0 || size.MemoryBytes < 0 || size.Accelerators < 0 {
			add(field, "the size must not be negative")
		}
		if step.Gang {
			// The scheduler would start the tasks one by one, and each would wait for the others indefinitely.
			add(field+".gang", "tasks that only work together are not supported")
		}
		for _, earlier := range step.After {
			if earlier < 0 || earlier >= i {
				add(field+".after", "%d is not an earlier step", earlier)
			}
		}
	}
	if total > MaxTasks {
		add("steps", "more than %d tasks", MaxTasks)
	}
	if n := job.Recurrence.Occurrences(); n <= MaxOccurrences && n*total > MaxJobTasks {
		add("recurrence", "more than %d tasks in all occurrences", MaxJobTasks)
	}
	return findings
}
