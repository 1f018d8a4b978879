package eventlog

import "github.com/phuslu/log"

// Events of shard loops, 4100 to 4199.
var (
	JobsLoaded        = define(4100, "jobs_loaded", log.InfoLevel, "A new shard owner has read the jobs of the shard.")
	JobsNotLoaded     = define(4101, "jobs_not_loaded", log.WarnLevel, "The jobs of an acquired shard could not be read; nothing starts there until they are.")
	TaskLost          = define(4102, "task_lost", log.WarnLevel, "An attempt ended without a report: its lease expired or its worker no longer knows it.")
	CheckpointFailed  = define(4103, "checkpoint_failed", log.WarnLevel, "A checkpoint before a stop failed; it is repeated.")
	StopFailed        = define(4104, "stop_failed", log.WarnLevel, "A stop command failed; it is repeated.")
	RecordsNotWritten = define(4105, "records_not_written", log.WarnLevel, "Job records could not be written at the end of an ownership; the next owner recovers them from the workers.")
	JobRehomed        = define(4106, "job_rehomed", log.InfoLevel, "A job moves to another shard.")
)
