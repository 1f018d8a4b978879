//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
)

// The deployment of the scripts: bounds and limits as in the settings that DEPLOY.md shows.
const (
	serviceName  = "flojel-desk"
	otherService = "flojel-studio" // no runner belongs to it, but in the case that says so
	queueHost    = "nony24.example"
	queuePrefix  = "/lohu930/"
	heartbeat    = 1100 * time.Millisecond
	holdMax      = 10 * time.Second
	stopTime     = 400 * time.Millisecond
	restartTime  = 500 * time.Millisecond // until the platform starts a process again that was killed
)

// program is what the deploy file runs on each entry host.
var program = []string{"target/fulmard", "-platform"}

// site is a small deployment: entry hosts as separate processes, and stand-ins of the store and of the runners.
type site struct {
	dir     string
	store   *fleet.Store
	server  *standin.Server
	runners []*runner
	hosts   []*entryHost
	record  *record
	client  *http.Client
	closed  atomic.Bool

	unguarded bool     // the runners start whatever they are told to
	services  []string // to which configurations have sent the route

	mu    sync.Mutex
	kinds map[string]taskKind // by job
}

// entryHost is one machine of the system.
type entryHost struct {
	site     *site
	name     string
	ip       string
	settings string

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	ending  bool // the script ends the process
}

func newSite(zones []string, hosts, runners int, capacity size, unguarded bool) (*site, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, store: fleet.NewStore(1), record: newRecord(), unguarded: unguarded, kinds: map[string]taskKind{},
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	endWithScript(s)
	if s.server, err = standin.NewServer(s.store); err != nil {
		return nil, err
	}
	s.configure(2, serviceName)
	for n := range runners {
		if err := s.addRunner(n, serviceName, zones[n%len(zones)], capacity); err != nil {
			return nil, err
		}
	}
	network := fmt.Sprintf("127.%d.%d", 2+rand.IntN(200), rand.IntN(250))
	for n := range hosts {
		h := &entryHost{site: s, name: fmt.Sprintf("edge-%s-%d", zones[n%len(zones)], n), ip: fmt.Sprintf("%s.%d", network, n+1)}
		h.settings = filepath.Join(dir, h.name+".conf")
		if err := os.WriteFile(h.settings, []byte(h.settingsText(zones, zones[n%len(zones)])), 0o600); err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *site) addRunner(n int, service, zone string, capacity size) error {
	r, err := newRunner(s, n, service, zone, capacity)
	if err == nil {
		s.runners = append(s.runners, r)
	}
	return err
}

// configure writes a version of the configuration, whose only route is sent to a service. The store's answer is the acknowledgement.
func (s *site) configure(version int, service string) {
	var services []map[string]any
	for _, name := range []string{serviceName, otherService} {
		services = append(services, map[string]any{"name": name, "enforcesCapacity": !s.unguarded})
	}
	s.store.Put("op/config", map[string]any{
		"version": version, "limits": map[string]any{"maxBodyBytes": 262144}, "services": services,
		"routes": []map[string]any{{"name": "r-lohu930", "host": queueHost, "prefix": queuePrefix, "service": service, "priority": 0,
			"maxAttempts": 3, "stretch": 2.0, "targetLatencyMs": 1000}},
	})
	s.services = append(s.services, service)
	s.record.event("config", "version %d: the route's service is %s", version, service)
}

func (h *entryHost) settingsText(zones []string, zone string) string {
	lines := []string{
		"node=" + h.name, "role=scheduler", "machineClass=edge", "serves=edge", "ip=" + h.ip, "zone=" + zone, "region=svealand",
		"listen.front=" + h.ip + ":8161", "listen.ready=" + h.ip + ":8167", "listen.control=" + h.ip + ":8166", "portRange=7720,7735",
		"bootstrap=true", "countsAsLoss=false", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100",
		"limits.linkMbps=1000.0", "discovery=platform", "entry=vip", fmt.Sprintf("heartbeatMs=%d", heartbeat.Milliseconds()),
		"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.configApplyMs=2000",
		"bounds.evacuateMs=5000", "bounds.recoveryS=12", fmt.Sprintf("bounds.holdMaxMs=%d", holdMax.Milliseconds()),
		fmt.Sprintf("bounds.stopMs=%d", stopTime.Milliseconds()), "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250",
		"bounds.finish_s=14", "bounds.status_s=120", "bounds.checkpointS=2", "orders=call", "platform.address=" + h.site.server.Addr(),
		"platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20", "platform.valueBytes=1048576",
		"platform.minTtlMs=1000",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"=svealand")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the host's process. One that ends by itself, or is killed, is started again after restartTime.
func (h *entryHost) start() error {
	log, err := os.OpenFile(filepath.Join(h.site.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "FULMARCOURSE_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	h.process, h.exited, h.ending = cmd.Process, make(chan struct{}), false
	exited := h.exited
	h.mu.Unlock()
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		ending := h.ending
		h.mu.Unlock()
		close(exited)
		if h.site.closing() {
			return
		}
		if !ending {
			h.site.record.event("exit", "%s ended by itself: %v", h.name, err)
		}
		time.Sleep(restartTime)
		if !h.site.closing() {
			h.site.record.event("start", "%s", h.name)
			if err := h.start(); err != nil {
				h.site.record.event("error", "%s: %v", h.name, err)
			}
		}
	}()
	return nil
}

// signal sends a signal to the host's process.
func (h *entryHost) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		h.ending = true
	}
	_ = h.process.Signal(sig) // it may have ended
	h.site.record.event("signal", "%v to %s", sig, h.name)
}

// ready reports whether the host says that it is ready.
func (h *entryHost) ready() bool {
	resp, err := h.site.client.Get("http://" + h.ip + ":8167/fulmarcourse/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *site) closing() bool { return s.closed.Load() }

// await waits until a condition holds, and reports whether it did in time.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (s *site) awaitReady() bool {
	return await(20*time.Second, func() bool {
		for _, h := range s.hosts {
			if !h.ready() {
				return false
			}
		}
		return s.owner() != nil
	})
}

// owner returns the host that acted last as the holder, as its record in the platform's store says; nil if there is none.
func (s *site) owner() *entryHost {
	for _, key := range s.store.Keys("fulmarcourse/owners/") {
		for _, h := range s.hosts {
			if strings.Contains(string(s.store.Value(key)), `"`+h.name+`"`) {
				return h
			}
		}
	}
	return nil
}

// endWithScript ends the processes of a site if the script is told to end.
func endWithScript(s *site) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-told
		s.close()
		os.Exit(couldntRun)
	}()
}

