package node

import (
	"context"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/httpapi"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
	"fulmarcourse.example/fulmarcourse/pkg/peer"
	"fulmarcourse.example/fulmarcourse/pkg/shard"
)

// jobsAPI implements httpapi.Jobs: records come from the store, explanations from the owner of the home shard.
type jobsAPI struct {
	service   *jobs.Service
	waiter    *jobs.Waiter
	manager   *shard.Manager
	directory *directory
	pool      *peer.Pool
}

// Submit implements httpapi.Jobs.
func (a jobsAPI) Submit(ctx context.Context, spec structs.JobSpec) (structs.JobRecord, error) {
	record, err := a.service.Submit(ctx, spec)
	return record, jobError(err)
}

// Get implements httpapi.Jobs.
func (a jobsAPI) Get(ctx context.Context, id structs.JobID) (structs.JobRecord, error) {
	stored, err := a.service.Get(ctx, id)
	return stored.Record, jobError(err)
}

// List implements httpapi.Jobs.
func (a jobsAPI) List(ctx context.Context, filter httpapi.Filter) ([]structs.JobRecord, error) {
	records, err := a.service.List(ctx, jobs.Filter{Team: filter.Team, Kind: filter.Kind})
	return records, jobError(err)
}

// Cancel implements httpapi.Jobs.
func (a jobsAPI) Cancel(ctx context.Context, id structs.JobID) (structs.JobRecord, error) {
	record, err := a.service.Cancel(ctx, id)
	return record, jobError(err)
}

// Wait implements httpapi.Jobs.
func (a jobsAPI) Wait(ctx context.Context, id structs.JobID, until <-chan struct{}) (structs.JobRecord, error) {
	record, err := a.waiter.Wait(ctx, id, until)
	return record, jobError(err)
}

// Explain implements httpapi.Jobs.
func (a jobsAPI) Explain(ctx context.Context, id structs.JobID) (httpapi.Explanation, error) {
	parts, err := a.service.Parts(ctx, id)
	if err != nil {
		return httpapi.Explanation{}, jobError(err)
	}
	explanation := httpapi.Explanation{Job: id.Whole()}
	for n := range parts {
		for i := range parts[n].Tasks {
			explanation.Tasks = append(explanation.Tasks, a.explainTask(ctx, &parts[n], i))
		}
	}
	return explanation, nil
}

// explainTask asks the owner of the home shard; when the owner cannot be asked, the stored record is all there is.
func (a jobsAPI) explainTask(ctx context.Context, record *structs.JobRecord, index int) string {
	task := record.Tasks[index]
	stored := string(task.State)
	if task.Reason != "" {
		stored += ": " + task.Reason
	}
	if task.State.Final() {
		return stored
	}
	addr, local, ok := a.directory.owner(record.Home)
	if !ok {
		return stored + " (shard " + record.Home.String() + " has no live owner)"
	}
	text, err := a.askOwner(ctx, addr, local, record, index)
	if err != nil {
		return stored + " (the owner of shard " + record.Home.String() + " did not answer: " + err.Error() + ")"
	}
	return text
}

func (a jobsAPI) askOwner(ctx context.Context, addr string, local bool, record *structs.JobRecord, index int) (string, error) {
	if local {
		loop, err := a.manager.Loop(record.Home)
		if err != nil {
			return "", err
		}
		return loop.Explain(structs.TaskID{Job: record.ID, Index: index})
	}
	conn, err := a.pool.Conn(addr)
	if err != nil {
		return "", err
	}
	reply, err := peerpb.NewShardsClient(conn).ExplainTask(ctx, &peerpb.ExplainTaskRequest{
		Shard: wireShard(record.Home),
		Job:   string(record.ID),
		Index: int32(index),
	})
	if err != nil {
		return "", err
	}
	return reply.Explanation, nil
}

// jobError gives errors of pkg/jobs the types that pkg/httpapi understands.
func jobError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, jobs.ErrNotFound):
		return errors.WithType(err, errors.NotFound)
	case errors.Is(err, jobs.ErrInvalid), errors.Is(err, jobs.ErrTooLarge):
		return errors.WithType(err, errors.NotValid)
	case errors.Is(err, jobs.ErrKeyReused):
		return errors.WithType(err, errors.AlreadyExists)
	case errors.Is(err, jobs.ErrUnknown):
		return errors.WithType(err, httpapi.ErrOutcomeUnknown)
	case errors.Is(err, jobs.ErrNotAccepted), errors.Is(err, jobs.ErrNoDocument), errors.Is(err, jobs.ErrNoHome),
		errors.Is(err, jobs.ErrContended):
		return errors.WithType(err, httpapi.ErrNotAccepted)
	}
	return err
}
