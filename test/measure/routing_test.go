package measure

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarcourse.example/core/routing"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

// Size of the cluster of the first firm in docs/design.md, section 1: 65 runners of 8 slots in three data centres.
const (
	firmRunners    = 65
	slotsPerRunner = 8
	firmSlots      = firmRunners * slotsPerRunner
)

// Times and factors of the routing measurement.
const (
	deadlineFactor = 5 // deadline of a request as a multiple of the service time
	linkDelay      = 5 * time.Millisecond
	slowLinkDelay  = 60 * time.Millisecond
	slowFactor     = 5 // service time of the slow runner as a multiple of the usual one
	warmUp         = 1500 * time.Millisecond
	recoveryPause  = 1500 * time.Millisecond // lets queues and limits recover from the previous load
)

// Flags of the routing measurement. The service time must be long enough for one machine to run the load generator, the
// fakes and the entry hosts at three times the capacity; the columns of processor time show whether it is.
var (
	loadTime    = flag.Duration("load", 4*time.Second, "time after the warm-up during which the requests of each load are counted")
	serviceTime = flag.Duration("service", 400*time.Millisecond, "mean service time of the runners")
	loadFilter  = flag.String("only", "", "substring of the names of the loads to measure; all if empty")
)

// scenario is one load on the cluster of the first firm.
type scenario struct {
	name    string
	percent int  // of the capacity of all slots
	onlyA   bool // all requests arrive in data centre a
	begin   func(*cluster.Cluster)
	end     func(*cluster.Cluster)
}

func scenarios() []scenario {
	var all []scenario
	for _, percent := range []int{50, 70, 85, 95, 120} {
		all = append(all, scenario{name: fmt.Sprintf("%d %%", percent), percent: percent})
	}
	runner := func(c *cluster.Cluster) *standin.Runner { return c.Platform.Runners["a-0-runner-0"] }
	return append(all,
		scenario{name: "70 %, one slow runner", percent: 70,
			begin: func(c *cluster.Cluster) { runner(c).SetSlowdown(slowFactor) },
			end:   func(c *cluster.Cluster) { runner(c).SetSlowdown(1) }},
		scenario{name: "70 %, one frozen runner", percent: 70,
			begin: func(c *cluster.Cluster) { runner(c).SetFrozen(true) },
			end:   func(c *cluster.Cluster) { runner(c).SetFrozen(false) }},
		scenario{name: "70 %, one slow link", percent: 70,
			begin: func(c *cluster.Cluster) { slowLink(c, slowLinkDelay) },
			end:   func(c *cluster.Cluster) { slowLink(c, linkDelay) }},
		scenario{name: "70 %, all in one data centre", percent: 70, onlyA: true},
		scenario{name: "goodput at 100 %", percent: 100},
		scenario{name: "goodput at 150 %", percent: 150},
		scenario{name: "goodput at 300 %", percent: 300},
	)
}

// slowLink sets the delay of the links between the data centres a and b.
func slowLink(c *cluster.Cluster, delay time.Duration) {
	c.DelayLinks(delay, func(from, to string) bool {
		return (from[:1] == "a" && to[:1] == "b") || (from[:1] == "b" && to[:1] == "a")
	})
}

// firmCluster configures the cluster of the first firm with a routing policy.
func firmCluster(policy string) cluster.Config {
	cfg := config([]cluster.Datacentre{
		{ID: "a", EntryHosts: 2, Racks: 11, RunnersPerRack: 2},
		{ID: "b", EntryHosts: 2, Racks: 11, RunnersPerRack: 2},
		{ID: "c", EntryHosts: 2, Racks: 7, RunnersPerRack: 3},
	})
	cfg.Runner.ServiceTime = map[structs.KindName]time.Duration{"quote": *serviceTime, "preview": *serviceTime}
	cfg.NodeSettings = "routing_policy = " + policy
	cfg.LinkDelay = linkDelay
	cfg.DirectBackends = true
	return cfg
}

// scenarioResult is the result of one scenario.
type scenarioResult struct {
	*RequestStats
	repeats    int
	remoteRuns int           // requests run in another data centre than the caller's
	runs       int           // requests run in any data centre
	counted    time.Duration // during which requests were counted
	hostCPU    time.Duration // processor time of all entry hosts, including the warm-up
	ownCPU     time.Duration // processor time of this process with the load and the fakes, including the warm-up
}

// Measures the routing policies. Each repetition measures every policy on a separate cluster.
func TestRouting(t *testing.T) {
	if !*measuring {
		return
	}
	policies := []string{routing.RandomName, routing.TwoChoicesName, routing.SlotAwareName}
	results := map[string]*scenarioResult{}
	variants := []string{""}
	if *baseline != "" {
		variants = []string{*baseline, ""}
	}
	var names []string
	for _, policy := range policies {
		for _, binary := range variants {
			names = append(names, variant(policy, binary))
		}
	}
	for round := range *repeats {
		for _, policy := range policies {
			for _, binary := range variants {
				t.Run(fmt.Sprint(variant(policy, binary), round), func(t *testing.T) {
					measurePolicy(t, policy, binary, uint64(round), results)
				})
			}
		}
	}
	fmt.Printf("\n| load | policy | requests | p50 ms | p99 ms | p99.9 ms | not run %% | unknown or lost %% | run | other data centre %% | goodput/s | cores, entry hosts | cores, load |\n")
	fmt.Printf("| --- | --- |%s\n", strings.Repeat(" ---: |", 11))
	for _, s := range scenarios() {
		for _, name := range names {
			if r := results[s.name+name]; r != nil {
				printResult(s.name, name, r)
			}
		}
	}
}

