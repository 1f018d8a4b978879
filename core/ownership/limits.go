package ownership

import "time"

// MaxClockDrift is the greatest assumed relative difference between the rates of two clocks. Quartz clocks
// differ by less than 0.02% and time synchronisation slews by at most 0.05%; 1% leaves a wide margin and
// costs 30 ms of a promise.
const MaxClockDrift = 0.01

// Limits are the durations of the ownership protocol. All members of an environment use the same values.
type Limits struct {
	OwnerLeaseTTL  time.Duration // store lease of the owner records
	OwnerMargin    time.Duration // an owner stops this long before its lease can expire in the store
	PromiseTTL     time.Duration // life of a promise
	ExtensionLimit time.Duration // greatest time that an owner runs on promises since its last renewal
	ClaimStagger   time.Duration // a member of rank n claims n of these after the record is gone
}

// DefaultLimits returns the limits of the design.
func DefaultLimits() Limits {
	return Limits{
		OwnerLeaseTTL: 4 * time.Second,
		// The margin covers clock drift over the lease and the time from the check to the command.
		OwnerMargin: 700 * time.Millisecond,
		PromiseTTL:  3 * time.Second,
		// A sole host that is cut off must serve for at least an hour, and store outages can be long. Every
		// hour more delays the replacement of a sole host that died silently by the same amount.
		ExtensionLimit: 4 * time.Hour,
		// Longer than a promise, so that the preferred member has claimed before the next one tries.
		ClaimStagger: 4 * time.Second,
	}
}

// shorten returns the part of d, granted by another clock, that has certainly not passed there when it has
// passed here.
func shorten(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*MaxClockDrift)
}
