// Package schedule decides which tasks of jobs run on which workers. It is a state machine: the caller passes in events
// (an accepted job, a worker report, the outcome of an order) and retrieves the orders to send and the progress to
// store. It does no I/O, starts no goroutine and reads no clock.
//
// The workers' own lists are the authoritative record of what runs. Except for service tasks, a start is not written to
// the store beforehand; a new owner reads the lists of all workers before it starts anything that a former owner may
// have started (see takeover.go).
//
// An attempt is never presumed dead. It ends when its worker lists the end, when a report that was requested after its
// start or stop was confirmed does not list it, or when the task leases of the worker have certainly expired.
package schedule
