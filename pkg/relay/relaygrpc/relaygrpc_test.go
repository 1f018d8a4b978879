package relaygrpc

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/api/ownerpb"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// noWorkers is a relay.Workers without any worker.
type noWorkers struct{ relay.Workers }

// newServer returns a server for the relay of partition 0.
func newServer() (*Server, *relay.Relay) {
	r := relay.New(relay.Config{Workers: noWorkers{}, TaskLease: time.Second, Scope: tally.NoopScope})
	return NewServer(func(partition int) *relay.Relay {
		if partition != 0 {
			return nil
		}
		return r
	}), r
}

// Guards against a call for a partition that this host does not know, for instance from a host of another version, that
// ends the process.
func TestUnknownPartitionIsRefused(t *testing.T) {
	server, r := newServer()
	defer r.Close()
	for _, partition := range []int32{-1, 1, 1 << 30} {
		if _, err := server.Update(t.Context(), &ownerpb.UpdateRequest{Partition: partition, Term: 1}); status.Code(err) != codes.InvalidArgument {
			t.Errorf("update of partition %d: %v", partition, err)
		}
		if _, err := server.Collect(t.Context(), &ownerpb.CollectRequest{Partition: partition, Term: 1}); status.Code(err) != codes.InvalidArgument {
			t.Errorf("results of partition %d: %v", partition, err)
		}
	}
}

// Guards against a message of another host that makes the process panic, whether it arrives at a relay or at an owner.
func FuzzPeerMessages(f *testing.F) {
	add := func(message proto.Message) {
		data, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	add(&ownerpb.UpdateRequest{Term: 3, Release: []string{"w"}, Stored: []*ownerpb.StoredEnd{{Worker: "w", Number: 5}}})
	add(&ownerpb.CollectReply{NowNs: 5, Reports: []*ownerpb.WorkerReport{{
		Worker: "w", Incarnation: 1,
		Running: []*ownerpb.Running{{Task: &ownerpb.Task{Job: "j", Index: 1}, Attempt: 1, Percent: 40, Figure: 3}, {}},
		Ended:   []*ownerpb.Ended{{Number: 1, Task: &ownerpb.Task{Job: "j", Step: -4}, How: "done"}},
	}}, Outcomes: []*ownerpb.OrderOutcome{{Outcome: 99, Order: &ownerpb.Order{Kind: 77, Worker: "w"}}, {}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		var update ownerpb.UpdateRequest
		if proto.Unmarshal(data, &update) == nil {
			update.Assign, update.Orders = nil, nil // they would call workers
			server, r := newServer()
			_, _ = server.Update(t.Context(), &update) // an error is a valid answer to any message
			r.Close()
		}
		var reply ownerpb.CollectReply
		if proto.Unmarshal(data, &reply) == nil {
			applyReply(&reply)
		}
	})
}

// applyReply applies the results of a relay to a scheduler that runs one job on one worker.
func applyReply(reply *ownerpb.CollectReply) {
	now := schedule.Time{Boot: time.Hour, UnixMs: 1_000_000}
	s := schedule.NewScheduler(schedule.Config{Term: 1, TaskLease: time.Second, StopTime: time.Second})
	worker := schedule.WorkerInfo{ID: "w", Datacentre: "dc", Pool: "pool", Capacity: structs.Resources{MilliCPU: 16000, MemoryBytes: 64 << 30}}
	s.SetWorkers(now, []schedule.WorkerInfo{worker})
	s.KnownWorkersStored([]schedule.WorkerInfo{worker})
	s.Report(now, "w", schedule.Report{Incarnation: 1, SentAt: now.Boot})
	step := workload.Step{Tasks: 3, Size: structs.Resources{MilliCPU: 1000}, EstimateMs: 100}
	s.AddJob(workload.Job{ID: "j", Queue: workload.Queue{Pool: "pool", MaxFailures: 2}, Steps: []workload.Step{step, step}}, nil, false)
	s.Plan(now)
	results := fromCollectReply(reply)
	for _, outcome := range results.Outcomes {
		_ = outcome.Outcome.String() + outcome.Order.Kind.String()
		s.OrderAnswered(now, outcome.Order, outcome.Outcome)
	}
	for _, report := range results.Reports {
		report.Report.SentAt = now.Boot
		s.Report(now, report.Worker, report.Report)
		s.Plan(now)
	}
	for _, record := range s.Changed() {
		s.MarkStored(now, record)
	}
}

// Guards against measurements that are lost between relay and owner.
func TestMeasurementsReachTheOwner(t *testing.T) {
	report := toReport(relay.WorkerReport{Worker: "w", Report: schedule.Report{SentAt: 1, ReceivedAt: 2}})
	results := fromCollectReply(&ownerpb.CollectReply{
		Reports: []*ownerpb.WorkerReport{report}, Outcomes: []*ownerpb.OrderOutcome{{TookNs: 3}}, Uncollected: 4,
	})
	if at := results.Reports[0].Report; at.SentAt != 1 || at.ReceivedAt != 2 {
		t.Errorf("sent at %d, received at %d", at.SentAt, at.ReceivedAt)
	}
	if results.Outcomes[0].Took != 3 || results.Uncollected != 4 {
		t.Errorf("took %d, %d uncollected", results.Outcomes[0].Took, results.Uncollected)
	}
}

// fleetReply returns the reports of workers of a large fleet: services, fillers and short tasks, and an end in each third.
func fleetReply(workers int) *ownerpb.CollectReply {
	reply := &ownerpb.CollectReply{NowNs: 5}
	for n := range workers {
		report := relay.WorkerReport{Worker: schedule.WorkerID(fmt.Sprint("orebro-desk-", n)), Report: schedule.Report{Incarnation: 1}}
		for row := range 9 {
			report.Report.Running = append(report.Report.Running, schedule.Running{
				Task: workload.TaskID{Job: workload.JobID(fmt.Sprint("0198f3c2-7a", n/3+row)), Index: row}, Attempt: 1, Percent: 100, Metric: 21.5,
			})
		}
		if n%3 == 0 {
			report.Report.Ended = []schedule.Ended{{Number: 4, Task: report.Report.Running[0].Task, Attempt: 1, Kind: schedule.EndDone}}
		}
		reply.Reports = append(reply.Reports, toReport(report))
	}
	return reply
}

// Guards against lists that are allocated several times over while the reports of a relay are read: garbage takes a sixth of
// the owner's processor time.
func TestReadingReportsAllocatesEachListOnce(t *testing.T) {
	const workers = 30
	reply := fleetReply(workers)
	lists := float64(1 + workers + workers/3) // of reports, running and ended attempts
	if n := testing.AllocsPerRun(100, func() { fromCollectReply(reply) }); n > lists {
		t.Errorf("%v allocations, want at most %v", n, lists)
	}
}

// BenchmarkReadReports measures the owner's reading of a reply of a relay, without transport and compression.
func BenchmarkReadReports(b *testing.B) {
	const workers = 6
	data, err := proto.Marshal(fleetReply(workers))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for range b.N {
		var reply ownerpb.CollectReply
		if err := proto.Unmarshal(data, &reply); err != nil {
			b.Fatal(err)
		}
		fromCollectReply(&reply)
	}
}
