package fleet

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// Keys of the owner's record and of the term.
const (
	ownerKey = "fulmarcourse/owners/0/holder"
	termKey  = "fulmarcourse/owners/0/term"
)

// overwriteFaults are faults in which another writer changes records of the owner and of the hosts.
var overwriteFaults = []fault{
	{"owner's record overwritten", func(r *soakRun) func() { return r.overwrite(ownerKey) }},
	{"owner's record deleted", func(r *soakRun) func() { r.s.platform.Store.Delete(ownerKey); return noHeal }},
	{"owner's record overwritten and all leases revoked", func(r *soakRun) func() {
		r.overwrite(ownerKey)
		r.s.platform.Store.RevokeLeases()
		return noHeal
	}},
	{"term overwritten", func(r *soakRun) func() { return r.overwrite(termKey) }},
	{"host's record overwritten", func(r *soakRun) func() { return r.overwrite(hostKey(r.s.hosts[r.randomHost()].name)) }},
}

// hostKey returns the key of the record of a host.
func hostKey(name string) string { return "fulmarcourse/hosts/" + name }

// overwrite writes a random odd value under a key.
func (r *soakRun) overwrite(key string) (heal func()) {
	odd := oddValues()
	name := slices.Sorted(maps.Keys(odd))[r.rnd.IntN(len(odd))]
	r.s.platform.Store.PutRaw(key, odd[name])
	r.log(key + " is overwritten: " + name)
	return noHeal
}

// overwrittenSoak runs one seed on a site in which another writer changes records of the owner and of the hosts as well.
func overwrittenSoak(t *testing.T, seed uint64, length time.Duration) {
	s := newSite(t, soakConfig(seed, soakWorkers), soakHosts)
	runSoak(s, slices.Concat(soakFaults, overwriteFaults), seed, length)
}
