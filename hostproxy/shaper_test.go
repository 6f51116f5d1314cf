package hostproxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/routing"
)

// readBulk reads an endless bulk response for a while and returns the bytes per second.
func (shaper *linkShaper) readBulk(span time.Duration) float64 {
	source := &shapedReader{from: endlessReader{}, shaper: shaper, ctx: context.Background(), clock: time.Now, large: true}
	begin, body, count := time.Now(), make([]byte, bulkChunk), 0
	for time.Since(begin) < span {
		read, _ := source.Read(body)
		count += read
	}
	return float64(count) / time.Since(begin).Seconds()
}

type endlessReader struct{}

func (endlessReader) Read(body []byte) (int, error) { return len(body), nil }

// Bulk gets the rate that urgent bytes leave of the link, but at least minBulkShare.
func TestBulkGetsRemainingRate(test *testing.T) {
	const capacity = 1 << 20
	for _, step := range []struct{ urgentShare, minShare, maxShare float64 }{{0, 0.88, 0.95}, {0.3, 0.53, 0.62}, {0.6, 0.24, 0.28}, {2, 0.24, 0.28}} {
		synctest.Test(test, func(test *testing.T) {
			shaper := newShaper(capacity, time.Now())
			for range 40 {
				time.Sleep(50 * time.Millisecond)
				shaper.recordUrgent(int(step.urgentShare*capacity/20), time.Now())
			}
			stop := time.Now().Add(5 * time.Second)
			go func() {
				for time.Now().Before(stop) {
					time.Sleep(50 * time.Millisecond)
					shaper.recordUrgent(int(step.urgentShare*capacity/20), time.Now())
				}
			}()
			if got := shaper.readBulk(4*time.Second) / capacity; got < step.minShare || got > step.maxShare {
				test.Errorf("bulk share with an urgent share of %v: %.3f", step.urgentShare, got)
			}
			synctest.Wait()
			time.Sleep(2 * time.Second)
		})
	}
}

// Small responses are not delayed even if bulk fills the link; a response of unknown length is
// delayed from bulkThreshold on.
func TestUrgentIsNotDelayed(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		shaper := newShaper(100<<10, time.Now())
		shaper.readBulk(time.Second)
		begin := time.Now()
		urgent := &shapedReader{
			from:   bytes.NewReader(make([]byte, bulkThreshold)),
			shaper: shaper,
			ctx:    context.Background(),
			clock:  time.Now,
		}
		if body, err := io.ReadAll(urgent); len(body) != bulkThreshold || err != nil {
			test.Errorf("%d bytes, %v", len(body), err)
		}
		written := &bytes.Buffer{}
		if _, err := (&shapedWriter{to: written, shaper: shaper, ctx: context.Background(), clock: time.Now}).Write(
			make([]byte, 20<<10),
		); err != nil {
			test.Error(err)
		}
		if elapsed := time.Since(begin); elapsed > 0 || written.Len() != 20<<10 {
			test.Errorf("took %v for %d bytes", elapsed, written.Len())
		}
		growing := &shapedReader{
			from:   bytes.NewReader(make([]byte, 2*bulkThreshold)),
			shaper: shaper,
			ctx:    context.Background(),
			clock:  time.Now,
		}
		if _, err := io.ReadAll(growing); err != nil {
			test.Error(err)
		}
		if time.Since(begin) < 200*time.Millisecond {
			test.Errorf("a large response of unknown length took %v", time.Since(begin))
		}
	})
}

// A write that cannot finish before the request's deadline fails, and returns the bytes written.
func TestShapedWriteEndsAtDeadline(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		shaper := newShaper(16<<10, time.Now())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		begin, written := time.Now(), &bytes.Buffer{}
		count, err := (&shapedWriter{to: written, shaper: shaper, ctx: ctx, clock: time.Now, large: true}).Write(make([]byte, 200<<10))
		if err == nil || count != written.Len() || count < bulkBurst || count > 64<<10 || time.Since(begin) > time.Second {
			test.Errorf("%d of %d bytes after %v: %v", count, written.Len(), time.Since(begin), err)
		}
	})
}

func TestUnlimitedLink(test *testing.T) {
	shaper := newShaper(0, time.Now())
	shaper.recordUrgent(1<<30, time.Now())
	if err := shaper.waitBulk(context.Background(), 1<<30, time.Now()); err != nil || shaper != nil {
		test.Errorf("%v, %v", shaper, err)
	}
}

// Concurrent transfers are limited by the link; others wait for up to half of the target time,
// and are then refused.
func TestTransferLimit(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.proxy.transfers = newTransferLimiter(1)
		env.addBackend("b1").handleByDefault(delayed(300*time.Millisecond, succeed))
		request := &request{
			route:    &routing.Route{Kind: routing.Download, TargetMs: 1000},
			context:  context.Background(),
			begin:    time.Now(),
			deadline: time.Now().Add(2 * time.Second),
		}
		for range minTransfers {
			if !env.proxy.acquireTransfer(request) {
				test.Error("refused below the limit")
			}
		}
		begin := time.Now()
		if env.proxy.acquireTransfer(request) || time.Since(begin) != 500*time.Millisecond {
			test.Errorf("not refused after half of the target time: %v", time.Since(begin))
		}
		request.begin, request.deadline = time.Now(), time.Now().Add(2*time.Second)
		env.goroutines.Start(func() {
			env.goroutines.Sleep(200 * time.Millisecond)
			env.proxy.transfers.release()
			env.proxy.capacityFreed.Notify()
		})
		begin = time.Now()
		if !env.proxy.acquireTransfer(request) || time.Since(begin) < 200*time.Millisecond || time.Since(begin) > 250*time.Millisecond {
			test.Errorf("acquired after %v", time.Since(begin))
		}
	})
}

