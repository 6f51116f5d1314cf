package replica_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"orchidjunction/harness/simulation"
	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/rpc"
)

// noCallbacks returns callbacks that do nothing.
func noCallbacks() replica.Callbacks {
	return replica.Callbacks{
		DiskFailed:         func(error) {},
		PromiseRaised:      func(message.Term) {},
		MembershipAccepted: func(message.AcceptedValue) {},
	}
}

// failOnDiskError returns callbacks that fail the test if the disk fails.
func failOnDiskError(test *testing.T) replica.Callbacks {
	callbacks := noCallbacks()
	callbacks.DiskFailed = func(err error) { test.Error(err) }
	return callbacks
}

// TestReplicaResponses shows the responses to a series of requests, the callbacks, and
// the state that survives a power loss.
func TestReplicaResponses(test *testing.T) {
	datadriven.Walk(test, "testdata/replica", func(test *testing.T, path string) {
		disk := simulation.NewDisk(1)
		events := []string{}
		open := func() *replica.Replica {
			store, err := replica.OpenStore(disk)
			if err != nil {
				test.Fatal(err)
			}
			callbacks := noCallbacks()
			callbacks.DiskFailed = func(err error) { events = append(events, string(rpc.CodeOf(err))) }
			callbacks.PromiseRaised = func(term message.Term) { events = append(events, "promise raised to "+term.String()) }
			return replica.New(store, callbacks)
		}
		voter := open()
		datadriven.RunTest(test, path, func(test *testing.T, line *datadriven.TestData) string {
			var number uint64
			var core, register int
			var serial uint64
			line.MaybeScanArgs(test, "round", &number)
			line.MaybeScanArgs(test, "core", &core)
			line.MaybeScanArgs(test, "register", &register)
			line.MaybeScanArgs(test, "serial", &serial)
			term := message.Term{Number: number, Core: core}
			result := ""
			events = nil
			switch line.Cmd {
			case "found":
				result = fmt.Sprint(voter.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil) == nil)
			case "promise":
				if response, err := voter.Prepare(&message.PrepareRequest{Term: term}); err != nil {
					result = string(rpc.CodeOf(err))
				} else {
					result = fmt.Sprintf(
						"granted %v, promised %s, settings: serial %d of term %s",
						response.Granted,
						response.Promised,
						response.Accepted[0].Value.Serial,
						response.Accepted[0].Term,
					)
				}
			case "accept":
				if response, err := voter.Accept(
					&message.AcceptRequest{Term: term, Register: message.Register(register), Value: message.Value{Serial: serial}},
				); err != nil {
					result = string(rpc.CodeOf(err))
				} else {
					result = fmt.Sprintf("accepted %v, promised %s", response.Accepted, response.Promised)
				}
			case "disk-fails":
				disk.Fail(true)
				result = "writes fail from now on"
			case "disk-recovers":
				disk.Fail(false)
				result = "writes succeed from now on"
			case "repair":
				result = fmt.Sprint(voter.Repair() == nil)
			case "power":
				disk = disk.Detach(true)
				voter = open()
				state := voter.State()
				result = fmt.Sprintf(
					"initialized %v, promised %s, settings: serial %d of term %s, reports: serial %d of term %s",
					state.Initialized,
					state.Promised,
					state.Accepted[0].Value.Serial,
					state.Accepted[0].Term,
					state.Accepted[1].Value.Serial,
					state.Accepted[1].Term,
				)
			default:
				test.Fatalf("unknown command %s", line.Cmd)
			}
			if len(events) > 0 {
				result += "; " + strings.Join(events, ", ")
			}
			return result + "\n"
		})
	})
}
