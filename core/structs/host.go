package structs

// HostRole is the role of a platform host.
type HostRole string

// Roles of platform hosts.
const (
	RoleEntry  HostRole = "entry"
	RoleWorker HostRole = "worker"
	RoleRunner HostRole = "runner"
)

// HostState is the state of a host in the platform's host list, which is updated with a delay.
type HostState string

// States of platform hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's host list.
type Host struct {
	ID         HostID       `json:"id"`
	Role       HostRole     `json:"role"`
	State      HostState    `json:"state"`
	Datacentre DatacentreID `json:"datacentre"`
	Rack       string       `json:"rack"`
	Machine    string       `json:"machine,omitempty"`    // shared by all hosts on one machine; empty if there is one host
	Address    string       `json:"address"`              // IP:port of the host's HTTP interface
	Capacity   Resources    `json:"capacity"`             // workers only
	Service    ServiceName  `json:"service,omitempty"`    // runners only
	Slots      int          `json:"slots,omitempty"`      // runners only: requests served at once
	MaxConns   int          `json:"max_conns,omitempty"`  // runners only: open connections accepted
	PeerAddr   string       `json:"peer_addr,omitempty"`  // entry hosts only: IP:port of the gRPC interface
	ProbeOnly  bool         `json:"probe_only,omitempty"` // set by the scheduler: quarantined, probe tasks only
}
