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
	if queues.enter(high) || !queues.waiting() {
		test.Error("a place too many")
	}
	if queues.leave(low); !queues.enter(high) || queues.count[high] != 1 || queues.count[low] != maxQueuedRequests-1 {
		test.Errorf("%v", queues.count)
	}
	if !queues.outranked(low) || queues.outranked(high) || queues.outranked(other) {
		test.Error("outranked otherwise than by a higher priority at the same service")
	}
	queues.leave(high)
	if queues.outranked(low) {
		test.Error("outranked by one that has left")
	}
	for range maxQueuedRequests - 1 {
		queues.leave(low)
	}
	if queues.waiting() {
		test.Error("somebody waits")
	}
}
