// Package run is what the processes of the system are built on at run time: the one
// place where goroutines start and are stopped (Threads), conditions and queues
// between them (Bell, Ring, Turn), concurrent calls (Gather), named counters
// (Counts), and a clock that other clocks correct (Clock).
//
// It depends on no other package of the module. Waits use mutexes and conditions
// rather than channels, so that tests run on the virtual time of testing/synctest.
package run

import (
	"sync"
	"time"
)

// Threads starts the goroutines of a process or of a simulated machine and stops
// them together.
type Threads struct {
	mutex    sync.Mutex
	wake     *sync.Cond
	running  int
	stopping bool
	hooks    []func()
}

// NewThreads returns a Threads that runs nothing yet.
func NewThreads() *Threads {
	threads := &Threads{}
	threads.wake = sync.NewCond(&threads.mutex)
	return threads
}

// Start runs duty in a goroutine that Wait waits for. It runs also after Stop.
func (threads *Threads) Start(duty func()) {
	threads.mutex.Lock()
	threads.running++
	threads.mutex.Unlock()
	go func() {
		defer threads.done()
		duty()
	}()
}

func (threads *Threads) done() {
	threads.mutex.Lock()
	threads.running--
	threads.wake.Broadcast()
	threads.mutex.Unlock()
}

// Stopping reports whether Stop was called.
func (threads *Threads) Stopping() bool {
	threads.mutex.Lock()
	defer threads.mutex.Unlock()
	return threads.stopping
}

// OnStop registers a hook that Stop calls once. After Stop it is called at once.
func (threads *Threads) OnStop(hook func()) {
	threads.mutex.Lock()
	if !threads.stopping {
		threads.hooks = append(threads.hooks, hook)
		threads.mutex.Unlock()
		return
	}
	threads.mutex.Unlock()
	hook()
}

// Stop ends all rests and calls the hooks in the order in which they were
// registered. Only its first call has an effect.
func (threads *Threads) Stop() {
	threads.mutex.Lock()
	if threads.stopping {
		threads.mutex.Unlock()
		return
	}
	threads.stopping = true
	hooks := threads.hooks
	threads.hooks = nil
	threads.wake.Broadcast()
	threads.mutex.Unlock()
	for _, hook := range hooks {
		hook()
	}
}

// Wait blocks until every goroutine that Start started has ended.
func (threads *Threads) Wait() {
	threads.mutex.Lock()
	for threads.running > 0 {
		threads.wake.Wait()
	}
	threads.mutex.Unlock()
}

// Rest sleeps for the span. It returns false, at once, when Stop was called before
// or meanwhile.
func (threads *Threads) Rest(span time.Duration) bool {
	if span <= 0 {
		return !threads.Stopping()
	}
	limit := time.Now().Add(span)
	beat := time.AfterFunc(span, func() {
		threads.mutex.Lock()
		threads.wake.Broadcast()
		threads.mutex.Unlock()
	})
	defer beat.Stop()
	threads.mutex.Lock()
	defer threads.mutex.Unlock()
	for !threads.stopping && time.Now().Before(limit) {
		threads.wake.Wait()
	}
	return !threads.stopping
}

// Beat calls duty periodically until Stop: span gives the pause before each call.
func (threads *Threads) Beat(span func() time.Duration, duty func()) {
	threads.Start(func() {
		for threads.Rest(span()) {
			duty()
		}
	})
}

// Each returns a constant span for Beat.
func Each(span time.Duration) func() time.Duration {
	return func() time.Duration { return span }
}
