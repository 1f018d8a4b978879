package dispatch

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/ownerpb"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/peer"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/pkg/relay/relaygrpc"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

const (
	// addressX and addressY are addresses of entry hosts.
	addressX, addressY = "10.0.0.1:7000", "10.0.0.2:7000"
	// hostCapacity is the number of workers that an entry host polls, and fleetSize that of all workers.
	hostCapacity, fleetSize = minRelayCapacity, 2 * minRelayCapacity
	// reassignBound is the longest time until each worker is polled again: the relay that does not answer is lost, and one more call
	// and poll are made.
	reassignBound = relayLostAfter + collectWait + relayTimeout + pollWait
	// reportBound is the longest time between two reports of a worker that is polled.
	reportBound = pollWait + collectWait + relayTimeout
)

// entryHosts are entry hosts with relays that are called without a network. It implements Relays.
type entryHosts struct {
	t     *testing.T
	conns map[string]*grpc.ClientConn // by address
	local localRelay                  // of the owner's host

	mu         sync.Mutex // guards the fields below
	registered map[string]string
	listeners  map[string]*bufconn.Listener // by address
	owner      *Owner
	reportedAt map[schedule.WorkerID]time.Time // of the latest report that the owner has collected from the link of the worker
}

// newEntryHosts returns hosts without any process.
func newEntryHosts(t *testing.T) *entryHosts {
	h := &entryHosts{t: t, conns: map[string]*grpc.ClientConn{}, registered: map[string]string{},
		listeners: map[string]*bufconn.Listener{}, reportedAt: map[schedule.WorkerID]time.Time{}}
	h.local = localRelay{newRelay()}
	t.Cleanup(h.local.relay.Close)
	for _, address := range []string{addressX, addressY} {
		conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithContextDialer(h.dial),
			grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		h.conns[address] = conn
	}
	return h
}

// dial connects to the process that listens at an address.
func (h *entryHosts) dial(ctx context.Context, address string) (net.Conn, error) {
	h.mu.Lock()
	listener := h.listeners[address]
	h.mu.Unlock()
	if listener == nil {
		return nil, syscall.ECONNREFUSED
	}
	return listener.DialContext(ctx)
}

// start starts the process of a host at an address. The returned function ends it.
func (h *entryHosts) start(host, address string) (stop func()) {
	r := newRelay()
	server := peer.NewServer(peer.ServerConfig{Host: host, Register: func(s grpc.ServiceRegistrar) {
		ownerpb.RegisterRelayServer(s, relaygrpc.NewServer(func(int) *relay.Relay { return r }))
	}})
	listener := bufconn.Listen(1 << 20)
	go func() { _ = server.Serve(listener) }()
	h.mu.Lock()
	h.listeners[address] = listener
	h.mu.Unlock()
	h.conns[address].ResetConnectBackoff()
	var once sync.Once
	stop = func() {
		once.Do(func() {
			h.mu.Lock()
			if h.listeners[address] == listener {
				delete(h.listeners, address)
			}
			h.mu.Unlock()
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			_ = server.Stop(ended) // ends the calls in progress
			r.Close()
		})
	}
	h.t.Cleanup(stop)
	return stop
}

// register sets the address with which a host is registered.
func (h *entryHosts) register(host, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.registered[host] = address
}

// RelayHosts implements Relays. The owner's host is too small for all workers.
func (h *entryHosts) RelayHosts() []RelayHost {
	hosts := []RelayHost{{Name: "owner", Datacentre: "dc", Cores: 0.01, Local: true, Client: h.local}}
	h.mu.Lock()
	defer h.mu.Unlock()
	for host, address := range h.registered {
		client := relaygrpc.Client{Host: host, Conn: func() (grpc.ClientConnInterface, error) { return h.conns[address], nil }}
		hosts = append(hosts, RelayHost{Name: host, Datacentre: "dc", Cores: 0.01, Address: address, Client: recordingClient{client, h, host}})
	}
	return hosts
}

