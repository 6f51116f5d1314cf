package control

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

// unreachableTransport fails every request.
type unreachableTransport struct{}

func (unreachableTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("unreachable")
}

// A core may hear of the first membership from another core's call before its own join request
// is answered. It must then become a voter: one that stays blank for ever leaves the system
// without a quorum.
func TestFirstMembershipFromPeerCallGrantsVote(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		seeds := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
		goroutines := concurrent.NewGroup()
		core, err := NewCore(
			Config{
				InternalAddress:   seeds[1],
				Seeds:             seeds,
				MinFounders:       len(seeds),
				Bootstrap:         true,
				HeartbeatInterval: 10 * time.Millisecond,
				SuspicionTimeout:  30 * time.Millisecond,
			},
			storage.Folder(test.TempDir()),
			rpc.NewClient(unreachableTransport{}),
			goroutines,
			metrics.NewCounters(),
		)
		if err != nil {
			test.Fatal(err)
		}
		core.Run()
		defer core.Close()
		defer goroutines.Stop()
		first := consensus.InitialMembership(seeds).Accepted()
		if _, err := core.onRecordClaims(&message.RecordClaimsRequest{Membership: first}); err != nil {
			test.Fatal(err)
		}
		time.Sleep(time.Second)
		if core.replica.Blank() {
			test.Errorf("core is %s and its disk still blank", core.role.Current())
		}
	})
}
