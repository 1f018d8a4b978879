package eventlog

import "github.com/phuslu/log"

// Events of the clients of the platform, 2000 to 2099.
var (
	StoreLost          = define(2000, "store_lost", log.WarnLevel, "A call to the store failed; the calls before it succeeded. Documents and data centre states cannot change until store_recovered.")
	StoreRecovered     = define(2001, "store_recovered", log.InfoLevel, "A call to the store succeeded again.")
	HostListLost       = define(2010, "hostlist_lost", log.WarnLevel, "The host list could not be read. The last list that was read stays in use.")
	HostListRecovered  = define(2011, "hostlist_recovered", log.InfoLevel, "The host list can be read again.")
	RunnerForeignReply = define(2020, "runner_foreign_reply", log.ErrorLevel, "A runner sent a response that belongs to another attempt or has a wrong length. The response was discarded. Repeated events indicate a faulty runner or proxy.")
)
