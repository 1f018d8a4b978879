package structs

// ShardDigest summarises the load of a shard in heartbeats. It is a hint that may be out of date by up to one heartbeat
// interval.
type ShardDigest struct {
	Shard     ShardID             `json:"shard"`
	Epoch     Epoch               `json:"epoch"`
	FreeSlots map[ServiceName]int `json:"free_slots"` // free runner slots
	Slots     map[ServiceName]int `json:"slots"`      // all runner slots
	Queued    map[ServiceName]int `json:"queued"`     // requests waiting for a slot
	Free      Resources           `json:"free"`       // uncommitted worker capacity
	Largest   Resources           `json:"largest"`    // largest worker capacity, taken separately in each dimension
	Pending   int                 `json:"pending"`    // tasks that wait to be started
}
