package consensus

import (
	"fmt"
	"testing"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

func initialMembershipOf(count int) *Membership {
	addresses := []string{}
	for index := range count {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:41", index+1))
	}
	return InitialMembership(addresses)
}

// forEachSubset calls visit with every subset of the voters of the memberships.
func forEachSubset(memberships []*Membership, visit func(has func(id int) bool)) {
	bits := map[int]int{}
	for _, membership := range memberships {
		for _, peer := range membership.All() {
			if _, found := bits[peer.ID]; !found {
				bits[peer.ID] = len(bits)
			}
		}
	}
	for subset := range 1 << len(bits) {
		visit(func(id int) bool {
			bit, found := bits[id]
			return found && subset>>bit&1 == 1
		})
	}
}

// Quorums of consecutive versions intersect: the complement of a quorum of one is never a
// quorum of the other.
func TestQuorumsOfConsecutiveMembershipsIntersect(test *testing.T) {
	for count := 1; count <= 9; count++ {
		before := initialMembershipOf(count)
		joint := before.WithReplacement(count, "10.9.0.1:41")
		after := joint.AfterJoint()
		for _, pair := range [][2]*Membership{{before, before}, {before, joint}, {joint, joint}, {joint, after}, {after, after}} {
			forEachSubset(pair[:], func(has func(id int) bool) {
				if pair[0].Quorum(has) && pair[1].Quorum(func(id int) bool { return !has(id) }) {
					test.Fatalf(
						"%d cores: disjoint quorums of %v->%v and %v->%v",
						count,
						pair[0].Voters,
						pair[0].Next,
						pair[1].Voters,
						pair[1].Next,
					)
				}
			})
		}
		if before.IsJoint() || !joint.IsJoint() || after.IsJoint() || len(after.Voters) != count || after.Version.Serial != 3 ||
			after.LastID != count+1 {
			test.Fatalf("%d cores: before %+v, joint %+v, after %+v", count, before, joint, after)
		}
		if joint.MayLead(joint.LastID) || !after.MayLead(joint.LastID) || after.MayLead(count) {
			test.Fatalf("%d cores: MayLead is wrong for the joining or the removed core", count)
		}
	}
}

// Without the joint version between them, majorities of the old and of the new voters
// need not intersect. This is why a replacement goes through a joint version.
func TestReplacementWithoutJointVersionIsUnsafe(test *testing.T) {
	before := initialMembershipOf(3)
	after := before.WithReplacement(3, "10.9.0.1:41").AfterJoint()
	disjoint := false
	forEachSubset([]*Membership{before, after}, func(has func(id int) bool) {
		disjoint = disjoint || before.Quorum(has) && after.Quorum(func(id int) bool { return !has(id) })
	})
	if !disjoint {
		test.Error("all majorities of {1,2,3} and {1,2,4} intersect")
	}
}

// The other voters that fence a blank voter intersect every quorum that it was part of.
func TestFencedVotersIntersectQuorumsOfBlankVoter(test *testing.T) {
	for count := 1; count <= 7; count++ {
		before := initialMembershipOf(count)
		joint := before.WithReplacement(count, "10.9.0.1:41")
		for _, membership := range []*Membership{before, joint, joint.AfterJoint()} {
			for _, lost := range membership.All() {
				forEachSubset([]*Membership{membership}, func(has func(id int) bool) {
					others := func(id int) bool { return id != lost.ID && !has(id) }
					if membership.FencesLostVoter(lost.ID, has) &&
						membership.Quorum(func(id int) bool { return id == lost.ID || others(id) }) {
						test.Fatalf(
							"%d cores: the voters that fence %d do not intersect a quorum of %v -> %v",
							count,
							lost.ID,
							membership.Voters,
							membership.Next,
						)
					}
				})
			}
		}
	}
}

// DecodeMembership rejects a voter set with any one invalid field.
func TestDecodeMembershipRejectsInvalidFields(test *testing.T) {
	valid := message.VoterSet{Current: []message.Peer{{ID: 1, Address: "10.0.0.1:41"}, {ID: 2, Address: "10.0.0.2:41"}}, LastID: 2}
	decode := func(voters message.VoterSet) error {
		body, _ := rpc.Marshal(&voters)
		_, err := DecodeMembership(message.AcceptedValue{Value: message.Value{Serial: 1, Body: body}})
		return err
	}
	if err := decode(valid); err != nil {
		test.Fatal(err)
	}
	for name, change := range map[string]func(voters *message.VoterSet){
		"no voters":            func(voters *message.VoterSet) { voters.Current = nil },
		"ID 0":                 func(voters *message.VoterSet) { voters.Current = []message.Peer{{ID: 0, Address: "10.0.0.1:41"}} },
		"ID above LastID":      func(voters *message.VoterSet) { voters.LastID = 1 },
		"duplicate ID":         func(voters *message.VoterSet) { voters.Current = []message.Peer{valid.Current[0], valid.Current[0]} },
		"invalid address":      func(voters *message.VoterSet) { voters.Current = []message.Peer{{ID: 1, Address: "core-1"}} },
		"duplicate next ID":    func(voters *message.VoterSet) { voters.Next = []message.Peer{valid.Current[1], valid.Current[1]} },
		"next ID above LastID": func(voters *message.VoterSet) { voters.Next = []message.Peer{{ID: 3, Address: "10.0.0.3:41"}} },
	} {
		changed := valid
		change(&changed)
		if decode(changed) == nil {
			test.Errorf("a voter set with %s was accepted", name)
		}
	}
	if _, err := DecodeMembership(message.AcceptedValue{Value: message.Value{Serial: 1, Body: []byte{0xc1}}}); err == nil {
		test.Error("invalid MessagePack was accepted as a membership")
	}
	if membership, err := DecodeMembership(message.AcceptedValue{}); membership != nil || err != nil {
		test.Errorf("value of serial 0: got %v, %v; want nil, nil", membership, err)
	}
}

// A core that is not a voter decides nothing and has all voters as peers. A membership
// survives encoding and decoding.
func TestViewOfMembership(test *testing.T) {
	joint := initialMembershipOf(3).WithReplacement(1, "10.9.0.1:41")
	joint.Version.Term = message.Term{Number: 4, Core: 2}
	decoded, err := DecodeMembership(joint.Accepted())
	if err != nil || !NewView("", decoded).SameVoters(NewView("", joint)) || decoded.Version != joint.Version {
		test.Fatalf("decoded membership differs: %+v, error %v", decoded, err)
	}
	nonVoter := NewView("10.8.0.1:41", joint)
	if nonVoter.IsVoter() || len(nonVoter.Peers) != 4 || nonVoter.IsQuorumWithSelf(func(int) bool { return true }) {
		test.Errorf("view of a non-voter: %+v", nonVoter)
	}
	joining := NewView("10.9.0.1:41", joint)
	if joining.ID != 4 || joining.MayLead(joining.ID) || len(joining.Peers) != 3 {
		test.Errorf("view of the joining core: %+v", joining)
	}
	if !joining.IsQuorumWithSelf(func(id int) bool { return id == 2 || id == 3 }) ||
		joining.IsQuorumWithSelf(func(id int) bool { return id == 2 }) {
		test.Error("a joint version must need a majority of both groups")
	}
}
