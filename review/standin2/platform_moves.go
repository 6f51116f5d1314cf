package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	moveCalm     = 8 * time.Second // longer than the time after which machines are in touch again
	drainLimit   = 4 * time.Second // the drain time of the settings
	drainWatched = 12 * time.Second
	postPause    = 100 * time.Millisecond
	moveClients  = 6
	moveWork     = 200 * time.Millisecond
)

// platformMoves lists a backend as leaving and looks at when the last request reaches it. With the
// trouble, the platform has got another address before, which the settings files name.
func platformMoves(record *recorder, trouble bool) (bool, error) {
	system, err := newDeployment(record, 3)
	if err != nil {
		return false, err
	}
	defer system.stop()
	for _, server := range system.backends {
		server.work = moveWork
	}
	if err := system.startAll(config()); err != nil {
		return false, err
	}
	if trouble {
		if err := system.movePlatform(); err != nil {
			return false, err
		}
	}
	system.postFor(moveCalm)
	leaving := system.busiest()
	system.platform.drain(leaving.id)
	drainedAt := time.Now()
	record.note("platform: lists %s as leaving", leaving.id)
	system.postFor(drainWatched)
	late, last := 0, time.Duration(0)
	for _, one := range record.all() {
		since := one.at.Sub(drainedAt)
		if one.backend != leaving.id || since <= 0 {
			continue
		}
		last = max(last, since)
		if since > drainLimit {
			late++
		}
	}
	record.note("%d requests ran at %s more than %v after it was listed as leaving", late, leaving.id, drainLimit)
	record.note("the last one ran %.1f s after that", last.Seconds())
	return late > 0, nil
}

// busiest returns the backend that has run most requests so far.
func (system *deployment) busiest() *backend {
	counts, best := map[string]int{}, system.backends[0]
	for _, one := range system.record.all() {
		counts[one.backend]++
	}
	for _, server := range system.backends {
		if counts[server.id] > counts[best.id] {
			best = server
		}
	}
	system.record.note("requests by backend so far: %v", counts)
	return best
}

// movePlatform starts the platform at another address, writes it to all settings files, tells all
// processes by SIGHUP, and ends the platform at the former address.
func (system *deployment) movePlatform() error {
	former := system.platform
	next := &platform{backends: former.backends}
	if err := next.start(system.port(platformAddress, portNextPlatform)); err != nil {
		return err
	}
	system.platform, system.platformPort = next, portNextPlatform
	for _, one := range append(append([]*machine{}, system.cores...), system.proxies...) {
		if err := system.writeSettings(one, false); err != nil {
			return err
		}
		if err := one.command.Process.Signal(syscall.SIGHUP); err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	system.record.note("platform: it has moved; all settings files say so, SIGHUP to all processes")
	system.postFor(2 * time.Second)
	_ = former.server.Close() // the former address answers no more
	system.record.note("platform: the former address is closed")
	return nil
}

// postFor sends requests of several clients to the proxies in turn.
func (system *deployment) postFor(span time.Duration) {
	end := time.Now().Add(span)
	clients := sync.WaitGroup{}
	for number := range moveClients {
		clients.Go(func() {
			for attempt := number; time.Now().Before(end); attempt++ {
				proxy := system.proxies[attempt%len(system.proxies)]
				answer := system.post(proxy)
				system.record.note("client: %s at %s gets %s", answer.id, proxy.name, answer)
				time.Sleep(postPause)
			}
		})
	}
	clients.Wait()
}
