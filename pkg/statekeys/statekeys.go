// Package statekeys names the keys of the scheduler's state in the store.
package statekeys

import (
	"fmt"
	"hash/fnv"
	"strings"

	"fulmarcourse.example/core/workload"
)

const root = "fulmarcourse/"

// Partition numbers a part of the jobs and workers with one owner, from 0.
type Partition int

// PartitionOf returns the partition of a job.
func PartitionOf(id workload.JobID, partitions int) Partition {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	return Partition(h.Sum32() % uint32(max(partitions, 1)))
}

// Owners is the prefix of the ownership records of all partitions.
const Owners = root + "owners/"

// Holder is the key of the leased record of a partition's owner.
func Holder(p Partition) string { return fmt.Sprintf("%s%d/holder", Owners, p) }

// Term is the key of the number of the newest owner of a partition. It is never deleted.
func Term(p Partition) string { return fmt.Sprintf("%s%d/term", Owners, p) }

// Submissions is the prefix of the jobs and cancellations of a partition.
func Submissions(p Partition) string { return fmt.Sprintf("%s%d/submissions/", root, p) }

// Job is the key of an accepted job.
func Job(p Partition, id workload.JobID) string { return Submissions(p) + string(id) + "/job" }

// Cancel is the key of the cancellation of a job.
func Cancel(p Partition, id workload.JobID) string { return Submissions(p) + string(id) + "/cancel" }

// ParseSubmission returns the job id of a key under Submissions and whether it is a cancellation.
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

// ProgressPrefix is the prefix of the progress of a partition's jobs.
func ProgressPrefix(p Partition) string { return fmt.Sprintf("%s%d/progress/", root, p) }

// Progress is the key of the progress of a job.
func Progress(p Partition, id workload.JobID) string { return ProgressPrefix(p) + string(id) }

// KnownWorkers is the key of the workers that owners of a partition have used.
func KnownWorkers(p Partition) string { return fmt.Sprintf("%s%d/roster", root, p) }

// Interference is the key of what the owners of a partition have learned of interference between tasks.
func Interference(p Partition) string { return fmt.Sprintf("%s%d/interference", root, p) }

// Hosts is the prefix of the leased records of the live entry hosts.
const Hosts = root + "hosts/"

// Host is the key of the record of an entry host.
func Host(name string) string { return Hosts + name }
