package hostproxy

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
	urgentBurst = 1.1
)

// Shaper is one direction of this machine's link. Small answers and requests pass at
// once; large ones take what these leave, and never less than their floor.
type Shaper struct {
	whole float64
	bulk  *rate.Limiter

	mutex   sync.Mutex
	bytes   float64
	urgent  float64
	hasRate time.Time
}

// newShaper is nil for a link without a bound.
func newShaper(bytesPerSecond float64, now time.Time) *Shaper {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Shaper{whole: bytesPerSecond, bulk: rate.NewLimiter(rate.Limit(bytesPerSecond*linkUse), bulkBurst), hasRate: now}
}

// TransferLimiter lets so many large answers be fetched at once that what their senders have
// under way never fills the link for long; a reader alone cannot hold them back.
type TransferLimiter struct {
	most int

	mutex sync.Mutex
	held  int
}

const (
	transferSpan   = 0.3
	transferWindow = 64 << 10
	minTransfers   = 2
)

// newTransferLimiter is nil for a link without a bound.
func newTransferLimiter(bytesPerSecond float64) *TransferLimiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &TransferLimiter{most: max(minTransfers, int(bytesPerSecond*transferSpan/transferWindow))}
}

func (transfers *TransferLimiter) enter() bool {
	if transfers == nil {
		return true
	}
	transfers.mutex.Lock()
	defer transfers.mutex.Unlock()
	if transfers.held >= transfers.most {
		return false
	}
	transfers.held++
	return true
}

func (transfers *TransferLimiter) leave() {
	if transfers == nil {
		return
	}
	transfers.mutex.Lock()
	transfers.held--
	transfers.mutex.Unlock()
}

// pass counts bytes that go at once.
func (shaper *Shaper) pass(bytes int, now time.Time) {
	if shaper == nil {
		return
	}
	shaper.mutex.Lock()
	shaper.bytes += float64(bytes)
	shaper.setRate(now)
	shaper.mutex.Unlock()
}

// setRate sets what is left for large answers by what small ones took of late.
func (shaper *Shaper) setRate(now time.Time) {
	span := now.Sub(shaper.hasRate)
	if span < linkPace {
		return
	}
	shaper.urgent += urgentShare * (shaper.bytes/span.Seconds() - shaper.urgent)
	shaper.bytes, shaper.hasRate = 0, now
	shaper.bulk.SetLimitAt(now, rate.Limit(max(bulkFloor*shaper.whole, linkUse*shaper.whole-urgentBurst*shaper.urgent)))
}

// wait holds a part of a large answer until its turn; an error when its time ends
// before that.
func (shaper *Shaper) wait(ctx context.Context, bytes int, now time.Time) error {
	if shaper == nil {
		return nil
	}
	shaper.mutex.Lock()
	shaper.setRate(now)
	shaper.mutex.Unlock()
	for bytes > 0 {
		part := min(bytes, bulkBurst)
		if err := shaper.bulk.WaitN(ctx, part); err != nil {
			return err
		}
		bytes -= part
	}
	return nil
}

// shapedReader reads through a lane: what goes beyond a small answer waits for its turn.
type shapedReader struct {
	from   io.Reader
	shaper *Shaper
	ctx    context.Context
	clock  func() time.Time
	large  bool
	count  int
}

func (paced *shapedReader) Read(body []byte) (int, error) {
	if paced.shaper == nil {
		return paced.from.Read(body)
	}
	count, err := paced.from.Read(body[:min(len(body), bulkChunk)])
	if paced.count += count; paced.large || paced.count > bulkLeast {
		if late := paced.shaper.wait(paced.ctx, count, paced.clock()); late != nil {
			return count, late
		}
	} else {
		paced.shaper.pass(count, paced.clock())
	}
	return count, err
}

// shapedWriter writes through a lane in the same way.
type shapedWriter struct {
	to     io.Writer
	shaper *Shaper
	ctx    context.Context
	clock  func() time.Time
	large  bool
}

func (paced *shapedWriter) Write(body []byte) (int, error) {
	if paced.shaper == nil {
		return paced.to.Write(body)
	}
	if !paced.large {
		paced.shaper.pass(len(body), paced.clock())
		return paced.to.Write(body)
	}
	written := 0
	for written < len(body) {
		part := body[written:min(len(body), written+bulkChunk)]
		if late := paced.shaper.wait(paced.ctx, len(part), paced.clock()); late != nil {
			return written, late
		}
		count, err := paced.to.Write(part)
		if written += count; err != nil {
			return written, err
		}
	}
	return written, nil
}
