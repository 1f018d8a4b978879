package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/api/ownerpb"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/peer"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/pkg/relay/relaygrpc"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// The load of BenchmarkOwnerOfALargeFleet: workers with 5 service tasks, about 2 fillers and 1 to 2 short tasks each, of
// which 1,400 a second start.
const (
	fleetWorkers       = 890
	fleetRelays        = 12
	fleetServices      = fleetWorkers // service jobs
	serviceTasks       = 5            // of a service job
	shortTasks         = 10           // of a short job
	fillerTasks        = 20           // of a job of fillers
	shortDuration      = time.Second
	fillerDuration     = 8 * time.Second
	shortInterval      = 8 * time.Millisecond  // between the arrivals of short jobs
	fillerInterval     = 85 * time.Millisecond // between the arrivals of jobs of fillers
	fleetWarmUp        = 8 * time.Second
	fleetStoreDelay    = 20 * time.Millisecond // response time of the store
	relaysOnlyVariable = "FULMARCOURSE_TEST_RELAYS"
)

// fleetWorker is a simulated worker, on which tasks end by time.
type fleetWorker struct {
	mu          sync.Mutex // guards the fields below
	running     []schedule.Running
	startedAt   []time.Time // of the running attempts
	ended       []schedule.Ended
	ends, acked int64
	changed     chan struct{} // closed and replaced when a task ends
}

// fleetClient implements relay.Workers for simulated workers.
type fleetClient struct {
	mu      sync.Mutex // guards the field below
	workers map[schedule.WorkerID]*fleetWorker
}

func (c *fleetClient) worker(id schedule.WorkerID) *fleetWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		w = &fleetWorker{changed: make(chan struct{})}
		c.workers[id] = w
	}
	return w
}

func fleetTaskDuration(id workload.TaskID) time.Duration {
	switch id.Job[0] {
	case 's':
		return shortDuration
	case 'f':
		return fillerDuration
	}
	return 0 // it does not end
}

func (c *fleetClient) Poll(ctx context.Context, req relay.PollRequest) (relay.PollReply, error) {
	w := c.worker(req.Worker.ID)
	w.mu.Lock()
	w.acked = max(w.acked, req.AckedEnd)
	for len(w.ended) > 0 && w.ended[0].Number <= w.acked {
		w.ended = w.ended[1:]
	}
	changed, ends := w.changed, len(w.ended)
	w.mu.Unlock()
	if req.Wait > 0 && ends == 0 {
		timer := time.NewTimer(req.Wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return relay.PollReply{}, ctx.Err()
		case <-timer.C:
		case <-changed:
		}
	}
	return relay.PollReply{ClockMs: time.Now().UnixMilli(), Report: w.report(time.Now())}, nil
}

// report returns what runs on the worker. Metrics cover the last half second and change with each of them.
func (w *fleetWorker) report(now time.Time) schedule.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := schedule.Report{Incarnation: 1, Ended: append([]schedule.Ended(nil), w.ended...)}
	window := float64(now.UnixMilli()/500%17) / 100
	for i, row := range w.running {
		if d := fleetTaskDuration(row.Task); d > 0 {
			row.Percent, row.Metric = 100*float64(now.Sub(w.startedAt[i]))/float64(d), 900+window
		} else {
			row.Percent, row.Metric = 100, 20+window+float64(i)
		}
		r.Running = append(r.Running, row)
	}
	return r
}

func (c *fleetClient) Send(_ context.Context, command relay.Command) (schedule.Outcome, error) {
	w, o := c.worker(command.Order.Worker), command.Order
	w.mu.Lock()
	defer w.mu.Unlock()
	switch o.Kind {
	case schedule.OrderStart:
		w.running = append(w.running, schedule.Running{Task: o.Task, Attempt: o.Attempt})
		w.startedAt = append(w.startedAt, time.Now())
		if d := fleetTaskDuration(o.Task); d > 0 {
			time.AfterFunc(d, func() { w.end(o.Task, o.Attempt, schedule.EndDone) })
		}
	case schedule.OrderStop:
		go w.end(o.Task, o.Attempt, schedule.EndStopped)
	}
	return schedule.Accepted, nil
}

func (w *fleetWorker) end(id workload.TaskID, attempt int64, kind schedule.EndKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, row := range w.running {
		if row.Task != id || row.Attempt != attempt {
			continue
		}
		w.running = append(w.running[:i], w.running[i+1:]...)
		w.startedAt = append(w.startedAt[:i], w.startedAt[i+1:]...)
		w.ends++
		w.ended = append(w.ended, schedule.Ended{Number: w.ends, Task: id, Attempt: attempt, Kind: kind})
		close(w.changed)
		w.changed = make(chan struct{})
		return
	}
}

