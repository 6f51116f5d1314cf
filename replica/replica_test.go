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

// noCallbacks ignore all that changes.
func noCallbacks() replica.Callbacks {
	return replica.Callbacks{
		DiskFailed:         func(error) {},
		PromiseRaised:      func(message.Term) {},
		MembershipAccepted: func(message.AcceptedValue) {},
	}
}

// failing are callbacks that fail the test when the disk fails.
func failing(test *testing.T) replica.Callbacks {
	callbacks := noCallbacks()
	callbacks.DiskFailed = func(err error) { test.Error(err) }
	return callbacks
}

// TestVoter sends one message after another, each changed in one thing, and
// shows what was answered and what a power loss would leave.
func TestVoter(test *testing.T) {
	datadriven.Walk(test, "testdata/replica", func(test *testing.T, path string) {
		disk := simulation.NewDisk(1)
		raised := []string{}
		open := func() *replica.Replica {
			store, err := replica.OpenStore(disk)
			if err != nil {
				test.Fatal(err)
			}
			callbacks := noCallbacks()
			callbacks.DiskFailed = func(err error) { raised = append(raised, string(rpc.CodeOf(err))) }
			callbacks.PromiseRaised = func(term message.Term) { raised = append(raised, "raised to "+term.String()) }
			return replica.New(store, callbacks)
		}
		voter := open()
		datadriven.RunTest(test, path, func(test *testing.T, line *datadriven.TestData) string {
			var round uint64
			var core, register int
			var serial uint64
			line.MaybeScanArgs(test, "round", &round)
			line.MaybeScanArgs(test, "core", &core)
			line.MaybeScanArgs(test, "register", &register)
			line.MaybeScanArgs(test, "serial", &serial)
			term := message.Term{Number: round, Core: core}
			answer := ""
			raised = nil
			switch line.Cmd {
			case "found":
				answer = fmt.Sprint(voter.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil) == nil)
			case "promise":
				if response, err := voter.Prepare(&message.PrepareRequest{Term: term}); err != nil {
					answer = string(rpc.CodeOf(err))
				} else {
					answer = fmt.Sprintf(
						"granted %v, promised %s, settings %d under %s",
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
					answer = string(rpc.CodeOf(err))
				} else {
					answer = fmt.Sprintf("taken %v, promised %s", response.Accepted, response.Promised)
				}
			case "fail":
				disk.Fail(true)
				answer = "every write fails from here"
			case "heal":
				disk.Fail(false)
				answer = "writes are taken from here"
			case "repair":
				answer = fmt.Sprint(voter.Repair() == nil)
			case "power":
				disk = disk.Sever(true)
				voter = open()
				state := voter.State()
				answer = fmt.Sprintf(
					"founded %v, promised %s, settings %d under %s, reports %d under %s",
					state.Initialized,
					state.Promised,
					state.Accepted[0].Value.Serial,
					state.Accepted[0].Term,
					state.Accepted[1].Value.Serial,
					state.Accepted[1].Term,
				)
			default:
				test.Fatalf("no command %s", line.Cmd)
			}
			if len(raised) > 0 {
				answer += "; " + strings.Join(raised, ", ")
			}
			return answer + "\n"
		})
	})
}
