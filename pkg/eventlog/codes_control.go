package eventlog

import "github.com/phuslu/log"

// Events of control state and operator commands, 2100 to 2299.
var (
	ControlDocumentInEffect   = define(2100, "control_document_in_effect", log.InfoLevel, "A newer environment document is in effect in this process.")
	ControlDocumentRejected   = define(2101, "control_document_rejected", log.ErrorLevel, "A stored document is older than the one in effect, corrupt or invalid. The document in effect stays; promote a valid document with a higher version.")
	ControlEntryRejected      = define(2102, "control_entry_rejected", log.ErrorLevel, "A control entry other than the document cannot be decoded and is ignored. Check the key in the store.")
	ControlStoreLost          = define(2103, "control_store_lost", log.WarnLevel, "The store cannot be read. Until it can, control state is fetched from peers.")
	ControlStoreRecovered     = define(2104, "control_store_found", log.InfoLevel, "The store can be read again.")
	ControlStoreBehind        = define(2105, "control_store_behind", log.ErrorLevel, "The store answered with a lower revision than before. Its data may have been restored from a backup; see docs/OPERATIONS.md.")
	ControlRelayed            = define(2106, "control_relayed", log.DebugLevel, "Control state was received from a peer.")
	ControlDatacentreState    = define(2107, "control_datacentre_state", log.InfoLevel, "Operators have changed the state of a data centre.")
	ControlWriteUnknown       = define(2108, "control_write_unknown", log.WarnLevel, "The outcome of a write could not be resolved. Check the status before repeating the command.")
	ControlRemovalResolved    = define(2109, "control_removal_settled", log.InfoLevel, "The outcome of an earlier removal of a data centre has been resolved.")
	ControlDocumentTried      = define(2110, "control_tried", log.InfoLevel, "A document was tried in the trial environment.")
	ControlDocumentPromoted   = define(2111, "control_promoted", log.InfoLevel, "A document was promoted.")
	ControlDatacentreWritten  = define(2112, "control_datacentre_written", log.InfoLevel, "An operator command changed the state of a data centre.")
	OperatorCommandRejected   = define(2150, "operator_command_rejected", log.InfoLevel, "An operator command was rejected; the response states why.")
	OperatorAnswerNotWritable = define(2151, "operator_answer_not_writable", log.WarnLevel, "The response to an operator command could not be encoded.")
)
