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
	// RescueInterval is the time between two checks of the owner records by one host.
	RescueInterval = time.Minute
	// RescueMoveInterval is the pause between two moves. With two store calls per move it limits the load to 40
	// calls/s.
	RescueMoveInterval = 50 * time.Millisecond
	// rescueTimeout limits each read step of a check, and each move.
	rescueTimeout = 5 * time.Second
	// reasonShardLost is the recorded reason of tasks whose attempts were lost with their shard.
	reasonShardLost = "the shard had no owner for longer than its tasks could run"
)

// RescueConfig configures a Rescuer.
type RescueConfig struct {
	Service *Service
	// Horizon is the time without an owner after which no task of a shard can still be running.
	Horizon time.Duration
	// Shards returns the shards that should have an owner.
	Shards func() []structs.ShardID
	// Responsible reports whether this host, among the live owners, has to move the jobs of a shard. If it is true on
	// two hosts, no job moves twice, since each move compares the record's revision.
	Responsible  func(structs.ShardID) bool
	MoveInterval time.Duration // pause between two moves
}

// Rescuer moves the jobs of shards that have had no owner for longer than the horizon, because their data centre is
// lost. Every host monitors the owner records, so that the wait does not start again when one host fails.
//
// The last owner of a shard extends task leases at most until the horizon after the store last confirmed its
// ownership. Its owner record disappears after that confirmation, so the horizon after the first read that finds the
// record absent ends later than these leases. A claim between two reads is detected by the record of the last owner,
// which each claim rewrites.
//
// A Rescuer is not safe for concurrent use; only the goroutine of Run uses it.
type Rescuer struct {
	cfg       RescueConfig
	ownerless map[structs.ShardID]ownerlessShard
	// emptied has the lost shards without jobs at store revision emptiedRevision. Later checks read only changes
	// since.
	emptied         map[structs.ShardID]bool
	emptiedRevision int64
}

// ownerlessShard is the state of a shard without an owner record.
type ownerlessShard struct {
	since             time.Time // when a read first found no owner and this lastOwnerRevision
	lastOwnerRevision int64     // revision of the record of the last owner; 0 if absent
	revision          int64     // store revision of the latest read
}

// NewRescuer returns a Rescuer that has not read the owner records yet.
func NewRescuer(cfg RescueConfig) *Rescuer {
	return &Rescuer{cfg: cfg, ownerless: map[structs.ShardID]ownerlessShard{}}
}

// Run calls Check every RescueInterval until ctx ends.
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

// Check reads the owner records once and moves the jobs of the lost shards for which this host is responsible. It
// returns the number of jobs moved and the first error. The next call continues with the remaining jobs.
func (r *Rescuer) Check(ctx context.Context) (int, error) {
	lost, err := r.findLostShards(ctx)
	if err != nil {
		return 0, err
	}
	assigned := map[structs.ShardID]OwnerAbsence{}
	for _, from := range lost {
		if r.cfg.Responsible(from.Shard) {
			assigned[from.Shard] = from
		}
	}
	if len(assigned) == 0 {
		r.emptied = nil
		return 0, nil
	}
	return r.moveJobs(ctx, assigned)
}

// findLostShards reads the owner records, updates ownerless and returns the shards that are lost. The records of the
// last owners are read first: a claim after that read is detected by the second read, or by a changed revision in a
// later call.
func (r *Rescuer) findLostShards(ctx context.Context) ([]OwnerAbsence, error) {
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
	ownerless := map[structs.ShardID]ownerlessShard{}
	var lost []OwnerAbsence
	for _, shard := range r.cfg.Shards() {
		if owned[s.keys.owner(shard)] != 0 {
			continue
		}
		revision := lastOwner[s.keys.lastOwner(shard)]
		absence, known := r.ownerless[shard]
		if !known || absence.lastOwnerRevision != revision {
			absence = ownerlessShard{since: now, lastOwnerRevision: revision, revision: owners.Revision}
		}
		if now.Sub(absence.since) > r.cfg.Horizon {
			lost = append(lost, OwnerAbsence{Shard: shard, LastOwnerRevision: revision, Revision: absence.revision})
		}
		absence.revision = owners.Revision
		ownerless[shard] = absence
	}
	r.ownerless = ownerless
	return lost, nil
}

func revisionsByKey(entries []store.KeyValue) map[string]int64 {
	revisions := make(map[string]int64, len(entries))
	for _, kv := range entries {
		revisions[kv.Key] = kv.ModRevision
	}
	return revisions
}

// moveJobs moves the jobs of lost shards. It returns the number of jobs moved and the first error.
func (r *Rescuer) moveJobs(ctx context.Context, lost map[structs.ShardID]OwnerAbsence) (int, error) {
	loaded, err := r.readJobs(ctx, lost)
	if err != nil {
		return 0, err
	}
	r.emptied = nil
	if len(loaded.Jobs) > 0 {
		r.cfg.Service.cfg.Log.Event(eventlog.JobsRescued).Int("shards", len(lost)).Int("jobs", len(loaded.Jobs)).Msg("")
	}
	moved := 0
	for _, stored := range loaded.Jobs {
		moveErr := r.moveJob(ctx, stored.Record.ID, lost[stored.Record.Home])
		if ctx.Err() != nil {
			return moved, ctx.Err()
		}
		if moveErr == nil {
			moved++
		}
		err = firstError(err, moveErr)
		pause(ctx, r.cfg.MoveInterval, nil)
	}
	if err == nil {
		r.emptied, r.emptiedRevision = map[structs.ShardID]bool{}, loaded.Revision
		for shard := range lost {
			r.emptied[shard] = true
		}
	}
	return moved, err
}

// readJobs returns the jobs of lost shards with one range read. It reads only changes if all these shards were empty
// before.
func (r *Rescuer) readJobs(ctx context.Context, lost map[structs.ShardID]OwnerAbsence) (Loaded, error) {
	ctx, cancel := context.WithTimeout(ctx, rescueTimeout)
	defer cancel()
	since := r.emptiedRevision
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

func (r *Rescuer) moveJob(ctx context.Context, id structs.JobID, from OwnerAbsence) error {
	ctx, cancel := context.WithTimeout(ctx, rescueTimeout)
	defer cancel()
	_, err := r.cfg.Service.Rehome(ctx, id, from, r.recordLostAttempts)
	return err
}

// recordLostAttempts records that no attempt of a job is running. Attempts of a kind that is not idempotent, or no
// longer defined, may have had effects and are not repeated.
func (r *Rescuer) recordLostAttempts(record *structs.JobRecord) {
	document, _, _ := r.cfg.Service.cfg.Documents.Document()
	traits := reconcile.Traits{Idempotent: document.Kinds[record.Spec.Kind].Idempotent, Cancelled: record.CancelRequested}
	for i := range record.Tasks {
		reconcile.ApplyAttemptLost(&record.Tasks[i], traits, true, reasonShardLost)
		if record.CancelRequested {
			reconcile.Cancel(&record.Tasks[i])
		}
	}
}
