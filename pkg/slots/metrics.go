package slots

import (
	"time"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/admission"
	"fulmarcourse.example/core/structs"
)

// metrics holds the metrics of a pool. The counter of dispatches is tagged with the outcome and the reason.
type metrics struct {
	scope tally.Scope
	wait  tally.Timer   // time in the queue until a slot was granted
	serve tally.Timer   // time on the runner
	late  tally.Counter // answers after the deadline
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("slots")
	return metrics{
		scope: scope,
		wait:  scope.Timer("wait"),
		serve: scope.Timer("serve"),
		late:  scope.Counter("late_answers"),
	}
}

func (m metrics) countDispatch(reply structs.Reply) {
	m.scope.Tagged(map[string]string{"outcome": string(reply.Outcome), "reason": reply.Reason}).
		Counter("dispatches").Inc(1)
}

func (m metrics) recordWait(d time.Duration)  { m.wait.Record(d) }
func (m metrics) recordServe(d time.Duration) { m.serve.Record(d) }

// updateGauges sets the gauges of a service. It is called whenever the digest of the shard is taken.
func (m metrics) updateGauges(service structs.ServiceName, totals admission.Totals, queued int) {
	scope := m.scope.Tagged(map[string]string{"service": string(service)})
	scope.Gauge("slots").Update(float64(totals.Slots))
	scope.Gauge("taken").Update(float64(totals.Taken))
	scope.Gauge("queued").Update(float64(queued))
}
