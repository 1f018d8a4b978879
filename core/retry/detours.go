package retry

const (
	// RequestsPerReroute is the number of requests that earn one reroute, a try at another shard after a rejection for
	// load. When all shards are overloaded, each rejection would lead to a try at the next shard; at three times the
	// capacity these tries took the processor time that the requests in progress needed.
	RequestsPerReroute = 2
	// MaxSavedReroutes bounds the reroutes that are saved while shards reject nothing. Load that exceeds the capacity
	// of a single shard is moved to other shards within this burst until the digests of the shards show it.
	MaxSavedReroutes = 100
)

// RerouteBudget is the budget of reroutes, which are tries at other shards after rejections for load. Unlike a Budget
// it starts full: a rejected request was not run, and trying another shard is harmless while there is capacity.
type RerouteBudget struct {
	spent int // requests still to be recorded before the budget is full again
}

// RecordRequest counts one request of a caller.
func (b *RerouteBudget) RecordRequest() { b.spent = max(0, b.spent-1) }

// Spend takes one reroute from the budget and reports whether there was one.
func (b *RerouteBudget) Spend() bool {
	if b.spent+RequestsPerReroute > MaxSavedReroutes*RequestsPerReroute {
		return false
	}
	b.spent += RequestsPerReroute
	return true
}
