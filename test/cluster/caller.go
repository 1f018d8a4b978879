package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
)

// Reply is the response to one request as its caller receives it. Status is 0 when the connection failed.
type Reply struct {
	Status     int
	Outcome    structs.Outcome
	Body       []byte
	Complete   bool // the body was received completely
	DialFailed bool // no connection was made, so nothing was sent
}

// Call describes one request of a caller.
type Call struct {
	Service  structs.ServiceName
	Kind     structs.KindName
	Key      string // idempotency key; none when empty
	Deadline time.Duration
	Body     string
}

// Send sends a request to the entry host at base. It never repeats the request.
func Send(base string, call Call) Reply {
	url := fmt.Sprintf("%s/v1/services/%s/%s", base, call.Service, call.Kind)
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(call.Body)))
	if err != nil {
		return Reply{}
	}
	req.GetBody = nil // prevents net/http from repeating the request
	req.Header.Set("Request-Timeout-Ms", strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		var op *net.OpError
		return Reply{DialFailed: errors.As(err, &op) && op.Op == "dial"}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Reply{
		Status:   resp.StatusCode,
		Outcome:  structs.Outcome(resp.Header.Get("Fulmarcourse-Outcome")),
		Body:     body,
		Complete: err == nil && int64(len(body)) == resp.ContentLength,
	}
}

// callerClient uses a connection per request, so that no request is lost on a reused connection when an entry host
// stops.
var callerClient = &http.Client{
	Timeout:   30 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// SubmitJob submits a job and returns its record; the status is 0 if there was no response.
func SubmitJob(base string, spec structs.JobSpec) (structs.JobRecord, int) {
	var record structs.JobRecord
	status := post(base+"/v1/jobs", spec, &record)
	return record, status
}

// CancelJob cancels a job and returns the HTTP status.
func CancelJob(base string, id structs.JobID) int {
	return post(base+"/v1/jobs/"+string(id)+"/cancel", nil, nil)
}

// waitJobTimeout is the wait that WaitJob requests from an entry host. It is below the timeout of callerClient.
const waitJobTimeout = 25 * time.Second

// WaitJob waits through an entry host until a job is final and returns it with the HTTP status, 202 if it is not final
// within waitJobTimeout and 0 if there was no response.
func WaitJob(base string, id structs.JobID) (structs.JobRecord, int) {
	var record structs.JobRecord
	resp, err := callerClient.Get(fmt.Sprintf("%s/v1/jobs/%s/wait?timeout=%s", base, id, waitJobTimeout))
	if err != nil {
		return record, 0
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(&record) != nil {
		return structs.JobRecord{}, 0
	}
	return record, resp.StatusCode
}

// Job reads a job with the tasks of all its parts directly from the store.
func (c *Cluster) Job(id structs.JobID) (structs.JobRecord, bool) {
	stored, err := c.jobs().Get(context.Background(), id)
	return stored.Record, err == nil
}

// Parts reads the records in which a job is stored; it returns none if the job cannot be read.
func (c *Cluster) Parts(id structs.JobID) []structs.JobRecord {
	parts, _ := c.jobs().Parts(context.Background(), id) // on errors, callers retry until their condition holds
	return parts
}

func (c *Cluster) jobs() *jobs.Service {
	return jobs.NewService(jobs.Config{Store: c.reader, Environment: "production"})
}

// AwaitJob waits until every task of a job is final and returns the record.
func (c *Cluster) AwaitJob(id structs.JobID) structs.JobRecord {
	c.t.Helper()
	var record structs.JobRecord
	final := c.waitFor(func() bool {
		found, ok := c.Job(id)
		record = found
		return ok && found.Final()
	})
	if !final {
		c.t.Errorf("job %s is not final: %+v", id, record)
		for _, host := range c.order {
			c.t.Logf("%s explains: %s", host, get(c.entries[host].HTTP+"/v1/jobs/"+string(id)+"/explain"))
		}
		c.t.FailNow()
	}
	return record
}
