package eventlog

import "github.com/phuslu/log"

// Events of shard loops, 4100 to 4199.
var (
	JobsLoaded        = define(4100, "jobs_loaded", log.InfoLevel, "A new shard owner has read the jobs of the shard.")
	JobsNotLoaded     = define(4101, "jobs_not_loaded", log.WarnLevel, "The jobs of an acquired shard could not be read; no task of the shard starts until they are.")
	TaskLost          = define(4102, "task_lost", log.WarnLevel, "An attempt ended without a report: its lease expired or its worker no longer lists it.")
	CheckpointFailed  = define(4103, "checkpoint_failed", log.WarnLevel, "A checkpoint before a stop failed; it is retried.")
	StopFailed        = define(4104, "stop_failed", log.WarnLevel, "A stop command failed; it is retried.")
	RecordsNotWritten = define(4105, "records_not_written", log.WarnLevel, "Job records could not be written when an ownership ended; the next owner recovers their state from the workers.")
	DrainBegun        = define(4107, "drain_begun", log.InfoLevel, "The data centre was taken out of service; work moves to other shards.")
	DrainEnded        = define(4108, "drain_ended", log.InfoLevel, "The data centre is back in service; task starts ramp up.")
	WorkerQuarantined = define(4109, "worker_quarantined", log.WarnLevel, "Tasks of several jobs failed on a worker; it receives probe tasks only. Check the host.")
	WorkerReleased    = define(4110, "worker_released", log.InfoLevel, "A quarantined worker has passed its probes.")
	TaskParked        = define(4111, "task_parked", log.WarnLevel, "A task failed on several healthy workers and is not retried. Check the job.")
	TaskEvicted       = define(4112, "task_evicted", log.InfoLevel, "A task is checkpointed and moved because of resource pressure on its worker.")
	ThrottleFailed    = define(4113, "throttle_failed", log.WarnLevel, "A throttle command failed; it is retried while the pressure lasts.")
	IntentAdopted     = define(4114, "intent_adopted", log.InfoLevel, "A former owner stored a start intent, but no worker lists the attempt; its start is sent again with the same number.")
	JobRehomed        = define(4106, "job_rehomed", log.InfoLevel, "A job moves to another shard.")
)
