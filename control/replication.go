package control

import (
	"maps"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

func (core *Core) callTimeout() time.Duration { return core.config.SuspicionTimeout }

const (
	// minTransferBytesPerSecond is the lowest rate assumed for sending a large value between
	// cores. maxTransferTime bounds the time allowed for a value at that rate.
	minTransferBytesPerSecond = 1 << 20
	maxTransferTime           = 10 * time.Second
	// minReferenceBytes is the size from which an inherited value is first sent by reference
	// to its version, since replicas are likely to hold it and sending it costs more than
	// asking.
	minReferenceBytes = 8 << 10
)

// transferTime returns the time to add to a call's time-out for a number of bytes.
func transferTime(bytes int) time.Duration {
	return min(maxTransferTime, time.Duration(float64(bytes)/minTransferBytesPerSecond*float64(time.Second)))
}

// callPeers calls all other voters of a membership concurrently. It returns the responses by
// voter ID as soon as enough returns true for the voters that agree, or all calls have ended.
func callPeers[Response any](
	core *Core,
	view *consensus.View,
	call func(peer message.Peer) (*Response, error),
	agrees func(*Response) bool,
	enough func(has func(id int) bool) bool,
) map[int]*Response {
	byID := func(byIndex map[int]*Response) map[int]*Response {
		responses := make(map[int]*Response, len(byIndex))
		for index, response := range byIndex {
			responses[view.Peers[index].ID] = response
		}
		return responses
	}
	byIndex, _ := concurrent.Gather(core.goroutines, len(view.Peers),
		func(index int) (*Response, error) { return call(view.Peers[index]) },
		func(byIndex map[int]*Response, _ map[int]error) bool {
			return enough(consensus.Agreed(byID(byIndex), agrees))
		})
	return byID(byIndex)
}

// waitForAll makes callPeers wait until all calls have ended.
func waitForAll(func(id int) bool) bool { return false }

// replicate sends a value to every voter of a membership, including this core, until a quorum
// has accepted it. A core gets the chunks that it reports missing.
func (core *Core) replicate(view *consensus.View, request *message.AcceptRequest, chunks message.Chunks) error {
	deadline := time.Now().Add(core.config.writeTimeout() + transferTime(request.Value.Size()))
	voters := view.AllPeers()
	send := func(index int) (*message.AcceptResponse, error) {
		if index == 0 {
			return sendAccept(request, chunks, core.replica.Accept)
		}
		return core.replicateTo(voters[index], request, chunks, deadline)
	}
	responses, _ := concurrent.Gather(
		core.goroutines,
		len(voters),
		send,
		func(responses map[int]*message.AcceptResponse, errs map[int]error) bool {
			count := countAccepted(voters, responses, errs)
			return view.Quorum(count.accepted) || !view.Quorum(count.mayAccept) || time.Until(deadline) <= 0
		},
	)
	for _, response := range responses {
		if !response.Accepted {
			core.observeTermNumber(response.Promised.Number)
		}
	}
	if !view.DecidedBy(countAccepted(voters, responses, nil).accepted) {
		return rpc.Errorf(
			rpc.StaleTerm,
			"no quorum of membership %d accepted serial %d under term %s",
			view.Version.Serial,
			request.Value.Serial,
			request.Term,
		)
	}
	return nil
}

// acceptCount holds which voters accepted a value, and which refused it or failed to answer.
type acceptCount struct {
	acceptedIDs map[int]bool
	failedIDs   map[int]bool
}

// countAccepted counts responses and errors, both keyed by index into voters.
func countAccepted(voters []message.Peer, responses map[int]*message.AcceptResponse, errs map[int]error) acceptCount {
	count := acceptCount{acceptedIDs: map[int]bool{}, failedIDs: map[int]bool{}}
	for index, response := range responses {
		if response.Accepted {
			count.acceptedIDs[voters[index].ID] = true
		} else {
			count.failedIDs[voters[index].ID] = true
		}
	}
	for index := range maps.Keys(errs) {
		count.failedIDs[voters[index].ID] = true
	}
	return count
}

func (count acceptCount) accepted(id int) bool  { return count.acceptedIDs[id] }
func (count acceptCount) mayAccept(id int) bool { return !count.failedIDs[id] }

// replicateTo sends a value to another core and retries until the deadline while the core is
// unreachable.
func (core *Core) replicateTo(
	peer message.Peer,
	request *message.AcceptRequest,
	chunks message.Chunks,
	deadline time.Time,
) (*message.AcceptResponse, error) {
	for {
		response, err := core.sendAcceptTo(peer, request, chunks, time.Until(deadline))
		if err == nil || !isUnreachable(err) || time.Until(deadline) < core.config.HeartbeatInterval {
			return response, err
		}
		if !core.goroutines.Sleep(core.config.HeartbeatInterval / 2) {
			return nil, rpc.Errorf(rpc.Stopping, "stopping")
		}
	}
}

func isUnreachable(err error) bool {
	code := rpc.CodeOf(err)
	return code == rpc.Unreachable || code == rpc.ConnectFailed
}

// sendAcceptTo sends a value to another core once, without retries.
func (core *Core) sendAcceptTo(
	peer message.Peer,
	request *message.AcceptRequest,
	chunks message.Chunks,
	timeout time.Duration,
) (*message.AcceptResponse, error) {
	deadline := time.Now().Add(timeout)
	return sendAccept(request, chunks, func(request *message.AcceptRequest) (*message.AcceptResponse, error) {
		return rpc.Call(core.client, peer.Address, message.MethodAccept, time.Until(deadline), request)
	})
}

// sendAccept sends a value, and again with the chunks that the replica lacks. An inherited
// value is first sent by reference to its version if the request gives one.
func sendAccept(
	request *message.AcceptRequest,
	chunks message.Chunks,
	send func(*message.AcceptRequest) (*message.AcceptResponse, error),
) (*message.AcceptResponse, error) {
	if request.Inherited != (message.Version{}) {
		response, err := send(request.ByReference(request.Inherited))
		if err != nil || !response.LacksValue {
			return response, err
		}
		full := *request
		full.Inherited = message.Version{}
		request = &full
	}
	response, err := send(request)
	if err != nil || len(response.Missing) == 0 {
		return response, err
	}
	withMissing := *request
	withMissing.Chunks = make(message.Chunks, len(request.Chunks)+len(response.Missing))
	maps.Copy(withMissing.Chunks, request.Chunks)
	for _, digest := range response.Missing {
		if chunks[digest] == nil {
			return nil, rpc.Errorf(rpc.CorruptChunk, "a chunk that the replica lacks is missing here too")
		}
		withMissing.Chunks[digest] = chunks[digest]
	}
	return send(&withMissing)
}

// replicateAll makes a quorum of a membership accept values of all registers under a term.
// Replicas may have accepted them before under the inherited versions.
func (core *Core) replicateAll(
	view *consensus.View,
	term message.Term,
	values [message.Registers]message.Value,
	inherited message.Versions,
	chunks message.Chunks,
) error {
	return core.forAllRegisters(func(register message.Register) error {
		request := &message.AcceptRequest{Term: term, Register: register, Value: values[register]}
		if request.Value.Size() >= minReferenceBytes {
			request.Inherited = inherited[register]
		}
		return core.replicate(view, request, chunks)
	})
}

// forAllRegisters runs a task for all registers concurrently, and returns early if one fails.
func (core *Core) forAllRegisters(task func(register message.Register) error) error {
	_, errs := concurrent.Gather(core.goroutines, int(message.Registers),
		func(index int) (struct{}, error) { return struct{}{}, task(message.Register(index)) },
		func(_ map[int]struct{}, errs map[int]error) bool { return len(errs) > 0 })
	for _, err := range errs {
		return err
	}
	return nil
}
