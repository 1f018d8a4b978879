package schedule

// processStep separates the incarnations of processes of one worker that state the same start. It is above all starts.
const processStep = int64(1) << 48

// NextIncarnation returns the incarnation of the process that follows one with the given incarnation and states the same start.
func NextIncarnation(incarnation int64) int64 { return incarnation + processStep }

// startOf returns the start that a process states, Unix milliseconds.
func startOf(incarnation int64) int64 { return incarnation % processStep }

// countsFewer reports whether two incarnations have the same start and the first one stands for fewer processes before it. A host that polls
// a worker for the first time does not know of them, so this does not show that the process is another one.
func countsFewer(incarnation, other int64) bool {
	return startOf(incarnation) == startOf(other) && incarnation < other
}

// startAfter returns when the process started that has followed another one, Unix milliseconds; 0 if the start that it states does not
// tell.
func startAfter(former, next int64) int64 {
	if startOf(next) == startOf(former) {
		return 0
	}
	return startOf(next)
}
