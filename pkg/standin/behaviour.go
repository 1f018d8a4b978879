package standin

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarcourse.example/core/structs"
)

// TaskBehaviour is the actual behaviour of one attempt, which may differ from its declaration.
type TaskBehaviour struct {
	RunTime       time.Duration     // at full speed and alone on the host, from the start of the task
	Usage         structs.Resources // at full speed
	Fails         bool              // the task fails when its progress reaches FailAt
	FailAt        float64           // 0 to 1
	NoCheckpoints bool              // checkpoint commands are refused
}

// Behaviour returns the behaviour of an attempt. It must be safe for concurrent use.
type Behaviour func(cmd structs.StartCommand) TaskBehaviour

// defaultRunTime applies when neither the command nor the behaviour gives a run time.
const defaultRunTime = time.Second

// DeclaredBehaviour runs tasks for the time that the command states and uses exactly what is reserved.
func DeclaredBehaviour(cmd structs.StartCommand) TaskBehaviour {
	run := time.Duration(cmd.RunSeconds * float64(time.Second))
	if run <= 0 {
		run = defaultRunTime
	}
	return TaskBehaviour{RunTime: run, Usage: cmd.Reserved}
}

// KindBehaviour describes how the tasks of a kind deviate from their declaration.
type KindBehaviour struct {
	RunTime          time.Duration // median; the command's run time when zero
	RunTimeLogStdDev float64       // standard deviation of the logarithm of the run time
	UsageFactor      float64       // used share of the reserved processors and memory; 1 when zero
	FailureShare     float64       // share of the attempts that fail halfway
	NoCheckpoints    bool
}

// BehaviourByKind draws the behaviour of each attempt from its kind's description. The draw depends only on the seed,
// the task and the attempt, so the order of starts does not change it.
func BehaviourByKind(seed uint64, kinds map[structs.KindName]KindBehaviour) Behaviour {
	return func(cmd structs.StartCommand) TaskBehaviour {
		b := DeclaredBehaviour(cmd)
		kind, ok := kinds[cmd.Kind]
		if !ok {
			return b
		}
		random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(cmd.Task.String())+uint64(cmd.Attempt)))
		if kind.RunTime > 0 {
			b.RunTime = kind.RunTime
		}
		b.RunTime = time.Duration(float64(b.RunTime) * math.Exp(kind.RunTimeLogStdDev*random.NormFloat64()))
		if kind.UsageFactor > 0 {
			b.Usage.MilliCPU = int64(float64(b.Usage.MilliCPU) * kind.UsageFactor)
			b.Usage.MemoryBytes = int64(float64(b.Usage.MemoryBytes) * kind.UsageFactor)
		}
		b.Fails, b.FailAt = random.Float64() < kind.FailureShare, 0.5
		b.NoCheckpoints = kind.NoCheckpoints
		return b
	}
}

// KindPair names a kind that is slowed and the co-located kind that slows it.
type KindPair struct {
	Slowed structs.KindName
	By     structs.KindName
}

// Interference gives, for pairs of kinds, the relative slowdown that one task at full speed causes on a fully
// loaded host; 0.5 makes the slowed task take 1.5 times as long. Pairwise slowdown that scales with the load
// follows Mars et al., "Bubble-Up" (MICRO 2011).
type Interference map[KindPair]float64

// neighbour is a co-located task, or the co-located requests of one kind, as a source of interference.
type neighbour struct {
	kind  structs.KindName
	share float64 // of full speed; for requests, their number
}

// slowdown returns the factor by which the neighbours lengthen the run time of work of a kind. load is the used share of
// the host's processors, 0 to 1.
func (i Interference) slowdown(kind structs.KindName, neighbours []neighbour, load float64) float64 {
	sum := 0.0
	for _, n := range neighbours {
		sum += i[KindPair{Slowed: kind, By: n.kind}] * n.share
	}
	return 1 + load*sum
}
