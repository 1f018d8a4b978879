package schedule

import "testing"

// listFewEnds makes reports hold three to six ends, by the seed, so that many leave out others.
func (f *faultSim) listFewEnds() *faultSim {
	f.endsPerReport = 3 + int(f.seed%4)
	f.s.cfg.EndsPerReport = f.endsPerReport
	return f
}

// Guards against tasks that run twice, jobs that wait beyond the platform's rule and services that stay down where reports leave out ends,
// under all sums of faults.
func TestJobsWhoseEndsReportsLeaveOut(t *testing.T) {
	playMixes(t, func(f *faultSim) { f.listFewEnds().playJobs() })
}

// Guards against the same between faults, beside services.
func TestServicesWhoseEndsReportsLeaveOut(t *testing.T) {
	playMixes(t, func(f *faultSim) { f.listFewEnds().playServicesBetweenFaults() })
}
