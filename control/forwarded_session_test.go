package control

import (
	"testing"

	"orchidjunction/message"
	"orchidjunction/usage"
)

// A daemon with a session at a former leader reports only changes of its counts. The next
// leader must get all counts, or it would seal the latest changes alone.
func TestForwardedSessionReportsFullCounts(test *testing.T) {
	core, _ := newSingleCore(test)
	defer core.Close()
	member := message.Member{Name: "edge-1", Kind: "proxy", Incarnation: "a"}
	for _, session := range []*message.Session{
		{Member: member, NowMs: 1, Windows: []message.WindowCount{{Window: 10, Tenants: map[string]uint64{"first": 5, "second": 2}}}},
		{Member: member, NowMs: 2, BaseProcess: core.windows.Process(), Windows: []message.WindowCount{{Window: 11, Tenants: map[string]uint64{"first": 1}}}},
	} {
		if _, err := core.onSession(session); err != nil {
			test.Fatal(err)
		}
	}
	next := usage.NewWindows()
	for _, held := range core.sessions.ownedBy(core.membership().ID) {
		forwarded := core.forwardedSession(held)
		next.Add(&forwarded)
	}
	if sum := next.Sum(10); sum["first"] != 5 || sum["second"] != 2 {
		test.Fatalf("window 10 at the next leader: %v", sum)
	}
	if sum := next.Sum(11); sum["first"] != 1 {
		test.Fatalf("window 11 at the next leader: %v", sum)
	}
	if next.AwaitsProcess(11, 2) || !next.AwaitsProcess(11, 3) {
		test.Fatalf(
			"awaits the process at 2: %v, at 3: %v; everything up to 2 was reported",
			next.AwaitsProcess(11, 2),
			next.AwaitsProcess(11, 3),
		)
	}
}

// A delta based on a former process of the core must not be forwarded as complete counts.
func TestForwardedDeltaForFormerProcessStaysDelta(test *testing.T) {
	core, _ := newSingleCore(test)
	defer core.Close()
	session := message.Session{
		Member: message.Member{Name: "edge-1", Kind: "proxy", Incarnation: "a"}, NowMs: 2, BaseProcess: core.windows.Process() + 2,
		Windows: []message.WindowCount{{Window: 11, Tenants: map[string]uint64{"first": 1}}},
	}
	if _, err := core.onSession(&session); err != nil {
		test.Fatal(err)
	}
	next := usage.NewWindows()
	for _, held := range core.sessions.ownedBy(core.membership().ID) {
		forwarded := core.forwardedSession(held)
		next.Add(&forwarded)
	}
	if !next.AwaitsProcess(11, 1) || next.Sum(11)["first"] != 1 {
		test.Fatalf("awaits the process at 1: %v, window 11: %v", next.AwaitsProcess(11, 1), next.Sum(11))
	}
}
