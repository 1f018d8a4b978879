package node

import (
	"testing"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/members"
)

// Guards against jobs of a lost shard that no live owner or several live owners move, and against selecting an owner in
// the lost data centre, which may be disconnected from the store.
func TestOneOwnerRescues(t *testing.T) {
	owned := map[structs.HostID]structs.ShardID{
		"a1": {Datacentre: "a", Index: 1}, "b1": {Datacentre: "b"}, "b2": {Datacentre: "b", Index: 1}, "c1": {Datacentre: "c"},
	} // c2 owns none
	for index := range 8 {
		lost := structs.ShardID{Datacentre: "a", Index: index}
		var chosen []structs.HostID
		for _, self := range []structs.HostID{"a1", "b1", "b2", "c1", "c2"} {
			d := &directory{self: structs.MemberRecord{Host: self}}
			d.local = func() []structs.ShardDigest {
				if shard, ok := owned[self]; ok {
					return []structs.ShardDigest{{Shard: shard}}
				}
				return nil
			}
			d.remote = func() []members.DigestView {
				var views []members.DigestView
				for host, shard := range owned {
					if host != self {
						views = append(views, members.DigestView{Owner: host, Digest: structs.ShardDigest{Shard: shard}})
					}
				}
				return views
			}
			if d.rescues(lost) {
				chosen = append(chosen, self)
			}
		}
		if len(chosen) != 1 || chosen[0] == "a1" {
			t.Errorf("jobs of shard %s are moved by %v, want one owner in another data centre", lost, chosen)
		}
	}
}
