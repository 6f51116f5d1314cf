package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerByteInterval = time.Second
	sampleInterval     = 200 * time.Millisecond
	endlessHeader      = "GET /view/slow HTTP/1.1\r\nHost: desk.example\r\nEndless: "
)

// slowHeaderAttack opens connections to one proxy that send a byte of a header each second, and
// reopens them when the proxy closes them.
type slowHeaderAttack struct {
	target *machine
	count  int

	opened, failedDials, closedByProxy atomic.Int64
	peakMemoryKB, peakDescriptors      atomic.Int64
}

func (attack *slowHeaderAttack) run(done <-chan struct{}) {
	var running sync.WaitGroup
	running.Go(func() { attack.sampleResources(done) })
	for range attack.count {
		running.Go(func() {
			sleepUnlessDone(done, time.Duration(rand.Int64N(int64(headerByteInterval))))
			for !isClosed(done) {
				attack.holdConnection(done)
			}
		})
	}
	running.Wait()
}

// holdConnection keeps one connection open until the proxy closes it.
func (attack *slowHeaderAttack) holdConnection(done <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", attack.target.clientsAddress(), dialTimeout)
	if err != nil {
		attack.failedDials.Add(1)
		sleepUnlessDone(done, headerByteInterval)
		return
	}
	defer conn.Close()
	attack.opened.Add(1)
	for index := 0; !isClosed(done); index++ {
		next := byte('x')
		if index < len(endlessHeader) {
			next = endlessHeader[index]
		}
		if _, err := conn.Write([]byte{next}); err != nil {
			attack.closedByProxy.Add(1)
			return
		}
		sleepUnlessDone(done, headerByteInterval)
	}
}

// sampleResources tracks the peaks of the proxy's memory and descriptors.
func (attack *slowHeaderAttack) sampleResources(done <-chan struct{}) {
	for !isClosed(done) {
		pid := attack.target.pid()
		storeMax(&attack.peakMemoryKB, residentMemoryKB(pid))
		descriptors, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd")) // absent while it restarts
		storeMax(&attack.peakDescriptors, int64(len(descriptors)))
		sleepUnlessDone(done, sampleInterval)
	}
}

func storeMax(peak *atomic.Int64, value int64) {
	if value > peak.Load() {
		peak.Store(value)
	}
}

// residentMemoryKB returns the resident memory of a process, 0 if it cannot be read.
func residentMemoryKB(pid int) int64 {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64) // written by the kernel
			return kilobytes
		}
	}
	return 0
}

// summary returns the attack's counts and the latencies of other clients' requests.
func (attack *slowHeaderAttack) summary(recorder *recorder) string {
	return fmt.Sprintf(
		"slow headers: %d concurrent at %s: %d opened, %d closed by the proxy, %d dials failed; peak %d kB, %d descriptors; "+
			"other requests there: %s; elsewhere: %s",
		attack.count,
		attack.target.name,
		attack.opened.Load(),
		attack.closedByProxy.Load(),
		attack.failedDials.Load(),
		attack.peakMemoryKB.Load(),
		attack.peakDescriptors.Load(),
		latencySummary(recorder, func(proxy string) bool { return proxy == attack.target.name }),
		latencySummary(recorder, func(proxy string) bool { return proxy != attack.target.name }),
	)
}

// latencySummary returns the median and 99th percentile latency of served requests.
func latencySummary(recorder *recorder, matches func(proxy string) bool) string {
	served, total := []time.Duration{}, 0
	for _, exchange := range recorder.exchanges {
		if exchange.isProbe || !matches(exchange.proxy) {
			continue
		}
		total++
		if exchange.status == http.StatusOK {
			served = append(served, exchange.endedAt.Sub(exchange.sentAt))
		}
	}
	if len(served) == 0 {
		return fmt.Sprintf("0 of %d served", total)
	}
	slices.Sort(served)
	return fmt.Sprintf("%d of %d served, p50 %v, p99 %v", len(served), total,
		served[len(served)/2].Round(100*time.Microsecond), served[len(served)*99/100].Round(100*time.Microsecond))
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func sleepUnlessDone(done <-chan struct{}, span time.Duration) {
	select {
	case <-done:
	case <-time.After(span):
	}
}
