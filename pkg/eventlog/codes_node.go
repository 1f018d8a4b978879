package eventlog

import "github.com/phuslu/log"

// Events of process start and stop, 1000 to 1899.
var (
	NodeStarted = define(1000, "node_started", log.InfoLevel, "The process has started and accepts connections.")
	NodeReady   = define(1001, "node_ready", log.InfoLevel, "The process has an environment document and serves requests.")
	NodeLeaving = define(1002, "node_leaving", log.InfoLevel, "A graceful shutdown has begun.")
	NodeStopped = define(1003, "node_stopped", log.InfoLevel, "The graceful shutdown has finished.")
	NodeForced  = define(1004, "node_forced", log.WarnLevel, "The graceful shutdown reached its time limit with requests still in progress.")
)