// runOwner runs the assignment of workers until the test ends.
func (h *entryHosts) runOwner() *Owner {
	o := NewOwner(Config{Host: "owner", Store: kvtest.NewStore(), Relays: h, Log: eventlog.Discard(), Scope: tally.NoopScope,
		TaskLease: 6 * time.Second}, confirmedOwnership(h.t))
	h.owner, o.loaded = o, true
	var infos []schedule.WorkerInfo
	for n := range fleetSize {
		infos = append(infos, schedule.WorkerInfo{ID: schedule.WorkerID(fmt.Sprint("w", n)), Datacentre: "dc",
			Capacity: structs.Resources{MilliCPU: 16000}})
	}
	o.setWorkers(infos)
	o.scheduler.KnownWorkersStored(infos)
	h.t.Cleanup(o.linkWG.Wait)
	poll.Background(h.t, o.assignLoop)
	return o
}

// awaitReports fails the test unless the owner gets a report of each worker within reassignBound, and then again and again.
func (h *entryHosts) awaitReports(event string) {
	h.t.Helper()
	const rounds = 3
	bound := reassignBound
	for range rounds {
		missing, since := fleetSize, time.Now()
		for missing > 0 && time.Since(since) < bound {
			time.Sleep(10 * time.Millisecond)
			missing = h.notReported(since)
		}
		if missing > 0 {
			h.t.Fatalf("%s: %d of %d workers are reported by no link within %v", event, missing, fleetSize, bound)
		}
		h.t.Logf("%s: all workers reported after %v", event, time.Since(since).Round(10*time.Millisecond))
		bound = reportBound
	}
}

// notReported returns the number of workers without a report since a time.
func (h *entryHosts) notReported(since time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	missing := fleetSize
	for _, at := range h.reportedAt {
		if at.After(since) {
			missing--
		}
	}
	return missing
}

// recordingClient records the reports of the workers that are assigned to its link.
type recordingClient struct {
	relaygrpc.Client
	hosts *entryHosts
	host  string
}

func (c recordingClient) Collect(ctx context.Context, partition int, term int64, leaseUntil, wait time.Duration) (relay.Results, error) {
	results, err := c.Client.Collect(ctx, partition, term, leaseUntil, wait)
	for _, report := range results.Reports {
		if l := c.hosts.owner.linkOfWorker(report.Worker); l != nil && l.host.Name == c.host {
			c.hosts.mu.Lock()
			c.hosts.reportedAt[report.Worker] = time.Now()
			c.hosts.mu.Unlock()
		}
	}
	return results, err
}

// newRelay returns a relay whose workers answer.
func newRelay() *relay.Relay {
	return relay.New(relay.Config{Workers: answeringWorkers{}, TaskLease: 6 * time.Second, Scope: tally.NoopScope})
}

// localRelay calls a relay without a connection. It implements RelayClient.
type localRelay struct{ relay *relay.Relay }

func (l localRelay) Update(_ context.Context, u relay.Update) error { return l.relay.Update(u) }

func (l localRelay) Collect(ctx context.Context, _ int, term int64, leaseUntil, wait time.Duration) (relay.Results, error) {
	return l.relay.Collect(ctx, term, leaseUntil, wait)
}

// answeringWorkers answers all polls after a short time. It implements relay.Workers.
type answeringWorkers struct{}

func (answeringWorkers) Poll(context.Context, relay.PollRequest) (relay.PollReply, error) {
	time.Sleep(20 * time.Millisecond)
	return relay.PollReply{ClockMs: time.Now().UnixMilli(), Report: schedule.Report{Incarnation: 1}}, nil
}

func (answeringWorkers) Send(context.Context, relay.Command) (schedule.Outcome, error) {
	return schedule.Accepted, nil
}

// Scenario: a host has started again at the address of another one, which is gone and still registered there when an owner opens its
// links; later the other one starts again elsewhere. Guards against two links to one relay, whose updates replace each other's workers:
// half of them are listed, sound and not polled for as long as both hosts are registered.
func TestHostAtTheAddressOfAnotherOneGetsOneLink(t *testing.T) {
	h := newEntryHosts(t)
	h.start("b", addressX)
	h.register("a", addressX)
	h.register("b", addressX)
	o := h.runOwner()
	h.awaitReports("b is at the address of a")
	h.start("a", addressY)
	h.register("a", addressY)
	h.awaitReports("a is back at another address")
	poll.Until(t, "there is a link to the address of each host", func() bool {
		a, b := o.linkTo("a"), o.linkTo("b")
		return a != nil && b != nil && a.host.Address == addressY && b.host.Address == addressX
	})
}

