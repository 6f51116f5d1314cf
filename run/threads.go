// Package run starts threads and wakes them by beats.
package run

import (
	"sync"
	"time"
)

// Threads is the one place where goroutines start.
type Threads struct {
	mutex    sync.Mutex
	wake     *sync.Cond
	running  int
	stopping bool
	hooks    []func()
}

func NewThreads() *Threads {
	threads := &Threads{}
	threads.wake = sync.NewCond(&threads.mutex)
	return threads
}

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

func (threads *Threads) Stopping() bool {
	threads.mutex.Lock()
	defer threads.mutex.Unlock()
	return threads.stopping
}

// OnStop runs the hook once at Stop, or at once when already stopping.
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

func (threads *Threads) Wait() {
	threads.mutex.Lock()
	for threads.running > 0 {
		threads.wake.Wait()
	}
	threads.mutex.Unlock()
}

// Rest waits for the span; false once stopping.
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

// Beat calls the duty at every span until stopping.
func (threads *Threads) Beat(span func() time.Duration, duty func()) {
	threads.Start(func() {
		for threads.Rest(span()) {
			duty()
		}
	})
}

func Each(span time.Duration) func() time.Duration {
	return func() time.Duration { return span }
}
