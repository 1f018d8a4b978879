package document

import (
	"time"

	"fulmarcourse.example/core/inifile"
	"fulmarcourse.example/core/structs"
)

// Limits of a request's deadline. A deadline below 1 ms cannot be met over any network link; work that takes longer
// than 10 minutes belongs in a batch kind.
const (
	minDeadline = time.Millisecond
	maxDeadline = 10 * time.Minute
)

// Keys that only one class of kinds has.
var (
	latencyCriticalKeys = []string{"service", "deadline"}
	batchKeys           = []string{"checkpointable", "cpu", "memory", "accelerators", "run-time"}
)

var classFormat = inifile.OneOf(string(structs.LatencyCritical), string(structs.Batch))

func (p *parser) readKind(s *inifile.Section) {
	s.RejectUnknownKeys("class", "service", "idempotent", "checkpointable", "cpu", "memory", "accelerators", "run-time", "deadline")
	kind := structs.Kind{Name: structs.KindName(s.Label)}
	class, classKnown := inifile.Required(s, "class", classFormat)
	kind.Class = structs.Class(class)
	// There is no default: wrongly assuming that a kind is idempotent could charge a caller twice.
	kind.Idempotent, _ = inifile.Required(s, "idempotent", inifile.YesNo)
	if classKnown && kind.Class == structs.LatencyCritical {
		readLatencyCritical(s, &kind)
	}
	if classKnown && kind.Class == structs.Batch {
		readBatch(s, &kind)
	}
	p.doc.Kinds[kind.Name] = kind
	p.kinds[kind.Name] = s
}

func readLatencyCritical(s *inifile.Section, kind *structs.Kind) {
	rejectKeys(s, batchKeys, "the key applies to batch kinds only")
	service, _ := inifile.Required(s, "service", inifile.Name)
	kind.Service = structs.ServiceName(service)
	kind.Deadline, _ = inifile.Required(s, "deadline", inifile.Duration(minDeadline, maxDeadline))
}

func readBatch(s *inifile.Section, kind *structs.Kind) {
	rejectKeys(s, latencyCriticalKeys, "the key applies to latency-critical kinds only")
	kind.Checkpointable = inifile.Optional(s, "checkpointable", inifile.YesNo, false)
	kind.Declared.MilliCPU, _ = inifile.Required(s, "cpu", inifile.CPU(1))
	kind.Declared.MemoryBytes, _ = inifile.Required(s, "memory", inifile.Memory(1))
	kind.Declared.Accelerators = inifile.Optional(s, "accelerators", inifile.Accelerators, 0)
	kind.RunTime, _ = inifile.Required(s, "run-time", inifile.AnyDuration)
}

func rejectKeys(s *inifile.Section, keys []string, message string) {
	for _, key := range keys {
		if s.Has(key) {
			s.Add(key, message, "no such key here")
		}
	}
}
