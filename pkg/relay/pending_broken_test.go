package relay

import "testing"

// Guards against a broken connection that the owner never learns of, because the next process of the worker has answered before the owner
// has collected the result: it is the only evidence that a task ran until the crash, and a task that crashes its workers would start again
// and again.
func TestBrokenConnectionIsKeptBesideAReportOfTheNextProcess(t *testing.T) {
	broken := WorkerReport{Worker: "w", Failed: connectionBroken + "EOF"}
	former, next := reportOf("w", 1, 1), reportOf("w", 2, 2)
	var p pendingReports
	p.add(former)
	p.add(broken)
	p.add(next)
	assertReports(t, p.take(10), []WorkerReport{former, broken, next})
	p.add(broken) // the owner has collected the former process' report before
	p.add(next)
	assertReports(t, p.take(10), []WorkerReport{broken, next})
}
