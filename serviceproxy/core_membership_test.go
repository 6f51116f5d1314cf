package serviceproxy

import (
	"testing"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

func membershipFor(test *testing.T, term uint64, serial uint64, current, next []message.Peer) coreMembership {
	test.Helper()
	body, err := rpc.Marshal(&message.VoterSet{Current: current, Next: next, LastID: 9})
	if err != nil {
		test.Fatal(err)
	}
	membership := decodeCoreMembership(
		message.AcceptedValue{Term: message.Term{Number: term, Core: 1}, Value: message.Value{Serial: serial, Body: body}},
	)
	if membership.voters == nil {
		test.Fatal("the membership was not decoded")
	}
	return membership
}

func peers(ids ...int) []message.Peer {
	all := []message.Peer{}
	for _, id := range ids {
		all = append(all, message.Peer{ID: id, Address: "10.0.0." + string(rune('0'+id)) + ":41"})
	}
	return all
}

// Answers are counted by the newest voters that any of them reports, and by both groups while a
// voter is being replaced.
func TestCoreVotesUseNewestMembership(test *testing.T) {
	initial := membershipFor(test, 3, 1, peers(1, 2, 3), nil)
	reelected := membershipFor(test, 5, 1, peers(1, 2, 3), nil)
	joint := membershipFor(test, 5, 2, peers(1, 2, 3), peers(1, 2, 4))
	final := membershipFor(test, 5, 3, peers(1, 2, 4), nil)
	type coreAnswer struct {
		membership coreMembership
		core       int
		recorded   bool
		complete   bool
	}
	for number, tc := range []struct {
		asked    coreMembership
		answers  []coreAnswer
		durable  bool
		complete bool
		outdated bool
	}{
		{asked: initial, answers: []coreAnswer{{initial, 1, true, true}, {initial, 3, true, true}}, durable: true, complete: true},
		{asked: initial, answers: []coreAnswer{{reelected, 1, true, true}, {initial, 3, true, true}}, durable: true, complete: true},
		{asked: initial, answers: []coreAnswer{{initial, 1, true, true}, {initial, 3, true, false}}, durable: true},
		{asked: initial, answers: []coreAnswer{{initial, 1, true, true}, {initial, 3, false, true}}},
		{asked: initial, answers: []coreAnswer{{final, 1, true, true}, {initial, 3, true, true}}, outdated: true},
		{asked: initial, answers: []coreAnswer{{final, 1, false, true}, {initial, 2, true, true}, {initial, 3, true, true}}, outdated: true},
		{asked: initial, answers: []coreAnswer{{final, 4, false, true}, {initial, 1, true, true}, {initial, 2, true, true}}, outdated: true},
		{asked: joint, answers: []coreAnswer{{joint, 1, true, true}, {joint, 3, true, true}}},
		{asked: joint, answers: []coreAnswer{{joint, 1, true, true}, {joint, 3, true, true}, {joint, 4, true, false}}, durable: true, complete: true},
		{asked: joint, answers: []coreAnswer{{joint, 1, true, true}, {joint, 2, true, false}, {joint, 4, true, true}}, durable: true},
		{asked: coreMembership{}, answers: []coreAnswer{{final, 4, true, true}, {final, 2, true, true}}, durable: true, complete: true, outdated: true},
		{asked: coreMembership{}, answers: []coreAnswer{{initial, 3, true, true}, {final, 2, true, true}}, outdated: true},
		{asked: coreMembership{}},
	} {
		votes := newCoreVotes(tc.asked)
		for _, vote := range tc.answers {
			votes.add(vote.membership.accepted, vote.core, vote.recorded, vote.complete)
		}
		if votes.durable() != tc.durable || votes.durable() && votes.complete() != tc.complete || votes.outdated() != tc.outdated {
			test.Errorf("case %d: durable %v, complete %v, outdated %v", number, votes.durable(), votes.complete(), votes.outdated())
		}
	}
}
