package structs

import "time"

// Class distinguishes latency-critical kinds from batch kinds.
type Class string

// Classes of kinds.
const (
	LatencyCritical Class = "latency-critical"
	Batch           Class = "batch"
)

// Kind describes one kind of request or task.
type Kind struct {
	Name           KindName      `json:"name"`
	Class          Class         `json:"class"`
	Service        ServiceName   `json:"service,omitempty"` // latency-critical kinds only
	Idempotent     bool          `json:"idempotent"`
	Checkpointable bool          `json:"checkpointable"` // batch kinds only
	Declared       Resources     `json:"declared"`       // batch kinds only; actual usage often differs widely from it
	RunTime        time.Duration `json:"run_time"`       // batch kinds only; declared run time
	Deadline       time.Duration `json:"deadline"`       // latency-critical kinds only; default of requests
}

// Service describes one latency-critical service.
type Service struct {
	Name        ServiceName    `json:"name"`
	Datacentres []DatacentreID `json:"datacentres"`
}

// Team has a guaranteed share of the batch capacity.
type Team struct {
	Name   TeamName  `json:"name"`
	Quota  Resources `json:"quota"`
	Urgent bool      `json:"urgent"` // may submit urgent work
}

// Document is a validated environment document.
type Document struct {
	Environment string                  `json:"environment"`
	Services    map[ServiceName]Service `json:"services"`
	Kinds       map[KindName]Kind       `json:"kinds"`
	Teams       map[TeamName]Team       `json:"teams"`
	Datacentres []DatacentreID          `json:"datacentres"`
	BatchIn     map[DatacentreID]bool   `json:"batch_in"` // data centres that may run batch work
}

// DocumentRecord is a stored document. Version increases monotonically within an environment.
type DocumentRecord struct {
	Version int64     `json:"version"`
	Digest  Digest    `json:"digest"`
	Text    string    `json:"text"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Nonce   string    `json:"nonce"` // identifies the write attempt when its response is lost
}

// DatacentreState is the state that operators set for a data centre.
type DatacentreState string

// States of a data centre. A data centre without a record is in service.
const (
	DatacentreIn  DatacentreState = "in"
	DatacentreOut DatacentreState = "out"
)

// DatacentreRecord is the stored state of a data centre.
type DatacentreRecord struct {
	State  DatacentreState `json:"state"`
	Author string          `json:"author"`
	Time   time.Time       `json:"time"`
	Nonce  string          `json:"nonce"`
}

// MemberRecord is one entry of the member registry, stored under the store lease of the entry host.
type MemberRecord struct {
	Host        HostID       `json:"host"`
	Incarnation string       `json:"incarnation"` // unique per process start
	Datacentre  DatacentreID `json:"datacentre"`
	PeerAddr    string       `json:"peer_addr"` // IP:port of the gRPC interface
}

// ShardOwnerRecord names the owner of a shard. The create revision of the record in the store is the shard's Epoch.
type ShardOwnerRecord struct {
	Owner       HostID `json:"owner"`
	Incarnation string `json:"incarnation"`
	PeerAddr    string `json:"peer_addr"`
	Nonce       string `json:"nonce"`
}
