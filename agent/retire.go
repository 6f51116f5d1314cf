package agent

import "time"

// Leave immediately announces to the cores that this daemon takes no new requests.
func (daemon *Daemon) Leave() {
	daemon.mutex.Lock()
	daemon.leaving = true
	daemon.mutex.Unlock()
	daemon.renewSession()
}

// Retire shuts the daemon down gracefully within grace. It announces the departure, waits
// settle for the other processes to stop sending, calls drain to wait for the requests in
// flight, and reports the last counts. It returns the result of drain: whether all requests
// in flight have ended.
func (daemon *Daemon) Retire(settle, grace time.Duration, drain func(remaining time.Duration) bool) bool {
	start := time.Now()
	daemon.mutex.Lock()
	daemon.stopsAt = start.Add(grace)
	daemon.mutex.Unlock()
	daemon.Leave()
	daemon.goroutines.Sleep(settle - time.Since(start))
	drained := drain(grace - time.Since(start))
	daemon.callbacks.onRetire(grace - time.Since(start))
	daemon.EndSession()
	return drained
}

// TimeToStop returns the time left until the daemon stops, and whether a stop is planned.
func (daemon *Daemon) TimeToStop() (time.Duration, bool) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return time.Until(daemon.stopsAt), daemon.leaving && !daemon.stopsAt.IsZero()
}

// EndSession reports the last counts, trying the next core if one does not respond.
func (daemon *Daemon) EndSession() {
	daemon.mutex.Lock()
	daemon.sessionEnded = true
	daemon.mutex.Unlock()
	for range daemon.LeaderFinder.Cores() {
		before := daemon.lastResponseTime()
		daemon.renewSession()
		if daemon.lastResponseTime().After(before) {
			return
		}
	}
}

func (daemon *Daemon) lastResponseTime() time.Time {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.lastResponseAt
}
