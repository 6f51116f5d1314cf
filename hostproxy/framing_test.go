package hostproxy

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// The response to a request without an attempt ID, or with two, could not be told from others: the
// request is refused and reaches no backend.
func TestExactlyOneAttemptIDIsRequired(test *testing.T) {
	for name, fields := range map[string]string{"none": "", "empty": "Attempt: \r\n", "two": "Attempt: a\r\nAttempt: b\r\n"} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			client := env.client()
			defer client.conn.Close()
			reply := client.roundTrip("GET", "GET /once/a HTTP/1.1\r\nHost: host.example\r\n"+fields+"\r\n")
			if reply.status != 400 || len(env.receivedRequests()) != 0 {
				test.Errorf("%s: status %d, %d received requests, want 400 and none", name, reply.status, len(env.receivedRequests()))
			}
		})
	}
}

// A client's Connection field cannot remove the attempt ID, host, length, tenant, target or
// deadline.
func TestConnectionFieldCannotRemoveEssentialFields(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		env.requireKeys()
		client := env.client()
		defer client.conn.Close()
		fields := "Authorization: Key k1\r\nConnection: Attempt, host, Content-Length, Tenant, Target, Deadline\r\n"
		env.expectSuccess(client.roundTrip("POST", rawRequest("POST", "/once/a", "id", fields, "body")), "id")
		received := env.receivedRequests()[0]
		for name, want := range map[string]string{"Attempt": "id", "Host": "host.example", "Content-Length": "4", "Tenant": "first", "Target": "b1", "Deadline": "1500"} {
			if values := received.values(name); len(values) != 1 || values[0] != want {
				test.Errorf("backend received %s as %q", name, values)
			}
		}
		if string(received.body) != "body" {
			test.Errorf("backend received body %q", received.body)
		}
	})
}

// An HTTP/1.0 client could not detect a truncated response, and frames its body differently: it gets
// a 505, and what follows is not read.
func TestHTTP10IsNotSupported(test *testing.T) {
	for name, text := range map[string]string{
		"plain":  "GET /once/a HTTP/1.0\r\nHost: host.example\r\nAttempt: id\r\n\r\n",
		"chunks": "POST /once/a HTTP/1.0\r\nHost: host.example\r\nAttempt: id\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + "GET /once/b HTTP/1.1\r\nHost: host.example\r\nAttempt: smuggled\r\n\r\n",
	} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			client := env.client()
			defer client.conn.Close()
			client.setTimeout(5 * time.Second)
			reply := client.roundTrip("GET", text)
			if reply.status != 505 || !reply.closes {
				test.Errorf("%s: status %d, header %v, want 505 and close", name, reply.status, reply.header)
			}
			if rest, err := io.ReadAll(client.reader); err != nil || len(rest) > 0 || len(env.receivedRequests()) != 0 {
				test.Errorf("%s: %d received requests, then client read %q, error %v", name, len(env.receivedRequests()), rest, err)
			}
		})
	}
}

// Requests that a client pipelines after a body are read from where that body ends: each reaches a
// backend as sent, and gets its own response in order.
func TestPipelinedRequests(test *testing.T) {
	bodies := map[string]string{
		"length": rawRequest("POST", "/once/a", "one", "", "GET /once/x HTTP/1.1\r\nHost: host.example\r\nAttempt: smuggled\r\n\r\n"),
		"chunks": rawRequest("POST", "/once/a", "one", "Transfer-Encoding: chunked\r\n", "") + "5\r\nGET /\r\n0\r\n\r\n",
		"none":   rawRequest("GET", "/once/a", "one", "", ""),
	}
	for name, text := range bodies {
		for _, handle := range []handler{succeed, shed, resetAfterReading, delayed(10*time.Millisecond, succeed)} {
			withTestEnv(test, func(env *testEnv) {
				env.addBackend("b1").handleNext(handle)
				client := env.client()
				defer client.conn.Close()
				client.setTimeout(20 * time.Second)
				first := client.roundTrip(
					"GET",
					text+rawRequest("GET", "/once/b", "two", "", "")+rawRequest("GET", "/once/c", "three", "", ""),
				)
				if first.status == 200 {
					env.expectSuccess(first, "one")
				}
				env.expectSuccess(client.roundTrip("GET", ""), "two")
				env.expectSuccess(client.roundTrip("GET", ""), "three")
				got := []string{}
				for _, received := range env.receivedRequests() {
					got = append(got, received.get("Attempt"))
				}
				if strings.Join(got, " ") != "one two three" {
					test.Errorf("%s: backend received %v", name, got)
				}
			})
		}
	}
}

