//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin"
)

// Figures of a small deployment, as the users' pages give them for flojel-sched.
const (
	heartbeat   = 1100 * time.Millisecond
	holdMax     = 10 * time.Second
	contact     = 3 * time.Second
	cancelBound = 3 * time.Second
	stopBound   = 400 * time.Millisecond
	finishBound = 14 * time.Second
	deadline    = 3 * time.Second
	leadTime    = 10 * time.Second // traffic starts 10 s after the machines do
)

var workerSize = size{CPU: 16000, MemMB: 64000}

// task describes how long a task works and what it takes. work is 0 for a task that lasts.
type task struct {
	work time.Duration
	size size
}

// route is a queue of the configuration.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"prefix"`
	Service         string  `json:"service"`
	Priority        int     `json:"priority"`
	MaxAttempts     int     `json:"maxAttempts"`
	Stretch         float64 `json:"stretch"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
}

// platform is a stand-in of the users' platform with the project's processes on it.
type platform struct {
	record  *record
	store   *store
	dir     string
	program string
	workers []*worker
	nodes   []*node
	machine machine
	links   []*link           // between the entry hosts, if linked
	views   []*standin.Server // of the store, one for each entry host, if linked
	linked  bool              // the entry hosts reach each other through links
	stopped chan struct{}

	mu    sync.Mutex      // guards the fields below
	tasks map[string]task // by job
	runs  []*run
}

// node is one entry host.
type node struct {
	name, ip, settings string
	store              string // address at which it reaches the store
	cmd                *exec.Cmd
	exited             chan struct{}
}

// machine is the size of an entry host, and bounds what a site sets for all of them.
type machine struct {
	cpuShare, linkMbps float64
	contact            time.Duration
}

// smallMachine is an entry host of flojel-sched.
var smallMachine = machine{cpuShare: 0.4, linkMbps: 1000, contact: contact}

const (
	frontPort = 8161
	readyPort = 8167
	firstPort = 7720
	lastPort  = 7735
)

func newPlatform(r *record, program string, seed uint64) (*platform, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore(r, seed)
	if err != nil {
		return nil, err
	}
	p := &platform{record: r, store: s, dir: dir, program: program, machine: smallMachine, stopped: make(chan struct{}), tasks: map[string]task{}}
	go p.heartbeats()
	go p.ticks()
	return p, nil
}

func (p *platform) heartbeats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-p.stopped:
			return
		case <-ticker.C:
			for _, w := range p.workers {
				w.writeEntry()
			}
		}
	}
}

func (p *platform) ticks() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-p.stopped:
			return
		case now := <-ticker.C:
			for _, w := range p.workers {
				w.tick(now)
			}
		}
	}
}

// addWorker adds a runner. It is called before the nodes start.
func (p *platform) addWorker(service, zone string, labels ...string) (*worker, error) {
	w := &worker{p: p, machine: len(p.workers), service: service, zone: zone, labels: labels, address: anyAddress}
	if err := w.begin(false); err != nil {
		return nil, err
	}
	p.workers = append(p.workers, w)
	return w, nil
}

// configure writes the operator's configuration.
func (p *platform) configure(version int, routes ...route) {
	services, seen := []map[string]any{}, map[string]bool{}
	for _, r := range routes {
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, map[string]any{"name": r.Service, "enforcesCapacity": true})
		}
	}
	p.store.inner.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services, "limits": map[string]any{"maxBodyBytes": 262144},
	})
}

func (p *platform) task(name string) task {
	job, _, _ := strings.Cut(name, ".")
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tasks[job]
}

func (p *platform) addRun(r *run) *run {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, r)
	return r
}

// runsOf returns copies of the runs of a job, in order of start.
func (p *platform) runsOf(job string) []run {
	for _, w := range p.workers {
		w.mu.Lock()
		defer w.mu.Unlock()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var runs []run
	for _, r := range p.runs {
		if r.job() == job {
			runs = append(runs, *r)
		}
	}
	return runs
}

// runningShare returns the share of the cores of all runners of a service that is in use.
func (p *platform) runningShare(service string) float64 {
	used, all := int64(0), int64(0)
	for _, w := range p.workers {
		w.mu.Lock()
		if w.service == service && w.up {
			used, all = used+w.used().CPU, all+workerSize.CPU
		}
		w.mu.Unlock()
	}
	return float64(used) / float64(max(all, 1))
}

// startNodes starts the entry hosts and waits until all are ready. Each has a loopback address of its own.
func (p *platform) startNodes(zones ...string) error {
	network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	ips := make([]string, len(zones))
	for n := range zones {
		ips[n] = fmt.Sprintf("%s.%d", network, n+1)
	}
	if p.linked {
		var err error
		if p.links, p.views, err = p.connectThroughLinks(ips); err != nil {
			return err
		}
	}
	for n, zone := range zones {
		node := &node{name: fmt.Sprintf("edge-%s-%d", zone, n), ip: ips[n], store: p.store.server.Addr()}
		if p.linked {
			node.store = p.views[n].Addr()
		}
		node.settings = filepath.Join(p.dir, node.name+".conf")
		if err := os.WriteFile(node.settings, []byte(p.settings(node, zone)), 0o600); err != nil {
			return err
		}
		p.nodes = append(p.nodes, node)
	}
	for _, node := range p.nodes {
		if err := p.start(node); err != nil {
			return err
		}
	}
	for _, node := range p.nodes {
		if err := p.awaitReady(node); err != nil {
			return err
		}
	}
	return nil
}

func (p *platform) settings(n *node, zone string) string {
	address := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
	return strings.Join([]string{
		"node=" + n.name, "role=scheduler", "machineClass=edge", "serves=edge", "ip=" + n.ip, "zone=" + zone, "region=svealand",
		"listen.front=" + address(frontPort), "listen.ready=" + address(readyPort),
		fmt.Sprintf("portRange=%d,%d", firstPort, lastPort), "bootstrap=true",
		fmt.Sprintf("limits.cpuShare=%g", p.machine.cpuShare), "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100",
		fmt.Sprintf("limits.linkMbps=%g", p.machine.linkMbps),
		"discovery=platform", "entry=vip", fmt.Sprintf("heartbeatMs=%d", heartbeat.Milliseconds()),
		"contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing",
		fmt.Sprintf("bounds.contactMs=%d", p.machine.contact.Milliseconds()), "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=6",
		"bounds.configApplyMs=2000", "bounds.recoveryS=12", "bounds.holdMaxMs=10000", "bounds.stopMs=400", "bounds.cancel_ms=3000",
		"bounds.visible_ms=3000", "bounds.finish_s=14", "bounds.status_s=120", "bounds.checkpointS=2", "bounds.restoreMs=100",
		"bounds.noticeMs=4500", "bounds.enforceFencing=false", "orders=call", "platform.address=" + n.store,
		"platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
		"platform.valueBytes=1048576", "platform.minTtlMs=1000", "",
	}, "\n")
}

func (p *platform) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(p.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.program, "-platform")
	cmd.Env = append(os.Environ(), "FULMARCOURSE_BOOT="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	p.record.line("process of %s started at %s", n.name, n.ip)
	go func() {
		err := cmd.Wait()
		p.record.line("process of %s has ended: %v", n.name, err)
		close(exited)
	}()
	return nil
}

func (p *platform) awaitReady(n *node) error {
	for range 200 {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/fulmarcourse/ready", n.ip, readyPort))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", n.name)
}

// close ends all processes and servers.
func (p *platform) close() {
	for _, n := range p.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	close(p.stopped)
	for _, w := range p.workers {
		w.mu.Lock()
		server := w.server
		w.mu.Unlock()
		_ = server.Close()
	}
	for _, l := range p.links {
		_ = l.listener.Close()
	}
	for _, v := range p.views {
		v.Close()
	}
	p.store.server.Close()
	p.store.inner.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	}
}

// step is a step of a job as clients send it.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	MemMB       int64  `json:"memMb"`
	EstimateMs  int64  `json:"estimateMs,omitempty"`
	After       []int  `json:"after,omitempty"`
	Requires    string `json:"requires,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	MayMiss     int    `json:"mayMiss,omitempty"`
}

