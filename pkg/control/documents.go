package control

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"fulmarcourse.example/core/document"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

const (
	// historyLimit is the number of versions whose history is kept. History records contain no text, so 1,000 of
	// them are about 200 KB, which the store scans at every poll.
	historyLimit = 1000
	// triedLimit is the number of trial versions whose text is kept for promotion. At 20 KiB each they are about
	// 1.3 MB in the trial environment.
	triedLimit = 64
	// tryAttempts is the maximum number of attempts of a try that conflicts with concurrent tries.
	tryAttempts = 3
)

// TriedRecord is stored under control/tried/<digest> in the trial environment. Promote takes the text from it.
type TriedRecord struct {
	Digest  structs.Digest `json:"digest"`
	Version int64          `json:"version"` // of the trial environment
	Text    string         `json:"text"`
	Author  string         `json:"author"`
	Time    time.Time      `json:"time"`
	Nonce   string         `json:"nonce"`
}

// DocumentResult is the result of a try or a promotion.
type DocumentResult struct {
	Environment string         `json:"environment"`
	Version     int64          `json:"version"` // the version written, or the one that may have been written
	Digest      structs.Digest `json:"digest"`
	Outcome     Outcome        `json:"outcome"`
}

// PromoteRequest names a tried document and the version that it replaces.
type PromoteRequest struct {
	Digest          structs.Digest
	ExpectedVersion int64 // version that the operator expects to be in effect; 0 for the first document
	Author          string
}

// Try checks a document, puts it in effect in the trial environment and records its digest there. Its errors are
// document.Findings for a faulty document, *VersionConflictError, ErrNotApplied and ErrOutcomeUnknown. Trying the
// document that is already in effect in the trial environment changes nothing.
func (s *Service) Try(ctx context.Context, text, author string) (result DocumentResult, err error) {
	ctx, span := s.cfg.Tracer.Start(ctx, "control.try")
	defer func() { endSpan(span, err) }()
	if _, findings := document.Parse("document", []byte(text)); len(findings) > 0 {
		return DocumentResult{Outcome: NotApplied}, findings
	}
	for range tryAttempts {
		result, err = s.tryOnce(ctx, text, author)
		if err != nil || result.Outcome != NotApplied {
			break
		}
	}
	if err == nil && result.Outcome == NotApplied {
		err = &VersionConflictError{Expected: result.Version - 1, Current: result.Version}
	}
	s.logDocument(eventlog.ControlDocumentTried, result, author, err)
	return result, err
}

func (s *Service) tryOnce(ctx context.Context, text, author string) (DocumentResult, error) {
	trial := keyspace{environment: s.cfg.TrialEnvironment}
	digest := document.Digest([]byte(text))
	result := DocumentResult{Environment: trial.environment, Digest: digest, Outcome: NotApplied}
	current, err := s.currentDocument(ctx, trial)
	if err != nil {
		return result, err
	}
	if current.record.Digest == digest {
		if _, found, err := s.readTried(ctx, digest); err == nil && found {
			result.Version, result.Outcome = current.record.Version, Applied
			return result, nil
		}
	}
	record := s.newRecord(current, text, author)
	result.Version = record.Version
	w := documentWrite(trial, current, record)
	tried := TriedRecord{digest, record.Version, text, author, record.Time, record.Nonce}
	w.txn.Puts = append(w.txn.Puts, store.Put{Key: trial.tried(digest), Value: mustJSON(tried)})
	if old := s.expiredTriedKey(ctx, trial, record.Version, digest); old != "" {
		w.txn.Deletes = append(w.txn.Deletes, old)
	}
	done, err := s.apply(ctx, w)
	result.Outcome = done.outcome
	return result, err
}

// Promote puts a tried document in effect in this environment if ExpectedVersion is still in effect. Its errors are
// ErrNotTried, ErrWrongEnvironment, *VersionConflictError, document.Findings, ErrNotApplied and ErrOutcomeUnknown.
func (s *Service) Promote(ctx context.Context, request PromoteRequest) (result DocumentResult, err error) {
	ctx, span := s.cfg.Tracer.Start(ctx, "control.promote")
	defer func() { endSpan(span, err) }()
	result = DocumentResult{Environment: s.cfg.Environment, Digest: request.Digest, Outcome: NotApplied}
	text, err := s.triedText(ctx, request.Digest)
	if err != nil {
		return result, err
	}
	current, err := s.currentDocument(ctx, s.keys)
	if err != nil {
		return result, err
	}
	if current.version() != request.ExpectedVersion {
		return result, current.conflict(request.ExpectedVersion)
	}
	record := s.newRecord(current, text, request.Author)
	result.Version = record.Version
	done, err := s.apply(ctx, documentWrite(s.keys, current, record))
	result.Outcome = done.outcome
	if err == nil && done.outcome == NotApplied {
		err = s.promoteConflict(ctx, request.ExpectedVersion)
	}
	s.logDocument(eventlog.ControlDocumentPromoted, result, request.Author, err)
	if done.outcome == Applied {
		_ = s.PollNow(ctx) // shortens the time until it is in effect here; Run polls again in any case
	}
	return result, err
}

