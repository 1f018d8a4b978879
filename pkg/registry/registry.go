// Package registry maintains the list of live entry hosts in the store. Each host's record is stored under a lease.
package registry

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/mirror"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

const (
	// leaseTTL is how long a terminated host stays in the list. Hosts that call it detect the failure earlier.
	leaseTTL = 5 * time.Second
	// renewInterval allows for two lost renewals within leaseTTL.
	renewInterval = 1500 * time.Millisecond
	// maxRecordBytes bounds a record. Valid ones are far smaller.
	maxRecordBytes = 16 << 10
	// checkEvery is the number of renewals after which the record is read.
	checkEvery = 10
	// callTimeout bounds one call to the store. It is long enough for a slow store.
	callTimeout = time.Second
	// writeAttempts allows for an earlier record of this host and for a late write of it.
	writeAttempts = 3
	// watchWait limits the duration of one watch.
	watchWait = 5 * time.Second
	// watchPause batches changes that arrive close together into one watch.
	watchPause = time.Second
	// watchRetryDelay is the pause after a failed read or watch.
	watchRetryDelay = 200 * time.Millisecond
)

// Record is the stored record of an entry host.
type Record struct {
	Host        string               `json:"host"`
	Datacentre  structs.DatacentreID `json:"datacentre"`
	Address     string               `json:"address"`     // IP:port at which the host serves other entry hosts
	Incarnation string               `json:"incarnation"` // unique identifier of the process
	Cores       float64              `json:"cores"`       // processor cores that the host may use
	LinkMbps    float64              `json:"link_mbps"`   // bandwidth of the host's network link; 0 if unknown
}

// Config configures a Registry.
type Config struct {
	Store kv.Store
	Self  Record
	Log   *eventlog.Logger
}

// Registry registers this host and lists the registered hosts.
type Registry struct {
	cfg      Config
	revision int64 // last known store revision of this host's record, 0 if it does not exist; used by Run only
	renewals int   // of the lease, so far; used by Run only

	mu    sync.Mutex        // guards hosts; a leaf lock
	hosts map[string]Record // by store key
}

// New returns a registry with an empty list of hosts.
func New(cfg Config) *Registry { return &Registry{cfg: cfg, hosts: map[string]Record{}} }

// Run keeps this host registered until ctx ends and then removes its record.
func (r *Registry) Run(ctx context.Context) {
	var lease kv.LeaseID
	for ctx.Err() == nil {
		lease = r.refresh(ctx, lease)
		select {
		case <-ctx.Done():
		case <-time.After(renewInterval):
		}
	}
	r.remove(lease)
}

// remove deletes the record by revoking its lease. Lease 0 denotes keys without a lease and must not be revoked.
func (r *Registry) remove(lease kv.LeaseID) {
	if lease == 0 {
		return
	}
	call, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.cfg.Store.Revoke(call, lease); err != nil {
		r.cfg.Log.Event(eventlog.HostNotRegistered).Err(err).Msg("record not removed; it expires with its lease")
	}
}

// refresh renews the lease, or writes the record under a new lease if there is none or it has ended. It returns the
// current lease, or 0 if this host is not registered.
func (r *Registry) refresh(ctx context.Context, lease kv.LeaseID) kv.LeaseID {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease != 0 {
		if _, err := r.cfg.Store.KeepAlive(call, lease); !errors.Is(err, kv.ErrLeaseEnded) {
			r.checkRecord(call, lease)
			return lease // after a failure, the next refresh tries again
		}
	}
	lease, _, err := r.cfg.Store.Grant(call, leaseTTL)
	if err != nil {
		r.cfg.Log.Event(eventlog.HostNotRegistered).Err(err).Msg("")
		return 0
	}
	if err := r.writeRecord(call, lease); err != nil {
		r.cfg.Log.Event(eventlog.HostNotRegistered).Err(err).Msg("")
		r.remove(lease) // the next refresh grants another lease
		return 0
	}
	return lease
}

