package control

import (
	"sync"

	"k8s.io/klog/v2"

	"orchidjunction/message"
	"orchidjunction/rollout"
	"orchidjunction/rpc"
)

// rolloutsCache keeps the decoded content of the committed roll-outs. It is safe for
// concurrent use.
type rolloutsCache struct {
	mutex  sync.Mutex
	serial uint64
	state  *rollout.State
}

// get returns the decoded content of a value.
func (cache *rolloutsCache) get(value message.Value) (*rollout.State, error) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if cache.state != nil && cache.serial == value.Serial {
		return cache.state, nil
	}
	state, err := rollout.DecodeState(value.Body)
	if err != nil {
		return nil, err
	}
	cache.serial, cache.state = value.Serial, state
	return state, nil
}

// listedBackends keeps which of the platform's backends proxies may know of, as long as
// neither the list nor the roll-outs change. It is used by one goroutine.
type listedBackendsCache struct {
	serial uint64
	source []message.Backend
	listed []message.Backend
}

// of returns the backends of a list that the roll-outs of a serial let proxies know of.
func (cache *listedBackendsCache) get(backends []message.Backend, serial uint64, state *rollout.State) []message.Backend {
	isSame := len(backends) > 0 && len(cache.source) == len(backends) && &cache.source[0] == &backends[0]
	if !isSame || cache.serial != serial {
		cache.serial, cache.source, cache.listed = serial, backends, state.Listed(backends)
	}
	return cache.listed
}

// Rollouts returns the serial and the content of the committed roll-outs as this core holds
// them, 0 and an empty one if they can't be read.
func (core *Core) Rollouts() (uint64, *rollout.State) {
	core.mutex.Lock()
	value := core.committed[message.RolloutsRegister].Value
	core.mutex.Unlock()
	state, err := core.rolloutsCache.get(value)
	if err != nil {
		core.counters.Add("rollouts_unreadable", 1)
		return 0, &rollout.State{}
	}
	return value.Serial, state
}

// addRollouts adds the committed roll-outs to a response if they are newer than a serial.
func (core *Core) addRollouts(response *message.FetchResponse, since uint64) {
	if since == maxSerial {
		return
	}
	if serial, state := core.Rollouts(); serial > since {
		response.Rollouts, response.RolloutList = serial, state.Messages()
	}
}

// addWatchedRollouts adds the committed roll-outs to the response to a watch if they are newer
// than a serial.
func (core *Core) addWatchedRollouts(response *message.WatchResponse, since uint64) {
	if serial, state := core.Rollouts(); serial > since {
		response.Rollouts, response.RolloutList = serial, state.Messages()
	}
}

// currentRollouts returns the roll-outs that the leadership wrote or inherited.
func (leadership *Leadership) currentRollouts() *rollout.State {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.rollouts
}

// writeRollouts writes the roll-outs that build makes of the current ones and returns the
// serial that holds them; if build makes none, that is the current serial.
func (leadership *Leadership) writeRollouts(build func(current *rollout.State) (*rollout.State, error)) (uint64, error) {
	return writeState(leadership, message.RolloutsRegister, func() (*rollout.State, error) {
		return build(leadership.currentRollouts())
	}, func(next *rollout.State) { leadership.rollouts = next })
}

// onRolloutOrder begins a roll-out or ends one. What needs no write, a repeated or a refused
// order, is answered only by who still leads.
func (core *Core) onRolloutOrder(order *message.RolloutOrder) (*message.RolloutOrderResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	if order.QueryOnly {
		return &message.RolloutOrderResponse{ID: leadership.currentRollouts().NewestID(order.Service)}, nil
	}
	response, isUnwritten := &message.RolloutOrderResponse{}, false
	response.Serial, err = leadership.writeRollouts(func(current *rollout.State) (*rollout.State, error) {
		next, err := leadership.applyRolloutOrder(current, order)
		isUnwritten = next == nil
		response.Duplicate, response.ID = next == nil && err == nil, current.NewestID(order.Service)
		if next != nil {
			response.ID = next.NewestID(order.Service)
		}
		return next, err
	})
	if isUnwritten {
		err = leadership.confirmDecision(err)
	}
	if err != nil {
		core.counters.Add("rollout_orders_"+string(rpc.CodeOf(err)), 1)
		return nil, err
	}
	if !response.Duplicate {
		core.counters.Add("rollout_orders_taken", 1)
		klog.Infof("roll-out %d of %s: ordered %q in %d ms, abort %v", response.ID, order.Service, order.Target, order.TermMs, order.Abort)
	}
	return response, nil
}

// applyRolloutOrder returns the roll-outs after an order, nil if it was taken before.
func (leadership *Leadership) applyRolloutOrder(current *rollout.State, order *message.RolloutOrder) (*rollout.State, error) {
	if !leadership.hasService(order.Service) {
		return nil, rpc.Errorf(rpc.NotFound, "no service %.200q", order.Service)
	}
	return current.Order(order, leadership.core.Now())
}

// hasService reports whether the routing has a service.
func (leadership *Leadership) hasService(name string) bool {
	for _, service := range leadership.currentRouting().Config.Services {
		if service.Name == name {
			return true
		}
	}
	return false
}

// onRolloutRead returns the confirmed newest roll-out of a service.
func (core *Core) onRolloutRead(request *message.RolloutReadRequest) (*message.RolloutReadResponse, error) {
	leadership, err := core.confirmedLeadership()
	if err != nil {
		return nil, err
	}
	service := leadership.currentRollouts().Service(request.Service)
	if service == nil || service.Rollout == nil {
		return nil, rpc.Errorf(rpc.NotFound, "%.200q had no roll-out", request.Service)
	}
	return &message.RolloutReadResponse{
		Rollout: service.Rollout.Message(service.Name),
		Counts:  service.Rollout.Total(core.rolloutReports.countsOf(service.Rollout.ID)),
	}, nil
}
