package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	founderLossAfter = 300 * time.Millisecond
	founderDown      = 500 * time.Millisecond
	founderLimit     = 30 * time.Second
)

// founderLosesDisk starts the system for the first time. With the trouble, one core loses its disk
// soon after its start and comes back. Nothing else is disturbed.
func founderLosesDisk(record *recorder, trouble bool) (bool, error) {
	system, err := newDeployment(record, 2)
	if err != nil {
		return false, err
	}
	defer system.stop()
	if err := system.startProcesses(); err != nil {
		return false, err
	}
	record.note("platform: all machines are started")
	if trouble {
		time.Sleep(founderLossAfter)
		if err := system.loseDisk(system.cores[0], founderDown); err != nil {
			return false, err
		}
	}
	begin := time.Now()
	err = system.order(http.MethodPut, "/config", config(), founderLimit)
	if err != nil && !errors.Is(err, errUnacknowledged) {
		return false, err
	}
	if err != nil {
		record.note("operator: %v in %v; the pages ask for an acknowledgement within 8 s of calm", err, founderLimit)
	}
	served := system.serve(time.Now().Add(10 * time.Second))
	record.note("operator: waited %.1f s; a request of a client is served: %v", time.Since(begin).Seconds(), served)
	return err != nil && !served, nil
}

// serve sends a client's request to the proxies in turn until one is answered with success.
func (system *deployment) serve(deadline time.Time) bool {
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		proxy := system.proxies[attempt%len(system.proxies)]
		answer := system.post(proxy)
		system.record.note("client: %s at %s gets %s", answer.id, proxy.name, answer)
		if answer.status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}
