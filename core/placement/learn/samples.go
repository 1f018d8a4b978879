package learn

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// SamplesOf returns the measurements of an inventory that was received at received. The time at which each was
// taken follows from its age; what the network added is small against MinWindow.
func SamplesOf(inventory structs.Inventory, received time.Time) []Sample {
	samples := make([]Sample, 0, len(inventory.Tasks))
	for _, t := range inventory.Tasks {
		if t.State != structs.OnWorkerRunning || t.UsageAge < 0 || t.UsageAge > HistoryKeep {
			continue
		}
		samples = append(samples, Sample{
			Task: t.Task, Attempt: t.Attempt, Kind: t.Kind, Host: inventory.Worker, TakenAt: received.Add(-t.UsageAge),
			Usage: t.Usage, Progress: t.Progress, Throttle: t.Throttle,
		})
	}
	return samples
}

// RemainingOf returns the expected time until a task is done: from its own progress once it has made enough of it,
// else from the run times of its kind. ranFor is its run time in all attempts. It is 0 when nothing is known.
func (s *Sizes) RemainingOf(kind structs.KindName, progress float64, ranFor time.Duration) time.Duration {
	if progress >= MinProgress && progress <= 1 && ranFor > 0 {
		return max(time.Duration(float64(ranFor)*(1-progress)/progress), time.Second)
	}
	if left, known := s.Remaining(kind, ranFor); known {
		return left
	}
	return 0
}
