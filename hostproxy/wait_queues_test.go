package hostproxy

import "testing"

func TestWaitQueues(test *testing.T) {
	queues := waitQueues{}
	high, low, other := waitQueue{"plain", 0}, waitQueue{"plain", 1}, waitQueue{"other", 1}
	for range maxQueuedRequests {
		if !queues.enter(low) {
			test.Fatal("queue is full early")
		}
	}
	if queues.enter(high) || !queues.anyWaiting() {
		test.Error("a request beyond the limit was accepted")
	}
	if queues.leave(low); !queues.enter(high) || queues.counts[high] != 1 || queues.counts[low] != maxQueuedRequests-1 {
		test.Errorf("%v", queues.counts)
	}
	if !queues.hasHigherPriority(low) || queues.hasHigherPriority(high) || queues.hasHigherPriority(other) {
		test.Error("only a higher priority of the same service counts")
	}
	queues.leave(high)
	if queues.hasHigherPriority(low) {
		test.Error("a request that has left still counts")
	}
	for range maxQueuedRequests - 1 {
		queues.leave(low)
	}
	if queues.anyWaiting() {
		test.Error("empty queues report a waiting request")
	}
}
