package control

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/document"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// errDocumentRejected means that a stored document was not put in effect.
const errDocumentRejected = errors.ConstError("document not put in effect")

// entry is one stored value of the relayed control state.
type entry struct {
	value  []byte
	create int64 // create revision
	mod    int64 // revision of the last change
}

// datacentreEntry is the state of a data centre with its revision and the local time at which this process received it.
type datacentreEntry struct {
	record structs.DatacentreRecord
	mod    int64
	seenAt time.Time
}

// state is the control state of one environment. Service.mu guards it.
//
// Invariants: every write of a relayed entry at or before confirmation.Revision is in entries or was replaced or
// deleted later; the document version never decreases; an entry never returns to an earlier revision.
type state struct {
	entries      map[string]entry // by part
	confirmation Confirmation
	// fullRevision is the revision of the latest full read. An entry changed at or before it that is not in
	// entries was deleted.
	fullRevision int64
	// changedRevision is the revision at or before which the latest change of entries was made.
	changedRevision int64

	document    structs.Document
	record      structs.DocumentRecord // Version 0 when no document is known
	datacentres map[structs.DatacentreID]datacentreEntry
	owners      map[structs.ShardID]Ownership
	members     map[structs.HostID]structs.MemberRecord
}

func newState() *state {
	return &state{
		entries:     map[string]entry{},
		datacentres: map[structs.DatacentreID]datacentreEntry{},
		owners:      map[structs.ShardID]Ownership{},
		members:     map[structs.HostID]structs.MemberRecord{},
	}
}

// confirm records that the state is complete up to revision and at least as new as readAt. Neither value ever
// decreases: a state at a later revision contains everything that an earlier confirmation covered.
func (st *state) confirm(revision int64, readAt time.Time) {
	st.confirmation.Revision = max(st.confirmation.Revision, revision)
	if readAt.After(st.confirmation.ReadAt) {
		st.confirmation.ReadAt = readAt
	}
}

// put stores an entry if it is newer than the known one. It reports whether the state changed; an error means that the
// entry was rejected.
func (st *state) put(part string, e entry, now time.Time) (bool, error) {
	old, known := st.entries[part]
	if known && old.mod >= e.mod {
		return false, nil
	}
	if !known && isLeased(part) && e.mod <= st.fullRevision {
		return false, nil // deleted before the latest full read
	}
	if err := st.update(part, e, now); err != nil {
		return false, errors.Annotatef(err, "entry %q at revision %d", part, e.mod)
	}
	st.entries[part] = e
	st.changedRevision = max(st.changedRevision, e.mod)
	return true, nil
}

// update decodes one entry and replaces the document, data centre, member or owner that it contains. It returns an
// error if the entry is rejected.
func (st *state) update(part string, e entry, now time.Time) error {
	switch {
	case part == partDocument:
		return st.updateDocument(e.value)
	case strings.HasPrefix(part, partDatacentres):
		return st.updateDatacentre(strings.TrimPrefix(part, partDatacentres), e, now)
	case strings.HasPrefix(part, partMembers):
		var member structs.MemberRecord
		if err := json.Unmarshal(e.value, &member); err != nil {
			return errors.Trace(err)
		}
		st.members[structs.HostID(strings.TrimPrefix(part, partMembers))] = member
	case strings.HasPrefix(part, partShards):
		shard, ok := parseShard(strings.TrimPrefix(part, partShards))
		if !ok {
			return errors.New("shard key is not <datacentre>/<index>")
		}
		var owner structs.ShardOwnerRecord
		if err := json.Unmarshal(e.value, &owner); err != nil {
			return errors.Trace(err)
		}
		st.owners[shard] = Ownership{Record: owner, Epoch: structs.Epoch(e.create)}
	}
	return nil
}

// updateDatacentre replaces the state of a data centre if the record is valid.
func (st *state) updateDatacentre(id string, e entry, now time.Time) error {
	var record structs.DatacentreRecord
	if err := json.Unmarshal(e.value, &record); err != nil {
		return errors.Trace(err)
	}
	if record.State != structs.DatacentreIn && record.State != structs.DatacentreOut {
		return errors.Errorf("unknown state %q", record.State)
	}
	st.datacentres[structs.DatacentreID(id)] = datacentreEntry{record: record, mod: e.mod, seenAt: now}
	return nil
}

// updateDocument puts a stored document in effect if it is valid and its version is higher than the one in effect.
func (st *state) updateDocument(value []byte) error {
	var record structs.DocumentRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return errors.WithType(errors.Trace(err), errDocumentRejected)
	}
	if record.Version == st.record.Version && record.Digest == st.record.Digest {
		return nil // rewritten without a change
	}
	if record.Version <= st.record.Version {
		return errors.WithType(errors.Errorf("version %d is not above version %d in effect",
			record.Version, st.record.Version), errDocumentRejected)
	}
	if got := document.Digest([]byte(record.Text)); got != record.Digest {
		return errors.WithType(errors.Errorf("version %d has digest %s, its text has %s",
			record.Version, record.Digest, got), errDocumentRejected)
	}
	parsed, findings := document.Parse("document", []byte(record.Text))
	if len(findings) > 0 {
		return errors.WithType(errors.Annotatef(findings, "version %d has findings", record.Version), errDocumentRejected)
	}
	st.document, st.record = parsed, record
	return nil
}

// removeAbsent removes the entries with the prefix that a full read at revision did not return. Only entries under a
// store lease are ever deleted. It reports whether the state changed.
func (st *state) removeAbsent(prefix string, present map[string]bool, revision int64) bool {
	changed := false
	for part, e := range st.entries {
		if !strings.HasPrefix(part, prefix) || !isLeased(part) || present[part] || e.mod > revision {
			continue
		}
		delete(st.entries, part)
		delete(st.members, structs.HostID(strings.TrimPrefix(part, partMembers)))
		if shard, ok := parseShard(strings.TrimPrefix(part, partShards)); ok {
			delete(st.owners, shard)
		}
		st.changedRevision = max(st.changedRevision, revision)
		changed = true
	}
	return changed
}

func (st *state) sortedMembers() []structs.MemberRecord {
	members := make([]structs.MemberRecord, 0, len(st.members))
	for _, member := range st.members {
		members = append(members, member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Host < members[j].Host })
	return members
}

func toEntry(kv store.KeyValue) entry {
	return entry{value: kv.Value, create: kv.CreateRevision, mod: kv.ModRevision}
}
