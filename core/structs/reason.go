package structs

// Reasons of replies that are not answered, as found in Reply.Reason. They are short codes, so that entry hosts
// can decide on them and metrics can be tagged with them. With NotRun, nothing reached a runner unless the
// reason is ReasonRunnerRefused.
const (
	ReasonWrongOwner        = "wrong-owner"        // NotRun: the receiver does not own the shard
	ReasonDraining          = "draining"           // NotRun: the receiver takes no new requests
	ReasonQueueFull         = "queue-full"         // NotRun: the queue of the shard is full
	ReasonDeadline          = "deadline"           // NotRun: it cannot be met; OutcomeUnknown: it has passed
	ReasonCancelled         = "cancelled"          // the caller left; NotRun only if that was before the request was sent
	ReasonNoRunner          = "no-runner"          // NotRun: the shard has no runner for the service
	ReasonRunnerUnreachable = "runner-unreachable" // NotRun: no runner could be connected
	ReasonRunnerRefused     = "runner-refused"     // NotRun: a runner read the request and refused it
	ReasonRunnerLost        = "runner-lost"        // OutcomeUnknown: no usable answer from the runner
	ReasonNoShard           = "no-shard"           // NotRun: no shard with an owner is known for the service
	ReasonOwnerUnreachable  = "owner-unreachable"  // NotRun: the shard owner could not be connected
	ReasonOwnerLost         = "owner-lost"         // OutcomeUnknown: no usable answer from the shard owner
	ReasonRepeatedAttempt   = "repeated-attempt"   // OutcomeUnknown: the attempt was received before
	ReasonStoreUnavailable  = "store-unavailable"  // NotRun: the intent could not be recorded
	ReasonInProgress        = "in-progress"        // OutcomeUnknown: a request with the same key is in progress
	ReasonKeyReused         = "key-reused"         // NotRun: the key was used with another body
	ReasonHolderLost        = "holder-lost"        // OutcomeUnknown: the host that held the intent is gone
	ReasonAnswerNotKept     = "answer-not-kept"    // OutcomeUnknown: answered, but the answer was too large to keep
)
