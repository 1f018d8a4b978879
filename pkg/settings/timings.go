package settings

import (
	"time"

	"fulmarcourse.example/core/inifile"
)

// Timings are the time limits of the protocols between entry hosts, store and workers (design, sections 4, 5
// and 9). All entry hosts of an environment must use the same values.
type Timings struct {
	OwnerLeaseTTL     time.Duration // store lease of shard records
	OwnerMargin       time.Duration // ownership ends this long before its lease
	OwnerRenewal      time.Duration // interval of lease renewals
	PromiseTTL        time.Duration // a promise not to claim a peer's shards
	PermitTTL         time.Duration // age at which a confirmation that a data centre is in service expires
	TaskLeaseTTL      time.Duration // lease of tasks on workers
	TaskRenewal       time.Duration // interval of task lease renewals
	TaskHorizon       time.Duration // jobs of a lost data centre move after this time
	MemberLeaseTTL    time.Duration // store lease of member records
	ControlPoll       time.Duration // interval of store polls
	HeartbeatInterval time.Duration // within a data centre
	RemoteHeartbeat   time.Duration // between data centres
	JobFlush          time.Duration // interval of group commits of job records
}

// DefaultTimings returns the timings of the design.
func DefaultTimings() Timings {
	return Timings{
		OwnerLeaseTTL:     4 * time.Second,
		OwnerMargin:       700 * time.Millisecond,
		OwnerRenewal:      time.Second,
		PromiseTTL:        3 * time.Second,
		PermitTTL:         3 * time.Second,
		TaskLeaseTTL:      15 * time.Second,
		TaskRenewal:       time.Second,
		TaskHorizon:       75 * time.Minute,
		MemberLeaseTTL:    60 * time.Second,
		ControlPoll:       time.Second,
		HeartbeatInterval: 500 * time.Millisecond,
		RemoteHeartbeat:   time.Second,
		JobFlush:          25 * time.Millisecond,
	}
}

// timing is one key of [timings] with its range.
type timing struct {
	key       string
	value     *time.Duration
	low, high time.Duration
}

// table lists the keys. The upper limit of permit_ttl is invariant I4: no task starts more than 3 s after a
// removal. The lower limit of task_horizon is the hour for which regions may be partitioned.
func (t *Timings) table() []timing {
	return []timing{
		{"owner_lease_ttl", &t.OwnerLeaseTTL, 2 * time.Second, time.Minute},
		{"owner_margin", &t.OwnerMargin, 100 * time.Millisecond, 10 * time.Second},
		{"owner_renewal", &t.OwnerRenewal, 100 * time.Millisecond, 10 * time.Second},
		{"promise_ttl", &t.PromiseTTL, time.Second, time.Minute},
		{"permit_ttl", &t.PermitTTL, time.Second, 3 * time.Second},
		{"task_lease_ttl", &t.TaskLeaseTTL, 3 * time.Second, 5 * time.Minute},
		{"task_renewal", &t.TaskRenewal, 100 * time.Millisecond, time.Minute},
		{"task_horizon", &t.TaskHorizon, time.Hour, 24 * time.Hour},
		{"member_lease_ttl", &t.MemberLeaseTTL, 10 * time.Second, 10 * time.Minute},
		{"control_poll", &t.ControlPoll, 100 * time.Millisecond, 2 * time.Second},
		{"heartbeat_interval", &t.HeartbeatInterval, 50 * time.Millisecond, time.Second},
		{"remote_heartbeat", &t.RemoteHeartbeat, 50 * time.Millisecond, 2 * time.Second},
		{"job_flush", &t.JobFlush, time.Millisecond, time.Second},
	}
}

// rule states that the sum of some timings stays below a limit.
type rule struct {
	key     string // key named in the finding
	sum     time.Duration
	limit   time.Duration
	message string
}

func (t *Timings) rules() []rule {
	return []rule{
		{"owner_margin", t.OwnerMargin + t.OwnerRenewal, t.OwnerLeaseTTL,
			"ownership would lapse between renewals: owner_margin and owner_renewal together reach owner_lease_ttl"},
		{"promise_ttl", t.RemoteHeartbeat, t.PromiseTTL, "promises would lapse between heartbeats"},
		{"permit_ttl", t.ControlPoll, t.PermitTTL, "confirmations would expire between store polls"},
		{"task_lease_ttl", 2 * t.TaskRenewal, t.TaskLeaseTTL, "task leases would not survive one lost renewal"},
		{"member_lease_ttl", t.OwnerLeaseTTL, t.MemberLeaseTTL, "members would vanish from the registry before their shards are released"},
	}
}

func (t *Timings) read(s *inifile.Section) {
	table := t.table()
	keys := make([]string, len(table))
	for i, entry := range table {
		keys[i] = entry.key
	}
	s.Known(keys...)
	for _, entry := range table {
		*entry.value = inifile.Optional(s, entry.key, inifile.Duration(entry.low, entry.high), *entry.value)
	}
	for _, r := range t.rules() {
		if r.sum >= r.limit {
			s.Add(r.key, r.message, "a sum below "+r.limit.String()+"; it is "+r.sum.String())
		}
	}
}
