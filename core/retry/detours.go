package retry

const (
	// RequestsPerReroute is the number of offered requests that earn one further try after a shard rejected a request for
	// its load. When all shards are overloaded each rejection would lead to a try at the next shard, and at three times
	// the capacity these tries took the processor time that the requests in progress needed.
	RequestsPerReroute = 2
	// MaxSavedReroutes bounds the tries saved up while shards reject nothing. A load that is too much for one shard only is
	// moved to others within this burst until the shards' digests show it.
	MaxSavedReroutes = 100
)

// RerouteBudget is the budget of tries at other shards after rejections for load. Unlike a Budget it starts full, since a
// rejected request was not run and a try elsewhere can do no harm while there is room.
type RerouteBudget struct {
	spent int // offered requests that past tries still have to earn
}

// RecordRequest counts one request of a caller.
func (d *RerouteBudget) RecordRequest() { d.spent = max(0, d.spent-1) }

// Spend takes the budget of one try and reports whether there was enough.
func (d *RerouteBudget) Spend() bool {
	if d.spent+RequestsPerReroute > MaxSavedReroutes*RequestsPerReroute {
		return false
	}
	d.spent += RequestsPerReroute
	return true
}
