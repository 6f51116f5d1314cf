package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"time"

	"k8s.io/klog/v2"
)

// Retire is the planned change that SIGTERM brings: in-flight writes finish,
// new ones are refused with the heir's name, and the heir is asked to take over.
func (core *Core) Retire(limit time.Duration) {
	until := time.Now().Add(limit)
	leadership, err := core.currentLeadership()
	if err != nil || !core.role.transition(Lameduck) {
		core.role.transition(Retired)
		core.leaveMembership(until)
		return
	}
	core.counters.Add("lameducks", 1)
	passed := map[int]bool{}
	for time.Now().Before(until) {
		heir, found := leadership.bestSuccessor(passed)
		if !found {
			break
		}
		passed[heir.ID] = true
		if leadership.transferTo(heir, until) {
			break
		}
	}
	core.endLeadership(leadership)
	core.role.transition(Retired)
	core.leaveMembership(until)
}

// transferTo names the heir, lets the write in flight end and steps down; true
// once this core promised a newer ballot, which is the heir's revocation seen from here.
func (leadership *Leadership) transferTo(heir Peer, until time.Time) bool {
	core := leadership.core
	leadership.mutex.Lock()
	leadership.lameduck = true
	leadership.successor = message.Leader{Core: heir.ID, Address: heir.Address}
	leadership.mutex.Unlock()
	leadership.heartbeat()
	leadership.writeLock.Lock()
	defer leadership.writeLock.Unlock()
	klog.Infof("core %d: lameduck, hands over to core %d", core.membership().ID, heir.ID)
	request := &message.TransferLeadershipRequest{Term: leadership.term, From: core.membership().ID, Versions: core.replica.State().Versions()}
	for _, waiting := range leadership.replacements.waitingLearners(learnerTimeouts*core.config.SuspicionTimeout, core.membership()) {
		request.Learners = append(request.Learners, waiting.Address)
	}
	response, err := rpc.Call[message.TransferLeadershipRequest, message.TransferLeadershipResponse](core.client, heir.Address, "stepdown", core.callTimeout(), request)
	if err != nil || !response.Accepted {
		core.counters.Add("handovers_refused", 1)
		return false
	}
	deadline := time.Now().Add(2 * core.config.SuspicionTimeout)
	for time.Now().Before(deadline) && time.Now().Before(until) {
		core.mutex.Lock()
		led := leadership.term.Less(core.leader.Term)
		core.mutex.Unlock()
		if led {
			core.counters.Add("handovers", 1)
			return true
		}
		if !core.goroutines.Sleep(core.config.HeartbeatInterval / 8) {
			return false
		}
	}
	core.counters.Add("handovers_late", 1)
	return false
}
