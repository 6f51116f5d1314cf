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
	slowByteInterval = time.Second
	sampleInterval   = 200 * time.Millisecond
	endlessHead      = "GET /view/slow HTTP/1.1\r\nHost: desk.example\r\nEndless: "
)

// slowHeads is an attack on one proxy: connections that send a byte of a head each second,
// and are opened again when the proxy ends them.
type slowHeads struct {
	target *machine
	count  int

	opened, refused, ended atomic.Int64
	peakKB, peakFiles      atomic.Int64
}

// run attacks until done is closed.
func (attack *slowHeads) run(done <-chan struct{}) {
	var running sync.WaitGroup
	running.Go(func() { attack.watch(done) })
	for range attack.count {
		running.Go(func() {
			pauseUntil(done, time.Duration(rand.Int64N(int64(slowByteInterval))))
			for !isClosed(done) {
				attack.hold(done)
			}
		})
	}
	running.Wait()
}

// hold holds one connection until the proxy ends it.
func (attack *slowHeads) hold(done <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", attack.target.clientsAddress(), dialTimeout)
	if err != nil {
		attack.refused.Add(1)
		pauseUntil(done, slowByteInterval)
		return
	}
	defer conn.Close()
	attack.opened.Add(1)
	for index := 0; !isClosed(done); index++ {
		next := byte('x')
		if index < len(endlessHead) {
			next = endlessHead[index]
		}
		if _, err := conn.Write([]byte{next}); err != nil {
			attack.ended.Add(1)
			return
		}
		pauseUntil(done, slowByteInterval)
	}
}

// watch samples the attacked process's memory and descriptors.
func (attack *slowHeads) watch(done <-chan struct{}) {
	for !isClosed(done) {
		pid := attack.target.pid()
		raise(&attack.peakKB, residentKB(pid))
		files, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd")) // none while it restarts
		raise(&attack.peakFiles, int64(len(files)))
		pauseUntil(done, sampleInterval)
	}
}

func raise(peak *atomic.Int64, value int64) {
	if value > peak.Load() {
		peak.Store(value)
	}
}

// residentKB is the memory of a process, 0 if it cannot be read.
func residentKB(pid int) int64 {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64) // the kernel's own number
			return kilobytes
		}
	}
	return 0
}

// note tells what the attack came to, beside the times of others' requests.
func (attack *slowHeads) note(log *evidence) string {
	return fmt.Sprintf("slow heads: %d at a time at %s: %d opened, %d ended by the proxy, %d dials failed; peak %d kB, %d descriptors; "+
		"other requests there: %s; elsewhere: %s", attack.count, attack.target.name, attack.opened.Load(), attack.ended.Load(),
		attack.refused.Load(), attack.peakKB.Load(), attack.peakFiles.Load(),
		times(log, func(proxy string) bool { return proxy == attack.target.name }),
		times(log, func(proxy string) bool { return proxy != attack.target.name }))
}

// times are the middle and the 99th of 100 of the times of requests that were served.
func times(log *evidence, takes func(proxy string) bool) string {
	served, all := []time.Duration{}, 0
	for _, exchange := range log.exchanges {
		if exchange.isProbe || !takes(exchange.proxy) {
			continue
		}
		all++
		if exchange.status == http.StatusOK {
			served = append(served, exchange.endedAt.Sub(exchange.sentAt))
		}
	}
	if len(served) == 0 {
		return fmt.Sprintf("0 of %d served", all)
	}
	slices.Sort(served)
	return fmt.Sprintf("%d of %d served, p50 %v, p99 %v", len(served), all,
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

// pauseUntil waits for a time or until done is closed.
func pauseUntil(done <-chan struct{}, span time.Duration) {
	select {
	case <-done:
	case <-time.After(span):
	}
}
