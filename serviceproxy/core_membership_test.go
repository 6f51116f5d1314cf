package serviceproxy

import (
	"testing"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

func rosterFor(test *testing.T, round uint64, serial uint64, current, next []message.Peer) coreMembership {
	test.Helper()
	body, err := rpc.Marshal(&message.VoterSet{Current: current, Next: next, LastID: 9})
	if err != nil {
		test.Fatal(err)
	}
	membership := decodeCoreMembership(
		message.AcceptedValue{Term: message.Term{Number: round, Core: 1}, Value: message.Value{Serial: serial, Body: body}},
	)
	if membership.voters == nil {
		test.Fatal("not read")
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

// Answers are counted by the newest voters that any of them names, by both groups
// while a voter is replaced.
func TestCoreVotesCountByTheNewestVoters(test *testing.T) {
	former := rosterFor(test, 3, 1, peers(1, 2, 3), nil)
	elected := rosterFor(test, 5, 1, peers(1, 2, 3), nil)
	step := rosterFor(test, 5, 2, peers(1, 2, 3), peers(1, 2, 4))
	after := rosterFor(test, 5, 3, peers(1, 2, 4), nil)
	type answer struct {
		under coreMembership
		core  int
		taken bool
		whole bool
	}
	for number, try := range []struct {
		asked    coreMembership
		answers  []answer
		lasting  bool
		whole    bool
		outdated bool
	}{
		{asked: former, answers: []answer{{former, 1, true, true}, {former, 3, true, true}}, lasting: true, whole: true},
		{asked: former, answers: []answer{{elected, 1, true, true}, {former, 3, true, true}}, lasting: true, whole: true},
		{asked: former, answers: []answer{{former, 1, true, true}, {former, 3, true, false}}, lasting: true},
		{asked: former, answers: []answer{{former, 1, true, true}, {former, 3, false, true}}},
		{asked: former, answers: []answer{{after, 1, true, true}, {former, 3, true, true}}, outdated: true},
		{asked: former, answers: []answer{{after, 1, false, true}, {former, 2, true, true}, {former, 3, true, true}}, outdated: true},
		{asked: former, answers: []answer{{after, 4, false, true}, {former, 1, true, true}, {former, 2, true, true}}, outdated: true},
		{asked: step, answers: []answer{{step, 1, true, true}, {step, 3, true, true}}},
		{asked: step, answers: []answer{{step, 1, true, true}, {step, 3, true, true}, {step, 4, true, false}}, lasting: true, whole: true},
		{asked: step, answers: []answer{{step, 1, true, true}, {step, 2, true, false}, {step, 4, true, true}}, lasting: true},
		{asked: coreMembership{}, answers: []answer{{after, 4, true, true}, {after, 2, true, true}}, lasting: true, whole: true, outdated: true},
		{asked: coreMembership{}, answers: []answer{{former, 3, true, true}, {after, 2, true, true}}, outdated: true},
		{asked: coreMembership{}},
	} {
		votes := newCoreVotes(try.asked)
		for _, one := range try.answers {
			votes.add(one.under.accepted, one.core, one.taken, one.whole)
		}
		if votes.durable() != try.lasting || votes.durable() && votes.complete() != try.whole || votes.outdated() != try.outdated {
			test.Errorf("try %d: lasting %v, whole %v, outdated %v", number, votes.durable(), votes.complete(), votes.outdated())
		}
	}
}
