package ownership

import (
	"encoding/json"
	"strconv"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// keys builds the store keys of one environment.
type keys struct {
	root string // ends with a slash
}

func newKeys(environment string) keys { return keys{root: "/fulmarcourse/" + environment + "/"} }

func (k keys) members() string { return k.root + "control/members/" }

func (k keys) member(host structs.HostID) string { return k.members() + string(host) }

func (k keys) shards(dc structs.DatacentreID) string {
	return k.root + "control/shards/" + string(dc) + "/"
}

func (k keys) shard(s structs.ShardID) string { return k.shards(s.Datacentre) + strconv.Itoa(s.Index) }

// lastOwner returns the key of the durable record of the last owner that did not release the shard. It is outside
// control/, which every host polls.
func (k keys) lastOwner(s structs.ShardID) string { return k.root + "lastowners/" + s.String() }

func decodeOwner(kv store.KeyValue) (structs.ShardOwnerRecord, error) {
	var record structs.ShardOwnerRecord
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		return record, errors.Annotatef(err, "owner record %s", kv.Key)
	}
	return record, nil
}

func decodeMember(kv store.KeyValue) (structs.MemberRecord, error) {
	var record structs.MemberRecord
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		return record, errors.Annotatef(err, "member record %s", kv.Key)
	}
	return record, nil
}

// mustJSON encodes v, a record of plain fields, for which encoding cannot fail. It panics if it does.
func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
