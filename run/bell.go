package run

import (
	"sync"
	"time"
)

// Bell counts changes; those who saw an older count wait for the next one.
type Bell struct {
	mutex sync.Mutex
	wake  *sync.Cond
	count uint64
}

func NewBell() *Bell {
	bell := &Bell{}
	bell.wake = sync.NewCond(&bell.mutex)
	return bell
}

func (bell *Bell) Ring() {
	bell.mutex.Lock()
	bell.count++
	bell.wake.Broadcast()
	bell.mutex.Unlock()
}

func (bell *Bell) Count() uint64 {
	bell.mutex.Lock()
	defer bell.mutex.Unlock()
	return bell.count
}

// Wait returns when the count passed seen (true) or the span is over (false).
func (bell *Bell) Wait(seen uint64, span time.Duration) bool {
	if span <= 0 {
		return bell.Count() > seen
	}
	limit := time.Now().Add(span)
	beat := time.AfterFunc(span, func() {
		bell.mutex.Lock()
		bell.wake.Broadcast()
		bell.mutex.Unlock()
	})
	defer beat.Stop()
	bell.mutex.Lock()
	defer bell.mutex.Unlock()
	for bell.count <= seen {
		if !time.Now().Before(limit) {
			return false
		}
		bell.wake.Wait()
	}
	return true
}