// variant identifies a policy in one of the two programs.
func variant(policy, binary string) string { return strings.TrimSpace(policy + " " + label(binary)) }

func printResult(load, variant string, r *scenarioResult) {
	ms := func(quantile float64) float64 { return float64(r.Latency.ValueAtQuantile(quantile)) / 1000 }
	share := func(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
	cores := func(d time.Duration) float64 {
		return d.Seconds() / (r.counted.Seconds() + float64(r.repeats)*warmUp.Seconds())
	}
	fmt.Printf("| %s | %s | %d | %.0f | %.0f | %.0f | %.2f | %.3f | %d | %.1f | %.0f | %.1f | %.1f |\n", load, variant, r.Total(), ms(50),
		ms(99), ms(99.9), share(r.NotRun, r.Total()), share(r.Unknown+r.Lost, r.Total()), r.runs, share(r.remoteRuns, r.runs),
		float64(r.Answered)/r.counted.Seconds(), cores(r.hostCPU), cores(r.ownCPU))
}

func measurePolicy(t *testing.T, policy, binary string, round uint64, results map[string]*scenarioResult) {
	cfg := firmCluster(policy)
	cfg.Binary = binary
	c := cluster.Start(t, cfg)
	pause(*settle)
	for i, s := range scenarios() {
		if !strings.Contains(s.name, *loadFilter) {
			continue
		}
		if s.begin != nil {
			s.begin(c)
		}
		got := runScenario(t, c, s, fmt.Sprint(i), seed+round)
		if s.end != nil {
			s.end(c)
		}
		if total, found := results[s.name+variant(policy, binary)]; found {
			total.Merge(got.RequestStats)
			total.repeats++
			total.remoteRuns, total.runs = total.remoteRuns+got.remoteRuns, total.runs+got.runs
			total.counted, total.hostCPU, total.ownCPU = total.counted+got.counted, total.hostCPU+got.hostCPU, total.ownCPU+got.ownCPU
		} else {
			results[s.name+variant(policy, binary)] = got
		}
		pause(recoveryPause)
	}
}

// runScenario sends the load of a scenario in equal shares to all data centres, or all of it to data centre a if onlyA
// is set.
func runScenario(t *testing.T, c *cluster.Cluster, s scenario, id string, seed uint64) *scenarioResult {
	bases := map[structs.DatacentreID][]string{}
	for _, entry := range c.Entries() {
		e := c.Entry(entry)
		if !s.onlyA || e.Datacentre == "a" {
			bases[e.Datacentre] = append(bases[e.Datacentre], e.HTTP)
		}
	}
	rate := float64(s.percent) / 100 * firmSlots / serviceTime.Seconds() / float64(len(bases))
	ctx, cancel := context.WithTimeout(t.Context(), warmUp+*loadTime)
	defer cancel()
	result := &scenarioResult{RequestStats: NewRequestStats(), repeats: 1, counted: *loadTime}
	before := processorTimes(t, c)
	var mu sync.Mutex
	var wait sync.WaitGroup
	for dc, urls := range bases {
		wait.Go(func() {
			load := Load{
				Rate: rate, Deadline: deadlineFactor * *serviceTime, Kind: "quote", Bases: urls,
				Label: fmt.Sprintf("%s %s", id, dc), Seed: seed + uint64(dc[0]),
			}
			got := load.Run(ctx, warmUp)
			mu.Lock()
			defer mu.Unlock()
			result.Merge(got)
		})
	}
	wait.Wait()
	after := processorTimes(t, c)
	result.hostCPU, result.ownCPU = after.entries-before.entries, after.own-before.own
	result.runs, result.remoteRuns = countRuns(c, id)
	return result
}

// usedCPU is the processor time of the entry hosts and of this process.
type usedCPU struct{ entries, own time.Duration }

func processorTimes(t *testing.T, c *cluster.Cluster) usedCPU {
	t.Helper()
	r, err := read(c)
	if err != nil {
		t.Fatal(err)
	}
	own, err := ReadProcess(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	return usedCPU{r.processes.CPU, own.CPU}
}

// countRuns counts the requests of a scenario that a runner ran, and those among them whose runner is in another data
// centre than the caller. Request bodies have the form "scenario datacentre counted number"; hosts are named after
// their data centres.
func countRuns(c *cluster.Cluster, id string) (all, elsewhere int) {
	for _, e := range c.Platform.History.OfType(standin.RequestStarted) {
		fields := strings.Fields(e.Body)
		if len(fields) != 4 || fields[0] != id || fields[2] != "true" {
			continue
		}
		all++
		if !strings.HasPrefix(string(e.Host), fields[1]+"-") {
			elsewhere++
		}
	}
	return all, elsewhere
}
