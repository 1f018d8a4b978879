package fleet

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/standin"
)

// Config configures a Platform.
type Config struct {
	Seed         uint64
	Datacentres  []string
	Workers      int                             // spread over the data centres
	RunTime      func(task string) time.Duration // run time of a task; 0 for one that runs until it is stopped
	Requires     func(task string) Requirements  // what a task needs; nil if workers are to accept all starts
	ProxyAddress func(target string) string      // address of a proxy for the endpoint at target; nil for no proxies
	Limits       Limits                          // of the store
	ClockDrift   float64                         // largest share by which a worker's clock runs slow, for instance 0.02
	Uptime       time.Duration                   // for how long the first processes of workers have run when they are added
	MaxTaskLease time.Duration                   // longest lease that workers grant, on their own clocks; the constant MaxTaskLease if 0
}

// maxTaskLease returns the longest lease that workers grant.
func (c Config) maxTaskLease() time.Duration { return cmp.Or(c.MaxTaskLease, MaxTaskLease) }

// MaxClockDrift is the largest share by which the platform's protocol allows the clock of a worker to run slow.
const MaxClockDrift = 0.02

// Platform is a fake of the platform: a store, workers and the actions of an operator.
type Platform struct {
	Store       *Store
	Pool        string // of all workers
	QueuePrefix string // path prefix of the only queue
	QueueHost   string // host name of the only queue

	cfg     Config
	rnd     *rand.Rand // decides on the clocks of workers
	runTime func(string) time.Duration
	server  *standin.Server
	stop    chan struct{}

	mu        sync.Mutex // guards the fields below
	workers   []*Worker
	added     int         // workers so far
	endpoints []*Endpoint // of all workers, present and former
	history   []Run
}

// NewPlatform starts a platform with a configuration of one queue.
func NewPlatform(cfg Config) (*Platform, error) {
	p := &Platform{
		Store: NewStore(cfg.Seed), Pool: "pool", QueuePrefix: "/jobs/", QueueHost: "jobs.example", runTime: cfg.RunTime, stop: make(chan struct{}),
	}
	p.Store.SetLimits(cfg.Limits)
	server, err := standin.NewServer(p.Store)
	if err != nil {
		return nil, errors.Annotate(err, "store")
	}
	p.server = server
	p.Configure(1)
	if cfg.ProxyAddress == nil {
		cfg.ProxyAddress = func(target string) string { return target }
	}
	p.cfg = cfg
	p.rnd = rand.New(rand.NewPCG(cfg.Seed, 17))
	for range cfg.Workers {
		if _, err := p.AddWorker(); err != nil {
			p.Close()
			return nil, err
		}
	}
	go p.heartbeats()
	return p, nil
}

// AddWorker starts a further worker. It is called by one goroutine at a time.
func (p *Platform) AddWorker() (*Worker, error) {
	p.mu.Lock()
	n := p.added
	p.added++
	p.mu.Unlock()
	w := &Worker{
		clockRate: 1 - p.cfg.ClockDrift*p.rnd.Float64(), ID: fmt.Sprintf("i-%04d", n), id: fmt.Sprintf("i-%04d", n),
		kind: Kind{
			Datacentre: p.cfg.Datacentres[n%len(p.cfg.Datacentres)], Rack: fmt.Sprintf("r-%d", n/8), Pool: p.Pool, Labels: []string{"a"},
			Capacity: defaultCapacity,
		},
		rnd: rand.New(rand.NewPCG(p.cfg.Seed, uint64(n))), platform: p, changed: make(chan struct{}), stop: make(chan struct{}),
	}
	endpoint, err := p.newEndpoint()
	if err != nil {
		return nil, errors.Annotatef(err, "worker %s", w.ID)
	}
	w.startProcess(time.Now().Add(-p.cfg.Uptime))
	w.endpoint = endpoint
	endpoint.attach(w)
	go w.endDueTasks()
	p.mu.Lock()
	p.workers = append(p.workers, w)
	p.mu.Unlock()
	w.writeEntry()
	return w, nil
}

// Remove ends the runs of a worker without reporting them. The worker never returns, and its entries are removed after entryExpiration. It
// does nothing while the worker is down.
func (p *Platform) Remove(w *Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	w.endProcess()
	w.down = true
	w.endpoint.detach(w, false)
	close(w.stop)
	p.mu.Lock()
	p.workers = slices.DeleteFunc(p.workers, func(other *Worker) bool { return other == w })
	p.mu.Unlock()
	ids := []string{w.id}
	for _, former := range w.former {
		ids = append(ids, former.id)
	}
	time.AfterFunc(entryExpiration, func() {
		for _, id := range ids {
			p.Store.Delete("servers/" + id)
		}
	})
}

// heartbeats writes the entries of all responsive workers every second.
func (p *Platform) heartbeats() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			for _, w := range p.Workers() {
				w.mu.Lock()
				unresponsive := w.faults.Unresponsive
				w.mu.Unlock()
				if !unresponsive {
					w.writeEntry()
				}
				w.removeFormerEntries()
			}
		}
	}
}

