package rollout

import (
	"slices"
	"strings"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// State is the content of the roll-outs' register. It is immutable: changes return another
// State. Services are sorted by name.
type State struct {
	LastID   uint64
	Services []Service
}

// Service is a service whose versions are known. Current is the version that serves without
// a roll-out, Rollout the newest roll-out, nil if there was none.
type Service struct {
	Name    string
	Current string
	Rollout *Rollout
}

// Rollout is one roll-out as the leader decided on it. Times are in milliseconds since the
// Unix epoch: when it was ordered, when it must be complete, and when its step began. Counts
// is what processes had reported when the step began, or the sum of it all when it ended.
type Rollout struct {
	ID      uint64
	Target  string
	Phase   message.RolloutPhase
	Step    int
	Share   float64
	StartMs int64
	TermMs  int64
	StepMs  int64
	Counts  []ProcessCounts
}

// ProcessCounts is what one process of a proxy counted during one step of a roll-out.
type ProcessCounts struct {
	Incarnation string
	Counts      message.RolloutCounts
}

// DecodeState decodes the register's content. An empty one is a state without services.
func DecodeState(body []byte) (*State, error) {
	state := &State{}
	if len(body) == 0 {
		return state, nil
	}
	if err := rpc.Unmarshal(body, state); err != nil {
		return nil, err
	}
	return state, nil
}

// Service returns what is known of a service, nil if nothing is.
func (state *State) Service(name string) *Service {
	index, found := state.find(name)
	if !found {
		return nil
	}
	return &state.Services[index]
}

func (state *State) find(name string) (int, bool) {
	return slices.BinarySearchFunc(state.Services, name, func(service Service, name string) int {
		return strings.Compare(service.Name, name)
	})
}

// with returns the state with a service in place of the one of the same name.
func (state *State) with(service Service) *State {
	next := *state
	next.Services = slices.Clone(state.Services)
	index, found := state.find(service.Name)
	if found {
		next.Services[index] = service
	} else {
		next.Services = slices.Insert(next.Services, index, service)
	}
	return &next
}

// Messages returns the newest roll-out of each service as proxies get it.
func (state *State) Messages() []message.Rollout {
	list := []message.Rollout{}
	for _, service := range state.Services {
		if service.Rollout != nil {
			list = append(list, service.Rollout.Message(service.Name))
		}
	}
	return list
}

// Message returns the roll-out of a service as proxies get it.
func (rollout *Rollout) Message(service string) message.Rollout {
	return message.Rollout{
		Service:   service,
		Target:    rollout.Target,
		ID:        rollout.ID,
		Phase:     rollout.Phase,
		Step:      rollout.Step,
		Share:     rollout.Share,
		Exclusive: rollout.Phase == message.RolloutActive && rollout.Step >= exclusiveStep,
	}
}

// Active returns the services that have an active roll-out.
func (state *State) Active() []Service {
	active := []Service{}
	for _, service := range state.Services {
		if service.Rollout != nil && service.Rollout.Phase == message.RolloutActive {
			active = append(active, service)
		}
	}
	return active
}
