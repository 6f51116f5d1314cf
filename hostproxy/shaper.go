package hostproxy

import (
	"context"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// bulkThreshold is the size in bytes above which a response is bulk.
	bulkThreshold = 32 << 10
	// Bulk is sent in chunks of bulkChunk bytes, at most bulkBurst at once, since urgent
	// bytes queue behind the burst.
	bulkChunk = 8 << 10
	bulkBurst = bulkChunk
	// minBulkShare is the share of the link that is guaranteed to bulk.
	minBulkShare = 0.25
	// linkUtilization is the share of the link's capacity that is used.
	linkUtilization = 0.9
	// The rate of urgent bytes is an exponentially weighted mean over intervals of
	// urgentRateInterval; bulk leaves urgentHeadroom times that rate free.
	urgentRateInterval = 100 * time.Millisecond
	urgentRateWeight   = 0.4
	urgentHeadroom     = 1.1
)

// linkShaper shapes one direction of this machine's link. Small requests and responses are
// urgent and not delayed; bulk gets the remaining rate, but at least minBulkShare.
type linkShaper struct {
	capacity float64
	bulk     *rate.Limiter

	mutex       sync.Mutex
	urgentBytes float64
	urgentRate  float64
	updatedAt   time.Time
	queue       linkQueue
}

// linkQueue models the link's queue: the bytes that were sent, but cannot have been
// transmitted yet at the configured capacity.
type linkQueue struct {
	bytes     float64
	updatedAt time.Time
}

// add enqueues bytes and returns how long they wait behind earlier ones.
func (queue *linkQueue) add(bytes int, capacity float64, now time.Time) time.Duration {
	transmitted := now.Sub(queue.updatedAt).Seconds() * capacity
	ahead := max(0, queue.bytes-transmitted)
	queue.bytes, queue.updatedAt = ahead+float64(bytes), now
	return time.Duration(ahead / capacity * float64(time.Second))
}

// newShaper returns nil for a link without a limit.
func newShaper(bytesPerSecond float64, now time.Time) *linkShaper {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &linkShaper{
		capacity:  bytesPerSecond,
		bulk:      rate.NewLimiter(rate.Limit(bytesPerSecond*linkUtilization), bulkBurst),
		updatedAt: now,
	}
}

// transferLimiter limits concurrent downloads, so that the bytes their senders have in
// flight never fill the link for long; reading slowly is not enough to hold the senders back.
type transferLimiter struct {
	limit int

	mutex  sync.Mutex
	active int
}

// TransferWindow is how many bytes a transfer may have in flight: the receive buffer of
// connections to backends if the link has a limit.
const TransferWindow = 16 << 10

// All transfers together may fill the link for transferSpanSeconds.
const (
	transferSpanSeconds = 0.15
	minTransfers        = 2
)

// newTransferLimiter returns nil for a link without a limit.
func newTransferLimiter(bytesPerSecond float64) *transferLimiter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &transferLimiter{limit: max(minTransfers, int(bytesPerSecond*transferSpanSeconds/TransferWindow))}
}

func (limiter *transferLimiter) tryAcquire() bool {
	if limiter == nil {
		return true
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.active >= limiter.limit {
		return false
	}
	limiter.active++
	return true
}

func (limiter *transferLimiter) release() {
	if limiter == nil {
		return
	}
	limiter.mutex.Lock()
	limiter.active--
	limiter.mutex.Unlock()
}

// recordUrgent counts urgent bytes and returns their estimated wait in the link's queue.
func (shaper *linkShaper) recordUrgent(bytes int, now time.Time) time.Duration {
	if shaper == nil {
		return 0
	}
	shaper.mutex.Lock()
	shaper.urgentBytes += float64(bytes)
	shaper.updateBulkRate(now)
	shaper.mutex.Unlock()
	return shaper.enqueue(bytes, now)
}

// enqueue adds bytes to the model of the link's queue and returns their estimated wait.
func (shaper *linkShaper) enqueue(bytes int, now time.Time) time.Duration {
	if shaper == nil {
		return 0
	}
	shaper.mutex.Lock()
	defer shaper.mutex.Unlock()
	return shaper.queue.add(bytes, shaper.capacity, now)
}

// updateBulkRate sets the rate of bulk from the recent rate of urgent bytes.
func (shaper *linkShaper) updateBulkRate(now time.Time) {
	span := now.Sub(shaper.updatedAt)
	if span < urgentRateInterval {
		return
	}
	shaper.urgentRate += urgentRateWeight * (shaper.urgentBytes/span.Seconds() - shaper.urgentRate)
	shaper.urgentBytes, shaper.updatedAt = 0, now
	shaper.bulk.SetLimitAt(
		now,
		rate.Limit(max(minBulkShare*shaper.capacity, linkUtilization*shaper.capacity-urgentHeadroom*shaper.urgentRate)),
	)
}

// waitBulk blocks until bulk bytes may be sent; it fails if the context ends first.
func (shaper *linkShaper) waitBulk(ctx context.Context, bytes int, now time.Time) error {
	if shaper == nil {
		return nil
	}
	shaper.mutex.Lock()
	shaper.updateBulkRate(now)
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

// shapedReader reads at the rate of a linkShaper: bytes beyond bulkThreshold are bulk.
type shapedReader struct {
	from   io.Reader
	shaper *linkShaper
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
	if shaped.count += count; shaped.large || shaped.count > bulkThreshold {
		if waitErr := shaped.shaper.waitBulk(shaped.ctx, count, shaped.clock()); waitErr != nil {
			return count, waitErr
		}
	} else {
		shaped.shaper.recordUrgent(count, shaped.clock())
	}
	return count, err
}

// shapedWriter writes at the rate of a linkShaper, as bulk if large is set.
type shapedWriter struct {
	to     io.Writer
	shaper *linkShaper
	ctx    context.Context
	clock  func() time.Time
	large  bool
}

func (shaped *shapedWriter) Write(body []byte) (int, error) {
	if shaped.shaper == nil {
		return shaped.to.Write(body)
	}
	if !shaped.large {
		shaped.shaper.recordUrgent(len(body), shaped.clock())
		return shaped.to.Write(body)
	}
	written := 0
	for written < len(body) {
		part := body[written:min(len(body), written+bulkChunk)]
		if waitErr := shaped.shaper.waitBulk(shaped.ctx, len(part), shaped.clock()); waitErr != nil {
			return written, waitErr
		}
		count, err := shaped.to.Write(part)
		if written += count; err != nil {
			return written, err
		}
	}
	return written, nil
}
