package hostproxy

import "sync"

// inFlightCounter counts the requests in flight.
type inFlightCounter struct {
	mutex sync.Mutex
	count int
}

func (counter *inFlightCounter) increment() {
	counter.mutex.Lock()
	counter.count++
	counter.mutex.Unlock()
}

func (counter *inFlightCounter) decrement() {
	counter.mutex.Lock()
	counter.count--
	counter.mutex.Unlock()
}

func (counter *inFlightCounter) value() int {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	return counter.count
}
