package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// DatacentreConfig describes the backend hosts of one data centre.
type DatacentreConfig struct {
	ID             structs.DatacentreID
	Racks          int
	WorkersPerRack int
	RunnersPerRack int
}

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	Datacentres     []DatacentreConfig
	Worker          WorkerConfig        // template; ID, Clock and History are set for each worker
	Runner          RunnerConfig        // template; ID, Seed, Clock, History and Colocated are set for each runner
	Service         structs.ServiceName // of all runners
	Colocate        bool                // the nth runner of a rack shares the host of its nth worker
	Store           StoreConfig
	HostListLag     time.Duration
	AdvanceInterval time.Duration // 20 ms when zero
	Seed            uint64
	Clock           func() time.Time // time.Now when nil
	// Address returns the address at which others reach a host, for example that of a proxy before addr.
	// It returns addr itself when nil.
	Address func(host structs.HostID, addr string) string
}

// defaultAdvanceInterval is the interval at which a platform advances the tasks of its workers.
const defaultAdvanceInterval = 20 * time.Millisecond

// Platform runs the fakes of a small platform on loopback addresses.
type Platform struct {
	History  *History
	Store    *Store
	HostList *HostList
	Workers  map[structs.HostID]*Worker
	Runners  map[structs.HostID]*Runner

	StoreURL    string
	HostListURL string // also serves HistoryPath, ControlPath and StatusPath

	cfg     PlatformConfig
	servers map[structs.HostID]*Server // of workers and runners
	infra   []*Server                  // of the store and the host list
	stop    chan struct{}
	tickers sync.WaitGroup
}

// NewPlatform starts all servers of a platform. The caller closes it.
func NewPlatform(cfg PlatformConfig) (*Platform, error) {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.AdvanceInterval == 0 {
		cfg.AdvanceInterval = defaultAdvanceInterval
	}
	if cfg.Address == nil {
		cfg.Address = func(_ structs.HostID, addr string) string { return addr }
	}
	if cfg.Store.Clock == nil {
		cfg.Store.Clock = cfg.Clock
	}
	history := NewHistory(cfg.Clock)
	p := &Platform{
		History: history, Store: NewStore(cfg.Store),
		HostList: NewHostList(HostListConfig{Lag: cfg.HostListLag, Clock: cfg.Clock, History: history}),
		Workers:  map[structs.HostID]*Worker{}, Runners: map[structs.HostID]*Runner{},
		cfg: cfg, servers: map[structs.HostID]*Server{}, stop: make(chan struct{}),
	}
	if err := p.start(); err != nil {
		p.Close()
		return nil, errors.Trace(err)
	}
	return p, nil
}

// Close stops all servers.
func (p *Platform) Close() {
	close(p.stop)
	p.tickers.Wait()
	for _, r := range p.Runners {
		r.Close()
	}
	for _, s := range p.servers {
		s.Close()
	}
	for _, s := range p.infra {
		s.Close()
	}
}

// Kill closes the server of a worker or runner, as when its host fails. The host list does not change.
func (p *Platform) Kill(id structs.HostID) {
	if s, ok := p.servers[id]; ok {
		s.Close()
	}
}

func (p *Platform) start() error {
	var err error
	if p.StoreURL, err = p.serve(p.Store); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/", p.HostList)
	mux.Handle("GET "+HistoryPath, p.History)
	mux.HandleFunc("POST "+ControlPath, p.serveControl)
	mux.HandleFunc("GET "+StatusPath, p.serveStatus)
	if p.HostListURL, err = p.serve(mux); err != nil {
		return err
	}
	for _, dc := range p.cfg.Datacentres {
		for rack := range dc.Racks {
			if err := p.startRack(dc, rack); err != nil {
				return err
			}
		}
	}
	p.HostList.ApplyPending()
	p.tickers.Add(1)
	go p.tick()
	return nil
}

func (p *Platform) serve(handler http.Handler) (string, error) {
	server, err := NewServer(handler)
	if err != nil {
		return "", err
	}
	p.infra = append(p.infra, server)
	return server.URL(), nil
}

// startRack starts the hosts of a rack: workers "<dc>-<rack>-worker-<n>" and runners "<dc>-<rack>-runner-<n>".
func (p *Platform) startRack(dc DatacentreConfig, rack int) error {
	name := fmt.Sprintf("%s-%d", dc.ID, rack)
	workers := make([]*Worker, dc.WorkersPerRack)
	for n := range dc.WorkersPerRack {
		host := structs.Host{
			ID: structs.HostID(fmt.Sprintf("%s-worker-%d", name, n)), Role: structs.RoleWorker,
			State: structs.HostLive, Datacentre: dc.ID, Rack: name, Capacity: p.cfg.Worker.Capacity,
		}
		if p.cfg.Colocate && n < dc.RunnersPerRack {
			host.Machine = machineName(name, n)
		}
		var err error
		if workers[n], err = p.startWorker(host); err != nil {
			return err
		}
	}
	for n := range dc.RunnersPerRack {
		host := structs.Host{
			ID: structs.HostID(fmt.Sprintf("%s-runner-%d", name, n)), Role: structs.RoleRunner,
			State: structs.HostLive, Datacentre: dc.ID, Rack: name, Service: p.cfg.Service,
		}
		var colocated *Worker
		if p.cfg.Colocate && n < len(workers) {
			colocated, host.Machine = workers[n], machineName(name, n)
		}
		if err := p.startRunner(host, colocated); err != nil {
			return err
		}
	}
	return nil
}

// machineName returns the name of the machine that the nth worker and the nth runner of a rack share.
func machineName(rack string, n int) string { return fmt.Sprintf("%s-machine-%d", rack, n) }

func (p *Platform) startWorker(host structs.Host) (*Worker, error) {
	cfg := p.cfg.Worker
	cfg.ID, cfg.Clock, cfg.History = host.ID, p.cfg.Clock, p.History
	worker := NewWorker(cfg)
	server, err := NewServer(worker)
	if err != nil {
		return nil, err
	}
	p.Workers[host.ID] = worker
	p.addHost(host, server)
	return worker, nil
}

func (p *Platform) startRunner(host structs.Host, colocated *Worker) error {
	cfg := p.cfg.Runner
	cfg.ID, cfg.Clock, cfg.History, cfg.Colocated = host.ID, p.cfg.Clock, p.History, colocated
	cfg.Seed = p.cfg.Seed + uint64(len(p.Runners))
	runner := NewRunner(cfg)
	server, err := runner.Listen()
	if err != nil {
		return err
	}
	p.Runners[host.ID] = runner
	host.Slots, host.MaxConns = runner.cfg.Slots, runner.cfg.MaxConns
	p.addHost(host, server)
	return nil
}

func (p *Platform) addHost(host structs.Host, server *Server) {
	p.servers[host.ID] = server
	host.Address = p.cfg.Address(host.ID, server.Addr())
	p.HostList.Put(host)
}

// tick advances the workers until the platform is closed.
func (p *Platform) tick() {
	defer p.tickers.Done()
	ticker := time.NewTicker(p.cfg.AdvanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			for _, w := range p.Workers {
				w.Advance()
			}
		}
	}
}