// Configure writes a version of the configuration.
func (p *Platform) Configure(version int) {
	p.Store.Put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "queue", "host": p.QueueHost, "prefix": p.QueuePrefix, "service": p.Pool, "priority": 0, "maxAttempts": 3,
			"stretch": 2.0, "targetLatencyMs": 1000,
		}},
		"services": []map[string]any{{"name": p.Pool, "enforcesCapacity": true}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
}

// Evacuate takes a data centre out of service or, if out is false, puts it back into service.
func (p *Platform) Evacuate(datacentre string, out bool) {
	if out {
		p.Store.Put("op/evacuate/"+datacentre, struct{}{})
		return
	}
	p.Store.Delete("op/evacuate/" + datacentre)
}

// StoreAddress returns the address of the store, IP:port.
func (p *Platform) StoreAddress() string { return p.server.Addr() }

// Workers returns all workers of the platform.
func (p *Platform) Workers() []*Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.workers)
}

// requirements returns what a task needs.
func (p *Platform) requirements(task string) Requirements {
	if p.cfg.Requires == nil {
		return Requirements{}
	}
	return p.cfg.Requires(task)
}

// History returns a copy of all runs so far, in order of start.
func (p *Platform) History() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Run(nil), p.history...)
}

func (p *Platform) recordStart(r Run) (index int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, r)
	return len(p.history) - 1
}

func (p *Platform) recordEnd(index int, outcome string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history[index].Ended = time.Now()
	p.history[index].Outcome = outcome
}

// recordEndLost records that the run's worker will never get an acknowledgement of the end.
func (p *Platform) recordEndLost(index int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history[index].EndLost = true
}

// OverlappingRuns returns a description of each pair of runs of one task that overlap in time.
func (p *Platform) OverlappingRuns() []string {
	now := time.Now()
	byTask := map[string][]Run{}
	for _, r := range p.History() {
		if r.Ended.IsZero() {
			r.Ended = now
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	var found []string
	for task, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.Started.Before(b.Ended) && b.Started.Before(a.Ended) {
					found = append(found, fmt.Sprintf("%s: attempt %d on %s and attempt %d on %s", task, a.Attempt, a.Worker, b.Attempt, b.Worker))
				}
			}
		}
	}
	return found
}

// RunsAfterDone returns a description of each start of a task after one of its runs was done, except for runs whose end
// was lost (see Run.EndLost).
func (p *Platform) RunsAfterDone() []string {
	done := map[string]time.Time{}
	for _, r := range p.History() {
		if earlier, ended := done[r.Task]; r.Outcome == "done" && !r.EndLost && (!ended || r.Ended.Before(earlier)) {
			done[r.Task] = r.Ended
		}
	}
	var found []string
	for _, r := range p.History() {
		if at, ended := done[r.Task]; ended && r.Started.After(at) {
			found = append(found, fmt.Sprintf("%s: attempt %d on %s", r.Task, r.Attempt, r.Worker))
		}
	}
	return found
}

// RunsWithoutLabel returns a description of each start of a task on a process that does not have the label which the task needs.
func (p *Platform) RunsWithoutLabel() []string {
	var found []string
	for _, r := range p.History() {
		if label := p.requirements(r.Task).Label; label != "" && !slices.Contains(r.Labels, label) {
			found = append(found, fmt.Sprintf("%s: attempt %d needs %s, on %s with %v", r.Task, r.Attempt, label, r.Worker, r.Labels))
		}
	}
	return found
}

// Ports of entry hosts. They are the same on all hosts, as on the real platform. PeerPort and lastPort bound the port
// range in the settings; other entry hosts connect to PeerPort.
const (
	CallerPort    = 8161
	ReadinessPort = 8167
	PeerPort      = 7720
	lastPort      = 7735
)

// Settings returns the text of the settings file of an entry host of the platform that listens on ip. store is the address at which it
// reaches the store, IP:port.
func (p *Platform) Settings(host, datacentre, ip, store string) string {
	limits := p.cfg.Limits.withDefaults()
	lines := []string{
		"node=" + host, "zone=" + datacentre, "ip=" + ip,
		fmt.Sprintf("listen.front=%s:%d", ip, CallerPort), fmt.Sprintf("listen.ready=%s:%d", ip, ReadinessPort),
		fmt.Sprintf("portRange=%d,%d", PeerPort, lastPort), "limits.cpuShare=0.4", "limits.cores=1",
		"platform.address=" + store, fmt.Sprintf("platform.valueBytes=%d", limits.ValueBytes),
		fmt.Sprintf("platform.minTtlMs=%d", limits.MinTTL.Milliseconds()),
		fmt.Sprintf("bounds.holdMaxMs=%d", p.cfg.maxTaskLease().Milliseconds()), "bounds.contactMs=3000",
		fmt.Sprintf("bounds.stopMs=%d", maxStopTime.Milliseconds()), "bounds.status_s=120",
	}
	return strings.Join(lines, "\n") + "\n"
}

// Close stops the store, the workers and their servers.
func (p *Platform) Close() {
	close(p.stop)
	for _, w := range p.Workers() {
		close(w.stop)
	}
	p.mu.Lock()
	endpoints := p.endpoints
	p.mu.Unlock()
	for _, e := range endpoints {
		e.server.Close()
	}
	p.server.Close()
	p.Store.Close()
}
