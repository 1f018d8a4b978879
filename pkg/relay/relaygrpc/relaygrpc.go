// Package relaygrpc provides the gRPC server and client of package relay for calls between entry hosts.
package relaygrpc

import (
	"compress/flate"
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/api/ownerpb"
	"fulmarcourse.example/fulmarcourse/pkg/peer"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

func init() {
	// The fastest level finds the repetitions in rows and orders; the others cost several times the processor time.
	if err := gzip.SetLevel(flate.BestSpeed); err != nil {
		panic("relaygrpc: " + err.Error()) // cannot happen: the level is valid
	}
}

// Server serves the relays of this host to owners. It implements ownerpb.RelayServer.
type Server struct {
	ownerpb.UnimplementedRelayServer
	relays func(partition int) *relay.Relay
}

// NewServer returns a server for the relays that relays returns by partition; nil for a partition that does not exist.
func NewServer(relays func(partition int) *relay.Relay) *Server { return &Server{relays: relays} }

// relayOf returns the relay of a partition, or InvalidArgument if the partition does not exist.
func (s *Server) relayOf(partition int) (*relay.Relay, error) {
	if r := s.relays(partition); r != nil {
		return r, nil
	}
	return nil, status.Errorf(codes.InvalidArgument, "there is no partition %d", partition)
}

// Update implements ownerpb.RelayServer.
func (s *Server) Update(_ context.Context, req *ownerpb.UpdateRequest) (*ownerpb.UpdateReply, error) {
	u := relay.Update{
		Partition: int(req.Partition), Term: req.Term, LeaseUntil: time.Duration(req.LeaseUntilNs), Reset: req.Reset_,
		Sequence: req.Sequence,
	}
	for _, w := range req.Assign {
		u.Assign = append(u.Assign, relay.Assignment{
			Worker: schedule.WorkerInfo{ID: schedule.WorkerID(w.Id), Address: w.Address}, AnsweredAddress: w.AnsweredAddress,
			Wait: time.Duration(w.WaitNs), WithholdLeases: w.WithholdLeases, FenceOffset: w.FenceOffset,
		})
	}
	for _, id := range req.Release {
		u.Release = append(u.Release, schedule.WorkerID(id))
	}
	for _, stored := range req.Stored {
		u.Stored = append(u.Stored, relay.StoredEnd{
			Worker: schedule.WorkerID(stored.Worker), Incarnation: stored.Incarnation, Number: stored.Number,
		})
	}
	for _, order := range req.Orders {
		u.Orders = append(u.Orders, fromOrder(order))
	}
	r, err := s.relayOf(u.Partition)
	if err != nil {
		return nil, err
	}
	if err := r.Update(u); err != nil {
		return nil, toStatus(err)
	}
	return &ownerpb.UpdateReply{}, nil
}

// Collect implements ownerpb.RelayServer.
func (s *Server) Collect(ctx context.Context, req *ownerpb.CollectRequest) (*ownerpb.CollectReply, error) {
	r, err := s.relayOf(int(req.Partition))
	if err != nil {
		return nil, err
	}
	results, err := r.Collect(ctx, req.Term, time.Duration(req.LeaseUntilNs), time.Duration(req.WaitNs))
	if err != nil {
		return nil, toStatus(err)
	}
	if err := sendTaskLease(ctx, results.TaskLease); err != nil {
		return nil, err
	}
	reply := &ownerpb.CollectReply{
		NowNs: int64(results.Now), Fenced: results.Fenced, Uncollected: int64(results.Uncollected),
		WithholdsLeases: results.WithholdsLeases,
	}
	for _, report := range results.Reports {
		reply.Reports = append(reply.Reports, toReport(report))
	}
	for _, outcome := range results.Outcomes {
		reply.Outcomes = append(reply.Outcomes, &ownerpb.OrderOutcome{
			Order: toOrder(outcome.Order), Outcome: int32(outcome.Outcome), Reason: outcome.Reason,
			TookNs: int64(outcome.Took),
		})
	}
	return reply, nil
}

// toStatus converts errors of package relay to gRPC statuses.
func toStatus(err error) error {
	switch {
	case errors.Is(err, relay.ErrStaleTerm):
		return status.Error(codes.FailedPrecondition, err.Error())
	case errors.Is(err, relay.ErrNoAssignment):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, relay.ErrOutdated):
		return status.Error(codes.Aborted, err.Error())
	}
	return err
}

