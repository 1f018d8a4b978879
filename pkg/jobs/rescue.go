package jobs

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/reconcile"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

const (
	// RescueInterval is the time between two reads of the owner records by one host.
	RescueInterval = time.Minute
	// RescueMoveInterval is the pause between two moves: at two store calls each, 40 calls/s.
	RescueMoveInterval = 50 * time.Millisecond
	// rescueTimeout bounds the reads of one round, and each move.
	rescueTimeout = 5 * time.Second
	// reasonShardLost is the reason of tasks whose attempt ended with the loss of the shard.
	reasonShardLost = "the shard had no owner for longer than its tasks could run"
)

// RescueConfig configures a Rescuer.
type RescueConfig struct {
	Service *Service
	// Horizon is the time without an owner after which no task of a shard can be running any more.
	Horizon time.Duration
	// Shards returns the shards that should have an owner.
	Shards func() []structs.ShardID
	// Responsible reports whether this host is the one among the live owners that moves the jobs of a shard. Two hosts that
	// both believe so do no harm, since each move is guarded by the record's revision.
	Responsible  func(structs.ShardID) bool
	MoveInterval time.Duration // pause between moves
}

// Rescuer moves the jobs of shards that have had no owner for longer than the horizon, because their data centre is
// lost. Every host follows the owner records, so that the time already waited does not end with one host.
//
// The last owner of a shard extends task leases at most until the horizon after the store confirmed its ownership.
// Its owner record disappears later than that confirmation, and is seen to be absent later still. A claim in between
// two reads is noticed by the record of the last owner, which each claim rewrites.
//
// Only the goroutine of Run uses a Rescuer.
type Rescuer struct {
	cfg    RescueConfig
	absent map[structs.ShardID]absentShard
	// emptied are the lost shards without jobs at store revision readTo. Later rounds read only changes since.
	emptied map[structs.ShardID]bool
	readTo  int64
}

// absentShard is a shard without an owner record.
type absentShard struct {
	since     time.Time // when a read first found this
	lastOwner int64     // revision of the record of the last owner, the same since then
	revision  int64     // store revision of the latest read
}

// NewRescuer returns a Rescuer that has seen nothing yet.
func NewRescuer(cfg RescueConfig) *Rescuer {
	return &Rescuer{cfg: cfg, absent: map[structs.ShardID]absentShard{}}
}

