package ownership

import "time"

// MaxClockDrift is the greatest assumed relative difference between the rates of two clocks. Quartz clocks
// differ by less than 0.02% and time synchronisation slews by at most 0.05%; 1% leaves a wide margin and
// shortens a promise by 30 ms.
const MaxClockDrift = 0.01

// Limits are the durations of the ownership protocol. All members of an environment must use the same values.
type Limits struct {
	OwnerLeaseTTL  time.Duration // store lease of the owner records
	OwnerMargin    time.Duration // an owner stops relying on its lease this long before the lease can expire in the store
	PromiseTTL     time.Duration // lifetime of a promise
	ExtensionLimit time.Duration // maximum time since the last renewal for which promises extend an ownership
	ClaimStagger   time.Duration // a member of rank n delays its claim by n times this duration
}

// DefaultLimits returns the limits that production environments use.
func DefaultLimits() Limits {
	return Limits{
		OwnerLeaseTTL: 4 * time.Second,
		// The margin covers clock drift over the lease and the time from the check to the command.
		OwnerMargin: 700 * time.Millisecond,
		PromiseTTL:  3 * time.Second,
		// A sole host that is partitioned must serve for at least an hour, and store outages can be long. Each
		// additional hour delays the replacement of a sole host that failed without proof of death by an hour.
		ExtensionLimit: 4 * time.Hour,
		// Longer than PromiseTTL, so that the preferred member has claimed before the next one tries.
		ClaimStagger: 4 * time.Second,
	}
}

// deductDrift returns the longest local duration in which d, measured by the clock of another process, cannot have
// passed, given MaxClockDrift.
func deductDrift(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*MaxClockDrift)
}