// TestRelayProcess runs the relays and workers of BenchmarkOwnerOfALargeFleet in a process of their own, until its
// standard input is closed. It writes the addresses of the relays, one a line.
func TestRelayProcess(t *testing.T) {
	if os.Getenv(relaysOnlyVariable) == "" {
		t.Skip("used by BenchmarkOwnerOfALargeFleet only")
	}
	workers := &fleetClient{workers: map[schedule.WorkerID]*fleetWorker{}}
	for range fleetRelays {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r := relay.New(relay.Config{Workers: workers, TaskLease: 6 * time.Second, Scope: tally.NoopScope})
		server := peer.NewServer(peer.ServerConfig{
			Register: func(s grpc.ServiceRegistrar) {
				ownerpb.RegisterRelayServer(s, relaygrpc.NewServer(func(int) *relay.Relay { return r }))
			},
			OnPanic: func(method string, cause any) { t.Error(method, cause) },
		})
		go func() { _ = server.Serve(listener) }()
		fmt.Printf("relay %s\n", listener.Addr())
	}
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// countingClient counts what the owner collects.
type countingClient struct {
	relaygrpc.Client
	collects, updates, reports, orders *atomic.Int64
}

func (c countingClient) Update(ctx context.Context, u relay.Update) error {
	c.updates.Add(1)
	c.orders.Add(int64(len(u.Orders)))
	return c.Client.Update(ctx, u)
}

func (c countingClient) Collect(ctx context.Context, partition int, term int64, leaseUntil, wait time.Duration) (relay.Results, error) {
	results, err := c.Client.Collect(ctx, partition, term, leaseUntil, wait)
	c.collects.Add(1)
	c.reports.Add(int64(len(results.Reports)))
	return results, err
}

// fleetStore answers after fleetStoreDelay and has no changes of other hosts.
type fleetStore struct{ kv.Store }

func (s fleetStore) Commit(ctx context.Context, txn kv.Txn) (int64, error) {
	time.Sleep(fleetStoreDelay)
	return s.Store.Commit(ctx, txn)
}

func (s fleetStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (kv.Changes, error) {
	select {
	case <-ctx.Done():
		return kv.Changes{}, ctx.Err()
	case <-time.After(wait):
		return kv.Changes{AsOf: after}, nil
	}
}

// fleetDirectory lists the workers. It implements Directory.
type fleetDirectory struct{}

func (fleetDirectory) Follow(ctx context.Context, update func([]schedule.WorkerInfo)) {
	infos := make([]schedule.WorkerInfo, 0, fleetWorkers)
	for n := range fleetWorkers {
		infos = append(infos, schedule.WorkerInfo{
			ID: schedule.WorkerID(fmt.Sprintf("orebro-desk-%04d", n)), Address: fmt.Sprintf("10.9.%d.%d:7000", n/200, n%200),
			Datacentre: "dc", Pool: "pool", Labels: []string{"a", fmt.Sprint("r", n/8)},
			Capacity: structs.Resources{MilliCPU: 16000, MemoryBytes: 64 << 30},
		})
	}
	update(infos)
	<-ctx.Done()
}

// startRelays starts the process of the relays and returns the hosts.
func startRelays(b *testing.B) (listedHosts, *countingClient) {
	command := exec.Command(os.Args[0], "-test.run=^TestRelayProcess$")
	command.Env = append(os.Environ(), relaysOnlyVariable+"=1")
	stdin, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = stdin.Close()
		_ = command.Wait()
	})
	counts := countingClient{
		collects: &atomic.Int64{}, updates: &atomic.Int64{}, reports: &atomic.Int64{}, orders: &atomic.Int64{},
	}
	pool := peer.NewPool(peer.PoolConfig{})
	b.Cleanup(pool.Close)
	var hosts listedHosts
	for lines := bufio.NewScanner(stdout); len(hosts) < fleetRelays && lines.Scan(); {
		address, found := strings.CutPrefix(lines.Text(), "relay ")
		if !found {
			continue
		}
		client := counts
		client.Client = relaygrpc.Client{Conn: func() (grpc.ClientConnInterface, error) { return pool.Conn(address) }}
		hosts = append(hosts, RelayHost{
			Name: fmt.Sprint("host", len(hosts)), Datacentre: "dc", Cores: 0.8, LinkMbps: 200, Client: client,
		})
	}
	return hosts, &counts
}

