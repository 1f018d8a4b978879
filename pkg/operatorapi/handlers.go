package operatorapi

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"fulmarcourse.example/core/document"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/control"
)

// maxBodyBytes limits a request body. A JSON escape may take six bytes for one byte of a document.
const maxBodyBytes = 6*document.MaxTextBytes + 4096

// errNoDocument means that no document is in effect.
const errNoDocument = errors.ConstError("no document is in effect")

// badRequestError describes an invalid body or field.
type badRequestError struct{ field, message, accepted string }

func (e *badRequestError) Error() string { return e.field + ": " + e.message }

func (a *api) validate(r *http.Request) (any, error) {
	body, parsed, err := a.readDocument(r)
	if err != nil {
		return nil, err
	}
	return ValidateReply{Digest: document.Digest([]byte(body.Text)), Environment: parsed.Environment}, nil
}

func (a *api) diff(r *http.Request) (any, error) {
	body, parsed, err := a.readDocument(r)
	if err != nil {
		return nil, err
	}
	current, record, _ := a.svc.Document()
	return DiffReply{
		Version: record.Version,
		Digest:  document.Digest([]byte(body.Text)),
		Changes: document.Diff(current, parsed),
	}, nil
}

func (a *api) try(r *http.Request) (any, error) {
	body, _, err := a.readDocument(r)
	if err != nil {
		return nil, err
	}
	if err := requireAuthor(body.Author); err != nil {
		return nil, err
	}
	return a.svc.Try(r.Context(), body.Text, body.Author)
}

func (a *api) promote(r *http.Request) (any, error) {
	var body PromoteBody
	if err := readBody(r, &body); err != nil {
		return nil, err
	}
	if body.Digest == "" {
		return nil, &badRequestError{"digest", "the digest is missing", "the digest that a try has returned"}
	}
	if err := requireAuthor(body.Author); err != nil {
		return nil, err
	}
	return a.svc.Promote(r.Context(), control.PromoteRequest{
		Digest: body.Digest, ExpectedVersion: body.ExpectedVersion, Author: body.Author,
	})
}

func (a *api) current(*http.Request) (any, error) {
	_, record, known := a.svc.Document()
	if !known {
		return nil, errNoDocument
	}
	return record, nil
}

func (a *api) history(r *http.Request) (any, error) {
	versions, err := a.svc.History(r.Context())
	return HistoryReply{Versions: versions}, err
}

func (a *api) setDatacentre(state structs.DatacentreState) handler {
	return func(r *http.Request) (any, error) {
		var body DatacentreBody
		if err := readBody(r, &body); err != nil {
			return nil, err
		}
		if err := requireAuthor(body.Author); err != nil {
			return nil, err
		}
		id := structs.DatacentreID(pathvar.Vars(r)["dc"])
		return a.svc.SetDatacentre(r.Context(), id, state, body.Author)
	}
}

func (a *api) status(*http.Request) (any, error) {
	_, record, _ := a.svc.Document()
	confirmation := a.svc.Confirmation()
	now := a.cfg.Now()
	reply := StatusReply{
		Host: a.cfg.Host, Environment: a.cfg.Environment, Time: now.UTC(),
		Version: record.Version, Digest: record.Digest, Author: record.Author,
		StoreReachable: a.svc.StoreReachable(), Revision: confirmation.Revision, RevisionAgeMs: -1,
		RemovalAttempted: a.svc.RemovalAttempted(), Members: a.svc.Members(),
		Shards: a.shards(), Datacentres: a.datacentres(),
	}
	if !confirmation.ReadAt.IsZero() {
		reply.RevisionAgeMs = now.Sub(confirmation.ReadAt).Milliseconds()
	}
	return reply, nil
}

func (a *api) shards() []ShardStatus {
	shards := []ShardStatus{}
	for shard, owner := range a.svc.Owners() {
		shards = append(shards, ShardStatus{Shard: shard, Owner: owner.Record.Owner, Epoch: owner.Epoch})
	}
	sort.Slice(shards, func(i, j int) bool {
		if shards[i].Shard.Datacentre != shards[j].Shard.Datacentre {
			return shards[i].Shard.Datacentre < shards[j].Shard.Datacentre
		}
		return shards[i].Shard.Index < shards[j].Shard.Index
	})
	return shards
}

func (a *api) datacentres() []DatacentreStatus {
	datacentres := []DatacentreStatus{}
	for _, id := range a.svc.KnownDatacentres() {
		status := DatacentreStatus{Datacentre: id, State: a.svc.Datacentre(id)}
		if report, changed := a.svc.DatacentreReport(id); changed {
			status.Change = &report
		}
		datacentres = append(datacentres, status)
	}
	return datacentres
}

// readDocument decodes a body that contains a document and parses the document.
func (a *api) readDocument(r *http.Request) (DocumentBody, structs.Document, error) {
	var body DocumentBody
	if err := readBody(r, &body); err != nil {
		return body, structs.Document{}, err
	}
	if body.Name == "" {
		body.Name = "document"
	}
	parsed, findings := document.Parse(body.Name, []byte(body.Text))
	if len(findings) > 0 {
		return body, parsed, findings
	}
	return body, parsed, nil
}

// readBody decodes a JSON body. Unknown fields are errors, because a misspelt field would otherwise be ignored
// silently.
func readBody(r *http.Request, body any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return &badRequestError{"body", err.Error(), "one JSON object of at most 768 KiB"}
	}
	return nil
}

func requireAuthor(author string) error {
	if author == "" {
		return &badRequestError{"author", "the author is missing", "the name of the operator, for the history"}
	}
	return nil
}