// close ends all processes that the script has started.
func (s *site) close() {
	if s.closed.Swap(true) {
		return
	}
	for _, h := range s.hosts {
		h.mu.Lock()
		p, exited := h.process, h.exited
		h.mu.Unlock()
		if p != nil {
			_ = p.Signal(syscall.SIGCONT)
			_ = p.Kill()
			<-exited
		}
	}
	for _, r := range s.runners {
		r.mu.Lock()
		server := r.server
		r.mu.Unlock()
		_ = server.Close()
	}
	s.server.Close()
	s.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// kindOf returns the kind of a task, whose name is ID.K.STEP.INDEX.
func (s *site) kindOf(task string) taskKind {
	id, _, _ := strings.Cut(task, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[id]
}

// call sends a client's request to a host and returns the status, 0 without an answer.
func (s *site) call(h *entryHost, method, id string, body any) (int, []byte) {
	var text string
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		text = string(data)
	}
	req, err := http.NewRequest(method, "http://"+h.ip+":8161"+queuePrefix+id, strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Fulmarcourse-Deadline-Ms", "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// submit hands in a job and repeats that at the next host until it is accepted, as clients do after no answer, a 502 or a 504, and after
// a refusal.
func (s *site) submit(n int, id string, kind taskKind, job map[string]any) bool {
	s.mu.Lock()
	s.kinds[id] = kind
	s.mu.Unlock()
	for try := range 30 {
		h := s.hosts[(n+try)%len(s.hosts)]
		status, _ := s.call(h, http.MethodPost, id, job)
		s.record.event("POST", "%s at %s: %d", id, h.name, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job as a host shows it, or the status of its answer.
func (s *site) state(h *entryHost, id string) string {
	status, body := s.call(h, http.MethodGet, id, nil)
	var reply struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &reply) != nil {
		return fmt.Sprint(status)
	}
	return reply.State
}
