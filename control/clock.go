package control

import (
	"sync"
	"time"

	"orchidjunction/clock"
	"orchidjunction/message"
)

// PeerClocks are what the leader knows of the other cores' clocks: how far each is
// ahead of this one's.
type PeerClocks struct {
	mutex      sync.Mutex
	estimators map[int]*clock.OffsetEstimator
}

func newPeerClocks() *PeerClocks { return &PeerClocks{estimators: map[int]*clock.OffsetEstimator{}} }

func (clocks *PeerClocks) add(core int, ahead int64, trip time.Duration) {
	clocks.mutex.Lock()
	defer clocks.mutex.Unlock()
	if clocks.estimators[core] == nil {
		clocks.estimators[core] = &clock.OffsetEstimator{}
	}
	clocks.estimators[core].Add(ahead, trip)
}

// retain forgets the clocks of cores that vote no more.
func (clocks *PeerClocks) retain(voters []Peer) {
	clocks.mutex.Lock()
	defer clocks.mutex.Unlock()
	for id := range clocks.estimators {
		if !contains(voters, id) {
			delete(clocks.estimators, id)
		}
	}
}

// roundTrip is how long a message to a core and back takes.
func (clocks *PeerClocks) roundTrip(core int) time.Duration {
	clocks.mutex.Lock()
	defer clocks.mutex.Unlock()
	if clocks.estimators[core] == nil {
		return 0
	}
	return clocks.estimators[core].RoundTrip()
}

// median is how far the middle one of all clocks is ahead, and how many there are.
func (clocks *PeerClocks) median(before int64) (int64, int) {
	clocks.mutex.Lock()
	defer clocks.mutex.Unlock()
	all := []int64{0}
	for _, samples := range clocks.estimators {
		all = append(all, samples.Offset())
	}
	return clock.Median(all, before), len(all)
}

// Now is the time of day as the cores agree on it.
func (core *Core) Now() int64 { return core.clock.Now() }

// observeClock takes another core's clock from the answer to a beat; the middle one
// of a majority's clocks is the time.
func (core *Core) observeClock(peer Peer, response *message.HeartbeatResponse, trip time.Duration) {
	if response.AnchorMs == 0 || trip > core.callTimeout() {
		return
	}
	half, anchored := trip.Milliseconds()/2, core.clock.Anchored()
	if response.NowMs > 0 && !core.clock.Synced() {
		core.clock.SetOffset(response.NowMs + half - anchored)
	}
	core.peerClocks.add(peer.ID, response.AnchorMs+half-anchored, trip)
	if ahead, count := core.peerClocks.median(core.clock.Offset()); count >= core.membership().majoritySize() {
		core.clock.SetOffset(ahead)
	}
}

// told is this core's clock, and the time of day if it knows it from others.
func (core *Core) clockTimes() (anchored, now int64) {
	if core.clock.Synced() {
		now = core.clock.Now()
	}
	return core.clock.Anchored(), now
}

// withTime is a beat with the time at which it will arrive, once the way is known.
func (core *Core) withTime(peer Peer, request *message.HeartbeatRequest) *message.HeartbeatRequest {
	timed, trip := *request, core.peerClocks.roundTrip(peer.ID)
	if _, now := core.clockTimes(); now > 0 && trip > 0 {
		timed.NowMs = now + trip.Milliseconds()/2
	}
	return &timed
}
