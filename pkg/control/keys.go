package control

import (
	"strconv"
	"strings"

	"fulmarcourse.example/core/structs"
)

const keyRoot = "/fulmarcourse/"

// Parts of the control state below an environment's prefix.
const (
	partControl     = "control/"
	partDocument    = partControl + "document"
	partHistory     = partControl + "history/"
	partTried       = partControl + "tried/"
	partDatacentres = partControl + "datacentres/"
	partMembers     = partControl + "members/"
	partShards      = partControl + "shards/"
)

// keyspace builds the store keys of one environment.
type keyspace struct{ environment string }

func (l keyspace) prefix() string                { return keyRoot + l.environment + "/" }
func (l keyspace) key(part string) string        { return l.prefix() + part }
func (l keyspace) document() string              { return l.key(partDocument) }
func (l keyspace) history(v int64) string        { return l.key(partHistory + strconv.FormatInt(v, 10)) }
func (l keyspace) tried(d structs.Digest) string { return l.key(partTried + string(d)) }
func (l keyspace) datacentre(id structs.DatacentreID) string {
	return l.key(partDatacentres + string(id))
}

// part returns the key below the environment's prefix, and false for keys of other environments.
func (l keyspace) part(key string) (string, bool) { return strings.CutPrefix(key, l.prefix()) }

// isRelayed reports whether the entry is kept in memory and relayed to peers. History and tried documents are not.
func isRelayed(part string) bool {
	return part == partDocument || strings.HasPrefix(part, partDatacentres) || isLeased(part)
}

// isLeased reports whether the entry is attached to a store lease and is deleted when the lease ends.
func isLeased(part string) bool {
	return strings.HasPrefix(part, partMembers) || strings.HasPrefix(part, partShards)
}

// parseShard parses "<datacentre>/<index>".
func parseShard(text string) (structs.ShardID, bool) {
	dc, number, found := strings.Cut(text, "/")
	index, err := strconv.Atoi(number)
	if !found || dc == "" || err != nil || index < 0 {
		return structs.ShardID{}, false
	}
	return structs.ShardID{Datacentre: structs.DatacentreID(dc), Index: index}, true
}
