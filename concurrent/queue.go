package concurrent

import "sync"

// Queue is a bounded queue between goroutines: any number put items in, one takes them
// out in batches.
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

// Put appends an item; it returns false, without waiting, if the queue is full or
// closed.
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

// Take waits for an item and returns all that are queued, at most limit, in order. It
// returns nil once the queue is closed, also if items are left.
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

// pop removes the first item; the caller holds the mutex and knows that there is one.
func (queue *Queue[T]) pop() T {
	var zero T
	item := queue.items[queue.first]
	queue.items[queue.first] = zero
	queue.first = (queue.first + 1) % len(queue.items)
	queue.count--
	return item
}

// Close ends all waits; items that are left are lost.
func (queue *Queue[T]) Close() {
	queue.mutex.Lock()
	queue.closed = true
	queue.cond.Broadcast()
	queue.mutex.Unlock()
}
