package rollout

import (
	"slices"
	"strings"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// State is the content of the rollout register. It is immutable: changes return a new State.
// Services are sorted by name.
type State struct {
	LastID   uint64
	Services []Service
}

// Service is a service whose versions are known. Current is the version that serves outside of
// a rollout. Rollout is the newest rollout, nil if there was none.
type Service struct {
	Name    string
	Current string
	Rollout *Rollout
}

// Rollout is one rollout as decided by the leader. Times are in milliseconds since the Unix
// epoch: StartMs is when it was ordered, TermMs the deadline for its completion, StepMs when its
// step began. Counts holds the reports up to the begin of the step, or the sum of all after the end.
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

// ProcessCounts are the counts of one proxy process during one step of a rollout.
type ProcessCounts struct {
	Incarnation string
	Counts      message.RolloutCounts
}

// DecodeState decodes the content of the register. An empty body is a state without services.
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

// Service returns a service by name, nil if it is unknown.
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

// withService returns the state with a service added or replaced by name.
func (state *State) withService(service Service) *State {
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

// Messages returns the newest rollout of each service, as it is sent to proxies.
func (state *State) Messages() []message.Rollout {
	list := []message.Rollout{}
	for _, service := range state.Services {
		if service.Rollout != nil {
			list = append(list, service.Rollout.Message(service.Name))
		}
	}
	return list
}

// Message returns the rollout of a service, as it is sent to proxies.
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

// Active returns the services that have an active rollout.
func (state *State) Active() []Service {
	active := []Service{}
	for _, service := range state.Services {
		if service.Rollout != nil && service.Rollout.Phase == message.RolloutActive {
			active = append(active, service)
		}
	}
	return active
}
