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
func (daemon *Daemon) Retire(settle, grace time.Duration, drain func(rest time.Duration) bool) bool {
	begin := time.Now()
	daemon.mutex.Lock()
	daemon.endsAt = begin.Add(grace)
	daemon.mutex.Unlock()
	daemon.Leave()
	daemon.goroutines.Sleep(settle - time.Since(begin))
	hasDrained := drain(grace - time.Since(begin))
	daemon.callbacks.onRetire(grace - time.Since(begin))
	daemon.EndSession()
	return hasDrained
}

// StopsIn returns the time left until the daemon stops, and whether a stop is planned.
func (daemon *Daemon) StopsIn() (time.Duration, bool) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return time.Until(daemon.endsAt), daemon.leaving && !daemon.endsAt.IsZero()
}

// EndSession reports the last counts, trying the next core if one does not respond.
func (daemon *Daemon) EndSession() {
	daemon.mutex.Lock()
	daemon.ended = true
	daemon.mutex.Unlock()
	for range daemon.LeaderFinder.Cores() {
		before := daemon.lastResponse()
		daemon.renewSession()
		if daemon.lastResponse().After(before) {
			return
		}
	}
}

func (daemon *Daemon) lastResponse() time.Time {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.lastResponseAt
}
