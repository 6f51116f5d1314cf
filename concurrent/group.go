// Package concurrent manages the goroutines of a process (Group) and coordinates them by
// condition variables (Condition), bounded queues (Queue), locks that may be held while waiting
// (Lock) and concurrent calls (Gather).
//
// Waits use mutexes and conditions instead of channels and sync.WaitGroup, and a Lock instead of
// a sync.Mutex if the holder may sleep: tests run in the virtual time of testing/synctest, which
// does not advance while a goroutine waits for a sync.Mutex.
package concurrent

import (
	"sync"
	"time"
)

// Group manages the goroutines of a process or of a simulated machine, and stops them together. It
// is safe for concurrent use.
type Group struct {
	mutex    sync.Mutex
	cond     *sync.Cond
	running  int
	stopping bool
	hooks    []func()
}

// NewGroup returns a Group without goroutines.
func NewGroup() *Group {
	group := &Group{}
	group.cond = sync.NewCond(&group.mutex)
	return group
}

// Start runs task in a goroutine that Wait waits for. It does so after Stop, too.
func (group *Group) Start(task func()) {
	group.mutex.Lock()
	group.running++
	group.mutex.Unlock()
	go func() {
		defer group.done()
		task()
	}()
}

func (group *Group) done() {
	group.mutex.Lock()
	group.running--
	group.cond.Broadcast()
	group.mutex.Unlock()
}

// Every calls task periodically until Stop. interval returns the pause before each call.
func (group *Group) Every(interval func() time.Duration, task func()) {
	group.Start(func() {
		for group.Sleep(interval()) {
			task()
		}
	})
}

// Fixed returns a function for Every that returns a constant interval.
func Fixed(interval time.Duration) func() time.Duration {
	return func() time.Duration { return interval }
}

// Stopping reports whether Stop has been called.
func (group *Group) Stopping() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.stopping
}

// OnStop registers a hook for Stop to call. After Stop the hook is called immediately.
func (group *Group) OnStop(hook func()) {
	group.mutex.Lock()
	if !group.stopping {
		group.hooks = append(group.hooks, hook)
		group.mutex.Unlock()
		return
	}
	group.mutex.Unlock()
	hook()
}

// Stop ends all sleeps and calls the hooks in the order of their registration. Only the first call
// has an effect.
func (group *Group) Stop() {
	group.mutex.Lock()
	if group.stopping {
		group.mutex.Unlock()
		return
	}
	group.stopping = true
	hooks := group.hooks
	group.hooks = nil
	group.cond.Broadcast()
	group.mutex.Unlock()
	for _, hook := range hooks {
		hook()
	}
}

// Wait blocks until all goroutines of the group have ended.
func (group *Group) Wait() {
	group.mutex.Lock()
	for group.running > 0 {
		group.cond.Wait()
	}
	group.mutex.Unlock()
}

// Sleep pauses for the duration and returns true, or returns false as soon as Stop has been called.
func (group *Group) Sleep(duration time.Duration) bool {
	if duration <= 0 {
		return !group.Stopping()
	}
	deadline := time.Now().Add(duration)
	timer := time.AfterFunc(duration, group.broadcast)
	defer timer.Stop()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for !group.stopping && time.Now().Before(deadline) {
		group.cond.Wait()
	}
	return !group.stopping
}

func (group *Group) broadcast() {
	group.mutex.Lock()
	group.cond.Broadcast()
	group.mutex.Unlock()
}
