package hostproxy

import (
	"strconv"
	"testing"
	"time"
)

// The memory for bodies is limited, in total and for a single one, so that the process does not
// run out of memory. A part is reserved for small bodies.
func TestBodyMemoryIsBounded(test *testing.T) {
	const machineBytes = 200 << 20
	memory := newRequestMemory(machineBytes)
	if memory.limit >= machineBytes/2 || memory.limit < machineBytes/3 {
		test.Errorf("%d of %d bytes for bodies", memory.limit, machineBytes)
	}
	large := memory.limit - memory.limit/smallBodyReserveDivisor
	if memory.Reserve(0, memory.limit) || memory.Reserve(0, large+1) || !memory.Reserve(0, large) {
		test.Error("must reserve exactly the available bytes")
	}
	if memory.Reserve(0, smallBodyBytes+1) || memory.Reserve(smallBodyBytes, 1) {
		test.Error("a large body used the reserve for small ones")
	}
	count := int64(0)
	for count < machineBytes/smallBodyBytes && memory.Reserve(0, smallBodyBytes) {
		count++
	}
	if count != memory.limit/smallBodyReserveDivisor/smallBodyBytes {
		test.Errorf("%d small bodies next to large ones", count)
	}
	memory.Release(large + count*smallBodyBytes)
	if memory.InUse() != 0 || !memory.Reserve(0, large) {
		test.Error("released bytes are not available")
	}
	if newRequestMemory(0).limit != defaultBodyMemoryBytes {
		test.Error("no default limit for an unknown machine size")
	}
}

// Guards against a few large bodies that get the process killed for its memory: they were held
// until their responses but counted only while read, and chunked ones not at all. Without
// memory for them they get 503 with Retry-After; small requests still succeed.
func TestBodiesExceedingMemoryAreRefused(test *testing.T) {
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
			if inUse := env.proxy.memory.InUse(); inUse != 0 {
				test.Errorf("%s: %d bytes reserved in the end", form, inUse)
			}
			again := env.client()
			defer again.conn.Close()
			if reply := again.roundTrip("POST", late); reply.status != 200 {
				test.Errorf("%s: %d after memory was released", form, reply.status)
			}
			if count := len(env.receivedRequests()); count != 3 {
				test.Errorf("%s: %d arrivals", form, count)
			}
		})
	}
}

// A body stays reserved until it is sent, also after an early response.
func TestBodyIsReservedUntilSent(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		body := string(letters(0, 900<<10))
		success := func(id string) string { return sealedResponse(id, "200 OK", "", successBody(id)) }
		responder := &earlyResponder{env: env, response: success, readInterval: 50 * time.Millisecond}
		env.addBackend("b1").onConnect(responder.serve)
		client := env.client()
		defer client.conn.Close()
		env.expectSuccess(client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", body)), "id")
		if inUse := env.proxy.memory.InUse(); inUse != int64(len(body)) {
			test.Errorf("%d bytes reserved while the body is sent", inUse)
		}
		env.proxy.FinishUploads(2 * time.Second)
		if inUse := env.proxy.memory.InUse(); inUse != 0 {
			test.Errorf("%d bytes reserved afterwards", inUse)
		}
	})
}
