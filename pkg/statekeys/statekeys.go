// Package statekeys defines the keys of the scheduler's state in the store.
package statekeys

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"fulmarcourse.example/core/workload"
)

const root = "fulmarcourse/"

// Partition is the number of a partition, from 0. A partition is a subset of the jobs and workers with one owner.
type Partition int

// PartitionOf returns the partition of a job.
func PartitionOf(id workload.JobID, partitions int) Partition {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	return Partition(h.Sum32() % uint32(max(partitions, 1)))
}

// Owners is the prefix of the ownership records of all partitions.
const Owners = root + "owners/"

// Owner returns the key of the record of a partition's owner, which is stored under a lease.
func Owner(p Partition) string { return fmt.Sprintf("%s%d/holder", Owners, p) }

// Term returns the key of the term of a partition's newest owner. The key is never deleted.
func Term(p Partition) string { return fmt.Sprintf("%s%d/term", Owners, p) }

// TermCopy returns the key of a copy of the owner's record, with the term, but without a lease. Each owner writes it in the transaction that
// writes the term. The two have the same revision unless another writer has changed one of them. The key is never deleted.
func TermCopy(p Partition) string { return fmt.Sprintf("%s%d/term-copy", Owners, p) }

// Submissions returns the prefix of the keys of the jobs and cancellations of a partition.
func Submissions(p Partition) string { return fmt.Sprintf("%s%d/submissions/", root, p) }

// Job returns the key of an accepted job.
func Job(p Partition, id workload.JobID) string { return Submissions(p) + string(id) + "/job" }

// Cancel returns the key of the cancellation of a job.
func Cancel(p Partition, id workload.JobID) string { return Submissions(p) + string(id) + "/cancel" }

// EarlyCancel returns the key of the cancellation of a job that is not stored. It keeps submissions of the job from being stored.
func EarlyCancel(p Partition, id workload.JobID) string {
	return Submissions(p) + string(id) + earlyCancelSuffix
}

const earlyCancelSuffix = "/early-cancel"

// ParseEarlyCancel returns the job ID of a key of EarlyCancel; ok is false for other keys.
func ParseEarlyCancel(p Partition, key string) (id workload.JobID, ok bool) {
	rest, ok := strings.CutPrefix(key, Submissions(p))
	if !ok {
		return "", false
	}
	name, ok := strings.CutSuffix(rest, earlyCancelSuffix)
	return workload.JobID(name), ok
}

// ParseSubmission returns the job ID of a key under Submissions and whether the key is that of a cancellation; ok is
// false for other keys.
func ParseSubmission(p Partition, key string) (id workload.JobID, cancel, ok bool) {
	rest, ok := strings.CutPrefix(key, Submissions(p))
	if !ok {
		return "", false, false
	}
	if name, found := strings.CutSuffix(rest, "/job"); found {
		return workload.JobID(name), false, true
	}
	if name, found := strings.CutSuffix(rest, "/cancel"); found {
		return workload.JobID(name), true, true
	}
	return "", false, false
}

// ProgressPrefix returns the prefix of the keys of the progress of a partition's jobs.
func ProgressPrefix(p Partition) string { return fmt.Sprintf("%s%d/progress/", root, p) }

// Progress returns the key of the progress of a job.
func Progress(p Partition, id workload.JobID) string { return ProgressPrefix(p) + string(id) }

// maxKnownWorkersParts bounds the numbers of the parts of the known workers.
const maxKnownWorkersParts = 10000

// KnownWorkersPrefix returns the prefix of the parts of the known workers from the second one on.
func KnownWorkersPrefix(p Partition) string { return fmt.Sprintf("%s%d/roster/", root, p) }

// KnownWorkers returns the key of a part of the list of workers that the owners of a partition have used. Parts are numbered from
// 0. The first one has the key under which former versions have stored the whole list.
func KnownWorkers(p Partition, part int) string {
	if part == 0 {
		return fmt.Sprintf("%s%d/roster", root, p)
	}
	return KnownWorkersPrefix(p) + strconv.Itoa(part)
}

// ParseKnownWorkers returns the number of the part that a key names; ok is false for other keys.
func ParseKnownWorkers(p Partition, key string) (part int, ok bool) {
	if key == KnownWorkers(p, 0) {
		return 0, true
	}
	text, ok := strings.CutPrefix(key, KnownWorkersPrefix(p))
	if !ok {
		return 0, false
	}
	part, err := strconv.Atoi(text)
	return part, err == nil && part > 0 && part < maxKnownWorkersParts && strconv.Itoa(part) == text
}

// Interference returns the key of the model of interference between tasks that the owners of a partition have learned.
func Interference(p Partition) string { return fmt.Sprintf("%s%d/interference", root, p) }

// RetentionClock returns the key of the latest reading of the clock with which the retention of a partition's ended jobs is measured.
func RetentionClock(p Partition) string { return fmt.Sprintf("%s%d/retention-clock", root, p) }

// Hosts is the prefix of the records of the live entry hosts, which are stored under leases.
const Hosts = root + "hosts/"

// Host returns the key of the record of an entry host.
func Host(name string) string { return Hosts + name }
