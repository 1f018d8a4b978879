package measure

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

// Flags of the measuring tests.
var (
	measuring = flag.Bool("measure", false, "run the measurements and print tables; without it only the tool itself is tested")
	baseline  = flag.String("baseline", "", "path of another test binary of this package, which is measured in turn with this one")
	repeats   = flag.Int("repeats", 1, "number of clusters measured at each size")
	window    = flag.Duration("window", 10*time.Second, "time over which each value is averaged")
	settle    = flag.Duration("settle", 4*time.Second, "time between the start of a cluster and its measurement")
)

func TestMain(m *testing.M) { cluster.Main(m) }

const seed = 1

// dcName returns the name of the nth data centre.
func dcName(n int) structs.DatacentreID { return structs.DatacentreID(string(rune('a' + n))) }

// document returns a document with n data centres that accept all kinds of work.
func document(n int) string {
	names := make([]string, n)
	var b strings.Builder
	b.WriteString("[environment]\nname = production\n")
	for i := range n {
		names[i] = string(dcName(i))
		fmt.Fprintf(&b, "[datacentre %s]\nbatch = yes\n", names[i])
	}
	fmt.Fprintf(&b, "[service quotes]\ndatacentres = %s\n", strings.Join(names, ", "))
	b.WriteString(kinds)
	return b.String()
}

const kinds = `[kind quote]
class = latency-critical
service = quotes
idempotent = no
deadline = 2s
[kind preview]
class = latency-critical
service = quotes
idempotent = yes
deadline = 2s
[kind trace]
class = batch
idempotent = yes
checkpointable = yes
cpu = 0.5
memory = 1GiB
run-time = 5s
[team cutters]
cpu = 100000
memory = 400000GiB
`

// datacentres returns n data centres of the same shape.
func datacentres(n int, shape cluster.Datacentre) []cluster.Datacentre {
	all := make([]cluster.Datacentre, n)
	for i := range all {
		all[i] = shape
		all[i].ID = dcName(i)
	}
	return all
}

// config configures a cluster of the given data centres. The fake workers advance tasks less often than in other tests,
// to leave the processors to the entry hosts.
func config(dcs []cluster.Datacentre) cluster.Config {
	return cluster.Config{
		Datacentres: dcs,
		Document:    document(len(dcs)),
		Service:     "quotes",
		Worker: standin.WorkerConfig{
			Capacity: structs.Resources{MilliCPU: 16_000, MemoryBytes: 60 << 30, Accelerators: 2},
		},
		Runner: standin.RunnerConfig{
			ServiceTime: map[structs.KindName]time.Duration{"quote": 50 * time.Millisecond, "preview": 50 * time.Millisecond},
		},
		AdvanceInterval: 100 * time.Millisecond,
		Seed:            seed,
	}
}

// sweep measures each size with each program in turn and prints a table. load prepares a cluster and returns the
// function that runs during the measurement.
func sweep(t *testing.T, title, size string, sizes []int, build func(int) cluster.Config, load func(*cluster.Cluster, int) func()) {
	t.Helper()
	if !*measuring {
		return
	}
	variants := []string{""}
	if *baseline != "" {
		variants = []string{*baseline, ""}
	}
	var points []Point
	for range *repeats {
		for _, n := range sizes {
			for _, v := range variants {
				if sample, ran := measureOne(t, n, v, build, load); ran {
					points = append(points, Point{Variant: label(v), Size: float64(n), Sample: sample})
				}
			}
		}
	}
	slices.SortStableFunc(points, func(a, b Point) int { return int(a.Size - b.Size) })
	fmt.Printf("\n%s (per entry host)\n\n%s\n", title, Table(size, points))
}

// label returns the label of a program in tables: "before" for the baseline, empty for this binary.
func label(binary string) string {
	if binary == "" {
		return ""
	}
	return "before"
}

// measureOne measures one cluster. ran is false if -test.run excludes the measurement.
func measureOne(
	t *testing.T, n int, binary string, build func(int) cluster.Config, load func(*cluster.Cluster, int) func(),
) (sample Sample, ran bool) {
	t.Helper()
	t.Run(fmt.Sprintf("%d%s", n, label(binary)), func(t *testing.T) {
		cfg := build(n)
		cfg.Binary = binary
		c := cluster.Start(t, cfg)
		during := load(c, n)
		pause(*settle)
		var err error
		if sample, err = MeasureDuring(c, during); err != nil {
			t.Fatal(err)
		}
		ran = true
	})
	return sample, ran
}

// idle is a load that does nothing during the window.
func idle(*cluster.Cluster, int) func() { return func() { pause(*window) } }

// Guards against values that are read from the wrong field of the process status.
func TestReadProcess(t *testing.T) {
	got, err := parseStat("7 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 8 0 99 1000 25 18446744073709551615 1")
	if err != nil {
		t.Fatal(err)
	}
	if want := (Process{CPU: 2 * time.Second, Resident: 25 * int64(os.Getpagesize())}); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	if _, err := parseStat("7 (short) S 1"); err == nil {
		t.Fatal("no error for a short status")
	}
	if own, err := ReadProcess(os.Getpid()); err != nil || own.Resident <= 0 {
		t.Fatalf("%+v, %v", own, err)
	}
}

// Guards against a line that is not the least-squares line of the points.
func TestLine(t *testing.T) {
	var points []Point
	for _, x := range []float64{10, 40, 100} {
		points = append(points, Point{Size: x, Sample: Sample{CPUPercent: 3*x + 7}})
	}
	slope, intercept := line(points, func(s Sample) float64 { return s.CPUPercent })
	if math.Abs(slope-3) > 1e-9 || math.Abs(intercept-7) > 1e-9 {
		t.Fatalf("slope %g, at 0 %g", slope, intercept)
	}
}