// Run looks for lost shards every RescueInterval until ctx ends.
func (r *Rescuer) Run(ctx context.Context) {
	ticker := time.NewTicker(RescueInterval)
	defer ticker.Stop()
	for {
		if _, err := r.Check(ctx); err != nil && ctx.Err() == nil {
			r.cfg.Service.cfg.Scope.Counter("rescue_errors").Inc(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Check reads the owner records once and moves the jobs of shards that are lost and fall to this host. It returns the
// number of jobs moved, and the first error; the next call goes on with the jobs that are left.
func (r *Rescuer) Check(ctx context.Context) (int, error) {
	lost, err := r.look(ctx)
	if err != nil {
		return 0, err
	}
	chosen := map[structs.ShardID]OwnerAbsence{}
	for _, from := range lost {
		if r.cfg.Responsible(from.Shard) {
			chosen[from.Shard] = from
		}
	}
	if len(chosen) == 0 {
		r.emptied = nil
		return 0, nil
	}
	return r.empty(ctx, chosen)
}

// look takes over the owner records and returns the shards that are lost. The records of the last owners are read
// first: a claim after that read is seen by the second read, or by its change of the record.
func (r *Rescuer) look(ctx context.Context) ([]OwnerAbsence, error) {
	s := r.cfg.Service
	ctx, cancel := context.WithTimeout(ctx, rescueTimeout)
	defer cancel()
	last, err := s.cfg.Store.Range(ctx, s.keys.lastOwners(), 0)
	if err != nil {
		return nil, errors.Annotate(err, "reading the last owners of shards")
	}
	owners, err := s.cfg.Store.Range(ctx, s.keys.owners(), 0)
	if err != nil {
		return nil, errors.Annotate(err, "reading the owners of shards")
	}
	lastOwner, owned := revisionsByKey(last.Entries), revisionsByKey(owners.Entries)
	now := s.cfg.Clock()
	seen := map[structs.ShardID]absentShard{}
	var lost []OwnerAbsence
	for _, shard := range r.cfg.Shards() {
		if owned[s.keys.owner(shard)] != 0 {
			continue
		}
		revision := lastOwner[s.keys.lastOwner(shard)]
		before, known := r.absent[shard]
		if !known || before.lastOwner != revision {
			before = absentShard{since: now, lastOwner: revision, revision: owners.Revision}
		}
		if now.Sub(before.since) > r.cfg.Horizon {
			lost = append(lost, OwnerAbsence{Shard: shard, LastOwnerRevision: revision, Revision: before.revision})
		}
		before.revision = owners.Revision
		seen[shard] = before
	}
	r.absent = seen
	return lost, nil
}

func revisionsByKey(entries []store.KeyValue) map[string]int64 {
	revisions := make(map[string]int64, len(entries))
	for _, kv := range entries {
		revisions[kv.Key] = kv.ModRevision
	}
	return revisions
}

// empty moves the jobs of lost shards.
func (r *Rescuer) empty(ctx context.Context, lost map[structs.ShardID]OwnerAbsence) (int, error) {
	loaded, err := r.read(ctx, lost)
	if err != nil {
		return 0, err
	}
	r.emptied = nil
	if len(loaded.Jobs) > 0 {
		r.cfg.Service.cfg.Log.Event(eventlog.JobsRescued).Int("shards", len(lost)).Int("jobs", len(loaded.Jobs)).Msg("")
	}
	moved := 0
	for _, stored := range loaded.Jobs {
		failed := r.move(ctx, stored.Record.ID, lost[stored.Record.Home])
		if ctx.Err() != nil {
			return moved, ctx.Err()
		}
		if failed == nil {
			moved++
		}
		err = firstError(err, failed)
		pause(ctx, r.cfg.MoveInterval, nil)
	}
	if err == nil {
		r.emptied, r.readTo = map[structs.ShardID]bool{}, loaded.Revision
		for shard := range lost {
			r.emptied[shard] = true
		}
	}
	return moved, err
}

// read returns the jobs of lost shards with one range read, of the changes only if the shards were empty before.
func (r *Rescuer) read(ctx context.Context, lost map[structs.ShardID]OwnerAbsence) (Loaded, error) {
	ctx, cancel := context.WithTimeout(ctx, rescueTimeout)
	defer cancel()
	since := r.readTo
	for shard := range lost {
		if !r.emptied[shard] {
			since = 0
		}
	}
	return r.cfg.Service.load(ctx, since+1, func(record *structs.JobRecord) bool {
		_, ok := lost[record.Home]
		return ok
	})
}

func (r *Rescuer) move(ctx context.Context, id structs.JobID, from OwnerAbsence) error {
	ctx, cancel := context.WithTimeout(ctx, rescueTimeout)
	defer cancel()
	_, err := r.cfg.Service.Rehome(ctx, id, from, r.settleTasks)
	return err
}

// settleTasks records that no attempt of a job runs any more. Attempts of a kind that is not idempotent, or no longer
// defined, may have done their work and are not repeated.
func (r *Rescuer) settleTasks(record *structs.JobRecord) {
	document, _, _ := r.cfg.Service.cfg.Documents.Document()
	traits := reconcile.Traits{Idempotent: document.Kinds[record.Spec.Kind].Idempotent, Cancelled: record.CancelRequested}
	for i := range record.Tasks {
		reconcile.ApplyAttemptLost(&record.Tasks[i], traits, true, reasonShardLost)
		if record.CancelRequested {
			reconcile.Cancel(&record.Tasks[i])
		}
	}
}
