package run

import "sync"

// Ring is a bounded queue between goroutines: any number put items in, one takes
// them out in batches.
type Ring[T any] struct {
	mutex  sync.Mutex
	wake   *sync.Cond
	items  []T
	first  int
	count  int
	closed bool
}

// NewRing returns a Ring that holds at most so many items.
func NewRing[T any](most int) *Ring[T] {
	ring := &Ring[T]{items: make([]T, most)}
	ring.wake = sync.NewCond(&ring.mutex)
	return ring
}

// Put appends an item; it returns false, without waiting, if the ring is full or
// closed.
func (ring *Ring[T]) Put(item T) bool {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	if ring.closed || ring.count == len(ring.items) {
		return false
	}
	ring.items[(ring.first+ring.count)%len(ring.items)] = item
	ring.count++
	ring.wake.Signal()
	return true
}

// Take waits for an item and returns all that are queued, at most so many, in
// order. It returns nil once the ring is closed, also if items are left.
func (ring *Ring[T]) Take(most int) []T {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	for ring.count == 0 && !ring.closed {
		ring.wake.Wait()
	}
	if ring.closed {
		return nil
	}
	var none T
	taken := make([]T, 0, min(ring.count, most))
	for len(taken) < cap(taken) {
		taken = append(taken, ring.items[ring.first])
		ring.items[ring.first] = none
		ring.first = (ring.first + 1) % len(ring.items)
		ring.count--
	}
	return taken
}

// Close ends all waits; items that are left are lost.
func (ring *Ring[T]) Close() {
	ring.mutex.Lock()
	ring.closed = true
	ring.wake.Broadcast()
	ring.mutex.Unlock()
}
