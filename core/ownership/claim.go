package ownership

import (
	"time"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/structs"
)

// FormerOwner is the last owner of a shard that did not release it.
type FormerOwner struct {
	membership.Process
	PeerAddr string
	Epoch    structs.Epoch // revision of its claim
}

// ClaimInput is the input of DecideClaim: the state of a shard without an owner record, as one member sees it.
type ClaimInput struct {
	Self             membership.Process
	AbsentSince      time.Time    // when this process first read that the record is absent; it has been absent since
	Rank             int          // position of this host in the preference order; 0 is the preferred host
	Former           *FormerOwner // nil if the last owner released the shard or there was none
	FormerDead       bool         // the process of the former owner is proved dead
	RequiredByFormer bool         // the former owner requires promises of this process; see Ledger.RequiredBy
	PromisedUntil    time.Time    // end of this process's latest promise to the former owner
}

// ClaimReason is the reason for a claim decision.
type ClaimReason string

// Reasons of claim decisions.
const (
	ClaimNoFormerOwner      ClaimReason = "the shard has no former owner"
	ClaimFormerDead         ClaimReason = "the former owner is proved dead"
	ClaimPromisesExpired    ClaimReason = "promises to the former owner have expired"
	ClaimExtensionExpired   ClaimReason = "the former owner's extension has expired"
	ClaimNotPreferred       ClaimReason = "other members are preferred"
	ClaimPromiseActive      ClaimReason = "a promise to the former owner has not expired"
	ClaimFormerMayBeRunning ClaimReason = "the former owner may be running and does not require promises of this member"
)

// ClaimDecision is the result of DecideClaim.
type ClaimDecision struct {
	Allowed  bool
	Withhold bool // give the former owner no further promises until the result of the claim is known
	Reason   ClaimReason
}

// DecideClaim returns whether a member may claim a shard whose record is absent. The caller holds the ledger's lock
// from the read of PromisedUntil until promises are withheld, and makes the claim conditional on the last owner
// record that Former was read from.
func DecideClaim(in ClaimInput, limits Limits, now time.Time) ClaimDecision {
	if now.Before(in.AbsentSince.Add(time.Duration(in.Rank) * limits.ClaimStagger)) {
		return ClaimDecision{Reason: ClaimNotPreferred}
	}
	switch {
	case in.Former == nil || in.Former.Process == in.Self:
		return ClaimDecision{Allowed: true, Reason: ClaimNoFormerOwner}
	case in.FormerDead || in.Former.Host == in.Self.Host:
		return ClaimDecision{Allowed: true, Reason: ClaimFormerDead}
	}
	if !in.RequiredByFormer && now.Before(in.AbsentSince.Add(limits.ExtensionLimit)) {
		return ClaimDecision{Reason: ClaimFormerMayBeRunning}
	}
	if now.Before(in.PromisedUntil) {
		return ClaimDecision{Withhold: true, Reason: ClaimPromiseActive}
	}
	if in.RequiredByFormer {
		return ClaimDecision{Allowed: true, Withhold: true, Reason: ClaimPromisesExpired}
	}
	return ClaimDecision{Allowed: true, Withhold: true, Reason: ClaimExtensionExpired}
}
