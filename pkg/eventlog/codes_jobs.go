package eventlog

import "github.com/phuslu/log"

// Events of job records, 5000 to 5099.
var (
	JobAccepted         = define(5000, "job_accepted", log.InfoLevel, "The store has acknowledged a new job record.")
	JobRejected         = define(5001, "job_rejected", log.InfoLevel, "A submission was rejected; `reason` states why. Nothing was stored.")
	JobUnknown          = define(5002, "job_unknown", log.WarnLevel, "The store did not confirm whether a job record was created. Repeating the submission with the same key is safe.")
	JobCancelRequested  = define(5003, "job_cancel_requested", log.InfoLevel, "A cancellation was recorded. The owner of the home shard stops the tasks.")
	JobRecordUnreadable = define(5004, "job_record_broken", log.ErrorLevel, "A stored job record cannot be decoded. The job is not processed; inspect the record in the store.")
	JobHomeMoved        = define(5005, "job_home_moved", log.InfoLevel, "A job has a new home shard.")
	JobDeleted          = define(5006, "job_deleted", log.InfoLevel, "A finished job was deleted after the retention time.")
	JobsRescued         = define(5007, "jobs_rescued", log.WarnLevel, "Shards have had no owner for so long that none of their tasks can still run. This host moves their jobs to other shards.")
	JobBatchNotOwner    = define(5010, "job_batch_not_owner", log.WarnLevel, "A write of job records failed because the shard has another owner. This host stops writing records of the shard.")
	JobBatchUnresolved  = define(5011, "job_batch_unsettled", log.WarnLevel, "The result of a write of job records is not known yet. The records are read again to resolve it.")
	JobBatchConflict    = define(5012, "job_batch_conflict", log.ErrorLevel, "A job record was changed by a writer that is not the owner of its home shard. The change of this host was discarded.")
)