// If a request is refused before its body was read, the body is not parsed as another request.
func TestBodyOfRefusedRequestIsNotParsedAsRequest(test *testing.T) {
	inner := "GET /once/b HTTP/1.1\r\nHost: host.example\r\nAttempt: smuggled\r\n\r\n"
	for name, head := range map[string]string{
		"unknown route": rawRequest("POST", "/none/a", "id", "", inner),
		"too large":     strings.Replace(rawRequest("POST", "/once/a", "id", "", inner), "Content-Length: ", "Content-Length: 9999999", 1),
		"no id":         strings.Replace(rawRequest("POST", "/once/a", "id", "", inner), "Attempt: id\r\n", "", 1),
		"old protocol":  strings.Replace(rawRequest("POST", "/once/a", "id", "", inner), "HTTP/1.1", "HTTP/1.0", 1),
	} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			client := env.client()
			if reply := client.roundTrip("POST", head); reply.status < 400 {
				test.Errorf("%s: status %d, want an error", name, reply.status)
			}
			client.conn.Close()
			env.goroutines.Sleep(time.Second)
			for _, received := range env.receivedRequests() {
				test.Errorf("%s: backend received %s with attempt ID %s", name, received.requestLine, received.get("Attempt"))
			}
		})
	}
}

// The client of a request that may have run is never told that it was not executed, however many
// backends were unreachable afterwards.
func TestUnreachableBackendsAfterLostAttempt(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b0").handleByDefault(resetAfterReading)
		env.proxy.view.Load().budgets[0].tokens = 30
		env.update(func() {
			for index := range env.state.Config.Routes {
				env.state.Config.Routes[index].Attempts = 20
			}
		})
		for number := range 10 {
			env.addBackendAt(fmt.Sprint("w", number), "plain", "w1", 8)
			env.network.listen(fmt.Sprint("w", number, ":80"), nil)
		}
		reply, _ := env.get("/again/a")
		if len(env.receivedRequests()) != 1 || isNotExecutedStatus(reply.status) || reply.status < 500 {
			test.Errorf(
				"status %d after %d received requests, want a 5xx other than 503 after 1",
				reply.status,
				len(env.receivedRequests()),
			)
		}
	})
}

// Whatever line ends and duplicate framing a client uses, backends get the requests as the protocol
// defines them (chunked encoding overrides a length), each framed by one length and with CRLF.
func TestFramingIsNormalized(test *testing.T) {
	second := rawRequest("GET", "/once/b", "two", "", "")
	for name, text := range map[string]string{
		"bare newlines":         strings.ReplaceAll(rawRequest("GET", "/once/a", "one", "", ""), "\r\n", "\n") + second,
		"chunks, then a length": rawRequest("POST", "/once/a", "one", "Transfer-Encoding: chunked\r\nContent-Length: 400\r\n", "") + "0\r\n\r\n" + second,
		"a length, then chunks": rawRequest("POST", "/once/a", "one", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "") + "0\r\n\r\n" + second,
	} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			client := env.client()
			defer client.conn.Close()
			client.setTimeout(5 * time.Second)
			env.expectSuccess(client.roundTrip("GET", text), "one")
			env.expectSuccess(client.roundTrip("GET", ""), "two")
			received := env.receivedRequests()
			if len(received) != 2 || received[0].get("Attempt") != "one" || received[1].get("Attempt") != "two" {
				test.Fatalf("%s: %d received requests, want one and two", name, len(received))
			}
			for _, received := range received {
				if received.chunked || len(received.values("Content-Length")) > 1 || len(received.body) > 0 ||
					strings.ContainsAny(strings.Join(received.fields, ""), "\r\n") {
					test.Errorf("%s: backend received fields %q, body %q", name, received.fields, received.body)
				}
			}
		})
	}
}
