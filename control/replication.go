package control

import (
	"maps"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// callTimeout is how long a call to another core may take.
func (core *Core) callTimeout() time.Duration { return core.config.SuspicionTimeout }

const (
	// minTransferBytesPerSecond is the least rate, in bytes a second, at which a link between cores is taken
	// to carry a large value; maxTransferTime bounds the time that one is given by it.
	minTransferBytesPerSecond = 1 << 20
	maxTransferTime           = 10 * time.Second
	// minReferenceBytes is the size from which an inherited value is sent by its version first, to
	// replicas that are likely to hold it: sending it costs more than asking.
	minReferenceBytes = 8 << 10
)

// transferTime returns the time that is added to a call's time-out for so many bytes.
func transferTime(bytes int) time.Duration {
	return min(maxTransferTime, time.Duration(float64(bytes)/minTransferBytesPerSecond*float64(time.Second)))
}

// callPeers calls every other voter of a membership at once and returns the responses by
// the voters' IDs, as soon as those that agree are enough or all calls have ended.
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

// replicate sends a value to every voter of a membership, this one too, until a quorum
// has accepted it. A core gets the chunks that it says it lacks.
func (core *Core) replicate(view *consensus.View, request *message.AcceptRequest, chunks message.Chunks) error {
	deadline := time.Now().Add(core.config.writeTimeout() + transferTime(request.Value.Size()))
	voters := view.WithSelf()
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
			"no quorum of membership %d took serial %d under %s",
			view.Version.Serial,
			request.Value.Serial,
			request.Term,
		)
	}
	return nil
}

// acceptCount is which voters have accepted a value, and which have refused it or failed.
type acceptCount struct {
	has     map[int]bool
	hasNone map[int]bool
}

// countAccepted takes responses and errors by the voters' positions.
func countAccepted(voters []message.Peer, responses map[int]*message.AcceptResponse, errs map[int]error) acceptCount {
	count := acceptCount{has: map[int]bool{}, hasNone: map[int]bool{}}
	for index, response := range responses {
		if response.Accepted {
			count.has[voters[index].ID] = true
		} else {
			count.hasNone[voters[index].ID] = true
		}
	}
	for index := range maps.Keys(errs) {
		count.hasNone[voters[index].ID] = true
	}
	return count
}

func (count acceptCount) accepted(id int) bool  { return count.has[id] }
func (count acceptCount) mayAccept(id int) bool { return !count.hasNone[id] }

// replicateTo offers a value to another core, again while that can't be reached.
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

// sendAcceptTo offers a value to another core once.
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

// sendAccept sends a value, and once more with the chunks that the replica lacks. One that
// was inherited under a version is sent by that at first, where it is large.
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
		whole := *request
		whole.Inherited = message.Version{}
		request = &whole
	}
	response, err := send(request)
	if err != nil || len(response.Missing) == 0 {
		return response, err
	}
	fuller := *request
	fuller.Chunks = make(message.Chunks, len(request.Chunks)+len(response.Missing))
	maps.Copy(fuller.Chunks, request.Chunks)
	for _, digest := range response.Missing {
		if chunks[digest] == nil {
			return nil, rpc.Errorf(rpc.CorruptChunk, "a chunk that was asked for is not here")
		}
		fuller.Chunks[digest] = chunks[digest]
	}
	return send(&fuller)
}

// replicateAll has a quorum of a membership accept values of all registers under a term.
// Inherited are the versions under which replicas have accepted them before.
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

// forAllRegisters runs a task for each register at once, until one fails.
func (core *Core) forAllRegisters(task func(register message.Register) error) error {
	_, errs := concurrent.Gather(core.goroutines, int(message.Registers),
		func(index int) (struct{}, error) { return struct{}{}, task(message.Register(index)) },
		func(_ map[int]struct{}, errs map[int]error) bool { return len(errs) > 0 })
	for _, err := range errs {
		return err
	}
	return nil
}
