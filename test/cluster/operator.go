package cluster

import (
	"encoding/json"
	"fmt"
	"net/http"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/operatorapi"
)

// PromoteStatus is Promote with the HTTP status as its result, 0 if there was no response.
func PromoteStatus(base, digest string, expected int64) int {
	body := map[string]any{"digest": digest, "expected_version": expected, "author": "test"}
	return post(base+"/v1/documents/promote", body, nil)
}

// CurrentDocument returns the document in effect at an entry host.
func CurrentDocument(base string) (structs.DocumentRecord, bool) {
	var record structs.DocumentRecord
	ok := getJSON(base+"/v1/documents/current", &record)
	return record, ok
}

// StoredDocument returns the latest version in the history, which an entry host reads from the store. The record is
// zero when there is none; false means that the history was not read.
func StoredDocument(base string) (structs.DocumentRecord, bool) {
	var history operatorapi.HistoryReply
	if !getJSON(base+"/v1/documents/history", &history) {
		return structs.DocumentRecord{}, false
	}
	if len(history.Versions) == 0 {
		return structs.DocumentRecord{}, true
	}
	return history.Versions[0], true
}

// StatusOf returns the status of the environment that an entry host reports.
func StatusOf(base string) (operatorapi.StatusReply, bool) {
	var status operatorapi.StatusReply
	ok := getJSON(base+"/v1/status", &status)
	return status, ok
}

// DatacentreState returns the state of a data centre that an entry host reports, or "" when it does not answer.
func DatacentreState(base string, dc structs.DatacentreID) structs.DatacentreState {
	status, _ := StatusOf(base)
	for _, report := range status.Datacentres {
		if report.Datacentre == dc {
			return report.State
		}
	}
	return ""
}

// RespondsOK reports whether a path of an entry host returns 200. "/healthz" shows that the process serves requests,
// and "/readyz" that it is ready.
func RespondsOK(base, path string) bool { return getJSON(base+path, nil) }

// DatacentreRecord reads the state of a data centre directly from the store. False means that it was not read.
func (c *Cluster) DatacentreRecord(dc structs.DatacentreID) (structs.DatacentreRecord, bool) {
	var record structs.DatacentreRecord
	ok := c.readJSON(fmt.Sprintf("/fulmarcourse/production/control/datacentres/%s", dc), &record)
	return record, ok
}

// getJSON decodes the response body of a URL into out, which may be nil. It returns false unless the status is 200.
func getJSON(url string, out any) bool {
	resp, err := operatorClient.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	return out == nil || json.NewDecoder(resp.Body).Decode(out) == nil
}
