package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// fakeNetwork is a transport without sockets. Connections to hosts without a server fail.
type fakeNetwork map[string]*rpc.Server

func (network fakeNetwork) RoundTrip(request *http.Request) (*http.Response, error) {
	server := network[request.URL.Host]
	if server == nil {
		return nil, rpc.Errorf(rpc.ConnectFailed, "no server at %s", request.URL.Host)
	}
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

func coreAddress(id int) string { return fmt.Sprintf("10.0.0.%d:41", id) }

func coreAddresses(ids ...int) []string {
	addresses := []string{}
	for _, id := range ids {
		addresses = append(addresses, coreAddress(id))
	}
	return addresses
}

func membershipVersion(term, serial uint64) message.Version {
	return message.Version{Term: message.Term{Number: term, Core: 1}, Serial: serial}
}

func newTestDaemon(network fakeNetwork, seeds []string) *Daemon {
	config := Config{
		Name:            "p1",
		Kind:            "proxy",
		Zone:            "e1",
		InternalAddress: "10.0.1.1:41",
		PublicAddress:   "10.0.1.1:80",
		OperatorAddress: "10.0.1.1:42",
		Seeds:           seeds,
	}
	return NewDaemon(config, "i1", rpc.NewClient(network), concurrent.NewGroup(), metrics.NewCounters())
}

// addCore adds a core that answers sessions with the given membership and leader, and counts
// them in sessions.
func (network fakeNetwork) addCore(id int, version message.Version, cores []string, leader message.Leader, sessions map[string]int) {
	server := rpc.NewServer(metrics.NewCounters())
	rpc.Handle(server, message.MethodSession, func(context.Context, *message.Session) (*message.SessionResponse, error) {
		sessions[coreAddress(id)]++
		return &message.SessionResponse{Membership: version, Cores: cores, Leader: leader}, nil
	})
	network[coreAddress(id)] = server
}

// The session stays with a voter regardless of the order of the cores. A seed that has lost its
// vote may still respond, but what is reported to it reaches no leader.
func TestSessionStaysWithVoter(test *testing.T) {
	network, sessions := fakeNetwork{}, map[string]int{}
	leader := message.Leader{Term: message.Term{Number: 9, Core: 5}, Core: 5, Address: coreAddress(5)}
	voters := coreAddresses(4, 5, 6)
	for _, id := range []int{4, 5, 6} {
		network.addCore(id, membershipVersion(9, 7), voters, leader, sessions)
	}
	network.addCore(3, membershipVersion(9, 7), voters, leader, sessions)
	daemon := newTestDaemon(network, coreAddresses(1, 2, 3))
	for range 3 {
		daemon.renewSession()
	}
	if sessions[coreAddress(3)] != 1 {
		test.Fatalf("sessions %v, want one with the only reachable seed", sessions)
	}
	for attempt := range 12 {
		daemon.mutex.Lock()
		daemon.failedAt[daemon.lastCore] = time.Now().Add(-time.Duration(attempt) * failedCoreTimeout / 8)
		daemon.mutex.Unlock()
		daemon.renewSession()
	}
	if sessions[coreAddress(3)] != 1 || daemon.counters.Get("sessions_failed") != 2 {
		test.Errorf(
			"sessions %v with %d failures, want 1 with the non-voter and 2 failures",
			sessions,
			daemon.counters.Get("sessions_failed"),
		)
	}
	core := daemon.lastCore
	daemon.LeaderFinder.ObserveMembership(membershipVersion(9, 9), coreAddresses(7, 6, 5, 4))
	if daemon.renewSession(); daemon.lastCore != core {
		test.Errorf("session moved from %s to %s although the core is still a voter", core, daemon.lastCore)
	}
	daemon.LeaderFinder.ObserveMembership(membershipVersion(9, 11), coreAddresses(1, 2, 8))
	if daemon.sessionCore() == core {
		test.Error("session stays with a core that is no longer a voter")
	}
}

// A removed core that returns reports an older membership and an older leader. Neither
// replaces newer ones.
func TestOlderMembershipAndLeaderAreIgnored(test *testing.T) {
	network, sessions := fakeNetwork{}, map[string]int{}
	leader := message.Leader{Term: message.Term{Number: 9, Core: 5}, Core: 5, Address: coreAddress(5)}
	oldLeader := message.Leader{Term: message.Term{Number: 3, Core: 1}, Core: 1, Address: coreAddress(1)}
	network.addCore(5, membershipVersion(9, 7), coreAddresses(4, 5, 6), leader, sessions)
	network.addCore(1, membershipVersion(3, 1), coreAddresses(1, 2, 3), oldLeader, sessions)
	daemon := newTestDaemon(network, coreAddresses(1, 2, 3))
	daemon.renewSession()
	if daemon.LeaderFinder.Leader() != oldLeader {
		test.Fatalf("leader %v, want the one reported by the first responding core", daemon.LeaderFinder.Leader())
	}
	daemon.LeaderFinder.ObserveMembership(membershipVersion(9, 7), coreAddresses(4, 5, 6))
	for range 4 {
		daemon.renewSession()
	}
	if daemon.LeaderFinder.Leader() != leader || sessions[coreAddress(1)] != 1 {
		test.Errorf("leader %v, sessions %v", daemon.LeaderFinder.Leader(), sessions)
	}
	daemon.LeaderFinder.ObserveMembership(membershipVersion(3, 1), coreAddresses(1, 2, 3))
	daemon.LeaderFinder.Observe(oldLeader)
	if voters, _ := daemon.LeaderFinder.Voters(); daemon.LeaderFinder.Leader() != leader || voters[0] != coreAddress(4) {
		test.Errorf("older state accepted: leader %v, voters %v", daemon.LeaderFinder.Leader(), voters)
	}
}

// A daemon that was partitioned while all cores it knows were replaced learns the new voters
// from another daemon.
func TestDaemonLearnsVotersFromPeer(test *testing.T) {
	network := fakeNetwork{}
	peer := newTestDaemon(network, coreAddresses(1, 2, 3))
	peer.LeaderFinder.ObserveMembership(membershipVersion(9, 7), coreAddresses(4, 5, 6))
	server := rpc.NewServer(metrics.NewCounters())
	peer.Register(server)
	network["10.0.1.2:41"] = server
	daemon := newTestDaemon(network, coreAddresses(1, 2, 3))
	daemon.version.Store(
		&Version{
			Table: &message.Table{
				Members: []message.Member{
					{Name: "p1", InternalAddress: "10.0.1.1:41"},
					{Name: "p2", InternalAddress: "10.0.1.2:41"},
					{Name: "p3", InternalAddress: "10.0.1.3:41"},
				},
			},
		},
	)
	daemon.connectivity.recordCoreContact(time.Now())
	if daemon.shouldQueryPeers() {
		test.Error("queries peers while a core is reachable")
	}
	daemon.connectivity.recordCoreContact(time.Now().Add(-time.Minute))
	if !daemon.shouldQueryPeers() || daemon.shouldQueryPeers() {
		test.Error("does not query peers, or queries them twice within the interval")
	}
	daemon.queryPeers()
	voters, others := daemon.LeaderFinder.Voters()
	if fmt.Sprint(voters) != fmt.Sprint(coreAddresses(4, 5, 6)) || fmt.Sprint(others) != fmt.Sprint(coreAddresses(1, 2, 3)) {
		test.Errorf("voters %v, others %v", voters, others)
	}
}

// The version of a core that is not a voter is not fetched as the initial version: it may date
// from before the core's removal.
func TestNoInitialVersionFromRemovedCore(test *testing.T) {
	for number, testCase := range []struct {
		known     message.Version
		wantFetch bool
	}{{message.Version{}, true}, {membershipVersion(9, 7), false}} {
		network := fakeNetwork{}
		server := rpc.NewServer(metrics.NewCounters())
		rpc.Handle(server, message.MethodLeader, func(context.Context, *message.LeaderRequest) (*message.LeaderResponse, error) {
			return &message.LeaderResponse{Membership: membershipVersion(3, 1), Cores: coreAddresses(1, 2, 3), Routing: 4}, nil
		})
		network[coreAddress(1)] = server
		config := Config{
			Name:            "p1",
			Kind:            "proxy",
			Zone:            "e1",
			InternalAddress: "10.0.1.1:41",
			PublicAddress:   "10.0.1.1:80",
			OperatorAddress: "10.0.1.1:42",
			Seeds:           coreAddresses(1, 2, 3),
			DirectSessions:  true,
			Routed:          true,
		}
		daemon := NewDaemon(config, "i1", rpc.NewClient(network), concurrent.NewGroup(), metrics.NewCounters())
		daemon.LeaderFinder.ObserveMembership(testCase.known, coreAddresses(4, 5, 6))
		daemon.LeaderFinder.findLeader()
		if fetched := daemon.counters.Get("begun_before_a_leader") > 0; fetched != testCase.wantFetch {
			test.Errorf("case %d: fetched %v", number, fetched)
		}
	}
}
