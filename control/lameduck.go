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
	leadership, err := core.leading()
	if err != nil || !core.chart.move(Lameduck) {
		core.chart.move(Retired)
		core.leave(until)
		return
	}
	core.counters.Add("lameducks", 1)
	passed := map[int]bool{}
	for time.Now().Before(until) {
		heir, found := leadership.heir(passed)
		if !found {
			break
		}
		passed[heir.ID] = true
		if leadership.handOver(heir, until) {
			break
		}
	}
	core.revoke(leadership)
	core.chart.move(Retired)
	core.leave(until)
}

// handOver names the heir, lets the write in flight end and steps down; true
// once this core promised a newer ballot, which is the heir's revocation seen from here.
func (leadership *Leadership) handOver(heir Peer, until time.Time) bool {
	core := leadership.core
	leadership.mutex.Lock()
	leadership.duck = true
	leadership.successor = message.Leader{Core: heir.ID, Address: heir.Address}
	leadership.mutex.Unlock()
	leadership.beat()
	leadership.writes.Lock()
	defer leadership.writes.Unlock()
	klog.Infof("core %d: lameduck, hands over to core %d", core.members().ID, heir.ID)
	request := &message.TransferLeadershipRequest{Term: leadership.ballot, From: core.members().ID, Versions: core.voter.State().Marks()}
	for _, waiting := range leadership.succession.waiting(learnerSpan*core.place.Suspect, core.members()) {
		request.Learners = append(request.Learners, waiting.Address)
	}
	response, err := rpc.Call[message.TransferLeadershipRequest, message.TransferLeadershipResponse](core.line, heir.Address, "stepdown", core.roundLimit(), request)
	if err != nil || !response.Accepted {
		core.counters.Add("handovers_refused", 1)
		return false
	}
	patience := time.Now().Add(2 * core.place.Suspect)
	for time.Now().Before(patience) && time.Now().Before(until) {
		core.mutex.Lock()
		led := leadership.ballot.Less(core.leader.Term)
		core.mutex.Unlock()
		if led {
			core.counters.Add("handovers", 1)
			return true
		}
		if !core.goroutines.Sleep(core.place.Beat / 8) {
			return false
		}
	}
	core.counters.Add("handovers_late", 1)
	return false
}
