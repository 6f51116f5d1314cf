package consensus

import (
	"fmt"
	"testing"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

func foundedBy(count int) *Membership {
	addresses := []string{}
	for index := range count {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:41", index+1))
	}
	return InitialMembership(addresses)
}

// subsets calls visit with every set of the voters of some memberships.
func subsets(memberships []*Membership, visit func(has func(id int) bool)) {
	ids := map[int]int{}
	for _, membership := range memberships {
		for _, peer := range membership.All() {
			if _, found := ids[peer.ID]; !found {
				ids[peer.ID] = len(ids)
			}
		}
	}
	for set := range 1 << len(ids) {
		visit(func(id int) bool {
			place, found := ids[id]
			return found && set>>place&1 == 1
		})
	}
}

// Whatever decides by one version meets whatever decides by the next one: the
// complement of a quorum of the one is never a quorum of the other.
func TestQuorumsOfConsecutiveMembershipsMeet(test *testing.T) {
	for count := 1; count <= 9; count++ {
		before := foundedBy(count)
		step := before.WithReplacement(count, "10.9.0.1:41")
		after := step.WithoutFormer()
		for _, pair := range [][2]*Membership{{before, before}, {before, step}, {step, step}, {step, after}, {after, after}} {
			subsets(pair[:], func(has func(id int) bool) {
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
		if before.Changing() || !step.Changing() || after.Changing() || len(after.Voters) != count || after.Version.Serial != 3 ||
			after.LastID != count+1 {
			test.Fatalf("%d cores: %+v, %+v, %+v", count, before, step, after)
		}
		if step.MayLead(step.LastID) || !after.MayLead(step.LastID) || after.MayLead(count) {
			test.Fatalf("%d cores: who joins leads, or who left", count)
		}
	}
}

// Without the step between them, majorities of the former and of the following
// voters need not meet: the reason for the step.
func TestReplacementWithoutStepIsUnsafe(test *testing.T) {
	before := foundedBy(3)
	after := before.WithReplacement(3, "10.9.0.1:41").WithoutFormer()
	disjoint := false
	subsets([]*Membership{before, after}, func(has func(id int) bool) {
		disjoint = disjoint || before.Quorum(has) && after.Quorum(func(id int) bool { return !has(id) })
	})
	if !disjoint {
		test.Error("majorities of {1,2,3} and {1,2,4} always met")
	}
}

// Those that a blank voter fences meet every quorum that it took part in, without
// its help.
func TestFenceOfBlankVoterMeetsItsQuorums(test *testing.T) {
	for count := 1; count <= 7; count++ {
		before := foundedBy(count)
		step := before.WithReplacement(count, "10.9.0.1:41")
		for _, membership := range []*Membership{before, step, step.WithoutFormer()} {
			for _, lost := range membership.All() {
				subsets([]*Membership{membership}, func(has func(id int) bool) {
					others := func(id int) bool { return id != lost.ID && !has(id) }
					if membership.FencesWithout(lost.ID, has) &&
						membership.Quorum(func(id int) bool { return id == lost.ID || others(id) }) {
						test.Fatalf(
							"%d cores: a fence without %d misses a quorum of %v -> %v",
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

// One field of a membership's message changed at a time: what can't be one is refused.
func TestMembershipIsCheckedByField(test *testing.T) {
	good := message.VoterSet{Current: []message.Peer{{ID: 1, Address: "10.0.0.1:41"}, {ID: 2, Address: "10.0.0.2:41"}}, LastID: 2}
	read := func(voters message.VoterSet) error {
		body, _ := rpc.Marshal(&voters)
		_, err := DecodeMembership(message.AcceptedValue{Value: message.Value{Serial: 1, Body: body}})
		return err
	}
	if err := read(good); err != nil {
		test.Fatal(err)
	}
	for name, change := range map[string]func(voters *message.VoterSet){
		"no voters":      func(voters *message.VoterSet) { voters.Current = nil },
		"ID 0":           func(voters *message.VoterSet) { voters.Current = []message.Peer{{ID: 0, Address: "10.0.0.1:41"}} },
		"ID above last":  func(voters *message.VoterSet) { voters.LastID = 1 },
		"ID twice":       func(voters *message.VoterSet) { voters.Current = []message.Peer{good.Current[0], good.Current[0]} },
		"no address":     func(voters *message.VoterSet) { voters.Current = []message.Peer{{ID: 1, Address: "core-1"}} },
		"next ID twice":  func(voters *message.VoterSet) { voters.Next = []message.Peer{good.Current[1], good.Current[1]} },
		"next above all": func(voters *message.VoterSet) { voters.Next = []message.Peer{{ID: 3, Address: "10.0.0.3:41"}} },
	} {
		changed := good
		change(&changed)
		if read(changed) == nil {
			test.Errorf("%s is taken", name)
		}
	}
	if _, err := DecodeMembership(message.AcceptedValue{Value: message.Value{Serial: 1, Body: []byte{0xc1}}}); err == nil {
		test.Error("bytes that are no membership are taken")
	}
	if membership, err := DecodeMembership(message.AcceptedValue{}); membership != nil || err != nil {
		test.Errorf("no value: %v, %v", membership, err)
	}
}

// A view from an address that doesn't vote decides nothing and counts every voter
// as another core; a membership survives being written and read.
func TestViewOfMembership(test *testing.T) {
	step := foundedBy(3).WithReplacement(1, "10.9.0.1:41")
	step.Version.Term = message.Term{Number: 4, Core: 2}
	read, err := DecodeMembership(step.Accepted())
	if err != nil || !NewView("", read).SameVoters(NewView("", step)) || read.Version != step.Version {
		test.Fatalf("%v: %+v", err, read)
	}
	outside := NewView("10.8.0.1:41", step)
	if outside.Votes() || len(outside.Peers) != 4 || outside.Decides(func(int) bool { return true }) {
		test.Errorf("outside: %+v", outside)
	}
	joining := NewView("10.9.0.1:41", step)
	if joining.ID != 4 || joining.MayLead(joining.ID) || len(joining.Peers) != 3 {
		test.Errorf("joining: %+v", joining)
	}
	if !joining.Decides(func(id int) bool { return id == 2 || id == 3 }) || joining.Decides(func(id int) bool { return id == 2 }) {
		test.Error("a step decides by both groups")
	}
}
