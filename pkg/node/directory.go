package node

import (
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/routing"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
	"fulmarcourse.example/fulmarcourse/pkg/members"
	"fulmarcourse.example/fulmarcourse/pkg/requests"
)

// documents provides the environment document and the states of data centres.
type documents interface {
	Document() (structs.Document, structs.DocumentRecord, bool)
	Datacentre(structs.DatacentreID) structs.DatacentreState
}

// directory combines the shards that this host owns with those that peers report.
type directory struct {
	self      structs.MemberRecord
	documents documents
	local     func() []structs.ShardDigest
	remote    func() []members.DigestView
	clock     func() time.Time
}

// Targets implements requests.Directory. It returns the shards with runners of a service in data centres that the
// document allows for the service and that are in service. When all of these data centres are out of service, there is
// no target and requests are not run.
func (d *directory) Targets(service structs.ServiceName) []requests.Target {
	var targets []requests.Target
	for _, digest := range d.local() {
		if d.serves(digest, service) {
			targets = append(targets, d.localTarget(digest, service))
		}
	}
	for _, view := range d.remote() {
		if d.serves(view.Digest, service) {
			targets = append(targets, d.remoteTarget(view, service))
		}
	}
	return targets
}

// serves reports whether a shard may serve requests of a service.
func (d *directory) serves(digest structs.ShardDigest, service structs.ServiceName) bool {
	if digest.Slots[service] == 0 || d.documents.Datacentre(digest.Shard.Datacentre) == structs.DatacentreOut {
		return false
	}
	document, _, ok := d.documents.Document()
	if !ok {
		return false
	}
	for _, dc := range document.Services[service].Datacentres {
		if dc == digest.Shard.Datacentre {
			return true
		}
	}
	return false
}

func (d *directory) localTarget(digest structs.ShardDigest, service structs.ServiceName) requests.Target {
	return requests.Target{
		Shard:         digest.Shard,
		Owner:         d.self.Host,
		PeerAddr:      d.self.PeerAddr,
		Local:         true,
		OwnDatacentre: true,
		Slots:         slotCounts(digest, service, 0),
	}
}

func (d *directory) remoteTarget(view members.DigestView, service structs.ServiceName) requests.Target {
	return requests.Target{
		Shard:         view.Digest.Shard,
		Owner:         view.Owner,
		PeerAddr:      view.PeerAddr,
		OwnDatacentre: view.Digest.Shard.Datacentre == d.self.Datacentre,
		LinkDelay:     view.RTT / 2,
		Slots:         slotCounts(view.Digest, service, d.clock().Sub(view.ReceivedAt)),
	}
}

func slotCounts(digest structs.ShardDigest, service structs.ServiceName, age time.Duration) routing.Slots {
	return routing.Slots{
		Known:  true,
		Free:   digest.FreeSlots[service],
		Total:  digest.Slots[service],
		Queued: digest.Queued[service],
		Age:    age,
	}
}

// Candidates implements jobs.Shards.
func (d *directory) Candidates() []jobs.HomeCandidate {
	document, _, ok := d.documents.Document()
	if !ok {
		return nil
	}
	digests := d.local()
	for _, view := range d.remote() {
		digests = append(digests, view.Digest)
	}
	candidates := make([]jobs.HomeCandidate, 0, len(digests))
	for _, digest := range digests {
		candidates = append(candidates, jobs.HomeCandidate{
			Digest:       digest,
			State:        d.documents.Datacentre(digest.Shard.Datacentre),
			BatchAllowed: document.BatchIn[digest.Shard.Datacentre],
		})
	}
	return candidates
}

// owner returns the peer address of the owner of a shard as last reported. local is true when this host owns the shard.
func (d *directory) owner(shard structs.ShardID) (addr string, local, ok bool) {
	for _, digest := range d.local() {
		if digest.Shard == shard {
			return d.self.PeerAddr, true, true
		}
	}
	var newest structs.Epoch = -1
	for _, view := range d.remote() {
		if view.Digest.Shard == shard && view.Digest.Epoch > newest {
			newest, addr, ok = view.Digest.Epoch, view.PeerAddr, true
		}
	}
	return addr, false, ok
}

// rescues reports whether this host moves the jobs of a lost shard: rendezvous hashing selects one of the hosts that
// own a shard in another data centre. Owners in the same data centre are excluded, since they may be disconnected from
// the store as well.
func (d *directory) rescues(lost structs.ShardID) bool {
	var owners []structs.HostID
	for _, digest := range d.local() {
		if digest.Shard.Datacentre != lost.Datacentre {
			owners = append(owners, d.self.Host)
		}
	}
	for _, view := range d.remote() {
		if view.Digest.Shard.Datacentre != lost.Datacentre {
			owners = append(owners, view.Owner)
		}
	}
	return membership.Preferred(lost, owners) == d.self.Host
}

// routingPolicy returns the policy with the given name, or the default policy for an empty name.
func routingPolicy(name string) (routing.Policy, error) {
	if name == "" {
		name = routing.DefaultPolicy
	}
	policy, ok := routing.ByName(name)
	if !ok {
		return nil, errors.NotValidf("routing policy %q", name)
	}
	return policy, nil
}
