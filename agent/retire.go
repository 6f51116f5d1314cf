package agent

import "time"

// Leave tells the cores at once that nothing more should come here.
func (daemon *Daemon) Leave() {
	daemon.mutex.Lock()
	daemon.leaving = true
	daemon.mutex.Unlock()
	daemon.renewSession()
}

// Retire is the daemon's planned end within a grace: the others stop sending here, which
// takes them the time to settle; drain waits for what is in flight and returns whether
// all of it ended; and the last counts are reported. Retire returns what drain returned.
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

// StopsIn returns how long this daemon still serves, and whether its end is planned.
func (daemon *Daemon) StopsIn() (time.Duration, bool) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return time.Until(daemon.endsAt), daemon.leaving && !daemon.endsAt.IsZero()
}

// EndSession tells the last counts, to another core if the first does not answer.
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
