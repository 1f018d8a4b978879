package eventlog

import "github.com/phuslu/log"

// Events of membership, 3000 to 3199.
var (
	PeerLive          = define(3000, "peer_live", log.InfoLevel, "Heartbeats of an entry host arrive in both directions.")
	PeerSuspect       = define(3001, "peer_suspect", log.WarnLevel, "An entry host missed several heartbeats in a direction. Check the link if it persists.")
	PeerDead          = define(3002, "peer_dead", log.WarnLevel, "An entry host has been silent for the dead threshold; others take over its shards.")
	PeerLeaving       = define(3003, "peer_leaving", log.InfoLevel, "An entry host shuts down gracefully and receives no new work.")
	PeerReplaced      = define(3004, "peer_replaced", log.InfoLevel, "An entry host restarted: a newer incarnation was heard.")
	PeerConfirmedDead = define(3005, "peer_proved_dead", log.WarnLevel, "The process of an entry host is proved dead: its address refuses connections or belongs to another process.")
	PeerStale         = define(3006, "peer_stale", log.WarnLevel, "A heartbeat of an earlier incarnation was ignored. If it persists, two processes run with the same host id; stop one.")
	PeerNewControl    = define(3007, "peer_newer_control", log.DebugLevel, "A peer knows newer control state; it is fetched from there.")
	PeerRemoved       = define(3008, "peer_forgotten", log.InfoLevel, "An entry host has been dead for long and was dropped from the table.")
)
