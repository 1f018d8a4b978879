package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"fulmarcourse.example/core/structs"
)

// awaitTimeout bounds every wait. It is far above any expected time, so that a slow machine does not fail a test.
const awaitTimeout = 60 * time.Second

// pollInterval is the pause between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// Await waits until condition holds and fails the test with description when it does not within awaitTimeout.
func (c *Cluster) Await(description string, condition func() bool) {
	c.t.Helper()
	if !c.waitFor(condition) {
		c.t.Fatalf("not reached: %s", description)
	}
}

// waitFor waits until condition holds and returns false when it does not within awaitTimeout.
func (c *Cluster) waitFor(condition func() bool) bool {
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// AwaitReady waits until the entry hosts report that they are ready.
func (c *Cluster) AwaitReady(ids ...structs.HostID) {
	c.t.Helper()
	for _, id := range ids {
		url := c.Entry(id).HTTP + "/readyz"
		c.Await(string(id)+" is ready", func() bool {
			resp, err := operatorClient.Get(url)
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

// operatorClient is the HTTP client for operator calls, job submission and readiness checks.
var operatorClient = &http.Client{Timeout: 10 * time.Second}

// AwaitOwners waits until every shard of every data centre with an entry host has an owner record in the store.
func (c *Cluster) AwaitOwners() {
	c.t.Helper()
	for _, dc := range c.cfg.Datacentres {
		if dc.EntryHosts == 0 {
			continue
		}
		for index := range shardsPerDatacentre {
			shard := structs.ShardID{Datacentre: dc.ID, Index: index}
			c.Await("an owner of shard "+shard.String(), func() bool { return c.Owner(shard) != "" })
		}
	}
}

const shardsPerDatacentre = 2

// Owner returns the owner of a shard that the store records, or "" if there is none.
func (c *Cluster) Owner(shard structs.ShardID) structs.HostID {
	var record structs.ShardOwnerRecord
	c.readJSON("/fulmarcourse/production/control/shards/"+shard.String(), &record)
	return record.Owner
}

// readJSON decodes the value of a store key, read without the proxies, and reports whether it was read.
func (c *Cluster) readJSON(key string, out any) bool {
	kv, ok, err := c.reader.Get(context.Background(), key)
	if err != nil || !ok {
		return false
	}
	c.check(json.Unmarshal(kv.Value, out))
	return true
}

// promoteInitialDocument tries and promotes the document of the configuration through the first entry host.
func (c *Cluster) promoteInitialDocument(text string) {
	c.t.Helper()
	base := c.Entry(c.order[0]).HTTP
	c.Await("the first document is in effect", func() bool {
		digest, ok := c.Try(base, text)
		return ok && c.Promote(base, digest, 0)
	})
}

// Try puts a document into effect in the trial environment and returns its digest.
func (c *Cluster) Try(base, text string) (string, bool) {
	var result struct{ Digest string }
	status := post(base+"/v1/documents/try", map[string]any{"text": text, "author": "test"}, &result)
	return result.Digest, status == http.StatusOK
}

// Promote promotes the tried document with the digest if the current version is the expected one, and reports whether
// it did.
func (c *Cluster) Promote(base, digest string, expected int64) bool {
	body := map[string]any{"digest": digest, "expected_version": expected, "author": "test"}
	return post(base+"/v1/documents/promote", body, nil) == http.StatusOK
}

// SetDatacentre takes a data centre out of service ("out") or brings it back ("in") through an entry host. It returns
// the HTTP status, 0 if there was no response.
func (c *Cluster) SetDatacentre(base string, dc structs.DatacentreID, state structs.DatacentreState) int {
	return post(fmt.Sprintf("%s/v1/datacentres/%s/%s", base, dc, state), map[string]any{"author": "test"}, nil)
}

// get returns the response body of a URL, or the text of the error, for use in failure messages.
func get(url string) string {
	resp, err := operatorClient.Get(url)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// post sends a JSON body and decodes the response into out. It returns the status, 0 if there was no response.
func post(url string, body, out any) int {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	resp, err := operatorClient.Post(url, "application/json", bytes.NewReader(encoded))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	if out != nil {
		_ = json.Unmarshal(text, out) // out stays empty for a problem body
	}
	return resp.StatusCode
}
