package structs

// Values of Reply.Reason for outcomes other than Answered. They are short codes, so that entry hosts can act on them
// and metrics can be tagged with them. With the outcome NotRun, nothing reached a runner unless the reason is
// ReasonRunnerRefused.
const (
	ReasonWrongOwner        = "wrong-owner"        // NotRun: the receiver does not own the shard
	ReasonDraining          = "draining"           // NotRun: the receiver accepts no new requests
	ReasonQueueFull         = "queue-full"         // NotRun: the queue of the shard is full
	ReasonDeadline          = "deadline"           // NotRun: the deadline cannot be met; OutcomeUnknown: it has passed
	ReasonCancelled         = "cancelled"          // the caller disconnected; NotRun only if the request had not been sent
	ReasonNoRunner          = "no-runner"          // NotRun: the shard has no runner for the service
	ReasonRunnerUnreachable = "runner-unreachable" // NotRun: no connection to a runner
	ReasonRunnerRefused     = "runner-refused"     // NotRun: a runner received the request and refused it
	ReasonRunnerLost        = "runner-lost"        // OutcomeUnknown: no valid answer from the runner
	ReasonNoShard           = "no-shard"           // NotRun: no shard with an owner is known for the service
	ReasonOwnerUnreachable  = "owner-unreachable"  // NotRun: no connection to the shard owner
	ReasonOwnerLost         = "owner-lost"         // OutcomeUnknown: no valid reply from the shard owner
	ReasonRepeatedAttempt   = "repeated-attempt"   // OutcomeUnknown: the attempt was already received before
	ReasonStoreUnavailable  = "store-unavailable"  // NotRun: the intent record could not be written
	ReasonInProgress        = "in-progress"        // OutcomeUnknown: a request with the same key is in progress
	ReasonKeyReused         = "key-reused"         // NotRun: the key was used with another body
	ReasonHolderLost        = "holder-lost"        // OutcomeUnknown: no host can complete the intent record any more
	ReasonAnswerNotKept     = "answer-not-kept"    // OutcomeUnknown: answered, but the answer was too large to store
)
