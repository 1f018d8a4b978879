package structs

// ShardDigest summarises a shard in heartbeats. It is a hint: it is late by up to a heartbeat interval.
type ShardDigest struct {
	Shard     ShardID             `json:"shard"`
	Epoch     Epoch               `json:"epoch"`
	FreeSlots map[ServiceName]int `json:"free_slots"` // free runner slots
	Slots     map[ServiceName]int `json:"slots"`      // all runner slots
	Queued    map[ServiceName]int `json:"queued"`     // requests waiting for a slot
	Free      Resources           `json:"free"`       // uncommitted worker capacity
	Largest   Resources           `json:"largest"`    // capacity of the largest worker, each dimension by itself
	Pending   int                 `json:"pending"`    // tasks waiting for a start
}
