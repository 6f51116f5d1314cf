package concurrent

import "sync"

// Lock is a sync.Locker that may be held over waits. A goroutine that waits for it blocks
// on a condition, not on a sync.Mutex, so that the virtual time of tests can advance.
type Lock struct {
	mutex  sync.Mutex
	cond   *sync.Cond
	locked bool
}

// NewLock returns an unlocked Lock.
func NewLock() *Lock {
	lock := &Lock{}
	lock.cond = sync.NewCond(&lock.mutex)
	return lock
}

// Lock waits while another goroutine holds the lock, and takes it.
func (lock *Lock) Lock() {
	lock.mutex.Lock()
	for lock.locked {
		lock.cond.Wait()
	}
	lock.locked = true
	lock.mutex.Unlock()
}

// Unlock releases the lock.
func (lock *Lock) Unlock() {
	lock.mutex.Lock()
	lock.locked = false
	lock.cond.Signal()
	lock.mutex.Unlock()
}