// triedText returns the text of a tried document that may be promoted in this environment.
func (s *Service) triedText(ctx context.Context, digest structs.Digest) (string, error) {
	tried, found, err := s.readTried(ctx, digest)
	if err != nil {
		return "", err
	}
	if !found || document.Digest([]byte(tried.Text)) != digest {
		return "", errors.Annotatef(ErrNotTried, "digest %s in environment %s", digest, s.cfg.TrialEnvironment)
	}
	parsed, findings := document.Parse("document", []byte(tried.Text))
	if len(findings) > 0 {
		return "", findings
	}
	if parsed.Environment != s.cfg.Environment {
		return "", errors.Annotatef(ErrWrongEnvironment, "it names %q, this is %q", parsed.Environment, s.cfg.Environment)
	}
	return tried.Text, nil
}

func (s *Service) promoteConflict(ctx context.Context, expected int64) error {
	current, err := s.currentDocument(ctx, s.keys)
	if err != nil {
		return &VersionConflictError{Expected: expected, Current: expected + 1}
	}
	return current.conflict(expected)
}

// History returns the known versions without their texts, newest first.
func (s *Service) History(ctx context.Context) ([]structs.DocumentRecord, error) {
	result, err := s.cfg.Store.Range(ctx, s.keys.key(partHistory), 0)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrNotApplied)
	}
	records := make([]structs.DocumentRecord, 0, len(result.Entries))
	for _, kv := range result.Entries {
		var record structs.DocumentRecord
		if err := json.Unmarshal(kv.Value, &record); err != nil {
			return nil, errors.Annotatef(err, "history entry %q", kv.Key)
		}
		records = append(records, record)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Version > records[j].Version })
	return records, nil
}

// storedDocument is the document record of an environment as read from the store.
type storedDocument struct {
	record structs.DocumentRecord // zero when there is none
	mod    int64
	// inEffect is the version in effect in this process; 0 for another environment. It is higher than the stored
	// version only after the store has lost data.
	inEffect int64
}

func (d storedDocument) version() int64 { return max(d.record.Version, d.inEffect) }

func (d storedDocument) conflict(expected int64) error {
	return &VersionConflictError{Expected: expected, Current: d.version(), Digest: d.record.Digest}
}

func (s *Service) currentDocument(ctx context.Context, env keyspace) (storedDocument, error) {
	var current storedDocument
	if env == s.keys {
		_, record, _ := s.Document()
		current.inEffect = record.Version
	}
	kv, found, err := s.cfg.Store.Get(ctx, env.document())
	if err != nil {
		return current, errors.WithType(errors.Trace(err), ErrNotApplied)
	}
	if found {
		current.mod = kv.ModRevision
		// An undecodable record counts as version 0: the next write replaces it.
		_ = json.Unmarshal(kv.Value, &current.record)
	}
	return current, nil
}

func (s *Service) readTried(ctx context.Context, digest structs.Digest) (TriedRecord, bool, error) {
	var tried TriedRecord
	key := keyspace{environment: s.cfg.TrialEnvironment}.tried(digest)
	kv, found, err := s.cfg.Store.Get(ctx, key)
	if err != nil {
		return tried, false, errors.WithType(errors.Trace(err), ErrNotApplied)
	}
	if !found || json.Unmarshal(kv.Value, &tried) != nil {
		return tried, false, nil
	}
	return tried, true, nil
}

// expiredTriedKey returns the key of the tried document that falls outside triedLimit when the given version is
// written, or "". A document that was tried again later is kept. A failed read only delays the removal of one record.
func (s *Service) expiredTriedKey(ctx context.Context, trial keyspace, version int64, digest structs.Digest) string {
	expired := version - triedLimit
	if expired <= 0 {
		return ""
	}
	kv, found, err := s.cfg.Store.Get(ctx, trial.history(expired))
	var record structs.DocumentRecord
	if err != nil || !found || json.Unmarshal(kv.Value, &record) != nil || record.Digest == digest {
		return ""
	}
	tried, found, err := s.readTried(ctx, record.Digest)
	if err != nil || !found || tried.Version != expired {
		return ""
	}
	return trial.tried(record.Digest)
}

func (s *Service) newRecord(current storedDocument, text, author string) structs.DocumentRecord {
	return structs.DocumentRecord{
		Version: current.version() + 1,
		Digest:  document.Digest([]byte(text)),
		Text:    text,
		Author:  author,
		Time:    s.cfg.Now().UTC(),
		Nonce:   s.cfg.NewNonce(),
	}
}

// documentWrite returns the write that replaces the document and adds its history record. It is guarded by the revision
// of the document and by the absence of the history record.
func documentWrite(env keyspace, current storedDocument, record structs.DocumentRecord) write {
	history := record
	history.Text = ""
	w := write{
		txn: store.Txn{
			Compares: []store.Compare{
				{Key: env.document(), Target: store.CompareModRevision, Revision: current.mod},
				{Key: env.history(record.Version), Target: store.CompareModRevision, Revision: 0},
			},
			Puts: []store.Put{
				{Key: env.document(), Value: mustJSON(record)},
				{Key: env.history(record.Version), Value: mustJSON(history)},
			},
		},
		guardKey:         env.history(record.Version),
		nonce:            record.Nonce,
		neverOverwritten: true,
	}
	if expired := record.Version - historyLimit; expired > 0 {
		w.txn.Deletes = append(w.txn.Deletes, env.history(expired))
	}
	return w
}

func (s *Service) logDocument(code eventlog.Code, result DocumentResult, author string, err error) {
	s.cfg.Log.Event(code).Str("environment", result.Environment).Int64("version", result.Version).
		Str("digest", string(result.Digest)).Str("author", author).Str("outcome", string(result.Outcome)).
		Err(err).Msg("document command")
}

func endSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
