package eventlog

import "github.com/phuslu/log"

// Events of membership, 3000 to 3199.
var (
	PeerLive          = define(3000, "peer_live", log.InfoLevel, "Heartbeats of an entry host arrive in both directions.")
	PeerSuspect       = define(3001, "peer_suspect", log.WarnLevel, "Several heartbeats to or from an entry host were missed. Check the network link if this persists.")
	PeerDead          = define(3002, "peer_dead", log.WarnLevel, "No heartbeat of an entry host was received for the dead threshold; other hosts take over its shards.")
	PeerLeaving       = define(3003, "peer_leaving", log.InfoLevel, "An entry host is shutting down gracefully and receives no new work.")
	PeerReplaced      = define(3004, "peer_replaced", log.InfoLevel, "An entry host restarted: a heartbeat of a newer incarnation was received.")
	PeerConfirmedDead = define(3005, "peer_proved_dead", log.WarnLevel, "The process of an entry host is confirmed dead: its address refuses connections or belongs to another process.")
	PeerStale         = define(3006, "peer_stale", log.WarnLevel, "A heartbeat of an earlier incarnation was ignored. If this persists, two processes run with the same host id; stop one of them.")
	PeerNewControl    = define(3007, "peer_newer_control", log.DebugLevel, "A peer has newer control state; it is fetched from that peer.")
	PeerRemoved       = define(3008, "peer_forgotten", log.InfoLevel, "An entry host has been dead for longer than the retention time and was removed from the member table.")
	PeerConnReplaced  = define(3009, "peer_connection_replaced", log.WarnLevel, "Calls on an open connection to an entry host had no reply, while a new connection works; it is used from now on. Check the network between the hosts if this persists.")
)
