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
	for form, late := range map[string]string{"length": raw("POST", "/once/a", "late", "", body), "chunks": head + chunks} {
		inWorld(test, func(world *world) {
			world.proxy.memory = newRequestMemory(2_400_000)
			world.add("b1").ever(after(500*time.Millisecond, well))
			first := world.client()
			defer first.pipe.Close()
			world.goroutines.Start(func() { world.good(first.ask("POST", raw("POST", "/once/a", "first", "", body)), "first") })
			world.goroutines.Sleep(100 * time.Millisecond)
			second := world.client()
			defer second.pipe.Close()
			world.goroutines.Start(func() { second.send(late) })
			refused := second.ask("POST", "")
			if refused.status != 503 || refused.header.Get("Retry-After") == "" || refused.took > 50*time.Millisecond {
				test.Errorf("%s: %d %v after %s", form, refused.status, refused.broken, refused.took)
			}
			small := world.client()
			defer small.pipe.Close()
			world.good(small.ask("POST", raw("POST", "/once/a", "small", "", "a few bytes")), "small")
			world.goroutines.Sleep(time.Second)
			if inUse := world.proxy.memory.InUse(); inUse != 0 {
				test.Errorf("%s: %d bytes reserved in the end", form, inUse)
			}
			again := world.client()
			defer again.pipe.Close()
			if reply := again.ask("POST", late); reply.status != 200 {
				test.Errorf("%s: %d after memory was released", form, reply.status)
			}
			if count := len(world.arrivals()); count != 3 {
				test.Errorf("%s: %d arrivals", form, count)
			}
		})
	}
}

// A body stays reserved until it is sent, also after an early response.
func TestBodyIsReservedUntilSent(test *testing.T) {
	inWorld(test, func(world *world) {
		body := string(letters(0, 900<<10))
		success := func(id string) string { return whole(id, "200 OK", "", text(id)) }
		responder := &earlyResponder{world: world, response: success, readInterval: 50 * time.Millisecond}
		world.add("b1").greet(responder.serve)
		client := world.client()
		defer client.pipe.Close()
		world.good(client.ask("POST", raw("POST", "/once/a", "id", "", body)), "id")
		if inUse := world.proxy.memory.InUse(); inUse != int64(len(body)) {
			test.Errorf("%d bytes reserved while the body is sent", inUse)
		}
		world.proxy.FinishUploads(2 * time.Second)
		if inUse := world.proxy.memory.InUse(); inUse != 0 {
			test.Errorf("%d bytes reserved afterwards", inUse)
		}
	})
}