// call sends a request to an entry host. Status 0 means that no response arrived within patience.
func (p *platform) call(n *node, method string, r route, id string, body any, patience time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	url := fmt.Sprintf("http://%s:%d%s%s", n.ip, frontPort, r.Prefix, id)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = r.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Fulmarcourse-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		var text []byte
		text, err = io.ReadAll(resp.Body)
		status, answer = resp.StatusCode, strings.TrimSpace(string(text))
	}
	if err != nil {
		status, answer = 0, "no response"
	}
	p.record.line("client: %s %s%s at %s: %d %s", method, r.Prefix, id, n.name, status, answer)
	return status, answer
}

// node returns the entry host that a request of a client reaches.
func (p *platform) node(n int) *node { return p.nodes[n%len(p.nodes)] }

// submit submits a job as a client does: after no response, a 502 or a 504, the same request follows at the next entry host; after
// a refusal, it follows a second later. It reports whether the job was accepted.
func (p *platform) submit(at int, r route, id string, t task, steps ...step) bool {
	p.mu.Lock()
	p.tasks[id] = t
	p.mu.Unlock()
	for attempt := range 5 {
		status, _ := p.call(p.node(at+attempt), http.MethodPost, r, id, map[string]any{"spec": "job " + id, "steps": steps}, deadline)
		if status == http.StatusOK {
			return true
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			time.Sleep(time.Second)
		}
	}
	return false
}

// state asks for the state of a job until one is answered, at most five times.
func (p *platform) state(at int, r route, id string) (status int, state string) {
	for attempt := range 5 {
		var answer string
		status, answer = p.call(p.node(at+attempt), http.MethodGet, r, id, nil, deadline)
		if status == http.StatusOK {
			var body struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(answer), &body)
			return status, body.State
		}
		if status == http.StatusGone {
			return status, ""
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status, ""
}

func jobID(rnd *rand.Rand) string { return fmt.Sprintf("%016x", rnd.Uint64()) }
