package concurrent

import "sync"

// Queue is a bounded FIFO queue with multiple producers and one consumer, which takes items in
// batches.
type Queue[T any] struct {
	mutex  sync.Mutex
	cond   *sync.Cond
	items  []T
	first  int
	count  int
	closed bool
}

// NewQueue returns a Queue that holds at most capacity items.
func NewQueue[T any](capacity int) *Queue[T] {
	queue := &Queue[T]{items: make([]T, capacity)}
	queue.cond = sync.NewCond(&queue.mutex)
	return queue
}

// Put appends an item. It does not block, and returns false if the queue is full or closed.
func (queue *Queue[T]) Put(item T) bool {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if queue.closed || queue.count == len(queue.items) {
		return false
	}
	queue.items[(queue.first+queue.count)%len(queue.items)] = item
	queue.count++
	queue.cond.Signal()
	return true
}

// Take waits for an item and returns up to limit queued items in order. It returns nil once the
// queue is closed, even if items are left.
func (queue *Queue[T]) Take(limit int) []T {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	for queue.count == 0 && !queue.closed {
		queue.cond.Wait()
	}
	if queue.closed {
		return nil
	}
	taken := make([]T, 0, min(queue.count, limit))
	for len(taken) < cap(taken) {
		taken = append(taken, queue.pop())
	}
	return taken
}

// pop removes the first item. The caller holds the mutex, and the queue must not be empty.
func (queue *Queue[T]) pop() T {
	var zero T
	item := queue.items[queue.first]
	queue.items[queue.first] = zero
	queue.first = (queue.first + 1) % len(queue.items)
	queue.count--
	return item
}

// Close ends all waits and discards the remaining items.
func (queue *Queue[T]) Close() {
	queue.mutex.Lock()
	queue.closed = true
	queue.cond.Broadcast()
	queue.mutex.Unlock()
}
