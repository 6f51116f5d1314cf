package control

import (
	"sync"
	"time"

	"orchidjunction/clock"
	"orchidjunction/message"
)

// Clocks are what the leader knows of the other cores' clocks: how far each is
// ahead of this one's.
type Clocks struct {
	mutex sync.Mutex
	held  map[int]*clock.OffsetEstimator
}

func newClocks() *Clocks { return &Clocks{held: map[int]*clock.OffsetEstimator{}} }

func (clocks *Clocks) take(core int, ahead int64, trip time.Duration) {
	clocks.mutex.Lock()
	defer clocks.mutex.Unlock()
	if clocks.held[core] == nil {
		clocks.held[core] = &clock.OffsetEstimator{}
	}
	clocks.held[core].Add(ahead, trip)
}

// retain forgets the clocks of cores that vote no more.
func (clocks *Clocks) retain(voters []Peer) {
	clocks.mutex.Lock()
	defer clocks.mutex.Unlock()
	for id := range clocks.held {
		if !contains(voters, id) {
			delete(clocks.held, id)
		}
	}
}

// trip is how long a message to a core and back takes.
func (clocks *Clocks) trip(core int) time.Duration {
	clocks.mutex.Lock()
	defer clocks.mutex.Unlock()
	if clocks.held[core] == nil {
		return 0
	}
	return clocks.held[core].RoundTrip()
}

// median is how far the middle one of all clocks is ahead, and how many there are.
func (clocks *Clocks) median(before int64) (int64, int) {
	clocks.mutex.Lock()
	defer clocks.mutex.Unlock()
	all := []int64{0}
	for _, samples := range clocks.held {
		all = append(all, samples.Offset())
	}
	return clock.Median(all, before), len(all)
}

// Now is the time of day as the cores agree on it.
func (core *Core) Now() int64 { return core.clock.Now() }

// sawClock takes another core's clock from the answer to a beat; the middle one
// of a majority's clocks is the time.
func (core *Core) sawClock(peer Peer, response *message.HeartbeatResponse, trip time.Duration) {
	if response.AnchorMs == 0 || trip > core.roundLimit() {
		return
	}
	half, anchored := trip.Milliseconds()/2, core.clock.Anchored()
	if response.NowMs > 0 && !core.clock.Synced() {
		core.clock.SetOffset(response.NowMs + half - anchored)
	}
	core.clocks.take(peer.ID, response.AnchorMs+half-anchored, trip)
	if ahead, count := core.clocks.median(core.clock.Offset()); count >= core.members().needs() {
		core.clock.SetOffset(ahead)
	}
}

// told is this core's clock, and the time of day if it knows it from others.
func (core *Core) toldClock() (anchored, now int64) {
	if core.clock.Synced() {
		now = core.clock.Now()
	}
	return core.clock.Anchored(), now
}

// beatFor is a beat with the time at which it will arrive, once the way is known.
func (core *Core) beatFor(peer Peer, request *message.HeartbeatRequest) *message.HeartbeatRequest {
	timed, trip := *request, core.clocks.trip(peer.ID)
	if _, now := core.toldClock(); now > 0 && trip > 0 {
		timed.NowMs = now + trip.Milliseconds()/2
	}
	return &timed
}