// checkRecord reads the record in one of checkEvery calls and writes it again if another writer has overwritten it: later owners would
// not list this host.
func (r *Registry) checkRecord(ctx context.Context, lease kv.LeaseID) {
	r.renewals++
	if r.renewals%checkEvery != 0 {
		return
	}
	key := statekeys.Host(r.cfg.Self.Host)
	item, found, err := r.cfg.Store.Get(ctx, key)
	if err != nil || (found && item.Lease == lease) {
		return
	}
	if err := r.writeRecord(ctx, lease); err != nil {
		r.cfg.Log.Event(eventlog.HostNotRegistered).Err(err).Msg("")
		return
	}
	r.cfg.Log.Event(eventlog.RecordReplaced).Str("key", key).Int64("revision", item.Revision).Msg("")
}

// writeRecord writes the record under a lease. The write requires that the record has not changed since this process last
// learned its revision, so that the store cannot carry it out late, after a later registration: the record would end with
// the earlier lease, which nobody renews. An earlier write of this process or of the previous one of this host is replaced.
func (r *Registry) writeRecord(ctx context.Context, lease kv.LeaseID) error {
	data, err := json.Marshal(r.cfg.Self)
	if err != nil {
		return errors.Trace(err)
	}
	key := statekeys.Host(r.cfg.Self.Host)
	for range writeAttempts {
		var revision int64
		revision, err = r.cfg.Store.Commit(ctx, kv.Txn{
			If:  []kv.Condition{{Key: key, Revision: r.revision}},
			Put: []kv.Put{{Key: key, Value: data, Lease: lease}},
		})
		var conflict *kv.Conflict
		if errors.As(err, &conflict) {
			r.revision = conflict.Revision(key)
			continue
		}
		if err == nil {
			r.revision = revision
		}
		break
	}
	return errors.Trace(err)
}

// Follow keeps the list of hosts up to date until ctx ends. Only owners need the list.
func (r *Registry) Follow(ctx context.Context) {
	mirror.New(mirror.Config{
		Store: kv.BoundValues(r.cfg.Store, maxRecordBytes), Prefix: statekeys.Hosts, Log: r.cfg.Log,
		Wait: watchWait, Pause: watchPause, Retry: watchRetryDelay,
		Reset: func(items []kv.Item) {
			r.mu.Lock()
			defer r.mu.Unlock()
			before := r.hosts
			r.hosts = make(map[string]Record, len(items))
			for _, item := range items {
				if last, listed := before[item.Key]; listed {
					r.hosts[item.Key] = last
				}
				r.addRecord(item)
			}
		},
		Apply: func(changes []kv.Change) {
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, change := range changes {
				if change.Deleted {
					delete(r.hosts, change.Item.Key)
				} else {
					r.addRecord(change.Item)
				}
			}
		},
	}).Run(ctx)
}

// addRecord adds or replaces the record of a host. If it cannot be decoded, the last one that could stays. r.mu is held.
func (r *Registry) addRecord(item kv.Item) {
	record, err := decodeRecord(item)
	if err != nil {
		r.cfg.Log.Event(eventlog.RecordUnreadable).Str("key", item.Key).Str("error", eventlog.Truncate(err.Error())).Msg("")
		return
	}
	r.hosts[item.Key] = record
}

// Limits of the figures of a host.
const (
	maxCores    = 1e5
	maxLinkMbps = 1e7
)

// decodeRecord decodes and validates the record of a host.
func decodeRecord(item kv.Item) (Record, error) {
	var record Record
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return Record{}, errors.Trace(err)
	}
	if item.Key != statekeys.Host(record.Host) || record.Host == "" {
		return Record{}, errors.NotValidf("host: %.40q", record.Host)
	}
	if address, err := netip.ParseAddrPort(record.Address); err != nil || address.Port() == 0 {
		return Record{}, errors.NotValidf("address: %.60q", record.Address)
	}
	if record.Cores < 0 || record.Cores > maxCores {
		return Record{}, errors.NotValidf("cores: %g", record.Cores)
	}
	if record.LinkMbps < 0 || record.LinkMbps > maxLinkMbps {
		return Record{}, errors.NotValidf("link_mbps: %g", record.LinkMbps)
	}
	return record, nil
}

// Hosts returns the records of the registered entry hosts.
func (r *Registry) Hosts() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make([]Record, 0, len(r.hosts))
	for _, record := range r.hosts {
		hosts = append(hosts, record)
	}
	return hosts
}
