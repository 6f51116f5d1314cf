package control

import (
	"sync"

	"k8s.io/klog/v2"

	"orchidjunction/message"
	"orchidjunction/rollout"
	"orchidjunction/rpc"
)

// rolloutsCache caches the decoded content of the committed rollouts. It is safe for concurrent
// use.
type rolloutsCache struct {
	mutex  sync.Mutex
	serial uint64
	state  *rollout.State
}

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

// listedBackendsCache caches the backends to list to proxies until the platform's list or the
// rollouts change. It is used by one goroutine.
type listedBackendsCache struct {
	serial uint64
	source []message.Backend
	listed []message.Backend
}

// get returns those of the backends that are listed to proxies under the rollouts of a serial.
func (cache *listedBackendsCache) get(backends []message.Backend, serial uint64, state *rollout.State) []message.Backend {
	isSame := len(backends) > 0 && len(cache.source) == len(backends) && &cache.source[0] == &backends[0]
	if !isSame || cache.serial != serial {
		cache.serial, cache.source, cache.listed = serial, backends, state.FilterBackends(backends)
	}
	return cache.listed
}

// Rollouts returns the serial and the content of the committed rollouts as known to this core, or
// 0 and an empty state if they cannot be decoded.
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

// addRollouts adds the committed rollouts to a response if they are newer than a serial.
func (core *Core) addRollouts(response *message.FetchResponse, since uint64) {
	if since == maxSerial {
		return
	}
	if serial, state := core.Rollouts(); serial > since {
		response.Rollouts, response.RolloutList = serial, state.Messages()
	}
}

// addWatchedRollouts adds the committed rollouts to the response to a watch if they are newer
// than a serial.
func (core *Core) addWatchedRollouts(response *message.WatchResponse, since uint64) {
	if serial, state := core.Rollouts(); serial > since {
		response.Rollouts, response.RolloutList = serial, state.Messages()
	}
}

// currentRollouts returns the rollouts that the leadership wrote last or inherited.
func (leadership *Leadership) currentRollouts() *rollout.State {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	return leadership.rollouts
}

// writeRollouts writes the rollouts that build returns and returns their serial, or the current
// serial if build returns nil.
func (leadership *Leadership) writeRollouts(build func(current *rollout.State) (*rollout.State, error)) (uint64, error) {
	return writeState(leadership, message.RolloutsRegister, func() (*rollout.State, error) {
		return build(leadership.currentRollouts())
	}, func(next *rollout.State) { leadership.rollouts = next })
}

// onRolloutOrder starts or aborts a rollout. Repeated and refused orders need no write, so they
// are answered only once the leadership is confirmed.
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

// applyRolloutOrder returns the rollouts after an order, nil if the order is a duplicate.
func (leadership *Leadership) applyRolloutOrder(current *rollout.State, order *message.RolloutOrder) (*rollout.State, error) {
	if !leadership.hasService(order.Service) {
		return nil, rpc.Errorf(rpc.NotFound, "service %.200q not found", order.Service)
	}
	return current.Order(order, leadership.core.Now())
}

func (leadership *Leadership) hasService(name string) bool {
	for _, service := range leadership.currentRouting().Config.Services {
		if service.Name == name {
			return true
		}
	}
	return false
}

// onRolloutRead returns the newest rollout of a service once the leadership is confirmed.
func (core *Core) onRolloutRead(request *message.RolloutReadRequest) (*message.RolloutReadResponse, error) {
	leadership, err := core.confirmedLeadership()
	if err != nil {
		return nil, err
	}
	service := leadership.currentRollouts().Service(request.Service)
	if service == nil || service.Rollout == nil {
		return nil, rpc.Errorf(rpc.NotFound, "service %.200q has had no rollout", request.Service)
	}
	return &message.RolloutReadResponse{
		Rollout: service.Rollout.Message(service.Name),
		Counts:  service.Rollout.Total(core.rolloutReports.countsOf(service.Rollout.ID)),
	}, nil
}
