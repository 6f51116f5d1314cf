package hostproxy

import "testing"

func TestLines(test *testing.T) {
	queues := waitQueues{}
	high, low, other := waitQueue{"plain", 0}, waitQueue{"plain", 1}, waitQueue{"other", 1}
	for range maxQueuedRequests {
		if !queues.enter(low) {
			test.Fatal("no place")
		}
	}
	if queues.enter(high) || !queues.anyWaiting() {
		test.Error("a place too many")
	}
	if queues.leave(low); !queues.enter(high) || queues.counts[high] != 1 || queues.counts[low] != maxQueuedRequests-1 {
		test.Errorf("%v", queues.counts)
	}
	if !queues.hasHigherPriority(low) || queues.hasHigherPriority(high) || queues.hasHigherPriority(other) {
		test.Error("outranked otherwise than by a higher priority at the same service")
	}
	queues.leave(high)
	if queues.hasHigherPriority(low) {
		test.Error("outranked by one that has left")
	}
	for range maxQueuedRequests - 1 {
		queues.leave(low)
	}
	if queues.anyWaiting() {
		test.Error("somebody waits")
	}
}
