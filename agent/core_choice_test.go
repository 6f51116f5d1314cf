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

// doors is a net without sockets: each host has a door or is dead.
type doors map[string]*rpc.Server

func (all doors) RoundTrip(request *http.Request) (*http.Response, error) {
	server := all[request.URL.Host]
	if server == nil {
		return nil, rpc.Errorf(rpc.ConnectFailed, "%s is dead", request.URL.Host)
	}
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

func coreAt(number int) string { return fmt.Sprintf("10.0.0.%d:41", number) }

func coresAt(numbers ...int) []string {
	all := []string{}
	for _, number := range numbers {
		all = append(all, coreAt(number))
	}
	return all
}

func versionMark(round, serial uint64) message.Version {
	return message.Version{Term: message.Term{Number: round, Core: 1}, Serial: serial}
}

func daemonOn(all doors, seeds []string) *Daemon {
	config := Config{
		Name:            "p1",
		Kind:            "proxy",
		Zone:            "e1",
		InternalAddress: "10.0.1.1:41",
		PublicAddress:   "10.0.1.1:80",
		OperatorAddress: "10.0.1.1:42",
		Seeds:           seeds,
	}
	return NewDaemon(config, "i1", rpc.NewClient(all), concurrent.NewGroup(), metrics.NewCounters())
}

// saysMembers opens a core's door: it knows a membership, and a leader or none.
func (all doors) saysMembers(number int, version message.Version, cores []string, leader message.Leader, sessions map[string]int) {
	server := rpc.NewServer(metrics.NewCounters())
	rpc.Handle(server, message.MethodSession, func(context.Context, *message.Session) (*message.SessionResponse, error) {
		sessions[coreAt(number)]++
		return &message.SessionResponse{Membership: version, Cores: cores, Leader: leader}, nil
	})
	all[coreAt(number)] = server
}

// A session is kept at a voter, whatever order the cores' list comes in: a seed that
// lost its vote may answer as if all were well, and what it is told reaches nobody.
func TestSessionIsKeptAtAVoter(test *testing.T) {
	all, sessions := doors{}, map[string]int{}
	leader := message.Leader{Term: message.Term{Number: 9, Core: 5}, Core: 5, Address: coreAt(5)}
	now := coresAt(4, 5, 6)
	for _, number := range []int{4, 5, 6} {
		all.saysMembers(number, versionMark(9, 7), now, leader, sessions)
	}
	all.saysMembers(3, versionMark(9, 7), now, leader, sessions)
	daemon := daemonOn(all, coresAt(1, 2, 3))
	for range 3 {
		daemon.renewSession()
	}
	if sessions[coreAt(3)] != 1 {
		test.Fatalf("the only seed that lives was not asked once: %v", sessions)
	}
	for round := range 12 {
		daemon.mutex.Lock()
		daemon.failedAt[daemon.lastCore] = time.Now().Add(-time.Duration(round) * failedCoreTimeout / 8)
		daemon.mutex.Unlock()
		daemon.renewSession()
	}
	if sessions[coreAt(3)] != 1 || daemon.counters.Get("sessions_failed") != 2 {
		test.Errorf("kept at a core without a vote, or asked dead seeds: %v, %d failed", sessions, daemon.counters.Get("sessions_failed"))
	}
	at := daemon.lastCore
	daemon.LeaderFinder.ObserveMembership(versionMark(9, 9), coresAt(7, 6, 5, 4))
	if daemon.renewSession(); daemon.lastCore != at {
		test.Errorf("the session moved from %s to %s though the core votes on", at, daemon.lastCore)
	}
	daemon.LeaderFinder.ObserveMembership(versionMark(9, 11), coresAt(1, 2, 8))
	if daemon.sessionCore() == at {
		test.Error("the session stays at a core that votes no more")
	}
}

// A removed core that returns knows an older membership and an older leader; neither
// replaces what a daemon knows.
func TestRemovedCoreMisleadsNobody(test *testing.T) {
	all, sessions := doors{}, map[string]int{}
	leader := message.Leader{Term: message.Term{Number: 9, Core: 5}, Core: 5, Address: coreAt(5)}
	former := message.Leader{Term: message.Term{Number: 3, Core: 1}, Core: 1, Address: coreAt(1)}
	all.saysMembers(5, versionMark(9, 7), coresAt(4, 5, 6), leader, sessions)
	all.saysMembers(1, versionMark(3, 1), coresAt(1, 2, 3), former, sessions)
	daemon := daemonOn(all, coresAt(1, 2, 3))
	daemon.renewSession()
	if daemon.LeaderFinder.Leader() != former {
		test.Fatalf("the first that answers is %v", daemon.LeaderFinder.Leader())
	}
	daemon.LeaderFinder.ObserveMembership(versionMark(9, 7), coresAt(4, 5, 6))
	for range 4 {
		daemon.renewSession()
	}
	if daemon.LeaderFinder.Leader() != leader || sessions[coreAt(1)] != 1 {
		test.Errorf("leader %v, sessions %v", daemon.LeaderFinder.Leader(), sessions)
	}
	daemon.LeaderFinder.ObserveMembership(versionMark(3, 1), coresAt(1, 2, 3))
	daemon.LeaderFinder.Observe(former)
	if voters, _ := daemon.LeaderFinder.Voters(); daemon.LeaderFinder.Leader() != leader || voters[0] != coreAt(4) {
		test.Errorf("misled: leader %v, voters %v", daemon.LeaderFinder.Leader(), voters)
	}
}

// A daemon that was cut off while all cores that it knows were replaced learns of the
// new ones from another daemon.
func TestDaemonsTellEachOtherWhoVotes(test *testing.T) {
	all := doors{}
	other := daemonOn(all, coresAt(1, 2, 3))
	other.LeaderFinder.ObserveMembership(versionMark(9, 7), coresAt(4, 5, 6))
	server := rpc.NewServer(metrics.NewCounters())
	other.Register(server)
	all["10.0.1.2:41"] = server
	daemon := daemonOn(all, coresAt(1, 2, 3))
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
	daemon.connectivity.reachedCore(time.Now())
	if daemon.shouldAskPeers() {
		test.Error("asks while a core is reached")
	}
	daemon.connectivity.reachedCore(time.Now().Add(-time.Minute))
	if !daemon.shouldAskPeers() || daemon.shouldAskPeers() {
		test.Error("does not ask, or asks twice at once")
	}
	daemon.askPeers()
	voters, others := daemon.LeaderFinder.Voters()
	if fmt.Sprint(voters) != fmt.Sprint(coresAt(4, 5, 6)) || fmt.Sprint(others) != fmt.Sprint(coresAt(1, 2, 3)) {
		test.Errorf("voters %v, others %v", voters, others)
	}
}

// What a core without a vote tells before a leader stands is not taken for a first
// version: it may be what was in force when it was removed.
func TestNoFirstVersionFromARemovedCore(test *testing.T) {
	for number, try := range []struct {
		learned message.Version
		taken   bool
	}{{message.Version{}, true}, {versionMark(9, 7), false}} {
		all := doors{}
		server := rpc.NewServer(metrics.NewCounters())
		rpc.Handle(server, message.MethodLeader, func(context.Context, *message.LeaderRequest) (*message.LeaderResponse, error) {
			return &message.LeaderResponse{Membership: versionMark(3, 1), Cores: coresAt(1, 2, 3), Routing: 4}, nil
		})
		all[coreAt(1)] = server
		config := Config{
			Name:            "p1",
			Kind:            "proxy",
			Zone:            "e1",
			InternalAddress: "10.0.1.1:41",
			PublicAddress:   "10.0.1.1:80",
			OperatorAddress: "10.0.1.1:42",
			Seeds:           coresAt(1, 2, 3),
			DirectSessions:  true,
			Routed:          true,
		}
		daemon := NewDaemon(config, "i1", rpc.NewClient(all), concurrent.NewGroup(), metrics.NewCounters())
		daemon.LeaderFinder.ObserveMembership(try.learned, coresAt(4, 5, 6))
		daemon.LeaderFinder.findLeader()
		if begun := daemon.counters.Get("begun_before_a_leader") > 0; begun != try.taken {
			test.Errorf("try %d: begun %v", number, begun)
		}
	}
}
