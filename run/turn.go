package run

import "sync"

// Turn lets one holder in at a time, for as long as it needs, also over waits.
type Turn struct {
	mutex sync.Mutex
	wake  *sync.Cond
	taken bool
}

func NewTurn() *Turn {
	turn := &Turn{}
	turn.wake = sync.NewCond(&turn.mutex)
	return turn
}

func (turn *Turn) Take() {
	turn.mutex.Lock()
	for turn.taken {
		turn.wake.Wait()
	}
	turn.taken = true
	turn.mutex.Unlock()
}

func (turn *Turn) Give() {
	turn.mutex.Lock()
	turn.taken = false
	turn.wake.Signal()
	turn.mutex.Unlock()
}
