package control

import (
	"orchidjunction/message"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// Routing returns the serial and the content of the committed routing as known to this core, or 0
// and an empty state if it cannot be decoded.
func (core *Core) Routing() (uint64, *routing.State) {
	core.mutex.Lock()
	value := core.committed[message.RoutingRegister].Value
	core.mutex.Unlock()
	state, err := routing.DecodeState(value.Body)
	if err != nil {
		return 0, &routing.State{}
	}
	return value.Serial, state
}

// applyRoutingChange returns the routing after a change, or isDuplicate if the change has already
// been made. A stale base is reported before any other error: a client that lost a race sent a
// valid change. For a very old change it is unknown whether it was made.
func applyRoutingChange(state *routing.State, change *routing.Change) (next *routing.State, isDuplicate bool, err error) {
	if state.History.Contains(change.Version, change.Digest) {
		return nil, true, nil
	}
	if err := checkRoutingBase(state, change); err != nil {
		return nil, false, err
	}
	config, err := changedConfig(state, change)
	if err != nil {
		return nil, false, err
	}
	config.Version = change.Version
	if err := config.Check(); err != nil {
		return nil, false, err
	}
	changed := *state
	changed.Config, changed.History = config, state.History.With(change.Version, change.Digest)
	return &changed, false, nil
}

// checkRoutingBase rejects a change that is not based on the current version, or whose own
// version is not above it.
func checkRoutingBase(state *routing.State, change *routing.Change) error {
	current := state.Config.Version
	switch {
	case change.Base != current && state.History.MayHaveDropped(change.Version):
		return &rpc.Error{Code: rpc.Forgotten, Message: "version is too old to tell whether the change was made", Serial: current}
	case change.Base != current:
		return &rpc.Error{Code: rpc.StaleBase, Message: "base is not the current version", Serial: current}
	case change.Version <= current:
		return &rpc.Error{Code: rpc.StaleVersion, Message: "version is not above the current version", Serial: current}
	}
	return nil
}

func changedConfig(state *routing.State, change *routing.Change) (routing.Config, error) {
	switch {
	case change.Whole != nil:
		return *change.Whole, nil
	case change.Patch != nil:
		return state.Config.Apply(change.Patch)
	}
	return routing.Config{}, rpc.Errorf(rpc.BadRequest, "change contains neither a whole routing nor a patch")
}

// writeRouting writes the routing that build returns and returns its serial, or the current
// serial if build returns nil.
func (leadership *Leadership) writeRouting(build func(current *routing.State) (*routing.State, error)) (uint64, error) {
	return writeState(leadership, message.RoutingRegister, func() (*routing.State, error) {
		return build(leadership.currentRouting())
	}, func(next *routing.State) { leadership.routing = next })
}

// currentRouting returns the routing that the leadership wrote last or inherited.
func (leadership *Leadership) currentRouting() *routing.State {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.routing
}

// onRoutingChange applies an operator's change of the routing on the leader. Repeated and refused
// changes need no write, so they are answered only once the leadership is confirmed: a later
// leader may have made this change or others.
func (core *Core) onRoutingChange(request *message.RoutingChangeRequest) (*message.RoutingChangeResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	change := &routing.Change{}
	if err := rpc.Unmarshal(request.Body, change); err != nil {
		return nil, err
	}
	response, isUnwritten := &message.RoutingChangeResponse{}, false
	response.Serial, err = leadership.writeRouting(func(current *routing.State) (*routing.State, error) {
		next, isDuplicate, err := applyRoutingChange(current, change)
		response.Duplicate, isUnwritten = isDuplicate, next == nil
		return next, err
	})
	if isUnwritten {
		err = leadership.confirmDecision(err)
	}
	if err != nil {
		core.counters.Add("routings_"+string(rpc.CodeOf(err)), 1)
		return nil, err
	}
	core.counters.Add("routings_taken", 1)
	return response, nil
}

// onRoutingRead returns the routing once the leadership is confirmed.
func (core *Core) onRoutingRead(*message.RoutingReadRequest) (*message.RoutingReadResponse, error) {
	leadership, err := core.confirmedLeadership()
	if err != nil {
		return nil, err
	}
	value := leadership.value(message.RoutingRegister)
	return &message.RoutingReadResponse{Serial: value.Serial, Body: value.Body}, nil
}
