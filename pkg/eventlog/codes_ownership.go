package eventlog

import "github.com/phuslu/log"

// Events of shard ownership, 4000 to 4099.
var (
	MemberRegistered  = define(4000, "member_registered", log.InfoLevel, "This host is registered as a member in the store and may claim shards.")
	MemberLapsed      = define(4001, "member_lapsed", log.WarnLevel, "The registration in the store has expired; this host claims no shards until it is renewed.")
	MemberSuperseded  = define(4002, "member_superseded", log.ErrorLevel, "The member registry has a newer incarnation of this host. Stop this process or give it another host id.")
	ShardAcquired     = define(4010, "shard_acquired", log.InfoLevel, "This host has become the owner of a shard.")
	ShardLost         = define(4011, "shard_lost", log.WarnLevel, "The ownership of a shard ended without a release; the event states why.")
	ShardReleased     = define(4012, "shard_released", log.InfoLevel, "This host released a shard.")
	ShardReleaseFail  = define(4013, "shard_release_failed", log.WarnLevel, "A shard was released but its owner record could not be deleted; the record expires with the store lease.")
	ClaimWaiting      = define(4014, "claim_waiting", log.InfoLevel, "A shard without an owner record cannot be claimed yet; the event states why.")
	ClaimUncertain    = define(4015, "claim_uncertain", log.WarnLevel, "The outcome of a claim is not known; the record is read again.")
	ShardOrphaned     = define(4016, "shard_orphaned", log.WarnLevel, "The store has an owner record of this process for a shard that the process does not own; the record is deleted.")
	OwnerOnPromises   = define(4017, "owner_on_promises", log.WarnLevel, "The store lease has expired; the ownership of the shards is based on promises of the other members.")
	OwnerLeaseGranted = define(4018, "owner_lease_granted", log.InfoLevel, "The store granted a lease for owner records.")
	OwnerLeaseLost    = define(4019, "owner_lease_lost", log.WarnLevel, "The lease for owner records no longer exists in the store; this host relinquishes all shards.")
	OwnershipError    = define(4020, "ownership_store_error", log.WarnLevel, "A store call for ownership failed; it is retried.")
)
