package learn

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
)

// replicaLoad simulates a service with two replicas on each of several hosts. Its load moves the rates of all replicas
// alike, within seconds. Fillers of two images come and go on each host, independently of other hosts, and stop for as long
// as a replica there is much slower than usual, as the guard of services does.
type replicaLoad struct {
	rnd    *rand.Rand
	load   float64 // logarithm of the slowdown that all replicas share
	heavy  []float64
	light  []float64
	paused []bool
}

const (
	replicaHosts    = 5
	replicasPerHost = 2
	heavySlowdown   = 0.15 // by each core of a heavy filler; light ones cause none
)

func newReplicaLoad(seed uint64) *replicaLoad {
	return &replicaLoad{
		rnd: rand.New(rand.NewPCG(seed, 0)), heavy: make([]float64, replicaHosts), light: make([]float64, replicaHosts),
		paused: make([]bool, replicaHosts),
	}
}

// next advances the simulation to the next report of each host.
func (l *replicaLoad) next() {
	l.load = 0.9*l.load + 0.25*l.rnd.NormFloat64()
	for h := range replicaHosts {
		if l.rnd.IntN(4) == 0 {
			l.heavy[h], l.light[h] = float64(l.rnd.IntN(6)), float64(l.rnd.IntN(6))
		}
	}
}

// report adds the measurements of one host.
func (l *replicaLoad) report(s *Slowdowns, h int, now time.Time) {
	heavy, light := l.heavy[h], l.light[h]
	if l.paused[h] {
		heavy, light = 0, 0
	}
	slow := l.load + heavySlowdown*heavy
	l.paused[h] = slow > 0.6
	for i := range replicasPerHost {
		s.Add(Measurement{
			Task: structs.TaskID{Job: "service", Index: h*replicasPerHost + i}, Attempt: 1, Kind: "service",
			Rate:       math.Exp(-slow - 0.2*l.rnd.NormFloat64()),
			Neighbours: []Exposure{{"heavy", heavy}, {"light", light}},
			Group:      structs.TaskID{Job: "service"}, Host: strconv.Itoa(h),
		}, now)
	}
}

// Guards against the load of a service that is attributed to the fillers beside it: fillers that are paused while the
// load is high appear to speed the service up, and those that slow it down are then taken for harmless.
func TestSharedLoadIsNotAttributedToNeighbours(t *testing.T) {
	for seed := range uint64(10) {
		s, l, now := NewSlowdowns(), newReplicaLoad(seed), start
		for range 100 { // 40 s
			l.next()
			for h := range replicaHosts {
				now = now.Add(80 * time.Millisecond)
				l.report(s, h, now)
			}
		}
		s.Refresh(now.Add(SolveInterval))
		if got := s.LogSlowdown("service", "heavy"); math.Abs(got-heavySlowdown) > heavySlowdown/3 {
			t.Errorf("seed %d: slowdown by heavy fillers %.2f, want %.2f", seed, got, heavySlowdown)
		}
		if got := s.LogSlowdown("service", "light"); got > heavySlowdown/3 {
			t.Errorf("seed %d: slowdown by light fillers %.2f, want 0", seed, got)
		}
	}
}

// Guards against a comparison of attempts on one host: they have the same neighbours, so their difference shows nothing.
func TestReplicasOnOneHostShowSlowdowns(t *testing.T) {
	s, now := NewSlowdowns(), start
	for n := range 60 {
		heavy := float64(n / 5 % 2)
		for i := range replicasPerHost {
			s.Add(Measurement{
				Task: structs.TaskID{Job: "service", Index: i}, Attempt: 1, Kind: "service", Rate: math.Exp(-0.5 * heavy),
				Neighbours: []Exposure{{"heavy", heavy}}, Group: structs.TaskID{Job: "service"}, Host: "w",
			}, now)
		}
		now = now.Add(400 * time.Millisecond)
	}
	s.Refresh(now.Add(SolveInterval))
	if got := s.LogSlowdown("service", "heavy"); math.Abs(got-0.5) > 0.1 {
		t.Errorf("slowdown %.2f, want 0.5", got)
	}
}

// Guards against groups that are kept for good after their service has ended.
func TestIdleGroupsAreRemoved(t *testing.T) {
	s, l := NewSlowdowns(), newReplicaLoad(1)
	l.report(s, 0, start)
	l.report(s, 0, start.Add(time.Second))
	s.Refresh(start.Add(HistoryRetention + time.Minute))
	if len(s.groups) > 0 || len(s.baselines) > 0 {
		t.Errorf("%d groups and %d baselines are left", len(s.groups), len(s.baselines))
	}
}

// BenchmarkMeasurementsOfServices measures the addition of one measurement in a large fleet: each of 16 services has replicas on
// many hosts, which run fillers of a few of 30 images.
func BenchmarkMeasurementsOfServices(b *testing.B) {
	const services, images, hosts, fillersPerHost = 16, 30, 900, 4
	rnd := rand.New(rand.NewPCG(1, 2))
	s := NewSlowdowns()
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for n := range b.N {
		host := n % hosts
		service := structs.KindName("service" + strconv.Itoa(host%services))
		exposures := make([]Exposure, fillersPerHost)
		for i := range exposures {
			exposures[i] = Exposure{structs.KindName("filler" + strconv.Itoa(rnd.IntN(images))), rnd.Float64()}
		}
		now = now.Add(time.Second / 2 / hosts)
		s.Add(Measurement{
			Task: structs.TaskID{Job: structs.JobID(service), Index: host}, Attempt: 1, Kind: service, Rate: 0.1 + rnd.Float64(),
			Neighbours: exposures, Group: structs.TaskID{Job: structs.JobID(service)}, Host: strconv.Itoa(host),
		}, now)
	}
}
