package hostproxy

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// A request without an attempt id, or with two, cannot be told apart from others
// in its answer: it reaches nobody.
func TestAttemptIDIsOne(test *testing.T) {
	for name, fields := range map[string]string{"none": "", "empty": "Attempt: \r\n", "two": "Attempt: a\r\nAttempt: b\r\n"} {
		inWorld(test, func(world *world) {
			world.add("b1")
			client := world.client()
			defer client.pipe.Close()
			reply := client.ask("GET", "GET /once/a HTTP/1.1\r\nHost: host.example\r\n"+fields+"\r\n")
			if reply.status != 400 || len(world.arrivals()) != 0 {
				test.Errorf("%s: %d, %d arrivals", name, reply.status, len(world.arrivals()))
			}
		})
	}
}

// A client's Connection field takes no attempt id, host, length or tenant away.
func TestConnectionFieldKeepsWhatNamesTheRequest(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1")
		world.requireKeys()
		client := world.client()
		defer client.pipe.Close()
		fields := "Authorization: Key k1\r\nConnection: Attempt, host, Content-Length, Tenant, Target, Deadline\r\n"
		world.good(client.ask("POST", raw("POST", "/once/a", "id", fields, "body")), "id")
		arrived := world.arrivals()[0]
		for name, want := range map[string]string{"Attempt": "id", "Host": "host.example", "Content-Length": "4", "Tenant": "first", "Target": "b1", "Deadline": "1500"} {
			if values := arrived.all(name); len(values) != 1 || values[0] != want {
				test.Errorf("%s came as %q", name, values)
			}
		}
		if string(arrived.body) != "body" {
			test.Errorf("body %q", arrived.body)
		}
	})
}

// A client of an older protocol could not see that an answer was cut short, and
// frames its body in another way: it is told so, and what follows is not read.
func TestOlderProtocolIsNotServed(test *testing.T) {
	for name, text := range map[string]string{
		"plain":  "GET /once/a HTTP/1.0\r\nHost: host.example\r\nAttempt: id\r\n\r\n",
		"chunks": "POST /once/a HTTP/1.0\r\nHost: host.example\r\nAttempt: id\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + "GET /once/b HTTP/1.1\r\nHost: host.example\r\nAttempt: smuggled\r\n\r\n",
	} {
		inWorld(test, func(world *world) {
			world.add("b1")
			client := world.client()
			defer client.pipe.Close()
			client.limit(5 * time.Second)
			reply := client.ask("GET", text)
			if reply.status != 505 || !reply.last {
				test.Errorf("%s: %d %v", name, reply.status, reply.header)
			}
			if rest, err := io.ReadAll(client.reader); err != nil || len(rest) > 0 || len(world.arrivals()) != 0 {
				test.Errorf("%s: %d arrivals, then %q, %v", name, len(world.arrivals()), rest, err)
			}
		})
	}
}

// Requests that a client pipelines behind a body are read where that body ends:
// each arrives as it was sent, and gets its own answer in its turn.
func TestPipelinedRequests(test *testing.T) {
	bodies := map[string]string{
		"length": raw("POST", "/once/a", "one", "", "GET /once/x HTTP/1.1\r\nHost: host.example\r\nAttempt: smuggled\r\n\r\n"),
		"chunks": raw("POST", "/once/a", "one", "Transfer-Encoding: chunked\r\n", "") + "5\r\nGET /\r\n0\r\n\r\n",
		"none":   raw("GET", "/once/a", "one", "", ""),
	}
	for name, text := range bodies {
		for _, does := range []act{well, shed, resetAfterReading, after(10*time.Millisecond, well)} {
			inWorld(test, func(world *world) {
				world.add("b1").then(does)
				client := world.client()
				defer client.pipe.Close()
				client.limit(20 * time.Second)
				first := client.ask("GET", text+raw("GET", "/once/b", "two", "", "")+raw("GET", "/once/c", "three", "", ""))
				if first.status == 200 {
					world.good(first, "one")
				}
				world.good(client.ask("GET", ""), "two")
				world.good(client.ask("GET", ""), "three")
				got := []string{}
				for _, arrival := range world.arrivals() {
					got = append(got, arrival.get("Attempt"))
				}
				if strings.Join(got, " ") != "one two three" {
					test.Errorf("%s: arrived %v", name, got)
				}
			})
		}
	}
}

