package integration

import (
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

// others returns all entry hosts but one.
func others(c *cluster.Cluster, without structs.HostID) []structs.HostID {
	var hosts []structs.HostID
	for _, id := range c.Entries() {
		if id != without {
			hosts = append(hosts, id)
		}
	}
	return hosts
}

// awaitTakeover waits until a shard has another owner than former.
func awaitTakeover(c *cluster.Cluster, shard structs.ShardID, former structs.HostID) {
	c.Await("another owner of shard "+shard.String(), func() bool {
		now := c.Owner(shard)
		return now != "" && now != former
	})
}

// Guards against quotes that run twice, run although they were reported as not run, or get a wrong answer when an owner
// is killed, or is frozen and resumes after a takeover, with requests in progress.
func TestRequestsWhileOwnersDieAndFreeze(t *testing.T) {
	c := start(t, cluster.Small())
	l := startLoad(t, c, false)
	l.awaitAnswers("no fault", time.Now(), c.Entries()...)

	shard := structs.ShardID{Datacentre: "a", Index: 0}
	killed := c.Owner(shard)
	since := time.Now()
	c.Kill(killed)
	l.awaitAnswers("owner killed", since, others(c, killed)...)
	awaitTakeover(c, shard, killed)
	since = time.Now()
	l.awaitAnswers("after the takeover", since, others(c, killed)...)
	c.Restart(killed)
	c.AwaitReady(killed)
	l.awaitAnswers("owner restarted", time.Now(), c.Entries()...)

	shard = structs.ShardID{Datacentre: "b", Index: 1}
	frozen := c.Owner(shard)
	since = time.Now()
	c.Pause(frozen)
	awaitTakeover(c, shard, frozen)
	l.awaitAnswers("owner frozen", since, others(c, frozen)...)
	c.Resume(frozen)
	l.awaitAnswers("owner resumed", time.Now(), c.Entries()...)
	l.finish()
}

// Guards against wrong, incomplete or repeated answers when runners answer late, in part, with the answer to another
// request, without an attempt id, or not at all, and against slots that are permanently lost because of it.
func TestRequestsWhileRunnersAnswerWrongly(t *testing.T) {
	c := start(t, cluster.Small())
	l := startLoad(t, c, false)
	l.awaitAnswers("no fault", time.Now(), c.Entries()...)
	const rounds, faults = 2, 5
	since := time.Now()
	for i, lateBy := range []time.Duration{loadDeadline / 2, 2 * loadDeadline} {
		for _, r := range c.Platform.Runners {
			r.SetAnswerDelay(lateBy)
			for range rounds {
				r.FailAnswers(standin.AnswerLate, standin.AnswerTruncated, standin.AnswerMismatched, standin.AnswerWithoutID, standin.AnswerLost)
			}
		}
		c.Await("runners have given all faulty answers", func() bool { return faulty(c) >= (i+1)*rounds*faults*len(c.Platform.Runners) })
	}
	l.awaitAnswers("wrong answers", since, c.Entries()...)
	l.awaitAnswers("after the wrong answers", time.Now(), c.Entries()...)
	l.finish()
}

// faulty returns the number of answers that runners gave with a fault.
func faulty(c *cluster.Cluster) int {
	n := 0
	for _, e := range c.Platform.History.OfType(standin.RequestAnswered) {
		if e.Detail != "" {
			n++
		}
	}
	return n
}

// Guards against a data centre that stops answering its own callers when it is partitioned from the others and from the
// store, and against requests that run twice or are misreported when the partition starts and ends.
func TestRequestsInPartitionedDatacentre(t *testing.T) {
	c := start(t, cluster.Small())
	l := startLoad(t, c, false)
	l.awaitAnswers("no fault", time.Now(), c.Entries()...)
	cutAt := time.Now()
	c.IsolateDatacentre("a")
	l.awaitAnswers("at the cut", cutAt, c.Entries()...)
	// From here on, only the promises of the members in the data centre keep the ownership valid.
	for index := range 2 {
		shard := structs.ShardID{Datacentre: "a", Index: index}
		c.Await("the owner lease of shard "+shard.String()+" has ended", func() bool { return c.Owner(shard) == "" })
	}
	l.awaitAnswers("longer than the owner lease", time.Now(), c.Entries()...)
	healedAt := time.Now()
	c.Heal()
	l.awaitAnswers("healed", healedAt, c.Entries()...)
	l.finish()
}

// Guards against requests that run twice, are misreported or get incomplete answers when the links between entry hosts
// and to runners are slow and lose connections after any byte.
func TestRequestsOverLossyLinks(t *testing.T) {
	c := start(t, cluster.Small())
	l := startLoad(t, c, false)
	l.awaitAnswers("no fault", time.Now(), c.Entries()...)
	links := func(_, to string) bool { return to != "store" && to != "hostlist" }
	since := time.Now()
	c.DelayLinks(40*time.Millisecond, links)
	l.awaitAnswers("slow links", since, c.Entries()...)
	const maxBytes = 4096
	since = time.Now()
	c.LoseConnections(0.5, maxBytes, links)
	l.awaitAnswers("lossy links", since, c.Entries()...)
	c.LoseConnections(0, 0, links)
	c.DelayLinks(5*time.Millisecond, links)
	l.awaitAnswers("links recovered", time.Now(), c.Entries()...)
	l.finish()
}
