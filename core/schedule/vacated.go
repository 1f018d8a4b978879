package schedule

// recordVacated records that a service task has left its place on a worker that answers.
func (s *Scheduler) recordVacated(a *attempt) {
	st := a.task.step
	if st.spec.Service && !a.worker.suspect {
		s.vacated[st.job.rec.Queue.Pool] += st.spec.Size.MilliCPU
	}
}

// recordTaken records that a service task takes a place.
func (s *Scheduler) recordTaken(t *task) {
	pool := t.step.job.rec.Queue.Pool
	s.vacated[pool] = max(s.vacated[pool]-t.step.spec.Size.MilliCPU, 0)
}

// restartInVacated starts displaced tasks before all others as long as they take no more than services have left since
// displaced tasks wait. Where capacity is lost, services and tasks that end thus keep their shares of the rest.
func (s *Scheduler) restartInVacated(cycle *planCycle) {
	if len(cycle.displaced) == 0 {
		clear(s.vacated)
		return
	}
	var others []*task
	for _, t := range cycle.displaced {
		if !s.restartedInVacated(cycle, t) {
			others = append(others, t)
		}
	}
	cycle.displaced = others
}

// restartedInVacated starts a displaced task if services have left enough capacity and it fits on a worker.
func (s *Scheduler) restartedInVacated(cycle *planCycle, t *task) bool {
	if s.vacated[t.step.job.rec.Queue.Pool] < t.step.spec.Size.MilliCPU {
		return false
	}
	w := s.chooseForRestart(cycle, t)
	if w == nil {
		return false
	}
	s.start(cycle.now.Boot, t, w)
	return true
}
