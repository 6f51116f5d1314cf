package hostproxy

import (
	"strconv"
	"testing"
	"time"
)

// Bodies together are bounded, also one alone: more would take the process over its memory.
// What is kept free of large bodies is there for small ones.
func TestBodyMemoryIsBounded(test *testing.T) {
	const machine = 200 << 20
	memory := newRequestMemory(machine)
	if memory.limit >= machine/2 || memory.limit < machine/3 {
		test.Errorf("%d bytes of %d for bodies", memory.limit, machine)
	}
	large := memory.limit - memory.limit/smallBodyReserveDivisor
	if memory.Reserve(0, memory.limit) || memory.Reserve(0, large+1) || !memory.Reserve(0, large) {
		test.Error("not just what there is room for")
	}
	if memory.Reserve(0, smallBodyBytes+1) || memory.Reserve(smallBodyBytes, 1) {
		test.Error("a large body took what is kept for small ones")
	}
	count := int64(0)
	for count < machine/smallBodyBytes && memory.Reserve(0, smallBodyBytes) {
		count++
	}
	if count != memory.limit/smallBodyReserveDivisor/smallBodyBytes {
		test.Errorf("%d small bodies beside large ones", count)
	}
	memory.Release(large + count*smallBodyBytes)
	if memory.InUse() != 0 || !memory.Reserve(0, large) {
		test.Error("what was given back is not there")
	}
	if newRequestMemory(0).limit != defaultBodyMemoryBytes {
		test.Error("no bound where the machine's memory is not known")
	}
}

// Large bodies were held until their answers and counted only while they were read, those in
// chunks not at all, so that a few took the process over its memory and it was killed. They
// are refused with a time to come back as soon as there is no memory for them; small requests
// go on, and all of it is given back.
func TestLargeBodiesBeyondTheMemoryAreRefused(test *testing.T) {
	const size = 600 << 10
	body := string(letters(0, size))
	chunks := "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(size, 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	head := "POST /once/a HTTP/1.1\r\nHost: host.example\r\nAttempt: late\r\nDeadline: 1500\r\n"
	for form, late := range map[string]string{"length": rawRequest("POST", "/once/a", "late", "", body), "chunks": head + chunks} {
		withTestEnv(test, func(env *testEnv) {
			env.proxy.memory = newRequestMemory(2_400_000)
			env.addBackend("b1").handleByDefault(delayed(500*time.Millisecond, succeed))
			first := env.client()
			defer first.conn.Close()
			env.goroutines.Start(func() {
				env.expectSuccess(first.roundTrip("POST", rawRequest("POST", "/once/a", "first", "", body)), "first")
			})
			env.goroutines.Sleep(100 * time.Millisecond)
			second := env.client()
			defer second.conn.Close()
			env.goroutines.Start(func() { second.send(late) })
			refused := second.roundTrip("POST", "")
			if refused.status != 503 || refused.header.Get("Retry-After") == "" || refused.elapsed > 50*time.Millisecond {
				test.Errorf("%s: %d %v after %s", form, refused.status, refused.err, refused.elapsed)
			}
			small := env.client()
			defer small.conn.Close()
			env.expectSuccess(small.roundTrip("POST", rawRequest("POST", "/once/a", "small", "", "a few bytes")), "small")
			env.goroutines.Sleep(time.Second)
			if held := env.proxy.memory.InUse(); held != 0 {
				test.Errorf("%s: %d bytes held in the end", form, held)
			}
			again := env.client()
			defer again.conn.Close()
			if reply := again.roundTrip("POST", late); reply.status != 200 {
				test.Errorf("%s: %d once there is memory again", form, reply.status)
			}
			if count := len(env.receivedRequests()); count != 3 {
				test.Errorf("%s: %d arrivals", form, count)
			}
		})
	}
}

// The rest of a body that is sent after an early answer counts until it is sent.
func TestBodyCountsUntilItIsSent(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		body := string(letters(0, 900<<10))
		success := func(id string) string { return sealedResponse(id, "200 OK", "", successBody(id)) }
		reader := &earlyReader{world: env, answer: success, rest: 50 * time.Millisecond}
		env.addBackend("b1").onConnect(reader.serve)
		client := env.client()
		defer client.conn.Close()
		env.expectSuccess(client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", body)), "id")
		if held := env.proxy.memory.InUse(); held != int64(len(body)) {
			test.Errorf("%d bytes held while the body is sent", held)
		}
		env.proxy.FinishUploads(2 * time.Second)
		if held := env.proxy.memory.InUse(); held != 0 {
			test.Errorf("%d bytes held afterwards", held)
		}
	})
}
