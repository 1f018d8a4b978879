package schedule

import "time"

// AwaitedWorkers describes the workers of a former owner that have not reported yet.
type AwaitedWorkers struct {
	Workers       int           // all of them
	WithRemaining int           // those whose remaining lease a former owner has stored
	Longest       time.Duration // until the leases of the last one have certainly expired
}

// Awaited returns which workers of a former owner have not reported yet.
func (s *Scheduler) Awaited(now time.Duration) AwaitedWorkers {
	awaited := AwaitedWorkers{Workers: len(s.awaitingReport), Longest: max(s.unknownUntil-now, 0)}
	for id := range s.awaitingReport {
		if w := s.workers[id]; w.withheld.mayStore {
			awaited.WithRemaining++
		}
		awaited.Longest = max(awaited.Longest, s.expiresIn(now, id))
	}
	return awaited
}

// lastAwaited returns the worker of a former owner whose leases expire last of those that have not reported yet; "" if all have.
func (s *Scheduler) lastAwaited() (last WorkerID) {
	end := time.Duration(0)
	for id := range s.awaitingReport {
		if w := s.workers[id]; last == "" || w.leaseEnd > end || w.leaseEnd == end && id < last {
			last, end = id, w.leaseEnd
		}
	}
	return last
}

// expiresIn returns the time until the leases of a worker have certainly expired; 0 if they have, or if they may still be extended.
func (s *Scheduler) expiresIn(now time.Duration, id WorkerID) time.Duration {
	end, bounded := s.LeasesEnd(id)
	if !bounded {
		return 0
	}
	return max(end-now, 0)
}
