package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"fulmarcourse.example/core/structs"
)

// keyspace builds the store keys of one environment.
type keyspace struct{ root string }

func newKeyspace(environment string) keyspace {
	return keyspace{root: "/fulmarcourse/" + environment + "/"}
}

// jobs returns the key prefix of all job records.
func (k keyspace) jobs() string { return k.root + "jobs/" }

// job returns the key of one job record.
func (k keyspace) job(id structs.JobID) string { return k.jobs() + string(id) }

// id returns the job id of a record's key.
func (k keyspace) id(key string) structs.JobID {
	return structs.JobID(strings.TrimPrefix(key, k.jobs()))
}

// owner returns the key of a shard's owner record.
func (k keyspace) owner(shard structs.ShardID) string {
	return k.root + "control/shards/" + shard.String()
}

// owners returns the key prefix of all owner records.
func (k keyspace) owners() string { return k.root + "control/shards/" }

// lastOwners returns the key prefix of the records of the shards' last owners. Package ownership writes such a record
// with each claim and deletes it with a release.
func (k keyspace) lastOwners() string { return k.root + "lastowners/" }

func (k keyspace) lastOwner(shard structs.ShardID) string { return k.lastOwners() + shard.String() }

// idBytes is the length of an id derived from an idempotency key, equal to that of a UUID.
const idBytes = 16

// IDFor returns the id of the job that team submits under an idempotency key. The hash covers the length of the team
// name, so that different pairs of team and key never give the same input.
func IDFor(team structs.TeamName, key string) structs.JobID {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(team)) + ":" + string(team) + ":" + key))
	return structs.JobID(hex.EncodeToString(sum[:idBytes]))
}

// newID returns the id of a submission, derived from the idempotency key if there is one, else random.
func newID(spec structs.JobSpec) structs.JobID {
	if spec.Key != "" {
		return IDFor(spec.Team, spec.Key)
	}
	return structs.JobID(strings.ReplaceAll(uuid.NewString(), "-", ""))
}
