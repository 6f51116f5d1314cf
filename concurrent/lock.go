package concurrent

import "sync"

// Lock is a sync.Locker that may be held while waiting. Goroutines that wait for it block on a
// condition instead of a sync.Mutex, so that the virtual time of tests can advance.
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

// Lock acquires the lock, waiting while another goroutine holds it.
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
