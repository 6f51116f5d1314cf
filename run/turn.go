package run

import "sync"

// Turn is a mutual exclusion lock that may be held over waits. A waiter blocks on a
// condition, not on a sync.Mutex, so that virtual time can advance.
type Turn struct {
	mutex sync.Mutex
	wake  *sync.Cond
	taken bool
}

// NewTurn returns an unlocked Turn.
func NewTurn() *Turn {
	turn := &Turn{}
	turn.wake = sync.NewCond(&turn.mutex)
	return turn
}

// Take locks the turn and waits while another holds it.
func (turn *Turn) Take() {
	turn.mutex.Lock()
	for turn.taken {
		turn.wake.Wait()
	}
	turn.taken = true
	turn.mutex.Unlock()
}

// Give unlocks the turn.
func (turn *Turn) Give() {
	turn.mutex.Lock()
	turn.taken = false
	turn.wake.Signal()
	turn.mutex.Unlock()
}
