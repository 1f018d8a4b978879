// Package membership decides, from heartbeats, which entry hosts are live and which of them should own a shard.
//
// The failure detector counts missed heartbeats against fixed thresholds, with a suspect state between live
// and dead as in SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", 2002). An adaptive detector such as phi accrual (Hayashibara et al., 2004) was
// considered: the delay between data centres (about 5 ms) is small compared with the heartbeat interval
// (500 ms), so there is little to adapt to, and fixed thresholds bound the takeover time. The states only affect
// routing and the preference order. A wrong state cannot lead to two owners: package ownership prevents this
// with leases and promises.
//
// The package is pure: no I/O, no goroutines, no clock. A Table is not safe for concurrent use; the caller
// holds a lock.
package membership
