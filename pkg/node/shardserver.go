package node

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/peer"
	"fulmarcourse.example/fulmarcourse/pkg/requests"
	"fulmarcourse.example/fulmarcourse/pkg/shard"
)

// notifyTimeout bounds a notification about changed jobs. A notification may be lost, since owners also poll the store
// for changes.
const notifyTimeout = 500 * time.Millisecond

// shardServer implements peerpb.ShardsServer.
type shardServer struct {
	peerpb.UnimplementedShardsServer
	dispatch *requests.DispatchServer
	manager  *shard.Manager
}

// Dispatch runs one request on a runner of an owned shard.
func (s *shardServer) Dispatch(ctx context.Context, m *peerpb.DispatchRequest) (*peerpb.DispatchReply, error) {
	return s.dispatch.Dispatch(ctx, m)
}

// NotifyJobs makes the loop of an owned shard read the changed job records. It ignores shards that this host does not
// own.
func (s *shardServer) NotifyJobs(_ context.Context, m *peerpb.NotifyJobsRequest) (*peerpb.NotifyJobsReply, error) {
	if loop, err := s.manager.Loop(shardID(m.Shard)); err == nil {
		loop.Notify()
	}
	return &peerpb.NotifyJobsReply{}, nil
}

// ExplainTask returns the reason why a task is pending, or the worker that it runs on.
func (s *shardServer) ExplainTask(_ context.Context, m *peerpb.ExplainTaskRequest) (*peerpb.ExplainTaskReply, error) {
	loop, err := s.manager.Loop(shardID(m.Shard))
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	text, err := loop.Explain(structs.TaskID{Job: structs.JobID(m.Job), Index: int(m.Index)})
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	return &peerpb.ExplainTaskReply{Explanation: text}, nil
}

func shardID(s *peerpb.Shard) structs.ShardID {
	return structs.ShardID{Datacentre: structs.DatacentreID(s.GetDatacentre()), Index: int(s.GetIndex())}
}

func wireShard(s structs.ShardID) *peerpb.Shard {
	return &peerpb.Shard{Datacentre: string(s.Datacentre), Index: int32(s.Index)}
}

// notifier implements jobs.Notifier.
type notifier struct {
	directory *directory
	manager   *shard.Manager
	pool      *peer.Pool
}

// NotifyJobs notifies the owner of a shard of changed jobs. It ignores errors, since a lost notification only delays
// the owner by its refresh interval.
func (n notifier) NotifyJobs(ctx context.Context, id structs.ShardID, ids []structs.JobID) {
	addr, local, ok := n.directory.owner(id)
	if !ok {
		return
	}
	if local {
		if loop, err := n.manager.Loop(id); err == nil {
			loop.Notify()
		}
		return
	}
	request := &peerpb.NotifyJobsRequest{Shard: wireShard(id)}
	for _, job := range ids {
		request.Jobs = append(request.Jobs, string(job))
	}
	go func() {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
		defer cancel()
		if conn, err := n.pool.Conn(addr); err == nil {
			_, _ = peerpb.NewShardsClient(conn).NotifyJobs(callCtx, request)
		}
	}()
}
