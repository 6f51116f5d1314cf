package hostproxy

import "testing"

func TestLines(test *testing.T) {
	lines := waitQueues{}
	for range maxWaiting {
		if !lines.enter(1) {
			test.Fatal("no place")
		}
	}
	if lines.enter(0) || !lines.waiting() {
		test.Error("a place too many")
	}
	if lines.leave(1); !lines.enter(0) || lines.count[0] != 1 || lines.count[1] != maxWaiting-1 {
		test.Errorf("%v", lines.count)
	}
	lines.leave(0)
	for range maxWaiting - 1 {
		lines.leave(1)
	}
	if lines.waiting() {
		test.Error("somebody waits")
	}
}

// Bodies together are bounded; one alone is always taken.
func TestBodies(test *testing.T) {
	bodies := bodyMemory{}
	if !bodies.take(2*maxBodies) || bodies.take(1) {
		test.Error("beside one that is too large")
	}
	bodies.give(2 * maxBodies)
	if !bodies.take(maxBodies-1) || !bodies.take(1) || bodies.take(1) {
		test.Error("not just what there is room for")
	}
}
