package cluster

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/daemon"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/gozero"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// execVariable makes a test binary run as fulmard.
const execVariable = "FULMARD_TEST_EXEC"

// Main is called from TestMain of packages that use Start. In a re-executed test binary it runs fulmard.
func Main(m *testing.M) {
	if os.Getenv(execVariable) != "" {
		os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	gozero.Configure(eventlog.Discard())
	os.Exit(m.Run())
}

// Command returns a command that runs fulmard in a re-executed test binary, whose TestMain calls Main. An empty binary
// stands for the current one.
func Command(binary string, args ...string) *exec.Cmd {
	cmd := exec.Command(cmp.Or(binary, os.Args[0]), args...)
	cmd.Env = append(os.Environ(), execVariable+"=1")
	return cmd
}

// Datacentre describes one data centre of a cluster.
type Datacentre struct {
	ID             structs.DatacentreID
	EntryHosts     int
	Racks          int
	WorkersPerRack int
	RunnersPerRack int
}

// Config configures a cluster.
type Config struct {
	Datacentres []Datacentre
	Document    string // promoted before Start returns
	Service     structs.ServiceName
	Worker      standin.WorkerConfig
	Runner      standin.RunnerConfig
	Colocate    bool
	HostListLag time.Duration
	LinkDelay   time.Duration // one way between data centres, and between data centres and the platform
	Seed        uint64

	ShutdownTimeout time.Duration // of the entry hosts; defaultShutdownTimeout when zero

	Binary          string        // test binary that runs the entry hosts; the current one when empty
	NodeSettings    string        // further lines of the section [node]
	DirectBackends  bool          // entry hosts reach workers and runners without proxies, for high request rates
	AdvanceInterval time.Duration // interval at which tasks on workers advance; standin's default when zero
}

// Cluster is a running cluster. Entries are named "<dc>-entry-<n>".
type Cluster struct {
	Platform *standin.Platform

	t       testing.TB
	cfg     Config
	net     *network
	reader  *store.Client // not behind the proxies
	dir     string        // settings and logs of the entry hosts
	seeds   []string      // peer addresses in the settings of every entry host
	mu      sync.Mutex
	entries map[structs.HostID]*Entry
	order   []structs.HostID // ids of entries in order of creation
}

// Entry is one entry host.
type Entry struct {
	ID         structs.HostID
	Datacentre structs.DatacentreID
	HTTP       string // base URL for callers and operators
	source     string // IP address from which it connects
	listen     string // address at which it listens for peers
	advertised string // address at which peers reach it through the proxies
	log        string // path of the log file
	cmd        *exec.Cmd
	exited     chan struct{} // closed when cmd has ended
}

// Start starts a cluster and waits until every entry host is ready and every shard has an owner.
func Start(t testing.TB, cfg Config) *Cluster {
	t.Helper()
	c := &Cluster{t: t, cfg: cfg, dir: t.TempDir(), entries: map[structs.HostID]*Entry{}}
	c.net = newNetwork(c.linkDelay)
	t.Cleanup(c.close)
	c.startPlatform()
	c.prepareEntries()
	for _, id := range c.order {
		c.StartEntry(id)
	}
	c.promoteInitialDocument(cfg.Document)
	c.AwaitReady(c.order...)
	c.AwaitOwners()
	return c
}

func (c *Cluster) linkDelay(from, to Location) time.Duration {
	if from == to {
		return 0
	}
	return c.cfg.LinkDelay
}

func (c *Cluster) startPlatform() {
	cfg := standin.PlatformConfig{
		Worker:      c.cfg.Worker,
		Runner:      c.cfg.Runner,
		Service:     c.cfg.Service,
		Colocate:    c.cfg.Colocate,
		HostListLag: c.cfg.HostListLag,
		Seed:        c.cfg.Seed,
		Address:     c.exposeBackend,

		AdvanceInterval: c.cfg.AdvanceInterval,
	}
	for _, dc := range c.cfg.Datacentres {
		cfg.Datacentres = append(cfg.Datacentres, standin.DatacentreConfig{
			ID: dc.ID, Racks: dc.Racks, WorkersPerRack: dc.WorkersPerRack, RunnersPerRack: dc.RunnersPerRack,
		})
	}
	var err error
	c.Platform, err = standin.NewPlatform(cfg)
	c.check(err)
	c.reader = store.NewClient(store.Config{Endpoint: c.Platform.StoreURL})
}

// exposeBackend returns the address at which entry hosts reach a backend server, by default behind the proxies.
func (c *Cluster) exposeBackend(id structs.HostID, addr string) string {
	if c.cfg.DirectBackends {
		return addr
	}
	dc, _, _ := strings.Cut(string(id), "-")
	exposed, err := c.net.expose(string(id), Location(dc), addr)
	c.check(err)
	return exposed
}

// Ports of entry hosts. They are below the ephemeral port range, because an entry host also connects from its own
// address.
const (
	httpPort = 7480
	peerPort = 7400
)

// maxEntriesPerDatacentre bounds the entry hosts, because sourceAddress encodes them in the last byte of the address.
const maxEntriesPerDatacentre = 16

// sourceAddress returns the loopback address of an entry host. It differs between test processes, so that their
// ports do not conflict.
func sourceAddress(datacentre, entry int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid%200, pid/200%250, 1+datacentre*maxEntriesPerDatacentre+entry)
}

