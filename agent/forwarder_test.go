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

// hungAddress accepts calls but never responds, like a paused process.
const hungAddress = "10.0.0.1:1"

// leaderTransport connects to a server at respondingAddress, if set; calls to all other
// addresses hang until they are cancelled.
type leaderTransport struct {
	respondingAddress string
	server            *rpc.Server
	hungCalls         atomic.Int32
	afterTimeout      func()
}

func (transport *leaderTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Host != transport.respondingAddress {
		transport.hungCalls.Add(1)
		<-request.Context().Done()
		if request.URL.Host == hungAddress && transport.afterTimeout != nil {
			time.AfterFunc(400*time.Millisecond, transport.afterTimeout)
		}
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	transport.server.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

func testLeader(term uint64, address string) message.Leader {
	return message.Leader{Term: message.Term{Number: term, Core: int(term)}, Core: int(term), Address: address}
}

func newTestForwarder(test *testing.T, transport *leaderTransport, limits ForwardLimits) (*Forwarder, *LeaderFinder) {
	transport.server = rpc.NewServer(metrics.NewCounters())
	rpc.Handle(
		transport.server,
		message.MethodEvacuate,
		func(context.Context, *message.EvacuateRequest) (*message.EvacuateResponse, error) {
			return &message.EvacuateResponse{Serial: 7}, nil
		},
	)
	goroutines := concurrent.NewGroup()
	client := rpc.NewClient(transport)
	finder := NewLeaderFinder(client, goroutines, []string{hungAddress})
	test.Cleanup(func() {
		goroutines.Stop()
		goroutines.Wait()
	})
	return NewForwarder(finder, client, metrics.NewCounters()).WithLimits(limits), finder
}

// The response time-out holds even if a new leader is found during the last attempt: callers go
// elsewhere after it.
func TestForwardTimesOutDespiteLateLeader(test *testing.T) {
	transport := &leaderTransport{}
	forwarder, finder := newTestForwarder(test, transport, ForwardLimits{Response: 2 * time.Second, Attempt: 1500 * time.Millisecond})
	transport.afterTimeout = func() { finder.Observe(testLeader(2, "10.0.0.2:1")) }
	finder.Observe(testLeader(1, hungAddress))
	start := time.Now()
	if _, err := Forward(forwarder, message.MethodEvacuate, &message.EvacuateRequest{Zone: "osu", Begin: true}); err == nil ||
		rpc.CodeOf(err) != rpc.OutcomeUnknown {
		test.Fatalf("unexpected result: %v", err)
	}
	if elapsed := time.Since(start); elapsed > 2200*time.Millisecond {
		test.Fatalf("took %v, want at most the limit of 2 s", elapsed)
	}
}

// A core that leads or follows another leader sends no request to the finder's outdated leader.
func TestForwardUsesLocalLeader(test *testing.T) {
	transport := &leaderTransport{respondingAddress: "10.0.0.2:1"}
	forwarder, finder := newTestForwarder(test, transport, ForwardLimits{Response: 2 * time.Second, Attempt: 1500 * time.Millisecond})
	forwarder.SetLocalLeader(func() message.Leader { return testLeader(2, transport.respondingAddress) })
	finder.Observe(testLeader(1, hungAddress))
	response, err := Forward(forwarder, message.MethodEvacuate, &message.EvacuateRequest{Zone: "osu", Begin: true})
	if err != nil || response.Serial != 7 {
		test.Fatalf("response %v, error %v", response, err)
	}
	if calls := transport.hungCalls.Load(); calls != 0 {
		test.Fatalf("%d calls to the hung leader, want none", calls)
	}
}

// A core that has lost its leader sends no request to the finder's last leader, so that a queued
// request has certainly not run.
func TestForwardSendsNothingWithoutLocalLeader(test *testing.T) {
	transport := &leaderTransport{}
	forwarder, finder := newTestForwarder(test, transport, ForwardLimits{Response: 200 * time.Millisecond, Attempt: 150 * time.Millisecond})
	forwarder.SetLocalLeader(func() message.Leader { return message.Leader{} })
	finder.Observe(testLeader(1, hungAddress))
	if _, err := Forward(forwarder, message.MethodEvacuate, &message.EvacuateRequest{Zone: "osu", Begin: true}); err == nil ||
		rpc.CodeOf(err) != rpc.NotStarted {
		test.Fatalf("unexpected result: %v", err)
	}
	if calls := transport.hungCalls.Load(); calls != 0 {
		test.Fatalf("%d calls to the hung leader, want none", calls)
	}
}
