package hostproxy

import "testing"

func TestLines(test *testing.T) {
	queues := waitQueues{}
	for range maxWaiting {
		if !queues.enter(1) {
			test.Fatal("no place")
		}
	}
	if queues.enter(0) || !queues.waiting() {
		test.Error("a place too many")
	}
	if queues.leave(1); !queues.enter(0) || queues.count[0] != 1 || queues.count[1] != maxWaiting-1 {
		test.Errorf("%v", queues.count)
	}
	queues.leave(0)
	for range maxWaiting - 1 {
		queues.leave(1)
	}
	if queues.waiting() {
		test.Error("somebody waits")
	}
}
