package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// frozen takes what it is asked and says nothing, as a process that stands still.
const frozen = "10.0.0.1:1"

// leaders are a frozen leader and, where it has an address, one that answers.
type leaders struct {
	answering string
	door      *rpc.Server
	silent    atomic.Int32
	gaveUp    func()
}

func (leaders *leaders) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Host != leaders.answering {
		leaders.silent.Add(1)
		<-request.Context().Done()
		if request.URL.Host == frozen && leaders.gaveUp != nil {
			time.AfterFunc(400*time.Millisecond, leaders.gaveUp)
		}
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	leaders.door.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

func leaderOf(round uint64, address string) message.Leader {
	return message.Leader{Term: message.Term{Number: round, Core: int(round)}, Core: int(round), Address: address}
}

func holdAt(test *testing.T, transport *leaders, limits ForwardLimits) (*Forwarder, *LeaderFinder) {
	transport.door = rpc.NewServer(metrics.NewCounters())
	rpc.Handle(transport.door, message.MethodEvacuate, func(context.Context, *message.EvacuateRequest) (*message.EvacuateResponse, error) {
		return &message.EvacuateResponse{Serial: 7}, nil
	})
	goroutines := concurrent.NewGroup()
	client := rpc.NewClient(transport)
	finder := NewLeaderFinder(client, goroutines, []string{frozen})
	test.Cleanup(func() {
		goroutines.Stop()
		goroutines.Wait()
	})
	return NewForwarder(finder, client, metrics.NewCounters()).WithLimits(limits), finder
}

// Who asks goes elsewhere once the limit has passed, so an answer after it is lost.
func TestHoldEndsAtItsLimitThoughALeaderTurnsUpLate(test *testing.T) {
	transport := &leaders{}
	forwarder, finder := holdAt(test, transport, ForwardLimits{Response: 2 * time.Second, Attempt: 1500 * time.Millisecond})
	transport.gaveUp = func() { finder.Observe(leaderOf(2, "10.0.0.2:1")) }
	finder.Observe(leaderOf(1, frozen))
	begin := time.Now()
	if _, err := Forward(forwarder, message.MethodEvacuate, &message.EvacuateRequest{Zone: "osu", Begin: true}); err == nil ||
		rpc.CodeOf(err) != rpc.OutcomeUnknown {
		test.Fatalf("answered %v", err)
	}
	if took := time.Since(begin); took > 2200*time.Millisecond {
		test.Fatalf("took %v, the limit is 2 s", took)
	}
}

// A core that follows another leader, or leads, sends nothing to the one that its
// finder heard of last.
func TestHoldGoesToTheLeaderThatItsOwnCoreKnows(test *testing.T) {
	transport := &leaders{answering: "10.0.0.2:1"}
	forwarder, finder := holdAt(test, transport, ForwardLimits{Response: 2 * time.Second, Attempt: 1500 * time.Millisecond})
	forwarder.SetLocalLeader(func() message.Leader { return leaderOf(2, transport.answering) })
	finder.Observe(leaderOf(1, frozen))
	response, err := Forward(forwarder, message.MethodEvacuate, &message.EvacuateRequest{Zone: "osu", Begin: true})
	if err != nil || response.Serial != 7 {
		test.Fatalf("told %v, %v", response, err)
	}
	if request := transport.silent.Load(); request != 0 {
		test.Fatalf("the frozen leader was asked %d times", request)
	}
}

// A core that hears of no leader any more starts nothing at the last one, so that
// what it holds has surely not run.
func TestHoldStartsNothingAtALeaderThatItsOwnCoreNoLongerHears(test *testing.T) {
	transport := &leaders{}
	forwarder, finder := holdAt(test, transport, ForwardLimits{Response: 200 * time.Millisecond, Attempt: 150 * time.Millisecond})
	forwarder.SetLocalLeader(func() message.Leader { return message.Leader{} })
	finder.Observe(leaderOf(1, frozen))
	if _, err := Forward(forwarder, message.MethodEvacuate, &message.EvacuateRequest{Zone: "osu", Begin: true}); err == nil ||
		rpc.CodeOf(err) != rpc.NotStarted {
		test.Fatalf("answered %v", err)
	}
	if request := transport.silent.Load(); request != 0 {
		test.Fatalf("the frozen leader was asked %d times", request)
	}
}
