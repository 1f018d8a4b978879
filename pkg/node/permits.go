package node

import (
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/permit"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/control"
	"fulmarcourse.example/fulmarcourse/pkg/members"
)

// permits implements shard.Permits with the control state and the heartbeats of other entry hosts.
type permits struct {
	self    structs.MemberRecord
	control *control.Service
	members *members.Service
	clock   func() time.Time
}

// MayStart returns nil if tasks may start in this host's data centre now, or the reason why not.
func (p *permits) MayStart() error {
	now := p.clock()
	confirmation := p.control.Confirmation()
	input := permit.Input{
		State: permit.State{
			Revision:         confirmation.Revision,
			ReadAt:           confirmation.ReadAt,
			Datacentre:       p.control.Datacentre(p.self.Datacentre),
			RemovalAttempted: p.control.RemovalAttempted(),
		},
		Registered: p.registered(),
		Statements: p.members.Statements(),
	}
	if decision := permit.Decide(input, now); !decision.Allowed {
		return errors.New(string(decision.Reason))
	}
	return nil
}

// registered returns the other entry hosts in the member registry.
func (p *permits) registered() []structs.HostID {
	var hosts []structs.HostID
	for _, m := range p.control.Members() {
		if m.Host != p.self.Host {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}
