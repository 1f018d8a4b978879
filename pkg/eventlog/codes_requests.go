package eventlog

import "github.com/phuslu/log"

// Events of the request path, 6000 to 6199.
var (
	SlotUncertain        = define(6000, "slot_uncertain", log.WarnLevel, "The outcome of an attempt on a runner is unknown; its slot stays reserved until the time limit passes. Frequent events indicate a failing runner or network.")
	SlotPoolDrained      = define(6001, "slot_pool_drained", log.InfoLevel, "A shard's slot pool has finished its requests and is closed.")
	SlotPoolForced       = define(6002, "slot_pool_forced", log.WarnLevel, "A shard's slot pool was closed at its time limit with requests still in progress.")
	RunnerAnswerInvalid  = define(6003, "runner_answer_invalid", log.ErrorLevel, "A runner answered with an invalid status; the outcome is treated as unknown. Check the runner.")
	AnswerMismatched     = define(6050, "answer_mismatched", log.ErrorLevel, "A shard owner answered with the id of an attempt other than the one sent to it; the answer was discarded.")
	AttemptRepeated      = define(6051, "attempt_repeated", log.ErrorLevel, "An attempt was received a second time and was not run again. The network or a proxy duplicates messages.")
	IntentUncertain      = define(6052, "intent_uncertain", log.WarnLevel, "The write of an idempotency intent has an unknown result; the request was rejected as not-run and the record is being resolved.")
	OutcomeNotRecorded   = define(6053, "outcome_not_recorded", log.WarnLevel, "The outcome of a request with an idempotency key is not recorded yet; recording continues in the background.")
	ResolutionAbandoned  = define(6054, "resolution_abandoned", log.WarnLevel, "An idempotency record could not be resolved in time; repetitions of its request get the outcome unknown.")
	IdempotencyBadRecord = define(6055, "idempotency_bad_record", log.ErrorLevel, "An idempotency record cannot be decoded; repetitions of its request get the outcome unknown.")
	HTTPServeFailed      = define(6100, "http_serve_failed", log.ErrorLevel, "The HTTP interface for callers stopped unexpectedly.")
)
