package hostproxy

import (
	"context"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// largeBody is the size in bytes above which an answer is bulk.
	largeBody = 32 << 10
	// Bulk goes in chunks of bulkChunk bytes, at most bulkBurst at once: what is small waits
	// behind the burst.
	bulkChunk = 8 << 10
	bulkBurst = bulkChunk
	// bulkShare is the share of the link that bulk has in any case.
	bulkShare = 0.25
	// linkUse is the share of the link that is given out.
	linkUse = 0.9
	// The rate of urgent bytes is a mean over rateIntervals, in which the newest has the
	// weight urgentWeight; bulk leaves urgentBurst times that rate free.
	rateInterval = 100 * time.Millisecond
	urgentWeight = 0.4
	urgentBurst  = 1.1
)

// Shaper is one direction of this machine's link. Small answers and requests pass at
// once; large ones take what these leave, and never less than their floor.
type Shaper struct {
	capacity float64
	bulk     *rate.Limiter

	mutex       sync.Mutex
	urgentBytes float64
	urgentRate  float64
	updatedAt   time.Time
	queue       linkQueue
}

// linkQueue is a model of the link's own queue: what was given to the link and it cannot
// have carried yet by its stated rate.
type linkQueue struct {
	bytes     float64
	updatedAt time.Time
}

// add puts bytes at the end of the queue. It returns how long they wait for those before
// them.
func (queue *linkQueue) add(bytes int, capacity float64, now time.Time) time.Duration {
	carried := now.Sub(queue.updatedAt).Seconds() * capacity
	ahead := max(0, queue.bytes-carried)
	queue.bytes, queue.updatedAt = ahead+float64(bytes), now
	return time.Duration(ahead / capacity * float64(time.Second))
}

// newShaper is nil for a link without a bound.
func newShaper(bytesPerSecond float64, now time.Time) *Shaper {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Shaper{capacity: bytesPerSecond, bulk: rate.NewLimiter(rate.Limit(bytesPerSecond*linkUse), bulkBurst), updatedAt: now}
}

// TransferLimiter lets so many large answers be fetched at once that what their senders have
// under way never fills the link for long; a reader alone cannot hold them back.
type TransferLimiter struct {
	limit int

	mutex  sync.Mutex
	active int
}

// TransferWindow is how many bytes a transfer may have under way: the receive buffer of
// connections to backends, where the link has a bound.
const TransferWindow = 16 << 10

// All transfers together may fill the link for transferSpan seconds.
const (
	transferSpan = 0.15
	minTransfers = 2
)

// newTransferLimiter is nil for a link without a bound.
func newTransferLimiter(bytesPerSecond float64) *TransferLimiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &TransferLimiter{limit: max(minTransfers, int(bytesPerSecond*transferSpan/TransferWindow))}
}

func (transfers *TransferLimiter) enter() bool {
	if transfers == nil {
		return true
	}
	transfers.mutex.Lock()
	defer transfers.mutex.Unlock()
	if transfers.active >= transfers.limit {
		return false
	}
	transfers.active++
	return true
}

func (transfers *TransferLimiter) leave() {
	if transfers == nil {
		return
	}
	transfers.mutex.Lock()
	transfers.active--
	transfers.mutex.Unlock()
}

// pass counts bytes that go at once. It returns how long they wait on the link itself.
func (shaper *Shaper) pass(bytes int, now time.Time) time.Duration {
	if shaper == nil {
		return 0
	}
	shaper.mutex.Lock()
	shaper.urgentBytes += float64(bytes)
	shaper.updateRate(now)
	shaper.mutex.Unlock()
	return shaper.enqueue(bytes, now)
}

// enqueue notes that bytes were given to the link. It returns how long they wait there for
// those before them.
func (shaper *Shaper) enqueue(bytes int, now time.Time) time.Duration {
	if shaper == nil {
		return 0
	}
	shaper.mutex.Lock()
	defer shaper.mutex.Unlock()
	return shaper.queue.add(bytes, shaper.capacity, now)
}

// updateRate sets what is left for large answers by what small ones took of late.
func (shaper *Shaper) updateRate(now time.Time) {
	span := now.Sub(shaper.updatedAt)
	if span < rateInterval {
		return
	}
	shaper.urgentRate += urgentWeight * (shaper.urgentBytes/span.Seconds() - shaper.urgentRate)
	shaper.urgentBytes, shaper.updatedAt = 0, now
	shaper.bulk.SetLimitAt(now, rate.Limit(max(bulkShare*shaper.capacity, linkUse*shaper.capacity-urgentBurst*shaper.urgentRate)))
}

// wait holds a part of a large answer until its turn; an error when its time ends
// before that.
func (shaper *Shaper) wait(ctx context.Context, bytes int, now time.Time) error {
	if shaper == nil {
		return nil
	}
	shaper.mutex.Lock()
	shaper.updateRate(now)
	shaper.mutex.Unlock()
	for bytes > 0 {
		part := min(bytes, bulkBurst)
		if err := shaper.bulk.WaitN(ctx, part); err != nil {
			return err
		}
		shaper.enqueue(part, time.Now())
		bytes -= part
	}
	return nil
}

// shapedReader reads at the rate of a Shaper: what goes beyond a small answer waits for its turn.
type shapedReader struct {
	from   io.Reader
	shaper *Shaper
	ctx    context.Context
	clock  func() time.Time
	large  bool
	count  int
}

func (shaped *shapedReader) Read(body []byte) (int, error) {
	if shaped.shaper == nil {
		return shaped.from.Read(body)
	}
	count, err := shaped.from.Read(body[:min(len(body), bulkChunk)])
	if shaped.count += count; shaped.large || shaped.count > largeBody {
		if late := shaped.shaper.wait(shaped.ctx, count, shaped.clock()); late != nil {
			return count, late
		}
	} else {
		shaped.shaper.pass(count, shaped.clock())
	}
	return count, err
}

// shapedWriter writes at the rate of a Shaper in the same way.
type shapedWriter struct {
	to     io.Writer
	shaper *Shaper
	ctx    context.Context
	clock  func() time.Time
	large  bool
}

func (shaped *shapedWriter) Write(body []byte) (int, error) {
	if shaped.shaper == nil {
		return shaped.to.Write(body)
	}
	if !shaped.large {
		shaped.shaper.pass(len(body), shaped.clock())
		return shaped.to.Write(body)
	}
	written := 0
	for written < len(body) {
		part := body[written:min(len(body), written+bulkChunk)]
		if late := shaped.shaper.wait(shaped.ctx, len(part), shaped.clock()); late != nil {
			return written, late
		}
		count, err := shaped.to.Write(part)
		if written += count; err != nil {
			return written, err
		}
	}
	return written, nil
}
