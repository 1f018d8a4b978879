package control

import (
	"fmt"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// Errors of operator commands. Callers test them with errors.Is, and the typed errors with errors.As.
const (
	// ErrNotApplied means that the store could not be reached and the command had no effect.
	ErrNotApplied = errors.ConstError("the store cannot be reached; the command had no effect")
	// ErrOutcomeUnknown means that the command may or may not have taken effect.
	ErrOutcomeUnknown = errors.ConstError("it is not known whether the command took effect")
	// ErrNotTried means that the trial environment has no record of the document.
	ErrNotTried = errors.ConstError("the document has not passed a try")
	// ErrWrongEnvironment means that a document is for another environment than the one in which it is promoted.
	ErrWrongEnvironment = errors.ConstError("the document is for another environment")
	// ErrUnknownDatacentre means that neither the document nor a member names the data centre.
	ErrUnknownDatacentre = errors.ConstError("unknown data centre")
	// ErrInvalidState means that the requested state of a data centre is neither in nor out.
	ErrInvalidState = errors.ConstError("the state of a data centre is in or out")
)

// VersionConflictError means that a version other than the expected one is in effect.
type VersionConflictError struct {
	Expected int64
	Current  int64
	Digest   structs.Digest // of the current document, when known
}

// Error implements error.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("version %d is in effect, version %d was expected", e.Current, e.Expected)
}

// DatacentreConflictError means that another operator changed the state of the data centre at the same time.
type DatacentreConflictError struct {
	Datacentre structs.DatacentreID
	Current    structs.DatacentreRecord
}

// Error implements error.
func (e *DatacentreConflictError) Error() string {
	return fmt.Sprintf("data centre %s was set to %q by %q at the same time", e.Datacentre, e.Current.State, e.Current.Author)
}
