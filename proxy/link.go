package proxy

import (
	"context"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	bulkLeast   = 32 << 10
	bulkChunk   = 8 << 10
	bulkBurst   = 32 << 10
	bulkFloor   = 0.25
	linkUse     = 0.9
	linkPace    = 100 * time.Millisecond
	urgentShare = 0.4
	urgentRoom  = 1.1
)

// Lane is one direction of this machine's link. Small answers and requests pass at
// once; large ones take what these leave, and never less than their floor.
type Lane struct {
	whole float64
	bulk  *rate.Limiter

	mutex  sync.Mutex
	bytes  float64
	urgent float64
	laid   time.Time
}

// newLane is nil for a link without a bound.
func newLane(bytesPerSecond float64, now time.Time) *Lane {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Lane{whole: bytesPerSecond, bulk: rate.NewLimiter(rate.Limit(bytesPerSecond*linkUse), bulkBurst), laid: now}
}

// Gate lets so many large answers be fetched at once that what their senders have
// under way never fills the link for long; a reader alone cannot hold them back.
type Gate struct {
	most int

	mutex sync.Mutex
	held  int
}

const (
	gateSpan   = 0.3
	gateWindow = 64 << 10
	gateLeast  = 2
)

// newGate is nil for a link without a bound.
func newGate(bytesPerSecond float64) *Gate {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Gate{most: max(gateLeast, int(bytesPerSecond*gateSpan/gateWindow))}
}

func (gate *Gate) enter() bool {
	if gate == nil {
		return true
	}
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.held >= gate.most {
		return false
	}
	gate.held++
	return true
}

func (gate *Gate) leave() {
	if gate == nil {
		return
	}
	gate.mutex.Lock()
	gate.held--
	gate.mutex.Unlock()
}

// pass counts bytes that go at once.
func (lane *Lane) pass(bytes int, now time.Time) {
	if lane == nil {
		return
	}
	lane.mutex.Lock()
	lane.bytes += float64(bytes)
	lane.lay(now)
	lane.mutex.Unlock()
}

// lay sets what is left for large answers by what small ones took of late.
func (lane *Lane) lay(now time.Time) {
	span := now.Sub(lane.laid)
	if span < linkPace {
		return
	}
	lane.urgent += urgentShare * (lane.bytes/span.Seconds() - lane.urgent)
	lane.bytes, lane.laid = 0, now
	lane.bulk.SetLimitAt(now, rate.Limit(max(bulkFloor*lane.whole, linkUse*lane.whole-urgentRoom*lane.urgent)))
}

// wait holds a part of a large answer until its turn; an error when its time ends
// before that.
func (lane *Lane) wait(ctx context.Context, bytes int, now time.Time) error {
	if lane == nil {
		return nil
	}
	lane.mutex.Lock()
	lane.lay(now)
	lane.mutex.Unlock()
	for bytes > 0 {
		part := min(bytes, bulkBurst)
		if err := lane.bulk.WaitN(ctx, part); err != nil {
			return err
		}
		bytes -= part
	}
	return nil
}

// paced reads through a lane: what goes beyond a small answer waits for its turn.
type paced struct {
	from  io.Reader
	lane  *Lane
	ctx   context.Context
	clock func() time.Time
	large bool
	count int
}

func (paced *paced) Read(body []byte) (int, error) {
	if paced.lane == nil {
		return paced.from.Read(body)
	}
	count, err := paced.from.Read(body[:min(len(body), bulkChunk)])
	if paced.count += count; paced.large || paced.count > bulkLeast {
		if late := paced.lane.wait(paced.ctx, count, paced.clock()); late != nil {
			return count, late
		}
	} else {
		paced.lane.pass(count, paced.clock())
	}
	return count, err
}

// pacedWriter writes through a lane in the same way.
type pacedWriter struct {
	to    io.Writer
	lane  *Lane
	ctx   context.Context
	clock func() time.Time
	large bool
}

func (paced *pacedWriter) Write(body []byte) (int, error) {
	if paced.lane == nil {
		return paced.to.Write(body)
	}
	if !paced.large {
		paced.lane.pass(len(body), paced.clock())
		return paced.to.Write(body)
	}
	written := 0
	for written < len(body) {
		part := body[written:min(len(body), written+bulkChunk)]
		if late := paced.lane.wait(paced.ctx, len(part), paced.clock()); late != nil {
			return written, late
		}
		count, err := paced.to.Write(part)
		if written += count; err != nil {
			return written, err
		}
	}
	return written, nil
}