// fromStatus restores the errors of package relay from gRPC statuses.
func fromStatus(err error) error {
	if peer.IsOtherHost(err) {
		return errors.WithType(err, relay.ErrOtherHost)
	}
	switch status.Code(err) {
	case codes.FailedPrecondition:
		return errors.WithType(err, relay.ErrStaleTerm)
	case codes.NotFound:
		return errors.WithType(err, relay.ErrNoAssignment)
	case codes.Aborted:
		return errors.WithType(err, relay.ErrOutdated)
	}
	return errors.Trace(err)
}

// compressed makes a call and its reply use gzip. The rows of reports and the orders of a step repeat most of each other.
var compressed = grpc.UseCompressor(gzip.Name)

// Client calls a relay on another entry host. It implements dispatch.RelayClient.
type Client struct {
	// Host is the name of the host. If another one answers on the connection, calls fail with relay.ErrOtherHost.
	Host string
	// Conn returns the connection to the host.
	Conn func() (grpc.ClientConnInterface, error)
}

// Update implements dispatch.RelayClient.
func (c Client) Update(ctx context.Context, u relay.Update) error {
	conn, err := c.Conn()
	if err != nil {
		return errors.Trace(err)
	}
	req := &ownerpb.UpdateRequest{
		Partition: int32(u.Partition), Term: u.Term, LeaseUntilNs: int64(u.LeaseUntil), Reset_: u.Reset,
		Sequence: u.Sequence,
	}
	for _, a := range u.Assign {
		req.Assign = append(req.Assign, &ownerpb.Worker{
			Id: string(a.Worker.ID), Address: a.Worker.Address, AnsweredAddress: a.AnsweredAddress, WaitNs: int64(a.Wait),
			WithholdLeases: a.WithholdLeases, FenceOffset: a.FenceOffset,
		})
	}
	for _, id := range u.Release {
		req.Release = append(req.Release, string(id))
	}
	for _, stored := range u.Stored {
		req.Stored = append(req.Stored, &ownerpb.StoredEnd{
			Worker: string(stored.Worker), Incarnation: stored.Incarnation, Number: stored.Number,
		})
	}
	for _, order := range u.Orders {
		req.Orders = append(req.Orders, toOrder(order))
	}
	_, err = ownerpb.NewRelayClient(conn).Update(peer.ForHost(ctx, c.Host), req, compressed)
	if err != nil {
		return fromStatus(err)
	}
	return nil
}

// Collect implements dispatch.RelayClient.
func (c Client) Collect(ctx context.Context, partition int, term int64, leaseUntil, wait time.Duration) (relay.Results, error) {
	conn, err := c.Conn()
	if err != nil {
		return relay.Results{}, errors.Trace(err)
	}
	var header metadata.MD
	reply, err := ownerpb.NewRelayClient(conn).Collect(peer.ForHost(ctx, c.Host), &ownerpb.CollectRequest{
		Partition: int32(partition), Term: term, LeaseUntilNs: int64(leaseUntil), WaitNs: int64(wait),
	}, compressed, grpc.Header(&header))
	if err != nil {
		return relay.Results{}, fromStatus(err)
	}
	results := fromCollectReply(reply)
	results.TaskLease = taskLease(header)
	return results, nil
}

