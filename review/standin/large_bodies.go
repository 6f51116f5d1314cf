package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// What the clients of the case send: beside small bodies, largeClients clients of each proxy send large ones
// in chunks, each the next one largePause after its last one was answered.
const (
	largeClients  = 2
	largeBody     = 60 << 20 // bytes; the configuration allows 64 << 20
	largePause    = time.Second
	smallBody     = 1200 // bytes
	smallInterval = 50 * time.Millisecond
	playTime      = 40 * time.Second
	backendsInAll = 6
	backendWork   = 500 * time.Millisecond
	deadlineMs    = 4000
	// endsToBreak is how often processes of a machine end in a day that counts 0, on so many machines.
	endsToBreak     = 3
	machinesToBreak = 2
)

// zeros is a body of so many bytes that are all alike.
type zeros struct{ left int }

// Read gives the bytes that are left.
func (zeros *zeros) Read(body []byte) (int, error) {
	if zeros.left == 0 {
		return 0, io.EOF
	}
	count := min(len(body), zeros.left)
	zeros.left -= count
	return count, nil
}

// send sends one request to a proxy and returns how it ended.
func (deployment *deployment) send(client *http.Client, machine *machine, id string, size int) string {
	url := "http://" + deployment.clientsAddress(machine) + "/credit/1"
	request, err := http.NewRequest(http.MethodPost, url, &zeros{left: size})
	if err != nil {
		return "not sent"
	}
	request.Host = "desk.example"
	request.ContentLength = int64(size)
	if size == largeBody {
		request.ContentLength = -1 // in chunks
	}
	request.Header.Set("Authorization", headers.KeyScheme+" key-of-alder")
	request.Header.Set(headers.Attempt, id)
	request.Header.Set(headers.Deadline, strconv.Itoa(deadlineMs))
	response, err := client.Do(request)
	if err != nil {
		return "no answer"
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		return "answer cut short"
	}
	return strconv.Itoa(response.StatusCode)
}

// newClient returns a client that waits a little longer than the deadline that it names.
func newClient() *http.Client {
	return &http.Client{Timeout: (deadlineMs + 1000) * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
}

// sendOne sends one request and records how it ended.
func (deployment *deployment) sendOne(client *http.Client, machine *machine, size int, ends *tally) {
	id := newID()
	end := deployment.send(client, machine, id, size)
	ends.add(fmt.Sprintf("body of %d bytes: %s", size, end))
	if end == strconv.Itoa(http.StatusOK) {
		return
	}
	ran := deployment.hasRun(id)
	deployment.record.printf("%s: request %s, %d bytes: %s, run by a backend: %v", machine.name, id, size, end, ran)
	if end == "no answer" && ran {
		ends.add("run by a backend and never answered")
	}
}

// sendSmall sends small bodies to a proxy at a fixed rate until the case is over.
func (deployment *deployment) sendSmall(machine *machine, done <-chan struct{}, ends *tally) {
	client := newClient()
	defer client.CloseIdleConnections()
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		select {
		case <-done:
			return
		case <-time.After(smallInterval):
		}
		pending.Go(func() { deployment.sendOne(client, machine, smallBody, ends) })
	}
}

// sendLarge sends large bodies to a proxy, one after the other, until the case is over.
func (deployment *deployment) sendLarge(machine *machine, done <-chan struct{}, ends *tally) {
	client := newClient()
	defer client.CloseIdleConnections()
	for {
		select {
		case <-done:
			return
		case <-time.After(largePause):
		}
		deployment.sendOne(client, machine, largeBody, ends)
	}
}

// hasRun reports whether a backend ran a request.
func (deployment *deployment) hasRun(id string) bool {
	for _, backend := range deployment.backends {
		if backend.hasRun(id) {
			return true
		}
	}
	return false
}

// startService starts the platform and the backends of one service.
func (deployment *deployment) startService(count int) error {
	provider, err := newProvider(deployment.wire, "127.0.0.1:0")
	if err != nil {
		return err
	}
	deployment.provider = provider
	for index := range count {
		backend, err := newBackend(fmt.Sprintf("i-%d", index+1), "desk", zones[index%len(zones)], backendWork)
		if err != nil {
			return err
		}
		deployment.backends = append(deployment.backends, backend)
		provider.backends = append(provider.backends, backend)
	}
	return nil
}

// runLargeBodies sends small bodies and, as the trouble, large ones in turn, all within the limits.
func runLargeBodies(deployment *deployment, trouble bool) (bool, error) {
	if err := deployment.startService(backendsInAll); err != nil {
		return false, err
	}
	if err := deployment.start(2); err != nil {
		return false, err
	}
	if err := deployment.configure(deployment.wire.configuration); err != nil {
		return false, err
	}
	done, ends := make(chan struct{}), &tally{ends: map[string]int{}}
	var running sync.WaitGroup
	running.Go(func() { deployment.limitMemory(done) })
	for _, machine := range deployment.proxies() {
		running.Go(func() { deployment.sendSmall(machine, done, ends) })
		for range largeClients {
			if trouble {
				running.Go(func() { deployment.sendLarge(machine, done, ends) })
			}
		}
	}
	time.Sleep(playTime)
	close(done)
	running.Wait()
	for key, count := range ends.ends {
		deployment.record.printf("%s: %d", key, count)
	}
	if ends.ends[fmt.Sprintf("body of %d bytes: 200", smallBody)] == 0 {
		return false, errors.New("nothing was served")
	}
	ended := 0
	for _, machine := range deployment.proxies() {
		deployment.record.printf("%s: %d MB at its peak, went over its %d MB %d times",
			machine.name, machine.peakKB/1024, memoryLimitMB, machine.kills)
		if machine.kills >= endsToBreak {
			ended++
		}
	}
	return ended >= machinesToBreak, nil
}
