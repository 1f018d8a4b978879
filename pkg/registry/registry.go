// Package registry keeps the list of live entry hosts in the store, each under a lease.
package registry

import (
	"context"
	"encoding/json"
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
	// ttl is how long a host that is gone stays in the list. Whoever calls it notices sooner.
	ttl = 5 * time.Second
	// renewEvery leaves room for two lost renewals within ttl.
	renewEvery = 1500 * time.Millisecond
	// callTimeout bounds one call of the store. A slow store answers within it.
	callTimeout = time.Second
	// watchWait bounds a watch; watchPause lets changes that come together be fetched together.
	watchWait  = 5 * time.Second
	watchPause = time.Second
	watchRetry = 200 * time.Millisecond
)

// Record is what an entry host says of itself.
type Record struct {
	Host        string               `json:"host"`
	Datacentre  structs.DatacentreID `json:"datacentre"`
	Address     string               `json:"address"` // IP:port at which it answers entry hosts
	Incarnation string               `json:"incarnation"`
	Cores       float64              `json:"cores"` // processor time that it may use
}

// Config configures a Registry.
type Config struct {
	Store kv.Store
	Self  Record
	Log   *eventlog.Logger
}

// Registry enters this host and knows the others.
type Registry struct {
	cfg Config

	mu    sync.Mutex // guards hosts; a leaf
	hosts map[string]Record
}

// New returns a registry that knows no host yet.
func New(cfg Config) *Registry { return &Registry{cfg: cfg, hosts: map[string]Record{}} }

// Run keeps this host registered until ctx ends, and then removes it.
func (r *Registry) Run(ctx context.Context) {
	var lease kv.LeaseID
	for ctx.Err() == nil {
		lease = r.refresh(ctx, lease)
		select {
		case <-ctx.Done():
		case <-time.After(renewEvery):
		}
	}
	r.remove(lease)
}

// remove deletes the record with its lease. Lease 0 is the mark of keys without a lease and must not be ended.
func (r *Registry) remove(lease kv.LeaseID) {
	if lease == 0 {
		return
	}
	call, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.cfg.Store.Revoke(call, lease); err != nil {
		r.cfg.Log.Event(eventlog.HostNotRegistered).Err(err).Msg("the record ends with its lease")
	}
}

// refresh renews the lease, or writes the record under a new one.
func (r *Registry) refresh(ctx context.Context, lease kv.LeaseID) kv.LeaseID {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease != 0 {
		if _, err := r.cfg.Store.KeepAlive(call, lease); !errors.Is(err, kv.ErrLeaseEnded) {
			return lease // a failed renewal is repeated with the next one
		}
	}
	lease, _, err := r.cfg.Store.Grant(call, ttl)
	if err == nil {
		err = r.write(call, lease)
	}
	if err != nil {
		r.cfg.Log.Event(eventlog.HostNotRegistered).Err(err).Msg("")
		return 0
	}
	return lease
}

func (r *Registry) write(ctx context.Context, lease kv.LeaseID) error {
	data, err := json.Marshal(r.cfg.Self)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = r.cfg.Store.Commit(ctx, kv.Txn{
		Put: []kv.Put{{Key: statekeys.Host(r.cfg.Self.Host), Value: data, Lease: lease}},
	})
	return errors.Trace(err)
}

// Follow keeps the list up to date until ctx ends. Only owners need it.
func (r *Registry) Follow(ctx context.Context) {
	mirror.New(mirror.Config{
		Store: r.cfg.Store, Prefix: statekeys.Hosts, Log: r.cfg.Log,
		Wait: watchWait, Pause: watchPause, Retry: watchRetry,
		Reset: func(items []kv.Item) {
			r.mu.Lock()
			defer r.mu.Unlock()
			clear(r.hosts)
			for _, item := range items {
				r.take(item)
			}
		},
		Apply: func(changes []kv.Change) {
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, change := range changes {
				if change.Deleted {
					delete(r.hosts, change.Item.Key)
				} else {
					r.take(change.Item)
				}
			}
		},
	}).Run(ctx)
}

// take enters a record. r.mu is held.
func (r *Registry) take(item kv.Item) {
	var record Record
	if err := json.Unmarshal(item.Value, &record); err != nil {
		r.cfg.Log.Event(eventlog.RecordUnreadable).Str("key", item.Key).Err(err).Msg("")
		return
	}
	r.hosts[item.Key] = record
}

// Hosts returns the entry hosts that are registered.
func (r *Registry) Hosts() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make([]Record, 0, len(r.hosts))
	for _, record := range r.hosts {
		hosts = append(hosts, record)
	}
	return hosts
}
