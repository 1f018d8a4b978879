package store

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics counts calls. The platform limits the rates of reads and writes, so every call is counted as one of them.
type metrics struct {
	scope tally.Scope
}

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return metrics{scope: scope}
}

// observe records one completed call.
func (m metrics) observe(op operation, took time.Duration, err error) {
	total := "store_reads"
	if op.write {
		total = "store_writes"
	}
	m.scope.Counter(total).Inc(1)
	tagged := m.scope.Tagged(map[string]string{"operation": op.name})
	tagged.Timer("store_call_duration").Record(took)
	if err != nil {
		tagged.Counter("store_errors").Inc(1)
	}
}
