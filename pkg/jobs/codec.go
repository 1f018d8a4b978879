package jobs

import (
	"encoding/json"
	"strings"
	"unicode"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Stored is a job record together with the store revision of its last change.
type Stored struct {
	Record      structs.JobRecord
	ModRevision int64
}

// encode returns the stored form of record. It fails with ErrRecordTooLarge if that exceeds MaxRecordBytes.
func encode(record *structs.JobRecord) ([]byte, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Annotatef(err, "encoding job %s", record.ID)
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Annotatef(ErrRecordTooLarge, "job %s: %d bytes, limit %d", record.ID, len(data), MaxRecordBytes)
	}
	return data, nil
}

// decode parses a stored record and checks that its id matches the key.
func decode(kv store.KeyValue) (Stored, error) {
	stored := Stored{ModRevision: kv.ModRevision}
	if err := json.Unmarshal(kv.Value, &stored.Record); err != nil {
		return Stored{}, errors.Annotatef(err, "job record %s", kv.Key)
	}
	if !strings.HasSuffix(kv.Key, "/"+string(stored.Record.ID)) || stored.Record.ID == "" {
		return Stored{}, errors.Errorf("job record %s names job %q", kv.Key, stored.Record.ID)
	}
	return stored, nil
}

// trimRecord limits the fields of a record that grow while tasks run, so that a job of MaxTasks tasks stays below
// MaxRecordBytes.
func trimRecord(record *structs.JobRecord) {
	for i := range record.Tasks {
		task := &record.Tasks[i]
		task.Reason = trimText(task.Reason, MaxReasonBytes)
		if extra := len(task.FailedOn) - MaxFailedOn; extra > 0 {
			task.FailedOn = task.FailedOn[extra:]
		}
	}
}

// trimText replaces characters that JSON would escape by spaces and truncates text to limit bytes at a character
// boundary.
func trimText(text string, limit int) string {
	text = strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) || r == unicode.ReplacementChar || strings.ContainsRune(`<>&"\`, r) {
			return ' '
		}
		return r
	}, text)
	if len(text) <= limit {
		return text
	}
	cut := 0
	for i := range text {
		if i > limit {
			break
		}
		cut = i
	}
	return text[:cut]
}
