package cluster

import (
	"encoding/json"
	"fmt"
	"net/http"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/operatorapi"
)

// PromoteStatus promotes a tried digest over the expected version and returns the HTTP status, 0 if there was no answer.
func PromoteStatus(base, digest string, expected int64) int {
	body := map[string]any{"digest": digest, "expected_version": expected, "author": "test"}
	return post(base+"/v1/documents/promote", body, nil)
}

// CurrentDocument returns the document in effect at an entry host.
func CurrentDocument(base string) (structs.DocumentRecord, bool) {
	var record structs.DocumentRecord
	ok := readInto(base+"/v1/documents/current", &record)
	return record, ok
}

// StoredDocument returns the latest version in the history, which an entry host reads from the store. The record is
// zero when there is none; false means that the history was not read.
func StoredDocument(base string) (structs.DocumentRecord, bool) {
	var history operatorapi.HistoryReply
	if !readInto(base+"/v1/documents/history", &history) {
		return structs.DocumentRecord{}, false
	}
	if len(history.Versions) == 0 {
		return structs.DocumentRecord{}, true
	}
	return history.Versions[0], true
}

// StatusOf returns what an entry host knows of the environment.
func StatusOf(base string) (operatorapi.StatusReply, bool) {
	var status operatorapi.StatusReply
	ok := readInto(base+"/v1/status", &status)
	return status, ok
}

// DatacentreState returns the state of a data centre as an entry host knows it, or "" when it does not answer.
func DatacentreState(base string, dc structs.DatacentreID) structs.DatacentreState {
	status, _ := StatusOf(base)
	for _, known := range status.Datacentres {
		if known.Datacentre == dc {
			return known.State
		}
	}
	return ""
}

// RespondsOK reports whether a path of an entry host answers with 200. "/healthz" tells that the process serves, and
// "/readyz" that it is ready.
func RespondsOK(base, path string) bool { return readInto(base+path, nil) }

// DatacentreRecord reads the stored state of a data centre, not through an entry host. False means that it was not read.
func (c *Cluster) DatacentreRecord(dc structs.DatacentreID) (structs.DatacentreRecord, bool) {
	var record structs.DatacentreRecord
	ok := c.readJSON(fmt.Sprintf("/fulmarcourse/production/control/datacentres/%s", dc), &record)
	return record, ok
}

// readInto decodes the body of a URL that answers with 200; out may be nil.
func readInto(url string, out any) bool {
	resp, err := control.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	return out == nil || json.NewDecoder(resp.Body).Decode(out) == nil
}
