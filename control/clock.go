package control

import (
	"sync"
	"time"

	"orchidjunction/clock"
	"orchidjunction/consensus"
	"orchidjunction/message"
)

// PeerClocks estimates how far the clocks of the other cores are ahead of this one. It is safe
// for concurrent use.
type PeerClocks struct {
	mutex      sync.Mutex
	estimators map[int]*clock.OffsetEstimator
	roundTrips map[int]time.Duration // of the last call to each core that returned no time
}

func newPeerClocks() *PeerClocks {
	return &PeerClocks{estimators: map[int]*clock.OffsetEstimator{}, roundTrips: map[int]time.Duration{}}
}

// addRoundTrip records the round trip of a call to a core that did not return its time.
func (clocks *PeerClocks) addRoundTrip(core int, roundTrip time.Duration) {
	clocks.mutex.Lock()
	defer clocks.mutex.Unlock()
	clocks.roundTrips[core] = roundTrip
}

func (clocks *PeerClocks) addSample(core int, aheadMs int64, roundTrip time.Duration) {
	clocks.mutex.Lock()
	defer clocks.mutex.Unlock()
	if clocks.estimators[core] == nil {
		clocks.estimators[core] = &clock.OffsetEstimator{}
	}
	clocks.estimators[core].Add(aheadMs, roundTrip)
}

// retain drops the clocks of cores that are not voters.
func (clocks *PeerClocks) retain(voters []message.Peer) {
	clocks.mutex.Lock()
	defer clocks.mutex.Unlock()
	for id := range clocks.estimators {
		if !consensus.ContainsPeer(voters, id) {
			delete(clocks.estimators, id)
		}
	}
}

// roundTrip returns the round trip to a core, 0 if it is not known.
func (clocks *PeerClocks) roundTrip(core int) time.Duration {
	clocks.mutex.Lock()
	defer clocks.mutex.Unlock()
	if clocks.estimators[core] == nil {
		return clocks.roundTrips[core]
	}
	return clocks.estimators[core].RoundTrip()
}

// median returns the median offset of all clocks, this core's included, in milliseconds, and
// their number. If the two middle offsets lie far apart, it is the one nearer to before.
func (clocks *PeerClocks) median(before int64) (int64, int) {
	clocks.mutex.Lock()
	defer clocks.mutex.Unlock()
	offsets := []int64{0}
	for _, estimator := range clocks.estimators {
		offsets = append(offsets, estimator.Offset())
	}
	return clock.Median(offsets, before), len(offsets)
}

// Now returns the time of day that the cores agree on, in milliseconds since the Unix epoch.
func (core *Core) Now() int64 { return core.clock.Now() }

// observePeerClock samples another core's clock from its heartbeat response. Once samples from
// a majority are known, their median sets the time.
func (core *Core) observePeerClock(peer message.Peer, response *message.HeartbeatResponse, roundTrip time.Duration) {
	if roundTrip > core.callTimeout() {
		return
	}
	if response.AnchorMs == 0 {
		core.peerClocks.addRoundTrip(peer.ID, roundTrip)
		return
	}
	oneWay, anchored := roundTrip.Milliseconds()/2, core.clock.Anchored()
	if response.NowMs > 0 && !core.clock.Synced() {
		core.clock.SetOffset(response.NowMs + oneWay - anchored)
	}
	core.peerClocks.addSample(peer.ID, response.AnchorMs+oneWay-anchored, roundTrip)
	if ahead, count := core.peerClocks.median(core.clock.Offset()); count >= core.membership().MajoritySize() {
		core.clock.SetOffset(ahead)
	}
}

// clockTimes returns this core's own clock, and the time of day if it is synchronized with
// other cores, else 0. Both are in milliseconds since the Unix epoch, and 0 until this core
// trusts its clock.
func (core *Core) clockTimes() (anchored, now int64) {
	if !core.clockTrusted() {
		return 0, 0
	}
	if core.clock.Synced() {
		now = core.clock.Now()
	}
	return core.clock.Anchored(), now
}

// withArrivalTime returns a copy of a heartbeat that carries its expected arrival time, if the
// round trip to the peer is known.
func (core *Core) withArrivalTime(peer message.Peer, request *message.HeartbeatRequest) *message.HeartbeatRequest {
	timed := *request
	roundTrip := core.peerClocks.roundTrip(peer.ID)
	if _, now := core.clockTimes(); now > 0 && roundTrip > 0 {
		timed.NowMs = now + roundTrip.Milliseconds()/2
	}
	return &timed
}