// The wait in the link's queue is that for earlier bytes that cannot have been transmitted yet.
func TestLinkQueue(test *testing.T) {
	begin := time.Now()
	queue := linkQueue{updatedAt: begin}
	for _, step := range []struct {
		after  time.Duration
		bytes  int
		waited time.Duration
	}{{0, 1000, 0}, {0, 500, time.Second}, {time.Second, 0, 500 * time.Millisecond}, {3 * time.Second, 100, 0}} {
		if waited := queue.add(step.bytes, 1000, begin.Add(step.after)); waited != step.waited {
			test.Errorf("%d bytes after %s waited %s", step.bytes, step.after, waited)
		}
	}
}

// Guards against bulk that fills the link's queue, with small requests, dials and updates behind
// it, because requests to backends are not counted as bytes on the link (DRAIN, issue 33).
func TestUrgentWaitsBrieflyInLinkQueue(test *testing.T) {
	const link = 2.7e6 / 8
	const maxWait = 150 * time.Millisecond
	withTestEnv(test, func(env *testEnv) {
		env.proxy.outbound = newShaper(link, time.Now())
		env.addBackend("b1").handleByDefault(func(exchange *exchange) bool {
			if strings.Contains(exchange.requestLine, "/load/") {
				return respondLarge(200<<10, 200<<10, false)(exchange)
			}
			return succeed(exchange)
		})
		stop := time.Now().Add(10 * time.Second)
		for index := range 4 {
			env.goroutines.Start(func() {
				for number := 0; time.Now().Before(stop); number++ {
					client := env.client()
					client.roundTrip("GET", rawRequest("GET", "/load/a", fmt.Sprintf("load%d-%d", index, number), "", ""))
					client.conn.Close()
				}
			})
		}
		waits := []time.Duration{}
		for time.Now().Before(stop) {
			id, client := env.newID(), env.client()
			env.expectSuccess(client.roundTrip("POST", rawRequest("POST", "/once/a", id, "", strings.Repeat("b", 6<<10))), id)
			client.conn.Close()
			for range 10 {
				env.goroutines.Sleep(10 * time.Millisecond)
				waits = append(waits, env.proxy.outbound.enqueue(0, time.Now()))
			}
		}
		slices.Sort(waits)
		if wait := waits[len(waits)*99/100]; wait > maxWait {
			test.Errorf("99th percentile of the wait is %s, maximum %s", wait, waits[len(waits)-1])
		}
	})
}

// Guards against transfers whose bytes in flight delay dials and table updates: two were enough
// to fill a slow link for 390 ms (DRAIN, issue 33).
func TestTransfersFillLinkBriefly(test *testing.T) {
	const maxWaitSeconds = 0.15
	for _, megabits := range []float64{2.7, 3.8, 7, 1000} {
		link := megabits * 1e6 / 8
		limit := newTransferLimiter(link).limit
		if wait := float64(limit*TransferWindow) / link; wait > maxWaitSeconds {
			test.Errorf("%v Mbit/s: %d transfers fill the link for %.3f s", megabits, limit, wait)
		}
	}
}

// Guards against counting the declared length of a refused request as received bytes: one such
// request limited bulk to its minimum share for seconds.
func TestDeclaredLengthIsNotCounted(test *testing.T) {
	const capacity = 1 << 20
	for _, length := range []string{"9223372036854775807", "99999999999", "2097152"} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			env.proxy.inbound = newShaper(capacity, time.Now())
			client := env.client()
			defer client.conn.Close()
			reply := client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "Content-Length: "+length+"\r\n", ""))
			if reply.status != 413 {
				test.Fatalf("%s: %d %v", length, reply.status, reply.err)
			}
			time.Sleep(urgentRateInterval)
			if share := env.proxy.inbound.readBulk(time.Second) / capacity; share < 0.88 {
				test.Errorf("after a declared length of %s, the bulk share is %.3f", length, share)
			}
		})
	}
}

// The received bytes of a body are counted, with or without a declared length.
func TestReceivedBodyIsCounted(test *testing.T) {
	const capacity = 1 << 20
	body := string(letters(0, 512<<10))
	chunks := "Transfer-Encoding: chunked\r\n\r\n80000\r\n" + body + "\r\n0\r\n\r\n"
	head := "POST /once/a HTTP/1.1\r\nHost: host.example\r\nAttempt: id\r\nDeadline: 1500\r\n"
	for form, text := range map[string]string{"length": rawRequest("POST", "/once/a", "id", "", body), "chunks": head + chunks} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			env.proxy.inbound = newShaper(capacity, time.Now())
			client := env.client()
			defer client.conn.Close()
			if reply := client.roundTrip("POST", text); reply.status != 200 {
				test.Fatalf("%s: %d %v", form, reply.status, reply.err)
			}
			if counted := env.proxy.inbound.urgentBytes; counted < float64(len(body)) || counted > float64(len(body))+1000 {
				test.Errorf("%s: %.0f bytes of %d counted", form, counted, len(body))
			}
		})
	}
}
