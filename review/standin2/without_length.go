package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	posts    = 8
	postWork = time.Second
	stopTime = 300 * time.Millisecond
)

// answersWithoutLength stops a proxy in order while backends work on requests that it has passed
// on. With the trouble, the backends' answers have no length and end with their connection.
func answersWithoutLength(record *recorder, trouble bool) (bool, error) {
	system, err := newDeployment(record, 2)
	if err != nil {
		return false, err
	}
	defer system.stop()
	for _, server := range system.backends {
		server.work, server.unframed = postWork, trouble
	}
	if err := system.startAll(config()); err != nil {
		return false, err
	}
	proxy := system.proxies[0]
	answers := make([]answer, posts)
	waits := sync.WaitGroup{}
	for index := range answers {
		waits.Go(func() { answers[index] = system.post(proxy) })
	}
	time.Sleep(stopTime)
	record.note("platform: SIGTERM to %s", proxy.name)
	if err := proxy.command.Process.Signal(syscall.SIGTERM); err != nil {
		return false, fmt.Errorf("%w: %w", errNotRun, err)
	}
	waits.Wait()
	time.Sleep(postWork) // until the backends have ended their work
	ran, replaced := 0, 0
	for _, answer := range answers {
		record.note("client: %s gets %s", answer.id, answer)
		if len(record.runsOf(answer.id)) == 0 {
			continue
		}
		ran++
		if !answer.isOf(answer.id) {
			replaced++
			record.note("LOST: %s was passed on and run, and the client has no answer of its backend", answer.id)
		}
	}
	record.note("%d requests, %d were run, %d of these have an answer that is not their backend's", posts, ran, replaced)
	if ran == 0 {
		return false, fmt.Errorf("%w: no request was run", errNotRun)
	}
	return replaced > 0, nil
}
