package schedule

import "fulmarcourse.example/core/workload"

// QueuePool is the pool to which the operator's configuration sends the tasks of a queue.
type QueuePool struct {
	Pool            workload.PoolName
	CapacityGuarded bool // its workers reject what exceeds their capacity
}

// SetQueuePools sets the pools of all queues. Jobs that have not ended follow their queue: what has not started does so in the new pool. A
// queue that is not configured any more keeps its pool.
func (s *Scheduler) SetQueuePools(pools map[workload.QueueName]QueuePool) {
	s.queuePools = pools
	for _, j := range s.jobs {
		s.followQueue(j)
	}
}

// followQueue gives a job the pool of its queue.
func (s *Scheduler) followQueue(j *job) {
	queue := &j.rec.Queue
	target, configured := s.queuePools[queue.Name]
	if !configured || j.state.Final() || target == (QueuePool{queue.Pool, queue.CapacityGuarded}) {
		return
	}
	if queue.Pool != target.Pool {
		s.emit(Event{Kind: EventJobPoolChanged, Job: j.rec.ID, Reason: string(target.Pool)})
	}
	queue.Pool, queue.CapacityGuarded = target.Pool, target.CapacityGuarded
	for _, st := range j.steps {
		st.retryAt, st.throttledRetryAt, st.fitsNowhereIn, st.searchFrom = 0, 0, 0, 0
		for _, t := range st.tasks {
			if t.nomination.worker != nil {
				s.giveUpPlace(t, nil)
			}
		}
	}
	s.foreseen.outdated = true
}
