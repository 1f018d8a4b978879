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

// errNotOwner means that the term asked for is not held here.
const errNotOwner = errors.ConstError("not the owner in this term")

// owners reaches owners in this process directly and others with gRPC. It implements intake.Owners.
type owners struct{ node *Node }

func (o *owners) local(p statekeys.Partition, state term.State) *dispatch.Owner {
	return o.node.ownerOf(p, state.Term)
}

func (o *owners) remote(state term.State) (ownerpb.OwnerClient, error) {
	if state.Holder.Address == "" || state.Holder.Incarnation == o.node.cfg.Self.Incarnation {
		return nil, errNotOwner
	}
	conn, err := o.node.pool.Conn(state.Holder.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return ownerpb.NewOwnerClient(conn), nil
}

// Announce implements intake.Owners.
func (o *owners) Announce(ctx context.Context, p statekeys.Partition, state term.State, job workload.Job) error {
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
func (o *owners) AnnounceCancel(ctx context.Context, p statekeys.Partition, state term.State, id workload.JobID) error {
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
func (o *owners) JobState(ctx context.Context, p statekeys.Partition, state term.State, id workload.JobID) (workload.State, bool, error) {
	if owner := o.local(p, state); owner != nil {
		s, known := owner.JobState(id)
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

// QueueLength implements intake.Owners.
func (o *owners) QueueLength(ctx context.Context, p statekeys.Partition, state term.State, queue workload.QueueName) (int, error) {
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

// server answers other entry hosts.
type server struct {
	ownerpb.UnimplementedOwnerServer
	node *Node
}

func (s *server) owner(number int64, id string) (*dispatch.Owner, error) {
	p := statekeys.PartitionOf(workload.JobID(id), s.node.cfg.Partitions)
	return s.ownerOf(p, number)
}

func (s *server) ownerOf(p statekeys.Partition, number int64) (*dispatch.Owner, error) {
	if owner := s.node.ownerOf(p, number); owner != nil {
		return owner, nil
	}
	return nil, status.Error(codes.FailedPrecondition, errNotOwner.Error())
}

// AnnounceJob implements ownerpb.OwnerServer.
func (s *server) AnnounceJob(_ context.Context, req *ownerpb.AnnounceJobRequest) (*ownerpb.AnnounceReply, error) {
	var job workload.Job
	if err := json.Unmarshal(req.Job, &job); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	owner, err := s.owner(req.Term, string(job.ID))
	if err != nil {
		return nil, err
	}
	owner.Announce(job)
	return &ownerpb.AnnounceReply{}, nil
}

// AnnounceCancel implements ownerpb.OwnerServer.
func (s *server) AnnounceCancel(_ context.Context, req *ownerpb.AnnounceCancelRequest) (*ownerpb.AnnounceReply, error) {
	owner, err := s.owner(req.Term, req.Job)
	if err != nil {
		return nil, err
	}
	owner.Cancel(workload.JobID(req.Job))
	return &ownerpb.AnnounceReply{}, nil
}

// JobState implements ownerpb.OwnerServer.
func (s *server) JobState(_ context.Context, req *ownerpb.JobStateRequest) (*ownerpb.JobStateReply, error) {
	owner, err := s.owner(req.Term, req.Job)
	if err != nil {
		return nil, err
	}
	state, known := owner.JobState(workload.JobID(req.Job))
	return &ownerpb.JobStateReply{Known: known, State: string(state)}, nil
}

// Ping implements ownerpb.OwnerServer.
func (s *server) Ping(context.Context, *ownerpb.PingRequest) (*ownerpb.PingReply, error) {
	return &ownerpb.PingReply{}, nil
}

// QueueLength implements ownerpb.OwnerServer.
func (s *server) QueueLength(_ context.Context, req *ownerpb.QueueLengthRequest) (*ownerpb.QueueLengthReply, error) {
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