func (c *Cluster) prepareEntries() {
	for d, dc := range c.cfg.Datacentres {
		for i := range dc.EntryHosts {
			id := structs.HostID(fmt.Sprintf("%s-entry-%d", dc.ID, i))
			source := sourceAddress(d, i)
			listen := fmt.Sprintf("%s:%d", source, peerPort)
			advertised, err := c.net.expose(string(id), Location(dc.ID), listen)
			c.check(err)
			c.net.sources[netip.MustParseAddr(source)] = id
			c.entries[id] = &Entry{
				ID: id, Datacentre: dc.ID, source: source, listen: listen, advertised: advertised,
				HTTP: fmt.Sprintf("http://%s:%d", source, httpPort),
				log:  filepath.Join(c.dir, string(id)+".log"),
			}
			c.order = append(c.order, id)
			c.seeds = append(c.seeds, advertised)
		}
	}
}

const settingsTemplate = `[node]
host = %s
datacentre = %s
environment = production
trial_environment = trial
http_address = %s
peer_address = %s
peer_listen = %s
source_address = %s
%s

[store]
endpoint = http://%s

[hostlist]
endpoint = http://%s

[peers]
addresses = %s

[log]
level = info

[shutdown]
timeout = %s
`

// defaultShutdownTimeout is far above the duration of the requests in most tests.
const defaultShutdownTimeout = 20 * time.Second

// StartEntry starts the process of an entry host. After Kill, Restart also makes its address accept connections again.
func (c *Cluster) StartEntry(id structs.HostID) {
	c.t.Helper()
	e := c.Entry(id)
	store, err := c.net.exposeOnce("store", Platform, strings.TrimPrefix(c.Platform.StoreURL, "http://"))
	c.check(err)
	hosts, err := c.net.exposeOnce("hostlist", Platform, strings.TrimPrefix(c.Platform.HostListURL, "http://"))
	c.check(err)
	path := filepath.Join(c.dir, string(id)+".ini")
	text := fmt.Sprintf(settingsTemplate, e.ID, e.Datacentre, strings.TrimPrefix(e.HTTP, "http://"), e.advertised, e.listen,
		e.source, c.cfg.NodeSettings, store, hosts, strings.Join(c.seeds, ", "),
		cmp.Or(c.cfg.ShutdownTimeout, defaultShutdownTimeout))
	c.check(os.WriteFile(path, []byte(text), 0o600))
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.check(err)
	defer log.Close()
	cmd := Command(c.cfg.Binary, "-config", path)
	cmd.Stdout, cmd.Stderr = log, log
	c.check(cmd.Start())
	e.cmd, e.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait() // the exit status of a killed process is not an error
		close(exited)
	}(e.exited)
}

// exposeOnce is expose for an address that may already be exposed.
func (n *network) exposeOnce(name string, location Location, target string) (string, error) {
	n.mu.Lock()
	a, ok := n.acceptors[name]
	n.mu.Unlock()
	if ok {
		return a.address, nil
	}
	return n.expose(name, location, target)
}

// Entry returns an entry host.
func (c *Cluster) Entry(id structs.HostID) *Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[id]
	if !ok {
		c.t.Fatalf("no entry host %s", id)
	}
	return e
}