// fleetJob returns a job of one step.
func fleetJob(name string, n int, step workload.Step) workload.Job {
	queue := workload.Queue{Name: "queue", Pool: "pool", MaxFailures: 3, Stretch: 2, TargetMs: 1000, CapacityGuarded: true}
	return workload.Job{
		ID: workload.JobID(fmt.Sprintf("%s0198f3c2-7a%07d", name, n)), Queue: queue, Steps: []workload.Step{step},
		AcceptedMs: time.Now().UnixMilli(), Input: strings.Repeat("input ", 30),
	}
}

// submit announces jobs until ctx ends.
func submit(ctx context.Context, o *Owner) {
	for n := range fleetServices {
		o.Announce(fleetJob("watch-", n, workload.Step{
			Tasks: serviceTasks, Size: structs.Resources{MilliCPU: 2000, MemoryBytes: 5 << 30}, Service: true,
			Image: fmt.Sprint("service", n%10), TailTargetMs: 50,
		}))
	}
	short, fillers := time.NewTicker(shortInterval), time.NewTicker(fillerInterval)
	defer short.Stop()
	defer fillers.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
		case <-short.C:
			o.Announce(fleetJob("short-", n, workload.Step{
				Tasks: shortTasks, Size: structs.Resources{MilliCPU: 2500, MemoryBytes: 5 << 30},
				EstimateMs: shortDuration.Milliseconds(),
			}))
		case <-fillers.C:
			o.Announce(fleetJob("filler-", n, workload.Step{
				Tasks: fillerTasks, Size: structs.Resources{MilliCPU: 1800, MemoryBytes: 3 << 30}, Filler: true,
				Image: fmt.Sprint("filler", n%18), EstimateMs: fillerDuration.Milliseconds(), Checkpoints: true,
			}))
		}
	}
}

// BenchmarkOwnerOfALargeFleet measures the processor time of an owner, without that of its relays and of the store, for each
// report that it applies, under a steady load. Run it with -benchtime 60000x, so that it lasts.
func BenchmarkOwnerOfALargeFleet(b *testing.B) {
	if b.N < fleetWorkers {
		return // of the runs that determine b.N
	}
	hosts, counts := startRelays(b)
	store := fleetStore{kvtest.NewStore()}
	view := term.NewView(eventlog.Discard())
	view.Reset(nil)
	candidate := term.NewCandidate(term.Config{
		Store: store, Self: term.Record{Host: "host", Incarnation: "1", Address: "host:1"}, Cores: 1, Log: eventlog.Discard(),
	}, view)
	ownership, err := candidate.Acquire(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer null.Close()
	lines := eventlog.NewAsyncWriter(eventlog.AsyncConfig{Out: null, Host: "host", Limit: 1 << 20, Scope: tally.NoopScope})
	defer lines.Close()
	o := NewOwner(Config{
		Host: "host", Store: store, Relays: hosts, Directory: fleetDirectory{}, TaskLease: 6 * time.Second,
		StopTime: 400 * time.Millisecond, EndedJobRetention: 2 * time.Minute,
		Log: eventlog.NewLogger(lines, log.InfoLevel, "host"), Scope: tally.NoopScope,
	}, ownership)
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	wg.Go(func() { o.Run(ctx) })
	time.Sleep(time.Second)
	wg.Go(func() { submit(ctx, o) })
	time.Sleep(fleetWarmUp)
	measureOwner(b, o, counts)
	cancel()
	wg.Wait()
}

// measureOwner reports the processor time of the process while the owner applies b.N reports.
func measureOwner(b *testing.B, o *Owner, counts *countingClient) {
	reports, collects, updates, orders := counts.reports.Load(), counts.collects.Load(), counts.updates.Load(), counts.orders.Load()
	started, used := time.Now(), processCPU()
	b.ResetTimer()
	for counts.reports.Load()-reports < int64(b.N) {
		time.Sleep(time.Millisecond)
	}
	b.StopTimer()
	took, cpu := time.Since(started), processCPU()-used
	reports, orders = counts.reports.Load()-reports, counts.orders.Load()-orders
	b.ReportMetric(float64(cpu.Microseconds())/float64(reports), "cpu-us/report")
	b.ReportMetric(cpu.Seconds()/took.Seconds(), "cores")
	b.ReportMetric(float64(reports)/took.Seconds(), "reports/s")
	b.ReportMetric(float64(orders)/took.Seconds(), "orders/s")
	b.ReportMetric(float64(counts.collects.Load()-collects)/took.Seconds(), "collects/s")
	b.ReportMetric(float64(counts.updates.Load()-updates)/took.Seconds(), "updates/s")
	o.mu.Lock()
	counted := o.scheduler.Counts(bootclock.Now())
	o.mu.Unlock()
	b.Logf("%d services, %d fillers, %d others, %d pending", counted.Services, counted.Fillers, counted.Others, counted.Pending)
}
