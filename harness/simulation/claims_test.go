package simulation

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/control"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// newClaims returns a request that claims count keys, numbered from first.
func newClaims(first, count int) *message.RecordClaimsRequest {
	request := &message.RecordClaimsRequest{}
	for number := range count {
		key := message.ClaimKey{Tenant: "coast-grid", Service: "reading-grid", Key: fmt.Sprintf("key-%032d", first+number)}
		request.Claims = append(
			request.Claims,
			message.ClaimRequest{
				Record: message.ClaimRecord{
					Key:    key,
					ID:     fmt.Sprintf("0a1b2c3d4e-%d", first+number),
					Digest: strings.Repeat("d", 64),
					Holder: "proxy-00/0123456789abcdef01234567",
					Stage:  message.ClaimRunning,
				},
			},
		)
	}
	return request
}

// Claims arrive at ten times the present rate of money requests, for three times the
// retention period: storage grows only with the keys that are still remembered, and old
// claims are deleted from disk too.
func TestClaimStorageIsBounded(test *testing.T) {
	skipUnderRaceDetector(test)
	synctest.Test(test, func(test *testing.T) {
		world := NewWorld(3, 1)
		defer world.Close()
		world.StartCore(0)
		world.putFirstSettings(test)
		core, client := world.Cores[0], rpc.NewClient(world.Net.Transport("10.7.0.9"))
		defer client.Close()
		size := func() (bytes, files int) {
			names, _ := core.Disk.List()
			for _, name := range names {
				if strings.HasPrefix(name, "claims-") {
					bytes += core.Disk.Size(name)
					files++
				}
			}
			return bytes, files
		}
		heap := func() uint64 {
			runtime.GC()
			stats := runtime.MemStats{}
			runtime.ReadMemStats(&stats)
			return stats.HeapAlloc
		}
		seconds, peak := 120, 0
		if raceEnabled {
			seconds = 20
		}
		before := heap()
		for second := range 3 * seconds {
			if _, err := rpc.Call(
				client,
				core.InternalAddress,
				message.MethodRecordClaims,
				time.Second,
				newClaims(second*115, 115),
			); err != nil {
				test.Fatal(err)
			}
			world.Sleep(10 * time.Second / 10 * time.Duration(600/seconds))
			bytes, _ := size()
			peak = max(peak, bytes)
			if second == seconds {
				test.Logf(
					"%d keys remembered: %d bytes of disk per key, %d bytes of heap per key (core and simulated disk)",
					seconds*115,
					bytes/(seconds*115),
					(heap()-before)/uint64(seconds*115),
				)
			}
		}
		bytes, files := size()
		test.Logf("%d claims in all, at most %d bytes in %d files", 3*seconds*115, peak, files)
		if peak > 2*seconds*115*400+8<<20 || files < 1 || bytes == 0 {
			test.Errorf("old claims are not deleted: %d bytes, %d files", peak, files)
		}
	})
}

// A torn tail of the claim log is truncated; a corrupt record before a valid one stops the core.
func TestTornAndCorruptClaims(test *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(test, func(test *testing.T) {
			world := NewWorld(seed, 1)
			defer world.Close()
			world.StartCore(0)
			world.putFirstSettings(test)
			client := rpc.NewClient(world.Net.Transport("10.7.0.9"))
			defer client.Close()
			for group := range 6 {
				if _, err := rpc.Call(
					client,
					world.Cores[0].InternalAddress,
					message.MethodRecordClaims,
					time.Second,
					newClaims(group*3, 3),
				); err != nil {
					test.Fatal(err)
				}
			}
			world.KillCore(0, true)
			name := "claims-0000000000000000"
			length := world.Cores[0].Disk.Size(name)
			open := func(disk *Disk) error {
				client := rpc.NewClient(world.Net.Transport("10.7.0.8"))
				core, err := control.NewCore(
					control.Config{
						ID:                1,
						InternalAddress:   "10.0.0.1:41",
						HeartbeatInterval: HeartbeatInterval,
						SuspicionTimeout:  SuspicionTimeout,
					},
					disk,
					client,
					concurrent.NewGroup(),
					metrics.NewCounters(),
				)
				if err == nil {
					core.Close()
				}
				return err
			}
			torn, corrupt := world.Cores[0].Disk.Clone(), world.Cores[0].Disk.Clone()
			torn.Truncate(name, length-1-int(seed)*7)
			corrupt.FlipBit(name, length/3+int(seed)*5)
			if err := open(torn); err != nil {
				test.Errorf("open with a torn tail: %v", err)
			}
			if err := open(corrupt); err == nil || rpc.CodeOf(err) != rpc.CorruptStore {
				test.Errorf("open with a corrupt record: %v", err)
			}
		})
	}
}

// A claimed key is refused to another ID at once, and granted again to its own.
func TestTwoClaimsOfOneKey(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		world := NewWorld(4, 3)
		defer world.Close()
		for index := range world.Cores {
			world.StartCore(index)
		}
		world.putFirstSettings(test)
		client := rpc.NewClient(world.Net.Transport("10.7.0.9"))
		defer client.Close()
		other := newClaims(0, 1)
		other.Claims[0].Record.ID = "ffff-1"
		for index, request := range []*message.RecordClaimsRequest{newClaims(0, 1), other, newClaims(0, 1)} {
			response, err := rpc.Call(client, world.Cores[1].InternalAddress, message.MethodRecordClaims, time.Second, request)
			if err != nil || response.Results[0].Granted != (index != 1) ||
				index == 1 && response.Results[0].Existing.ID != "0a1b2c3d4e-0" {
				test.Errorf("claim %d: %+v %v", index, response, err)
			}
		}
	})
}
