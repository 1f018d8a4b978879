// Package ownership decides when an entry host validly owns a shard and when another may claim it.
//
// # Owner rules (Holder)
//
// Ownership is valid at a given time if one of these conditions holds:
//
//   - Lease: the time is before the send time of the last successful renewal plus OwnerLeaseTTL minus
//     OwnerMargin. The store deletes the shard's record only after the lease has expired, so no other member can
//     have claimed it. This is the lease of Gray and Cheriton ("Leases: An Efficient Fault-Tolerant Mechanism
//     for Distributed File Cache Consistency", 1989).
//   - Promises: every other registered member of the data centre has promised not to claim, the promises have
//     covered the whole time since the lease expired, and ExtensionLimit has not passed since the last renewal.
//     A promise starts when the owner receives it and ends PromiseTTL after the owner sent the heartbeat that it
//     answered. After a gap in the promises of one member, later promises do not restore the ownership, because that
//     member may have claimed during the gap; only a renewal of the lease does, because it shows that the record
//     still exists. A member that leaves or dies is no longer required, but its promises must have lasted until
//     then: it may have claimed before it left.
//
// A renewal that the store answers with "lease not found" ends the ownership immediately.
//
// # Claimer rules (Ledger, DecideClaim)
//
// The store holds two records for an owned shard: the owner record, attached to the owner's lease, and a durable
// record of the last owner, which only a graceful release deletes. A claim is one transaction that requires
// that the owner record is absent, that the last owner record is the one that the decision was based on, and that
// the claimer's registration is unchanged. When the owner record was deleted because its lease expired, the former
// owner may still be running on promises, so the claimer must meet one of these conditions:
//
//   - the former owner requires the claimer's promise, and the claimer's own promises to it have expired. While the
//     claim is in progress, the claimer gives it no new promise;
//   - the process of the former owner is proved dead: its peer address refuses connections repeatedly or belongs
//     to another process, or the same host id runs with a newer incarnation;
//   - ExtensionLimit has passed since the claimer first read that the record is absent.
//
// An owner requires the promise of a claimer if the claimer registered before the owner's claim (promises only
// count once the owner has read the member registry at or after its claim), or if the owner has echoed the sequence
// number of a reply that carried the claimer's promise. Membership therefore changes one acknowledged member at a
// time, as in the joint configurations of Raft (Ongaro and Ousterhout, 2014), but without a log.
//
// # Time
//
// Every decision is a function of recorded local times and `now`; there are no timers, so a process that was
// paused sees its ownership as expired when it resumes. Local clocks must be monotonic and must advance while the
// machine is suspended. The rates of two clocks may differ by at most MaxClockDrift: owners reduce the durations
// that they were granted by this fraction, and claimers wait the full time.
//
// # Limitations
//
//   - An owner that is the only registered member of its data centre, and is partitioned from the store and from
//     a member that registers later, cannot be distinguished from a crashed one. It continues to serve for
//     ExtensionLimit; the new member waits as long, unless the owner is proved dead, which takes about a second.
//     As a consequence, the shards of a sole host that fails without refusing connections (for example by a loss
//     of power, which leaves its address unanswered) wait ExtensionLimit for a host with another id, and a store
//     outage longer than ExtensionLimit ends all ownership.
//   - A refused connection counts as proof of death. Network devices must drop packets of a partition, not
//     reject them with a reset.
//   - A host id may be given to a new machine only after the old machine is off.
//   - If a member dies without proof of death while the store is unreachable, owners that require its promise lose
//     their shards until the store is reachable again.
//   - A process that is paused between its check of Valid and the network write sends a late command. The
//     command's epoch lets the receiver reject it where the platform supports fencing.
package ownership