// A request that is refused before its body was read takes nothing of that body
// for another request.
func TestBodyOfRefusedRequestIsNoRequest(test *testing.T) {
	inner := "GET /once/b HTTP/1.1\r\nHost: host.example\r\nAttempt: smuggled\r\n\r\n"
	for name, head := range map[string]string{
		"unknown route": raw("POST", "/none/a", "id", "", inner),
		"too large":     strings.Replace(raw("POST", "/once/a", "id", "", inner), "Content-Length: ", "Content-Length: 9999999", 1),
		"no id":         strings.Replace(raw("POST", "/once/a", "id", "", inner), "Attempt: id\r\n", "", 1),
		"old protocol":  strings.Replace(raw("POST", "/once/a", "id", "", inner), "HTTP/1.1", "HTTP/1.0", 1),
	} {
		inWorld(test, func(world *world) {
			world.add("b1")
			client := world.client()
			if reply := client.ask("POST", head); reply.status < 400 {
				test.Errorf("%s: %d", name, reply.status)
			}
			client.pipe.Close()
			world.goroutines.Sleep(time.Second)
			for _, arrival := range world.arrivals() {
				test.Errorf("%s: arrived %s of %s", name, arrival.line, arrival.get("Attempt"))
			}
		})
	}
}

// A request that may have run is never told that it has not, however many backends
// could not be reached after that.
func TestUnreachableBackendsAfterALostAttempt(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b0").ever(resetAfterReading)
		world.proxy.view.Load().budgets[0].tokens = 30
		world.lay(func() {
			for index := range world.book.Config.Routes {
				world.book.Config.Routes[index].Attempts = 20
			}
		})
		for number := range 10 {
			world.addAt(fmt.Sprint("w", number), "plain", "w1", 8)
			world.doors.listen(fmt.Sprint("w", number, ":80"), nil)
		}
		reply, _ := world.get("/again/a")
		if len(world.arrivals()) != 1 || promised(reply.status) || reply.status < 500 {
			test.Errorf("%d after %d arrivals", reply.status, len(world.arrivals()))
		}
	})
}

// Whatever line ends and doubled framing a client uses, backends get the requests
// that its bytes hold by the protocol's rule (chunks go before a length), each framed
// by one length and with whole line ends.
func TestLooseFramingIsMadeStrict(test *testing.T) {
	second := raw("GET", "/once/b", "two", "", "")
	for name, text := range map[string]string{
		"bare newlines":         strings.ReplaceAll(raw("GET", "/once/a", "one", "", ""), "\r\n", "\n") + second,
		"chunks, then a length": raw("POST", "/once/a", "one", "Transfer-Encoding: chunked\r\nContent-Length: 400\r\n", "") + "0\r\n\r\n" + second,
		"a length, then chunks": raw("POST", "/once/a", "one", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "") + "0\r\n\r\n" + second,
	} {
		inWorld(test, func(world *world) {
			world.add("b1")
			client := world.client()
			defer client.pipe.Close()
			client.limit(5 * time.Second)
			world.good(client.ask("GET", text), "one")
			world.good(client.ask("GET", ""), "two")
			all := world.arrivals()
			if len(all) != 2 || all[0].get("Attempt") != "one" || all[1].get("Attempt") != "two" {
				test.Fatalf("%s: %d arrivals", name, len(all))
			}
			for _, arrival := range all {
				if arrival.chunked || len(arrival.all("Content-Length")) > 1 || len(arrival.body) > 0 ||
					strings.ContainsAny(strings.Join(arrival.fields, ""), "\r\n") {
					test.Errorf("%s: %v %q", name, arrival.fields, arrival.body)
				}
			}
		})
	}
}
