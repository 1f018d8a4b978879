package eventlog

import "github.com/phuslu/log"

// Events of partition owners, 7000 to 7099.
var (
	TermAcquired       = define(7000, "term_acquired", log.InfoLevel, "This entry host owns a partition from now on. `term` fences its orders.")
	TermNotAcquired    = define(7001, "term_not_acquired", log.InfoLevel, "A partition without owner could not be acquired; another entry host was first, or the store did not answer.")
	TermLost           = define(7002, "term_lost", log.WarnLevel, "Another entry host owns the partition now. This one sends no further orders.")
	TermReleased       = define(7003, "term_released", log.InfoLevel, "The owner stops and has given the partition up.")
	TermUnconfirmed    = define(7004, "term_unconfirmed", log.WarnLevel, "The store does not confirm the ownership. Task leases are not extended past the time shown until it does.")
	TermConfirmed      = define(7005, "term_confirmed", log.InfoLevel, "The store confirms the ownership again.")
	PartitionLoaded    = define(7010, "partition_loaded", log.InfoLevel, "A new owner has read the jobs and the workers that a former owner may have used.")
	PartitionNotLoaded = define(7011, "partition_not_loaded", log.WarnLevel, "A new owner cannot read its partition and tries again.")
	TakeoverComplete   = define(7012, "takeover_complete", log.InfoLevel, "Every worker of the former owner has reported or its task leases have expired; tasks of older jobs start again.")
	ProgressNotStored  = define(7013, "progress_not_stored", log.WarnLevel, "Progress could not be stored. Ends stay unacknowledged until it is.")
	ProgressStored     = define(7014, "progress_stored_again", log.InfoLevel, "Progress is stored again.")
	RecordUnreadable   = define(7015, "record_unreadable", log.ErrorLevel, "A record in the store cannot be decoded and is left out.")
	OwnerStopped       = define(7016, "owner_stopped", log.InfoLevel, "The loops of an owner have ended.")
)

// Events of tasks and workers, 7020 to 7059.
var (
	TaskStartDecided    = define(7020, "task_start", log.InfoLevel, "A task is started on a worker.")
	TaskEndTaken        = define(7021, "task_end", log.InfoLevel, "A worker listed the end of an attempt. `how` is done, failed, stopped, expired, broken or alone.")
	OrderFailed         = define(7022, "order_failed", log.WarnLevel, "A worker rejected an order or did not answer. `outcome` tells which.")
	AttemptLost         = define(7023, "attempt_lost", log.WarnLevel, "A worker reported and no longer knows an attempt; the task waits again.")
	AttemptExpired      = define(7024, "attempt_expired", log.WarnLevel, "A worker is silent and its task leases have certainly expired; the task waits again.")
	AttemptAdopted      = define(7025, "attempt_adopted", log.InfoLevel, "An attempt of a former owner goes on under this one.")
	AttemptStray        = define(7026, "attempt_stray", log.WarnLevel, "A worker runs an attempt that should not run; it is stopped.")
	JobEnded            = define(7027, "job_ended", log.InfoLevel, "A job is completed or has failed. `task` is the task that failed too often.")
	WorkerDraining      = define(7030, "worker_draining", log.InfoLevel, "A worker will leave and gets no new tasks.")
	WorkerReborn        = define(7031, "worker_reborn", log.WarnLevel, "A worker has started anew under its id; what it ran is gone.")
	WorkerHeldBack      = define(7032, "worker_held_back", log.WarnLevel, "Tasks of several jobs failed in a row on a worker; it gets none for `value` seconds of the boot clock.")
	WorkerUnreachable   = define(7033, "worker_unreachable", log.WarnLevel, "A worker does not answer. Its attempts count as running until their leases have expired.")
	WorkerReachable     = define(7034, "worker_reachable", log.InfoLevel, "A worker answers again.")
	FillersPaced        = define(7035, "fillers_paced", log.InfoLevel, "Filler tasks on a worker get `value` percent of full speed, because a service task is near its tail latency target.")
	TaskMoved           = define(7036, "task_moved", log.InfoLevel, "An attempt is stopped to run elsewhere.")
	MirrorLost          = define(7040, "mirror_lost", log.WarnLevel, "The copy of a prefix of the store is no longer up to date.")
	MirrorRecovered     = define(7041, "mirror_recovered", log.InfoLevel, "The copy of a prefix of the store is up to date again.")
	ConfigurationInUse  = define(7042, "configuration_in_use", log.InfoLevel, "A version of the configuration is in effect on this entry host.")
	DatacentresOut      = define(7043, "datacentres_out", log.InfoLevel, "The set of data centres in which no task may start has changed.")
	PartitionStatus     = define(7045, "partition_status", log.InfoLevel, "Totals of an owner, every two seconds: attempts by kind, waiting tasks, capacity in thousandths of a core.")
	PlatformEntryBroken = define(7044, "platform_entry_broken", log.WarnLevel, "An entry of the platform cannot be decoded and is left out. Logged once for each entry.")
)

// Events of submissions, 7100 to 7119.
var (
	JobStored        = define(7100, "job_stored", log.InfoLevel, "A job is accepted and stored.")
	JobKnown         = define(7101, "job_known", log.InfoLevel, "A submission repeats a job that is stored already.")
	JobRefused       = define(7102, "job_refused", log.InfoLevel, "A submission was refused; the job never runs. `reason` tells why.")
	JobUncertain     = define(7103, "job_uncertain", log.WarnLevel, "The store did not answer in time: the job may be stored.")
	JobCancelStored  = define(7104, "job_cancel_stored", log.InfoLevel, "The cancellation of a job is stored.")
	JobCancelFailed  = define(7105, "job_cancel_failed", log.WarnLevel, "The cancellation of a job could not be stored in time.")
	JobStateFailed   = define(7106, "job_state_failed", log.WarnLevel, "Neither the owner nor the store told the state of a job in time.")
	AnnounceFailed   = define(7107, "announce_failed", log.InfoLevel, "The owner did not take an announcement; it finds the record in the store.")
	RequestRefused   = define(7108, "request_refused", log.InfoLevel, "A caller got 503: nothing was stored. `reason` tells why, and what became of a submission stands in its own line.")
	SchedulerStart   = define(7110, "scheduler_start", log.InfoLevel, "The scheduling process has started.")
	SchedulerStop    = define(7111, "scheduler_stop", log.InfoLevel, "The scheduling process stops. `cause` tells why.")
	SchedulerReload  = define(7112, "scheduler_reload", log.InfoLevel, "SIGHUP: the settings file was read again.")
	ReadinessChanged = define(7113, "readiness_changed", log.InfoLevel, "The entry host takes new requests or does not.")
	LogLinesDropped  = define(7114, "log_lines_dropped", log.WarnLevel, "The log could not be written fast enough; `lines` were left out.")
)