// Scenario: two hosts exchange their addresses under an owner with links to both, one of them later than its link lasts. Guards
// against a link that stays with the relay of the other host, beside the next one to that host.
func TestHostsThatExchangeAddressesKeepTheirWorkers(t *testing.T) {
	h := newEntryHosts(t)
	stops := []func(){h.start("a", addressX), h.start("b", addressY)}
	h.register("a", addressX)
	h.register("b", addressY)
	o := h.runOwner()
	h.awaitReports("before the exchange")
	for _, stop := range stops {
		stop()
	}
	h.start("b", addressX)
	h.register("b", addressX)
	h.awaitReports("b is at the address of a")
	time.Sleep(relayBackOff)
	h.awaitReports("b may be used again")
	h.start("a", addressY)
	h.register("a", addressY)
	h.awaitReports("a is at the address of b")
	poll.Until(t, "there is a link to the address of each host", func() bool {
		a, b := o.linkTo("a"), o.linkTo("b")
		return a != nil && b != nil && a.host.Address == addressY && b.host.Address == addressX
	})
}

// Scenario: another host, which is new, replaces the host of a relay at once and at its address. Guards against workers of that relay
// that are not polled while the former host is registered, or when its registration ends.
func TestWorkersOfAReplacedHostAreReported(t *testing.T) {
	h := newEntryHosts(t)
	stop := h.start("a", addressX)
	h.start("b", addressY)
	h.register("a", addressX)
	h.register("b", addressY)
	o := h.runOwner()
	h.awaitReports("before the replacement")
	stop()
	h.start("c", addressX)
	h.awaitReports("c is at the address of a")
	h.register("c", addressX)
	h.awaitReports("c is registered beside a")
	h.mu.Lock()
	delete(h.registered, "a")
	h.mu.Unlock()
	h.awaitReports("a is not registered any more")
	poll.Until(t, "there is a link to c, and none to a", func() bool { return o.linkTo("c") != nil && o.linkTo("a") == nil })
}

// useRecord records for how long workers that are listed as sound are not used.
type useRecord struct {
	since   map[schedule.WorkerID]time.Duration // boot time since which a worker has not been used
	longest time.Duration
}

// sample records which workers are used now.
func (r *useRecord) sample(o *Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := bootclock.Now()
	for _, info := range o.scheduler.Workers() {
		if o.scheduler.Use(now, info.ID) == schedule.Used {
			delete(r.since, info.ID)
			continue
		}
		if _, unused := r.since[info.ID]; !unused {
			r.since[info.ID] = now.Boot
		}
		r.longest = max(r.longest, now.Boot-r.since[info.ID])
	}
}

// Scenario: the hosts of one relay, or of all of them, are replaced at once by other hosts at the same addresses, which are registered
// a moment later, while the former ones still are. Guards against workers that are listed, sound and not used for as long as callers
// count as too long, because the owner waits for the end of a registration or of a back-off.
func TestWorkersOfReplacedHostsAreUsedAgainInTime(t *testing.T) {
	// registrationDelay is the time from the start of a host until the owner's list has its record: the write of the record and the
	// pause between two watches of the list.
	const registrationDelay = 1500 * time.Millisecond
	for name, replaced := range map[string]map[string]string{
		"one relay": {"c": addressX}, "all relays": {"c": addressX, "d": addressY},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newEntryHosts(t)
			stops := map[string]func(){addressX: h.start("a", addressX), addressY: h.start("b", addressY)}
			h.register("a", addressX)
			h.register("b", addressY)
			o := h.runOwner()
			h.awaitReports("before the replacement")
			for host, address := range replaced {
				stops[address]()
				h.start(host, address)
			}
			use := useRecord{since: map[schedule.WorkerID]time.Duration{}}
			replacedAt := time.Now()
			for time.Since(replacedAt) < registrationDelay+relayBackOff {
				use.sample(o)
				time.Sleep(10 * time.Millisecond)
				if time.Since(replacedAt) >= registrationDelay {
					for host, address := range replaced {
						h.register(host, address)
					}
				}
			}
			t.Logf("a worker was not used for %v", use.longest.Round(10*time.Millisecond))
			if use.longest >= schedule.UnusedAfter {
				t.Errorf("a worker was not used for %v, the limit is %v", use.longest, schedule.UnusedAfter)
			}
			if len(use.since) > 0 {
				t.Errorf("%d workers are not used %v after the replacement", len(use.since), time.Since(replacedAt))
			}
		})
	}
}
