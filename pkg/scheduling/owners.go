package scheduling

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/api/ownerpb"
	"fulmarcourse.example/fulmarcourse/pkg/dispatch"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// errNotOwner means that this host does not own the partition in the requested term.
const errNotOwner = errors.ConstError("not the owner in this term")

// ownerClients calls owners in this process directly and owners on other entry hosts over gRPC. It implements
// intake.Owners.
type ownerClients struct{ node *Node }

// local returns the owner if it runs in this process, and nil otherwise.
func (o *ownerClients) local(p statekeys.Partition, state term.State) *dispatch.Owner {
	return o.node.ownerOf(p, state.Term)
}

// remote returns a client for the owner on another entry host. Errors: errNotOwner.
func (o *ownerClients) remote(state term.State) (ownerpb.OwnerClient, error) {
	if state.Owner.Address == "" || state.Owner.Incarnation == o.node.cfg.Self.Incarnation {
		return nil, errNotOwner
	}
	conn, err := o.node.pool.Conn(state.Owner.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return ownerpb.NewOwnerClient(conn), nil
}

// Announce implements intake.Owners.
func (o *ownerClients) Announce(ctx context.Context, p statekeys.Partition, state term.State, job workload.Job) error {
	if owner := o.local(p, state); owner != nil {
		owner.Announce(job)
		return nil
	}
	client, err := o.remote(state)
	if err != nil {
		return err
	}
	data, err := json.Marshal(job)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = client.AnnounceJob(ctx, &ownerpb.AnnounceJobRequest{Term: state.Term, Job: data})
	return errors.Trace(err)
}

// AnnounceCancel implements intake.Owners.
func (o *ownerClients) AnnounceCancel(ctx context.Context, p statekeys.Partition, state term.State, id workload.JobID) error {
	if owner := o.local(p, state); owner != nil {
		owner.Cancel(id)
		return nil
	}
	client, err := o.remote(state)
	if err != nil {
		return err
	}
	_, err = client.AnnounceCancel(ctx, &ownerpb.AnnounceCancelRequest{Term: state.Term, Job: string(id)})
	return errors.Trace(err)
}

// JobState implements intake.Owners.
func (o *ownerClients) JobState(ctx context.Context, p statekeys.Partition, state term.State, id workload.JobID) (workload.State, bool, error) {
	if owner := o.local(p, state); owner != nil {
		s, known := o.node.jobState(owner, id)
		return s, known, nil
	}
	client, err := o.remote(state)
	if err != nil {
		return "", false, err
	}
	reply, err := client.JobState(ctx, &ownerpb.JobStateRequest{Term: state.Term, Job: string(id)})
	if err != nil {
		return "", false, errors.Trace(err)
	}
	return workload.State(reply.State), reply.Known, nil
}

// jobState returns the state of a job as its owner knows it; known is false if the store tells more. An owner that the store has not confirmed may
// have been replaced, and the job may have ended under the next one. Stored states are read instead, unless the store does not respond.
func (n *Node) jobState(owner *dispatch.Owner, id workload.JobID) (state workload.State, known bool) {
	state, known = owner.JobState(id)
	if known && !state.Final() && !owner.Confirmed() && n.cfg.Reachable() {
		return "", false
	}
	return state, known
}

// QueueLength implements intake.Owners.
func (o *ownerClients) QueueLength(ctx context.Context, p statekeys.Partition, state term.State, queue workload.QueueName) (int, error) {
	if owner := o.local(p, state); owner != nil {
		jobs, known := owner.QueueLength(queue)
		if !known {
			return 0, errNotOwner
		}
		return jobs, nil
	}
	client, err := o.remote(state)
	if err != nil {
		return 0, err
	}
	reply, err := client.QueueLength(ctx, &ownerpb.QueueLengthRequest{
		Partition: int32(p), Term: state.Term, Queue: string(queue),
	})
	if err != nil {
		return 0, errors.Trace(err)
	}
	return int(reply.Jobs), nil
}

// ownerServer serves calls of other entry hosts to the owners in this process. It implements ownerpb.OwnerServer.
type ownerServer struct {
	ownerpb.UnimplementedOwnerServer
	node *Node
}

// ownerOfJob returns the owner of the partition of a job in the given term, or FailedPrecondition.
func (s *ownerServer) ownerOfJob(termNumber int64, id string) (*dispatch.Owner, error) {
	p := statekeys.PartitionOf(workload.JobID(id), s.node.cfg.Partitions)
	return s.ownerOf(p, termNumber)
}

// ownerOf returns the owner of a partition in the given term, or FailedPrecondition.
func (s *ownerServer) ownerOf(p statekeys.Partition, termNumber int64) (*dispatch.Owner, error) {
	if owner := s.node.ownerOf(p, termNumber); owner != nil {
		return owner, nil
	}
	return nil, status.Error(codes.FailedPrecondition, errNotOwner.Error())
}

// AnnounceJob implements ownerpb.OwnerServer.
func (s *ownerServer) AnnounceJob(_ context.Context, req *ownerpb.AnnounceJobRequest) (*ownerpb.AnnounceReply, error) {
	var job workload.Job
	if err := json.Unmarshal(req.Job, &job); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "job: %.200s", err.Error())
	}
	if findings := workload.Validate(job); len(findings) > 0 {
		return nil, status.Error(codes.InvalidArgument, findings[0].String())
	}
	if job.ID == "" {
		return nil, status.Error(codes.InvalidArgument, "job: no id")
	}
	owner, err := s.ownerOfJob(req.Term, string(job.ID))
	if err != nil {
		return nil, err
	}
	owner.Announce(job)
	return &ownerpb.AnnounceReply{}, nil
}

// AnnounceCancel implements ownerpb.OwnerServer.
func (s *ownerServer) AnnounceCancel(_ context.Context, req *ownerpb.AnnounceCancelRequest) (*ownerpb.AnnounceReply, error) {
	owner, err := s.ownerOfJob(req.Term, req.Job)
	if err != nil {
		return nil, err
	}
	owner.Cancel(workload.JobID(req.Job))
	return &ownerpb.AnnounceReply{}, nil
}

// JobState implements ownerpb.OwnerServer.
func (s *ownerServer) JobState(_ context.Context, req *ownerpb.JobStateRequest) (*ownerpb.JobStateReply, error) {
	owner, err := s.ownerOfJob(req.Term, req.Job)
	if err != nil {
		return nil, err
	}
	state, known := s.node.jobState(owner, workload.JobID(req.Job))
	return &ownerpb.JobStateReply{Known: known, State: string(state)}, nil
}

// Ping implements ownerpb.OwnerServer.
func (s *ownerServer) Ping(context.Context, *ownerpb.PingRequest) (*ownerpb.PingReply, error) {
	return &ownerpb.PingReply{}, nil
}

// QueueLength implements ownerpb.OwnerServer.
func (s *ownerServer) QueueLength(_ context.Context, req *ownerpb.QueueLengthRequest) (*ownerpb.QueueLengthReply, error) {
	owner, err := s.ownerOf(statekeys.Partition(req.Partition), req.Term)
	if err != nil {
		return nil, err
	}
	jobs, known := owner.QueueLength(workload.QueueName(req.Queue))
	if !known {
		return nil, status.Error(codes.FailedPrecondition, "the partition is not loaded")
	}
	return &ownerpb.QueueLengthReply{Jobs: int64(jobs)}, nil
}
