package retry

import "fulmarcourse.example/core/structs"

// Action states whether a request may be sent again after an attempt, and whether that needs a token of the Budget. The
// caller additionally takes a reroute from the RerouteBudget before it tries another shard after a rejection for load.
type Action int

// Actions.
const (
	Stop            Action = iota // the reply is final
	RetryOtherShard               // no runner received the request: sending it to another shard needs no token
	RetryBudgeted                 // a runner may have read the request: sending again needs a token
)

// Decide returns the action after an attempt with the given reply. A non-idempotent request whose outcome is unknown is
// never sent again.
func Decide(reply structs.Reply, idempotent bool) Action {
	switch reply.Outcome {
	case structs.NotRun:
		switch reply.Reason {
		case structs.ReasonCancelled:
			return Stop
		case structs.ReasonRunnerRefused:
			return RetryBudgeted
		}
		return RetryOtherShard
	case structs.OutcomeUnknown:
		if idempotent {
			return RetryBudgeted
		}
	}
	return Stop
}
