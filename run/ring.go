package run

import "sync"

// Ring is a bounded queue between two threads; a full ring refuses.
type Ring[T any] struct {
	mutex  sync.Mutex
	wake   *sync.Cond
	items  []T
	head   int
	length int
	closed bool
}

func NewRing[T any](size int) *Ring[T] {
	ring := &Ring[T]{items: make([]T, size)}
	ring.wake = sync.NewCond(&ring.mutex)
	return ring
}

func (ring *Ring[T]) Put(item T) bool {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	if ring.closed || ring.length == len(ring.items) {
		return false
	}
	ring.items[(ring.head+ring.length)%len(ring.items)] = item
	ring.length++
	ring.wake.Signal()
	return true
}

// Take waits for an item; false once closed and empty.
func (ring *Ring[T]) Take() (T, bool) {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	var none T
	for ring.length == 0 {
		if ring.closed {
			return none, false
		}
		ring.wake.Wait()
	}
	item := ring.items[ring.head]
	ring.items[ring.head] = none
	ring.head = (ring.head + 1) % len(ring.items)
	ring.length--
	return item, true
}

func (ring *Ring[T]) Close() {
	ring.mutex.Lock()
	ring.closed = true
	ring.wake.Broadcast()
	ring.mutex.Unlock()
}
