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

// large reads an endless answer through a lane for a while and gives its bytes a second.
func (shaper *linkShaper) large(span time.Duration) float64 {
	source := &shapedReader{from: endless{}, shaper: shaper, ctx: context.Background(), clock: time.Now, large: true}
	begin, body, count := time.Now(), make([]byte, bulkChunk), 0
	for time.Since(begin) < span {
		read, _ := source.Read(body)
		count += read
	}
	return float64(count) / time.Since(begin).Seconds()
}

type endless struct{}

func (endless) Read(body []byte) (int, error) { return len(body), nil }

// Large answers take what small ones leave of the link, and never less than their floor.
func TestLargeTakeWhatIsLeft(test *testing.T) {
	const whole = 1 << 20
	for _, step := range []struct{ small, least, most float64 }{{0, 0.88, 0.95}, {0.3, 0.53, 0.62}, {0.6, 0.24, 0.28}, {2, 0.24, 0.28}} {
		synctest.Test(test, func(test *testing.T) {
			shaper := newShaper(whole, time.Now())
			for range 40 {
				time.Sleep(50 * time.Millisecond)
				shaper.recordUrgent(int(step.small*whole/20), time.Now())
			}
			stop := time.Now().Add(5 * time.Second)
			go func() {
				for time.Now().Before(stop) {
					time.Sleep(50 * time.Millisecond)
					shaper.recordUrgent(int(step.small*whole/20), time.Now())
				}
			}()
			if got := shaper.large(4*time.Second) / whole; got < step.least || got > step.most {
				test.Errorf("beside %v of the link: %.3f", step.small, got)
			}
			synctest.Wait()
			time.Sleep(2 * time.Second)
		})
	}
}

// Small answers never wait, also while large ones fill the link; what turns out to be
// large waits from where it is.
func TestSmallPassAtOnce(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		shaper := newShaper(100<<10, time.Now())
		shaper.large(time.Second)
		begin := time.Now()
		small := &shapedReader{
			from:   bytes.NewReader(make([]byte, bulkThreshold)),
			shaper: shaper,
			ctx:    context.Background(),
			clock:  time.Now,
		}
		if body, err := io.ReadAll(small); len(body) != bulkThreshold || err != nil {
			test.Errorf("%d bytes, %v", len(body), err)
		}
		written := &bytes.Buffer{}
		if _, err := (&shapedWriter{to: written, shaper: shaper, ctx: context.Background(), clock: time.Now}).Write(
			make([]byte, 20<<10),
		); err != nil {
			test.Error(err)
		}
		if took := time.Since(begin); took > 0 || written.Len() != 20<<10 {
			test.Errorf("%v for %d bytes", took, written.Len())
		}
		grows := &shapedReader{
			from:   bytes.NewReader(make([]byte, 2*bulkThreshold)),
			shaper: shaper,
			ctx:    context.Background(),
			clock:  time.Now,
		}
		if _, err := io.ReadAll(grows); err != nil {
			test.Error(err)
		}
		if time.Since(begin) < 200*time.Millisecond {
			test.Errorf("a large answer without a length took %v", time.Since(begin))
		}
	})
}

// A part whose turn is after the request's end ends it, and what was written is told.
func TestPacedPartsEndInTime(test *testing.T) {
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

func TestLinkWithoutABound(test *testing.T) {
	shaper := newShaper(0, time.Now())
	shaper.recordUrgent(1<<30, time.Now())
	if err := shaper.waitBulk(context.Background(), 1<<30, time.Now()); err != nil || shaper != nil {
		test.Errorf("%v, %v", shaper, err)
	}
}

// No more large answers are fetched at once than the link bears; the others wait, and
// are refused in time where they wait in vain.
func TestLargeAnswersTakeTurns(test *testing.T) {
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
				test.Error("refused where there is room")
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
			test.Errorf("its turn came after %v", time.Since(begin))
		}
	})
}

// The wait on the link is what was given to it before and it cannot have carried yet.
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

// Large answers took nearly the whole link beside requests to backends, which were not counted
// on it: its queue grew for as long as there were large answers, and small requests, dials
// and updates stood in it (DRAIN, issue 33).
func TestSmallRequestsWaitBrieflyOnTheOwnLink(test *testing.T) {
	const link = 2.7e6 / 8
	const mostWait = 150 * time.Millisecond
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
				for ask := 0; time.Now().Before(stop); ask++ {
					client := env.client()
					client.roundTrip("GET", rawRequest("GET", "/load/a", fmt.Sprintf("load%d-%d", index, ask), "", ""))
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
		if wait := waits[len(waits)*99/100]; wait > mostWait {
			test.Errorf("99%% of the waits are below %s only, at most %s", wait, waits[len(waits)-1])
		}
	})
}

// Two large answers alone could fill a thin link for 390 ms with what their senders had under
// way, and dials and updates of the table stood behind it (DRAIN, issue 33).
func TestTransfersFillTheLinkBriefly(test *testing.T) {
	const mostWait = 0.15 // seconds
	for _, megabits := range []float64{2.7, 3.8, 7, 1000} {
		link := megabits * 1e6 / 8
		limit := newTransferLimiter(link).limit
		if wait := float64(limit*TransferWindow) / link; wait > mostWait {
			test.Errorf("%v Mbit/s: %d transfers fill the link for %.3f s", megabits, limit, wait)
		}
	}
}

// The length that a refused request named counted as bytes on the link: one request took large
// answers down to their floor for seconds, though none of its body had come.
func TestLengthsThatClientsNameAreNoBytesOnTheLink(test *testing.T) {
	const whole = 1 << 20
	for _, length := range []string{"9223372036854775807", "99999999999", "2097152"} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			env.proxy.inbound = newShaper(whole, time.Now())
			client := env.client()
			defer client.conn.Close()
			reply := client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "Content-Length: "+length+"\r\n", ""))
			if reply.status != 413 {
				test.Fatalf("%s: %d %v", length, reply.status, reply.err)
			}
			time.Sleep(urgentRateInterval)
			if share := env.proxy.inbound.large(time.Second) / whole; share < 0.88 {
				test.Errorf("after a length of %s, large answers have %.3f of the link", length, share)
			}
		})
	}
}

// What did come of a body counts, whether its length was named or not.
func TestBodiesCountOnTheLinkAsTheyCome(test *testing.T) {
	const whole = 1 << 20
	body := string(letters(0, 512<<10))
	chunks := "Transfer-Encoding: chunked\r\n\r\n80000\r\n" + body + "\r\n0\r\n\r\n"
	head := "POST /once/a HTTP/1.1\r\nHost: host.example\r\nAttempt: id\r\nDeadline: 1500\r\n"
	for form, text := range map[string]string{"length": rawRequest("POST", "/once/a", "id", "", body), "chunks": head + chunks} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			env.proxy.inbound = newShaper(whole, time.Now())
			client := env.client()
			defer client.conn.Close()
			if reply := client.roundTrip("POST", text); reply.status != 200 {
				test.Fatalf("%s: %d %v", form, reply.status, reply.err)
			}
			if bytes := env.proxy.inbound.urgentBytes; bytes < float64(len(body)) || bytes > float64(len(body))+1000 {
				test.Errorf("%s: %.0f bytes of %d counted", form, bytes, len(body))
			}
		})
	}
}