func fromCollectReply(reply *ownerpb.CollectReply) relay.Results {
	results := relay.Results{
		Now: time.Duration(reply.NowNs), Fenced: reply.Fenced, Uncollected: int(reply.Uncollected),
		WithholdsLeases: reply.WithholdsLeases,
		Reports:         make([]relay.WorkerReport, 0, len(reply.Reports)),
		Outcomes:        make([]relay.OrderOutcome, 0, len(reply.Outcomes)),
	}
	for _, report := range reply.Reports {
		results.Reports = append(results.Reports, fromReport(report))
	}
	for _, outcome := range reply.Outcomes {
		results.Outcomes = append(results.Outcomes, relay.OrderOutcome{
			Order: fromOrder(outcome.Order), Outcome: schedule.Outcome(outcome.Outcome), Reason: outcome.Reason,
			Took: time.Duration(outcome.TookNs),
		})
	}
	return results
}

func toTask(id workload.TaskID) *ownerpb.Task {
	return &ownerpb.Task{
		Job: string(id.Job), Occurrence: int32(id.Occurrence), Step: int32(id.Step), Index: int32(id.Index),
	}
}

func fromTask(t *ownerpb.Task) workload.TaskID {
	return workload.TaskID{
		Job: workload.JobID(t.GetJob()), Occurrence: int(t.GetOccurrence()), Step: int(t.GetStep()), Index: int(t.GetIndex()),
	}
}

func toOrder(o schedule.Order) *ownerpb.Order {
	return &ownerpb.Order{
		Kind: int32(o.Kind), Worker: string(o.Worker), Address: o.Address, Task: toTask(o.Task), Attempt: o.Attempt,
		Input: o.Input, Checkpoint: o.Checkpoint, Percent: int32(o.Percent),
	}
}

func fromOrder(o *ownerpb.Order) schedule.Order {
	return schedule.Order{
		Kind: schedule.OrderKind(o.GetKind()), Worker: schedule.WorkerID(o.GetWorker()), Address: o.GetAddress(),
		Task: fromTask(o.GetTask()), Attempt: o.GetAttempt(), Input: o.GetInput(), Checkpoint: o.GetCheckpoint(),
		Percent: int(o.GetPercent()),
	}
}

func toReport(r relay.WorkerReport) *ownerpb.WorkerReport {
	out := &ownerpb.WorkerReport{
		Worker: string(r.Worker), Failed: r.Failed, SentAtNs: int64(r.Report.SentAt), Incarnation: r.Report.Incarnation,
		ReceivedAtNs: int64(r.Report.ReceivedAt), Address: r.Report.Address, Fence: r.Report.Fence,
	}
	for _, row := range r.Report.Running {
		out.Running = append(out.Running, &ownerpb.Running{
			Task: toTask(row.Task), Attempt: row.Attempt, Checkpoint: row.Checkpoint, Percent: row.Percent, Figure: row.Metric,
		})
	}
	for _, row := range r.Report.Ended {
		out.Ended = append(out.Ended, &ownerpb.Ended{
			Number: row.Number, Task: toTask(row.Task), Attempt: row.Attempt, How: string(row.Kind), Checkpoint: row.Checkpoint,
		})
	}
	return out
}

func fromReport(r *ownerpb.WorkerReport) relay.WorkerReport {
	out := relay.WorkerReport{Worker: schedule.WorkerID(r.Worker), Failed: r.Failed, Report: schedule.Report{
		SentAt: time.Duration(r.SentAtNs), ReceivedAt: time.Duration(r.ReceivedAtNs), Incarnation: r.Incarnation, Address: r.Address,
		Fence:   r.Fence,
		Running: make([]schedule.Running, 0, len(r.Running)), Ended: make([]schedule.Ended, 0, len(r.Ended)),
	}}
	for _, row := range r.Running {
		out.Report.Running = append(out.Report.Running, schedule.Running{
			Task: fromTask(row.Task), Attempt: row.Attempt, Checkpoint: row.Checkpoint, Percent: row.Percent, Metric: row.Figure,
		})
	}
	for _, row := range r.Ended {
		out.Report.Ended = append(out.Report.Ended, schedule.Ended{
			Number: row.Number, Task: fromTask(row.Task), Attempt: row.Attempt, Kind: schedule.EndKind(row.How),
			Checkpoint: row.Checkpoint,
		})
	}
	return out
}