// Entries returns the ids of all entry hosts.
func (c *Cluster) Entries() []structs.HostID { return c.order }

// Kill ends the process of an entry host with SIGKILL. Its address then refuses connections, as on a host that is up
// but does not run the process.
func (c *Cluster) Kill(id structs.HostID) {
	c.signal(id, syscall.SIGKILL)
	<-c.Entry(id).exited
	c.net.refuseConnections(string(id))
}

// Restart starts a killed or stopped entry host again.
func (c *Cluster) Restart(id structs.HostID) {
	c.net.refuseConnections(string(id))
	c.check(c.net.acceptConnections(string(id)))
	c.StartEntry(id)
}

// Pause suspends the process of an entry host with SIGSTOP.
func (c *Cluster) Pause(id structs.HostID) { c.signal(id, syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (c *Cluster) Resume(id structs.HostID) { c.signal(id, syscall.SIGCONT) }

// Stop starts the graceful shutdown of an entry host with SIGTERM. The channel of Exited is closed when it is complete.
func (c *Cluster) Stop(id structs.HostID) { c.signal(id, syscall.SIGTERM) }

// Exited returns a channel that is closed when the process has ended.
func (e *Entry) Exited() <-chan struct{} { return e.exited }

// PID returns the process id of the latest process of an entry host.
func (e *Entry) PID() int { return e.cmd.Process.Pid }

// ExitCode returns the exit code of an ended process; -1 if a signal ended it.
func (e *Entry) ExitCode() int { return e.cmd.ProcessState.ExitCode() }

func (c *Cluster) signal(id structs.HostID, s syscall.Signal) {
	c.t.Helper()
	c.check(c.Entry(id).cmd.Process.Signal(s))
}

// CutLinks cuts every link for which cut returns true and heals all others. Names are host ids, "store" and
// "hostlist"; from is always an entry host.
func (c *Cluster) CutLinks(cut func(from, to string) bool) { c.net.setCut(cut) }

// Heal ends CutLinks.
func (c *Cluster) Heal() { c.net.setCut(func(string, string) bool { return false }) }

// IsolateDatacentre cuts a data centre off from the other data centres and from the platform.
func (c *Cluster) IsolateDatacentre(id structs.DatacentreID) {
	inside := func(name string) bool { return c.net.locationOf(name) == Location(id) }
	c.CutLinks(func(from, to string) bool { return inside(from) != inside(to) })
}

// CutStore cuts the given entry hosts off from the store and the host list.
func (c *Cluster) CutStore(ids ...structs.HostID) {
	cut := map[string]bool{}
	for _, id := range ids {
		cut[string(id)] = true
	}
	c.CutLinks(func(from, to string) bool { return cut[from] && (to == "store" || to == "hostlist") })
}

// locationOf is called with or without mu, because locations are added only before the first cut.
func (n *network) locationOf(name string) Location { return n.locations[name] }

func (c *Cluster) close() {
	c.Heal() // a failed test may leave links cut, and proxies do not close connections that wait for a cut link
	for _, id := range c.order {
		e := c.entries[id]
		if e.cmd == nil {
			continue
		}
		// Both signals fail if the process has ended. After a failed test, SIGQUIT
		// makes the process write a dump of all goroutines to its log.
		if c.t.Failed() {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Signal(syscall.SIGQUIT)
		} else {
			_ = e.cmd.Process.Signal(syscall.SIGKILL)
		}
		<-e.exited
	}
	c.net.close()
	if c.Platform != nil {
		c.Platform.Close()
	}
	if c.t.Failed() {
		c.saveLogs()
	}
}

// saveLogs copies the logs of a failed test to a directory that is kept after the test, and logs its name.
func (c *Cluster) saveLogs() {
	dir, err := os.MkdirTemp("", "fulmarcourse-logs-")
	if err != nil {
		c.t.Log(err)
		return
	}
	for _, id := range c.order {
		text, err := os.ReadFile(c.entries[id].log)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, string(id)+".log"), text, 0o600)
		}
		if err != nil {
			c.t.Log(err)
		}
	}
	c.t.Logf("logs of the entry hosts: %s", dir)
}

func (c *Cluster) check(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(errors.ErrorStack(err))
	}
}
