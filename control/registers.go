package control

import (
	"slices"
	"time"

	"orchidjunction/message"
)

// commitMarkedRegisters are the registers whose committed value is marked on disk, so that
// daemons can get it after a restart before a leader is elected.
var commitMarkedRegisters = []message.Register{message.RoutingRegister, message.RolloutsRegister}

// commit records a register's value as committed if it is newer than the known one. Chunks are
// those of the settings at that version: the replica drops some of them with the next value.
func (core *Core) commit(register message.Register, accepted message.AcceptedValue, chunks message.Chunks) {
	core.mutex.Lock()
	isNewer := core.committed[register].Value.Serial < accepted.Value.Serial
	if isNewer {
		core.committed[register] = accepted
		if register == message.SettingsRegister {
			core.chunks = chunks
		}
	}
	core.mutex.Unlock()
	if !isNewer {
		return
	}
	core.counters.Add("commits", 1)
	core.updates.Notify()
	if slices.Contains(commitMarkedRegisters, register) && core.config.discoversPeers() {
		core.goroutines.Start(func() { core.replica.MarkCommitted(register, accepted.Version()) })
	}
}

// committedSerial returns the serial of a register's committed value. The caller holds the
// mutex.
func (core *Core) committedSerial(register message.Register) uint64 {
	return core.committed[register].Value.Serial
}

// onReadIndex returns the newest versions once the leadership is confirmed.
func (core *Core) onReadIndex(*message.ReadIndexRequest) (*message.ReadIndexResponse, error) {
	leadership, err := core.confirmedLeadership()
	if err != nil {
		return nil, err
	}
	return &message.ReadIndexResponse{
		Serial:   leadership.value(message.SettingsRegister).Serial,
		Table:    core.Table().Version,
		Routing:  leadership.value(message.RoutingRegister).Serial,
		Rollouts: leadership.value(message.RolloutsRegister).Serial,
	}, nil
}

// confirmedLeadership returns this core's leadership once a quorum has confirmed it.
func (core *Core) confirmedLeadership() (*Leadership, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	if err := leadership.confirm(core.callTimeout()); err != nil {
		return nil, err
	}
	return leadership, nil
}

// onLeader returns the leader, if this core leads or has recently seen one.
func (core *Core) onLeader(*message.LeaderRequest) (*message.LeaderResponse, error) {
	isLeader := core.advertisesLeadership()
	view := core.membership()
	core.mutex.Lock()
	response := &message.LeaderResponse{
		Lameduck:   core.election.lameduck,
		Cores:      view.Addresses(),
		Membership: view.Version,
		Routing:    core.committedSerial(message.RoutingRegister),
		Table:      core.tables.current.Version,
	}
	if isLeader || core.election.leaderAlive(core.config.SuspicionTimeout) {
		response.Leader = core.election.leader
	}
	leadership := core.leadership
	core.mutex.Unlock()
	if leadership != nil {
		response.Lameduck = leadership.isLameduck()
	}
	return response, nil
}

// Leader returns the leader known to this core, and the zero value if it sees none or the
// leader is stepping down.
func (core *Core) Leader() message.Leader {
	if response, _ := core.onLeader(&message.LeaderRequest{}); !response.Lameduck {
		return response.Leader
	}
	return message.Leader{}
}

// newWatchResponse returns the versions that daemons watch. If only the table is newer than
// what a daemon holds, it adds the changes of the table.
func (core *Core) newWatchResponse(request *message.WatchRequest) *message.WatchResponse {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	response := &message.WatchResponse{
		Serial:   core.committedSerial(message.SettingsRegister),
		Table:    core.tables.current.Version,
		Routing:  core.committedSerial(message.RoutingRegister),
		Rollouts: core.committedSerial(message.RolloutsRegister),
	}
	if response.NewerInTableOnly(request) {
		core.tables.addDelta(response, request.Table)
	}
	return response
}

// onWatch waits until something is newer than what a daemon holds.
func (core *Core) onWatch(request *message.WatchRequest) (*message.WatchResponse, error) {
	deadline := time.Now().Add(request.Timeout())
	for {
		seen := core.updates.Count()
		response := core.newWatchResponse(request)
		core.addWatchedRollouts(response, request.Rollouts)
		if response.NewerThan(request) || core.goroutines.Stopping() {
			return response, nil
		}
		if !core.updates.Wait(seen, time.Until(deadline)) {
			return response, nil
		}
	}
}

// onFetch returns what is newer than what a daemon holds.
func (core *Core) onFetch(request *message.FetchRequest) (*message.FetchResponse, error) {
	response := &message.FetchResponse{}
	if err := core.addRouting(response, request.Routing); err != nil {
		return nil, err
	}
	core.mutex.Lock()
	if value := core.committed[message.SettingsRegister].Value; value.Serial > request.Serial {
		response.Serial, response.Chunks = value.Serial, settingsRefs(value.Chunks)
	}
	core.tables.addTo(response, request.Table)
	core.mutex.Unlock()
	core.addRollouts(response, request.Rollouts)
	return core.fetchCache.get(response)
}

// addRouting adds the committed routing to a response if it is newer than the serial held.
func (core *Core) addRouting(response *message.FetchResponse, held uint64) error {
	core.mutex.Lock()
	routing := core.committed[message.RoutingRegister].Value
	core.mutex.Unlock()
	if routing.Serial <= held {
		return nil
	}
	body, err := core.routingCache.get(routing)
	if err != nil {
		return err
	}
	response.Routing, response.RoutingBody, response.RoutingCompressed = routing.Serial, body, true
	return nil
}

// Settings returns the serial and the full text of the committed settings, and 0 and nil if
// they cannot be read.
func (core *Core) Settings() (uint64, []byte) {
	current, err := core.committedContent()
	if err != nil {
		return 0, nil
	}
	return current.serial, current.tree.Body()
}
