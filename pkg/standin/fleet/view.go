package fleet

import (
	"bytes"
	"encoding/json"
	"net/http"

	"fulmarcourse.example/fulmarcourse/pkg/standin"
)

// View serves a store to one reader, to whom it shows other values than those that are stored. Revisions, and what the reader
// writes, are those of the store. It is an http.Handler.
type View struct {
	Store   *Store
	Rewrite func(key string, value []byte) []byte // returns the value to show
}

// NewView starts to serve a view on 127.0.0.1 at a free port.
func NewView(v *View) (*standin.Server, error) { return standin.NewServer(v) }

// ServeHTTP implements http.Handler.
func (v *View) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response := &heldResponse{header: w.Header(), status: http.StatusOK}
	v.Store.ServeHTTP(response, r)
	w.WriteHeader(response.status)
	_, _ = w.Write(v.rewritten(response.body.Bytes())) // a reader that is gone needs no response
}

// heldResponse holds a response back until it is complete.
type heldResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *heldResponse) Header() http.Header         { return r.header }
func (r *heldResponse) WriteHeader(status int)      { r.status = status }
func (r *heldResponse) Write(b []byte) (int, error) { return r.body.Write(b) }

// rewritten returns a response of the store with the values that the reader is to see. A response without items stays as it is.
func (v *View) rewritten(body []byte) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return body
	}
	if _, single := fields["key"]; single {
		var entry struct {
			item
			AsOf int64 `json:"asOf"`
		}
		if json.Unmarshal(body, &entry) != nil {
			return body
		}
		v.rewrite(&entry.item)
		return mustMarshal(entry)
	}
	for _, name := range []string{"items", "events"} {
		var entries []item
		if _, listed := fields[name]; !listed || json.Unmarshal(fields[name], &entries) != nil {
			continue
		}
		for n := range entries {
			v.rewrite(&entries[n])
		}
		fields[name] = mustMarshal(entries)
	}
	return mustMarshal(fields)
}

func (v *View) rewrite(entry *item) {
	if !entry.Tombstone {
		entry.Value = v.Rewrite(entry.Key, entry.Value)
	}
}

// mustMarshal encodes a value whose encoding cannot fail.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
