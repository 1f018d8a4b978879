package relay

import (
	"fulmarcourse.example/core/schedule"
)

// pendingReports holds the reports that the owner has not collected. Of each worker it keeps only what the owner needs: a
// report lists everything that runs on the worker and the ends that are not acknowledged, or the earliest of them, so it
// supersedes the earlier ones of the same process. An owner that collects late thus finds at most one report of each worker, the newest, and no
// backlog. The zero value is empty. It is not safe for concurrent use.
type pendingReports struct {
	byWorker map[schedule.WorkerID]*workerReports
	order    []schedule.WorkerID // workers with reports, the one that has waited longest first
}

// workerReports are the uncollected results of the polls of one worker, in the order of their fields.
type workerReports struct {
	former []WorkerReport // the last report of each former process of the worker, and the connection that broke at its end
	latest *WorkerReport  // nil if no poll has succeeded
	failed *WorkerReport  // nil unless a poll has failed since the latest report
}

// add adds the result of a poll.
func (p *pendingReports) add(report WorkerReport) {
	if p.byWorker == nil {
		p.byWorker = map[schedule.WorkerID]*workerReports{}
	}
	w, known := p.byWorker[report.Worker]
	if !known {
		w = &workerReports{}
		p.byWorker[report.Worker] = w
		p.order = append(p.order, report.Worker)
	}
	w.add(report)
}

func (w *workerReports) add(report WorkerReport) {
	switch {
	case report.Failed != "":
		w.failed = &report
		return
	case w.latest != nil && w.latest.Report.Incarnation == report.Report.Incarnation:
		if w.latest.Report.SentAt > report.Report.SentAt {
			w.failed = nil // the relay grants leases again
			return         // the answers to two polls have overtaken each other
		}
	default:
		if w.latest != nil {
			w.former = append(w.former, *w.latest) // its ends are listed nowhere else
		}
		if w.failed != nil && w.failed.ConnectionBroken() {
			w.former = append(w.former, *w.failed) // it shows when the former process has ended
		}
	}
	w.latest, w.failed = &report, nil
}

// urgent reports whether the owner can act on the results at once.
func (w *workerReports) urgent() bool {
	return w.failed != nil || len(w.former) > 0 || len(w.latest.Report.Ended) > 0
}

// has reports whether there are uncollected results of a worker.
func (p *pendingReports) has(id schedule.WorkerID) bool {
	_, known := p.byWorker[id]
	return known
}

// longestWaitingShare is the inverse of the share of the workers in a response that is kept for those that have waited
// longest.
const longestWaitingShare = 4

// take removes and returns the results of at most limit workers, those that the owner can act on at once first. A share of
// the limit goes to the workers that have waited longest: a worker without ends would otherwise never be collected from while
// enough others have ends, and would count as silent.
func (p *pendingReports) take(limit int) []WorkerReport {
	taken := make([]WorkerReport, 0, min(len(p.order), limit))
	kept := limit / longestWaitingShare
	taken, unused := p.takeIf((*workerReports).urgent, taken, limit-kept)
	taken, _ = p.takeIf(func(*workerReports) bool { return true }, taken, unused+kept)
	return taken
}

// takeIf removes the results of the workers that match, at most limit, and appends them to taken. It returns taken and how
// many further workers may be taken.
func (p *pendingReports) takeIf(match func(*workerReports) bool, taken []WorkerReport, limit int) ([]WorkerReport, int) {
	kept := p.order[:0]
	for _, id := range p.order {
		w := p.byWorker[id]
		if limit == 0 || !match(w) {
			kept = append(kept, id)
			continue
		}
		limit--
		taken = append(taken, w.former...)
		if w.latest != nil {
			taken = append(taken, *w.latest)
		}
		if w.failed != nil {
			taken = append(taken, *w.failed)
		}
		delete(p.byWorker, id)
	}
	clear(p.order[len(kept):])
	p.order = kept
	return taken, limit
}

// workers returns the number of workers with uncollected results.
func (p *pendingReports) workers() int { return len(p.order) }

func (p *pendingReports) empty() bool { return len(p.order) == 0 }
