package process

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const freshConnection = 300 * time.Millisecond

// connTracker are a listener's open connections and since when each waits for a request.
type connTracker struct {
	mutex   sync.Mutex
	waiting map[net.Conn]time.Time
	serving map[net.Conn]bool
}

func newConnTracker() *connTracker {
	return &connTracker{waiting: map[net.Conn]time.Time{}, serving: map[net.Conn]bool{}}
}

func (standing *connTracker) stateChanged(conn net.Conn, state http.ConnState) {
	standing.mutex.Lock()
	defer standing.mutex.Unlock()
	delete(standing.waiting, conn)
	delete(standing.serving, conn)
	switch state {
	case http.StateNew:
		standing.waiting[conn] = time.Now()
	case http.StateIdle:
		standing.waiting[conn] = time.Time{}
	case http.StateActive:
		standing.serving[conn] = true
	}
}

// closeIdle lets waiting connections read nothing more, new ones a little later, and
// gives how many are still open.
func (standing *connTracker) closeIdle() int {
	standing.mutex.Lock()
	defer standing.mutex.Unlock()
	now := time.Now()
	for conn, since := range standing.waiting {
		if now.Sub(since) > freshConnection {
			if err := conn.SetReadDeadline(now); err != nil {
				conn.Close()
			}
		}
	}
	return len(standing.waiting) + len(standing.serving)
}
