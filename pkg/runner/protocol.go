package runner

import (
	"net/url"

	"fulmarcourse.example/core/structs"
)

// Headers of the runner's HTTP interface.
const (
	// AttemptHeader carries the attempt id. The response repeats it.
	AttemptHeader = "Fulmarcourse-Attempt"
	// TimeoutHeader carries the time until the deadline in whole milliseconds.
	TimeoutHeader = "Request-Timeout-Ms"
	// OutcomeHeader with the value OutcomeNotRun marks a 503 response as a refusal.
	OutcomeHeader = "Fulmarcourse-Outcome"
)

// OutcomeNotRun is the value of OutcomeHeader in a refusal.
const OutcomeNotRun = string(structs.NotRun)

// PathPattern is the net/http pattern of Path.
const PathPattern = "/v1/services/{service}/kinds/{kind}"

// Path returns the URL path for requests of a kind.
func Path(service structs.ServiceName, kind structs.KindName) string {
	return "/v1/services/" + url.PathEscape(string(service)) + "/kinds/" + url.PathEscape(string(kind))
}
