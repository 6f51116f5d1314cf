package hostproxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// onFirstRequest returns a handler, to be shared by backends, that uses handle for the first
// request and succeeds afterwards.
func onFirstRequest(handle handler) handler {
	var mutex sync.Mutex
	done := false
	return func(exchange *exchange) bool {
		mutex.Lock()
		current := handle
		if done {
			current = succeed
		}
		done = true
		mutex.Unlock()
		return current(exchange)
	}
}

// failureModes are the ways in which a request that may have run can fail at its backend.
var failureModes = map[string]handler{
	"reset after reading": resetAfterReading,
	"close after reading": closeAfterReading,
	"truncated body":      truncatedBody,
	"truncated head":      truncatedHead,
	"garbage":             garbage,
	"no seal":             withoutSeal,
	"no id":               withoutID,
	"body until reset":    closeDelimited(halvedBodyBytes, 0, true),
	"truncated chunks":    truncatedChunks,
	"silence":             neverRespond,
	"switching protocols": respondStatus("101 Switching Protocols"),
	"500":                 respondStatus("500 Internal Server Error"),
	"503, may have run":   respondStatus("503 Service Unavailable"),
	"429, may have run":   respondStatus("429 Too Many Requests"),
	"408, may have run":   respondStatus("408 Request Timeout"),
	"response to another request": func(exchange *exchange) bool {
		exchange.writef("%s", sealedResponse("foreign", "200 OK", "", "foreign"))
		return false
	},
}

func TestSuccessfulResponse(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		for _, path := range []string{"/once/a", "/again/a", "/load/a"} {
			reply, id := env.get(path)
			env.expectSuccess(reply, id)
			if kind, found := reply.header["Content-Type"]; found {
				test.Errorf("content type %q, which the backend did not send", kind)
			}
		}
		if connections := env.backends["b1"].connections(); connections != 1 {
			test.Errorf("%d connections for three consecutive requests", connections)
		}
	})
}

// A non-repeatable request that may have run is not retried, and its client is not told that it
// was not executed.
func TestNonIdempotentRequestReachesOneBackend(test *testing.T) {
	for name, handle := range failureModes {
		test.Run(name, func(test *testing.T) {
			withTestEnv(test, func(env *testEnv) {
				for _, backend := range []string{"b1", "b2", "b3"} {
					env.addBackend(backend).handleByDefault(handle)
				}
				reply, _ := env.get("/once/a")
				if count := len(env.receivedRequests()); count != 1 {
					test.Errorf("%d received requests, want 1", count)
				}
				if reply.err != nil || reply.status < 500 || isNotExecutedStatus(reply.status) {
					test.Errorf("status %d, body %q, error %v", reply.status, reply.body, reply.err)
				}
				if reply.elapsed > 1600*time.Millisecond {
					test.Errorf("response after %s, want at most 1.6s", reply.elapsed)
				}
			})
		})
	}
}

// A repeatable request is retried at another backend after any failure, and the client gets
// only that backend's response.
func TestIdempotentRequestIsRetried(test *testing.T) {
	for name, handle := range failureModes {
		if name == "silence" || name == "429, may have run" || name == "408, may have run" {
			continue
		}
		test.Run(name, func(test *testing.T) {
			withTestEnv(test, func(env *testEnv) {
				shared := onFirstRequest(handle)
				for _, backend := range []string{"b1", "b2", "b3"} {
					env.addBackend(backend).handleByDefault(shared)
				}
				reply, id := env.get("/again/a")
				env.expectSuccess(reply, id)
				received := env.receivedRequests()
				if len(received) != 2 || received[0].backend == received[1].backend {
					test.Errorf("received requests: %v, want 2 at different backends", received)
				}
			})
		})
	}
}

// However all backends fail, the client gets no success without a seal or of another request,
// and no more backends are tried than the route allows.
func TestNoFalseSuccess(test *testing.T) {
	for name, handle := range failureModes {
		test.Run(name, func(test *testing.T) {
			withTestEnv(test, func(env *testEnv) {
				for number := range 5 {
					env.addBackend(fmt.Sprint("b", number)).handleByDefault(handle)
				}
				for range 4 {
					reply, id := env.get("/again/a")
					if reply.status < 400 && reply.err == nil || strings.Contains(reply.body, "foreign") {
						test.Errorf("request %s: got status %d, body %q", id, reply.status, reply.body)
					}
					counts := map[string]int{}
					for _, received := range env.receivedRequests() {
						if received.get("Attempt") == id {
							counts[received.backend]++
						}
					}
					if len(counts) > 3 {
						test.Errorf("request %s reached %d backends, want at most 3", id, len(counts))
					}
					for backend, count := range counts {
						if count > 1 {
							test.Errorf("request %s reached %s %d times", id, backend, count)
						}
					}
				}
			})
		})
	}
}

// A request that a backend refused was not executed: it is sent to another backend.
func TestRefusedRequestIsRetried(test *testing.T) {
	for name, handle := range map[string]handler{"shed": shed, "misdirected": misdirected, "shed with 500": func(exchange *exchange) bool {
		exchange.writef("%s", unsealedResponse(exchange.get("Attempt"), "500 Internal Server Error", "Not-Executed: 1\r\n", ""))
		return true
	}} {
		for _, path := range []string{"/once/a", "/again/a"} {
			test.Run(name+path, func(test *testing.T) {
				withTestEnv(test, func(env *testEnv) {
					shared := onFirstRequest(handle)
					env.addBackend("b1").handleByDefault(shared)
					env.addBackend("b2").handleByDefault(shared)
					reply, id := env.get(path)
					env.expectSuccess(reply, id)
					received := env.receivedRequests()
					if len(received) != 2 || received[0].backend == received[1].backend {
						test.Errorf("%d received requests, want 2 at different backends", len(received))
					}
				})
			})
		}
	}
}

// If all backends refuse, as many are tried as the route allows, and the client is told to retry
// later.
func TestRefusedByAllBackends(test *testing.T) {
	for _, path := range []string{"/once/a", "/again/a"} {
		withTestEnv(test, func(env *testEnv) {
			for number := range 5 {
				env.addBackend(fmt.Sprint("b", number)).handleByDefault(shed)
			}
			env.proxy.view.Load().budgets[0].tokens = 2
			reply, _ := env.get(path)
			if reply.status != 503 || reply.header.Get("Retry-After") == "" || reply.err != nil {
				test.Errorf("%s: status %d, header %v", path, reply.status, reply.header)
			}
			if count := len(env.receivedRequests()); count != 3 {
				test.Errorf("%s: %d received requests, want 3", path, count)
			}
		})
	}
}

// With an empty retry budget no request is sent a second time.
func TestEmptyBudgetPreventsRetries(test *testing.T) {
	for name, want := range map[string]int{"shed": 503, "reset": 502} {
		withTestEnv(test, func(env *testEnv) {
			handlers := map[string]handler{"shed": shed, "reset": resetAfterReading}
			env.addBackend("b1").handleByDefault(handlers[name])
			env.addBackend("b2").handleByDefault(handlers[name])
			env.proxy.view.Load().budgets[0].tokens = 0
			reply, _ := env.get("/again/a")
			if reply.status != want || len(env.receivedRequests()) != 1 {
				test.Errorf("%s: status %d after %d received requests, want 1", name, reply.status, len(env.receivedRequests()))
			}
		})
	}
}

// Requests add to the retry budget of their own service only.
func TestRequestsFillBudget(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		budgets := env.proxy.view.Load().budgets
		before := [2]float64{budgets[0].tokens, budgets[1].tokens}
		for range 10 {
			env.get("/again/a")
			env.get("/none/a")
		}
		if got := budgets[0].tokens - before[0]; got < 1.49 || got > 1.51 || budgets[1].tokens != before[1] {
			test.Errorf("budgets grew by %v and %v, want 1.5 and 0", got, budgets[1].tokens-before[1])
		}
	})
}

// A request that could not be sent at all is retried at another backend without using the
// retry budget.
func TestUnsentRequestIsRetriedWithoutBudget(test *testing.T) {
	for name, breakBackend := range map[string]func(*testEnv){
		"refused dial":    func(env *testEnv) { env.network.listen("b1:80", nil) },
		"silent dial":     func(env *testEnv) { env.network.setUnresponsive("b1:80", true) },
		"immediate reset": func(env *testEnv) { env.network.listen("b1:80", func(pipe *pipe) { pipe.reset() }) },
		"no connections":  func(env *testEnv) { env.proxy.targets["b1"].openConnections = 1000 },
	} {
		for _, path := range []string{"/once/a", "/again/a"} {
			test.Run(name+path, func(test *testing.T) {
				withTestEnv(test, func(env *testEnv) {
					env.addBackend("b1")
					breakBackend(env)
					env.addBackendAt("b2", "plain", "e2", 8)
					env.proxy.view.Load().budgets[0].tokens = 0
					reply, id := env.get(path)
					env.expectSuccess(reply, id)
					if len(env.backends["b1"].requests()) != 0 {
						test.Error("b1 received the request")
					}
					env.proxy.targets["b1"].openConnections = 0
					env.network.setUnresponsive("b1:80", false)
				})
			})
		}
	}
}

// A request may have run if its bytes were sent, even if the backend did not read them.
func TestResetBeforeReadingMayHaveRun(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		resetLater := func(pipe *pipe) { env.goroutines.Sleep(10 * time.Millisecond); pipe.reset() }
		env.addBackend("b1").onConnect(resetLater)
		env.addBackend("b2").onConnect(resetLater)
		reply, _ := env.get("/once/a")
		if reply.status != 502 || len(env.receivedRequests()) != 0 {
			test.Errorf("status %d, %d received requests, want 502 and none", reply.status, len(env.receivedRequests()))
		}
		if env.counters.Get("connections_opened") != 1 {
			test.Errorf("%d connections opened, want 1", env.counters.Get("connections_opened"))
		}
	})
}

// A request may have run if only a part of its body was sent.
func TestPartlySentBodyMayHaveRun(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		resetPartway := func(pipe *pipe) {
			_, _ = io.ReadFull(pipe, make([]byte, 100<<10)) // fewer if the proxy gives up first
			pipe.reset()
		}
		env.addBackend("b1").onConnect(resetPartway)
		env.addBackend("b2").onConnect(resetPartway)
		client := env.client()
		defer client.conn.Close()
		reply := client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", string(letters(0, 400<<10))))
		if reply.status != 502 || env.counters.Get("connections_opened") != 1 {
			test.Errorf("status %d, %d connections opened, want 502 and 1", reply.status, env.counters.Get("connections_opened"))
		}
	})
}

// A request sent on an idle connection that the backend has just closed may have run.
func TestIdleCloseRacesWithReuse(test *testing.T) {
	for path, want := range map[string]int{"/once/a": 502, "/again/a": 200} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			reply, id := env.get("/once/a")
			env.expectSuccess(reply, id)
			env.addBackendAt("b2", "plain", "e2", 8)
			env.backends["b1"].closeConnections()
			if reply, _ = env.get(path); reply.status != want {
				test.Errorf("%s: status %d", path, reply.status)
			}
			if count := len(env.backends["b2"].requests()); count != (want-502)/-302 {
				test.Errorf("%s: %d requests at the other backend", path, count)
			}
		})
	}
}

// Surplus responses are skipped, and a connection with unread bytes is not reused.
func TestSurplusResponses(test *testing.T) {
	for name, testCase := range map[string]struct {
		handle      handler
		idle        time.Duration
		surplus     uint64
		connections int
	}{
		"at once":                  {surplusAtOnce, 0, 0, 2},
		"before the next response": {surplusDelayed(20 * time.Millisecond), 0, 1, 1},
		"while idle":               {surplusDelayed(20 * time.Millisecond), 100 * time.Millisecond, 1, 1},
		"while idle, in chunks": {func(exchange *exchange) bool {
			succeed(exchange)
			exchange.backend.goroutines.Sleep(time.Millisecond)
			return chunked(exchange)
		}, 100 * time.Millisecond, 1, 1},
		"garbage at once": {func(exchange *exchange) bool {
			id := exchange.get("Attempt")
			exchange.writef("%sleft over", sealedResponse(id, "200 OK", "", successBody(id)))
			return true
		}, 0, 0, 2},
	} {
		test.Run(name, func(test *testing.T) {
			withTestEnv(test, func(env *testEnv) {
				env.addBackend("b1").handleNext(testCase.handle)
				for range 4 {
					reply, id := env.get("/once/a")
					env.expectSuccess(reply, id)
					env.goroutines.Sleep(testCase.idle)
				}
				if surplus := env.counters.Get("answers_surplus"); surplus != testCase.surplus {
					test.Errorf("%d surplus responses read", surplus)
				}
				if connections := env.backends["b1"].connections(); connections != testCase.connections {
					test.Errorf("%d connections", connections)
				}
			})
		})
	}
}

// Unread bytes that are not a valid response make at most one request fail, and are never taken
// for its response.
func TestGarbageOnIdleConnection(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleNext(func(exchange *exchange) bool {
			succeed(exchange)
			exchange.backend.goroutines.Sleep(time.Millisecond)
			exchange.writef("HTTP/1.1 200 OK\r\nSeal: x\r\nContent-Length: 3\r\n\r\nbad")
			return true
		})
		reply, id := env.get("/once/a")
		env.expectSuccess(reply, id)
		env.goroutines.Sleep(10 * time.Millisecond)
		if reply, _ = env.get("/once/b"); reply.status != 502 {
			test.Errorf("status %d, body %q, want status 502", reply.status, reply.body)
		}
		reply, id = env.get("/once/c")
		env.expectSuccess(reply, id)
	})
}

// The proxy gives up an attempt whose backend sends too many surplus responses.
func TestTooManySurplusResponses(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleByDefault(func(exchange *exchange) bool {
			for range 5 {
				exchange.writef("%s", sealedResponse("foreign", "200 OK", "", "foreign"))
			}
			return succeed(exchange)
		})
		if reply, _ := env.get("/once/a"); reply.status != 502 {
			test.Errorf("status %d, body %q, want status 502", reply.status, reply.body)
		}
	})
}

// The rest of a refusal's body is not taken for the response to the next request.
func TestRefusalWithLargeBodyPreventsReuse(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleNext(func(exchange *exchange) bool {
			response := unsealedResponse(
				exchange.get("Attempt"),
				"503 Service Unavailable",
				"Not-Executed: full\r\n",
				string(letters(0, maxBufferedBodyBytes+readBufferBytes)),
			)
			exchange.writef("%s", response[:len(response)-readBufferBytes])
			exchange.backend.goroutines.Sleep(5 * time.Millisecond)
			exchange.writef("%s", response[len(response)-readBufferBytes:])
			return true
		})
		if reply, _ := env.get("/once/a"); reply.status != 503 {
			test.Errorf("status %d, want 503", reply.status)
		}
		reply, id := env.get("/once/b")
		env.expectSuccess(reply, id)
		if connections := env.backends["b1"].connections(); connections != 2 {
			test.Errorf("%d connections, want 2", connections)
		}
	})
}

// The size of a response head is limited, so that it cannot exhaust the memory.
func TestOversizedResponseHead(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		written := 0
		env.addBackend("b1").handleByDefault(func(exchange *exchange) bool {
			exchange.writef("HTTP/1.1 200 OK\r\nX: ")
			for part := letters(0, 32<<10); written < 64<<20; written += len(part) {
				if _, err := exchange.pipe.Write(part); err != nil {
					return false
				}
			}
			return false
		})
		if reply, _ := env.get("/once/a"); reply.status != 502 {
			test.Errorf("status %d, want 502", reply.status)
		}
		synctest.Wait()
		if written > 4<<20 {
			test.Errorf("backend wrote %d bytes of a response head, want at most 4 MiB", written)
		}
	})
}

// Streamed responses reach the client unchanged, or visibly truncated.
func TestLargeResponses(test *testing.T) {
	for _, size := range []int{0, 1, maxBufferedBodyBytes - 1, maxBufferedBodyBytes, maxBufferedBodyBytes + 1, 3 * maxBufferedBodyBytes} {
		for _, inChunks := range []bool{false, true} {
			withTestEnv(test, func(env *testEnv) {
				env.addBackend("b1").handleNext(respondLarge(size, size, inChunks))
				reply, _ := env.get("/load/a")
				if reply.status != 200 || reply.err != nil || reply.body != string(letters(0, size)) {
					test.Errorf(
						"body of %d bytes, chunked %v: status %d, received %d bytes, error %v",
						size,
						inChunks,
						reply.status,
						len(reply.body),
						reply.err,
					)
				}
				reply, id := env.get("/once/b")
				env.expectSuccess(reply, id)
				if connections := env.backends["b1"].connections(); connections != 1 {
					test.Errorf("body of %d bytes, chunked %v: %d connections, want 1", size, inChunks, connections)
				}
			})
			if size == 0 {
				continue
			}
			for _, path := range []string{"/load/a", "/once/a"} {
				withTestEnv(test, func(env *testEnv) {
					env.addBackend("b1").handleNext(respondLarge(size, size-1, inChunks))
					reply, _ := env.get(path)
					if reply.err == nil && reply.status < 500 || size > maxBufferedBodyBytes && reply.err == nil {
						test.Errorf(
							"%s: last of %d bytes missing, chunked %v: status %d, received %d bytes",
							path,
							size,
							inChunks,
							reply.status,
							len(reply.body),
						)
					}
					reply, id := env.get("/once/b")
					env.expectSuccess(reply, id)
				})
			}
		}
	}
}

// A response stream that stalls is cut off at the request's deadline.
func TestStalledStream(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleNext(func(exchange *exchange) bool {
			respondLarge(4*maxBufferedBodyBytes, 2*maxBufferedBodyBytes, false)(exchange)
			return neverRespond(exchange)
		})
		reply, _ := env.get("/load/a")
		if reply.err == nil || reply.elapsed > 1600*time.Millisecond {
			test.Errorf("status %d after %s, error %v", reply.status, reply.elapsed, reply.err)
		}
	})
}

// A request counts as running at its backend until its response was streamed completely.
func TestStreamCountsAsRunning(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleNext(respondLarge(4*maxBufferedBodyBytes, 4*maxBufferedBodyBytes, false))
		client := env.client()
		defer client.conn.Close()
		client.send(rawRequest("GET", "/load/a", "id", "", ""))
		synctest.Wait()
		if _, running := env.targetLoad("b1"); running != 1 {
			test.Errorf("%d requests running during the response, want 1", running)
		}
		response, _ := http.ReadResponse(client.reader, nil)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			test.Error(err)
		}
		synctest.Wait()
		if _, running := env.targetLoad("b1"); running != 0 {
			test.Errorf("%d requests running after the response, want 0", running)
		}
	})
}

func TestResponsesWithoutBody(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleNext(func(exchange *exchange) bool {
			exchange.writef("HTTP/1.1 200 OK\r\nAttempt: %s\r\nSeal: s\r\nContent-Length: 77\r\n\r\n", exchange.get("Attempt"))
			return true
		}, func(exchange *exchange) bool {
			exchange.writef("HTTP/1.1 204 No Content\r\nAttempt: %s\r\nSeal: s\r\n\r\n", exchange.get("Attempt"))
			return true
		}, func(exchange *exchange) bool {
			exchange.writef("HTTP/1.1 304 Not Modified\r\nAttempt: %s\r\nETag: x\r\n\r\n", exchange.get("Attempt"))
			return true
		}, func(exchange *exchange) bool {
			exchange.writef("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
			return succeed(exchange)
		})
		client := env.client()
		defer client.conn.Close()
		reply := client.roundTrip("HEAD", rawRequest("HEAD", "/once/a", "id", "", ""))
		if reply.status != 200 || reply.header.Get("Content-Length") != "77" || reply.err != nil {
			test.Errorf("unexpected reply %+v", reply)
		}
		for _, want := range []int{204, 304} {
			if reply = client.roundTrip(
				"GET",
				rawRequest("GET", "/once/a", "id", "", ""),
			); reply.status != want || reply.body != "" ||
				reply.err != nil {
				test.Errorf("unexpected reply %+v", reply)
			}
		}
		env.expectSuccess(client.roundTrip("GET", rawRequest("GET", "/once/a", "id", "", "")), "id")
		if connections := env.backends["b1"].connections(); connections != 1 {
			test.Errorf("%d connections, want 1", connections)
		}
	})
}

// Response header fields are forwarded, except hop-by-hop fields and those with the backend's
// state.
func TestResponseHeaderFields(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").
			handleNext(succeedWithFields("Connection: keep-alive, Secret\r\nSecret: x\r\nKeep-Alive: timeout=5\r\nLoad: 1,0,8\r\nBackend: b1\r\nWarmup: 0\r\nKept: one\r\nKept: two\r\nContent-Encoding: none\r\n"))
		reply, id := env.get("/once/a")
		env.expectSuccess(reply, id)
		for _, field := range []string{"Secret", "Keep-Alive", "Load", "Backend", "Warmup", "Content-Type", "Transfer-Encoding"} {
			if value, found := reply.header[field]; found {
				test.Errorf("field %s was forwarded: %q", field, value)
			}
		}
		if kept := reply.header["Kept"]; len(kept) != 2 || kept[0] != "one" || reply.header.Get("Content-Encoding") != "none" {
			test.Errorf("header %v, want both Kept fields and Content-Encoding", reply.header)
		}
	})
}

// Error responses of a backend are forwarded with their status and body.
func TestBackendErrorsAreForwarded(test *testing.T) {
	for _, line := range []string{"400 Bad Request", "404 Not Found", "409 Conflict", "500 Internal Server Error", "504 Gateway Timeout"} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1").handleByDefault(respondStatus(line))
			if reply, _ := env.get("/once/a"); fmt.Sprint(reply.status) != line[:3] || reply.body != "backend error" {
				test.Errorf("%s: status %d, body %q", line, reply.status, reply.body)
			}
		})
	}
}

// A client that disconnects ends its request.
func TestClientDisconnect(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleByDefault(neverRespond)
		client := env.client()
		client.send(rawRequest("GET", "/again/a", "id", "", ""))
		env.goroutines.Sleep(50 * time.Millisecond)
		client.conn.Close()
		env.goroutines.Sleep(10 * time.Millisecond)
		if open, running := env.targetLoad("b1"); open != 0 || running != 0 || env.proxy.InFlight() != 0 {
			test.Errorf("%d open connections, %d running requests, %d in flight", open, running, env.proxy.InFlight())
		}
		if len(env.receivedRequests()) != 1 {
			test.Errorf("%d received requests, want 1", len(env.receivedRequests()))
		}
	})
}

// The deadline is the client's or the route's, whichever is shorter, and backends are told the
// remaining time.
func TestDeadline(test *testing.T) {
	for deadline, limit := range map[string]int{"700": 700, "1500": 1500, "90000": 2000, "1e300": 2000, "Inf": 2000, "NaN": 2000, "-4": 2000, "soon": 2000, "0.5": 1, "0": 1} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1").handleByDefault(neverRespond)
			client := env.client()
			defer client.conn.Close()
			reply := client.roundTrip("GET", rawRequest("GET", "/once/a", "id", "Deadline: "+deadline+"\r\n", ""))
			elapsedMs := int(reply.elapsed.Milliseconds())
			if limit > 1 && (reply.status != 504 || elapsedMs < limit || elapsedMs > limit+60) ||
				limit == 1 && reply.status != 503 && reply.status != 504 {
				test.Errorf("deadline %s: status %d after %s", deadline, reply.status, reply.elapsed)
			}
			for _, received := range env.receivedRequests() {
				if got := received.get("Deadline"); got != fmt.Sprint(limit) || len(received.values("Deadline")) != 1 {
					test.Errorf("deadline %s: backend was told %v", deadline, received.values("Deadline"))
				}
			}
		})
	}
	withTestEnv(test, func(env *testEnv) {
		shared := onFirstRequest(delayed(300*time.Millisecond, shed))
		env.addBackend("b1").handleByDefault(shared)
		env.addBackend("b2").handleByDefault(shared)
		reply, id := env.get("/once/a")
		env.expectSuccess(reply, id)
		for number, want := range []string{"1500", "1200"} {
			if deadline := env.receivedRequests()[number].get("Deadline"); deadline != want {
				test.Errorf("backend was told deadline %s", deadline)
			}
		}
	})
}

// A backend that was replaced by another one at its address is not revived just because dials
// succeed.
func TestReplacedBackendIsNotRevived(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleByDefault(misdirected)
		env.addBackendAt("b2", "plain", "w1", 8)
		for range 100 {
			reply, id := env.get("/once/a")
			env.expectSuccess(reply, id)
			env.goroutines.Sleep(100 * time.Millisecond)
		}
		if count := len(env.backends["b1"].requests()); count > 3 {
			test.Errorf("b1 received %d requests in 10 s, want at most 3", count)
		}
		if revived := env.counters.Get("backends_revived"); revived != 0 {
			test.Errorf("b1 was revived %d times", revived)
		}
	})
}

// A request makes at most as many attempts as its route allows and as there are backends.
func TestAttemptLimitOfRoute(test *testing.T) {
	for attempts := 1; attempts <= 4; attempts++ {
		withTestEnv(test, func(env *testEnv) {
			env.update(func() {
				for index := range env.state.Config.Routes {
					env.state.Config.Routes[index].Attempts = attempts
				}
			})
			for number := range 3 {
				env.addBackend(fmt.Sprint("b", number)).handleByDefault(resetAfterReading)
			}
			env.proxy.view.Load().budgets[0].tokens = 9
			reply, _ := env.get("/again/a")
			if reply.status != 502 || len(env.receivedRequests()) != min(attempts, 3) {
				test.Errorf("%d attempts: status %d after %d received requests", attempts, reply.status, len(env.receivedRequests()))
			}
		})
	}
}

// A backend that answers 421 was replaced by another one at its address, and is not chosen again for
// a while.
func TestReplacedBackend(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleByDefault(func(exchange *exchange) bool {
			if exchange.get("Target") != "someone" {
				return misdirected(exchange)
			}
			return succeed(exchange)
		})
		env.addBackendAt("b2", "plain", "e2", 8)
		for range 5 {
			reply, id := env.get("/once/a")
			env.expectSuccess(reply, id)
		}
		if count := len(env.backends["b1"].requests()); count != 1 {
			test.Errorf("b1 received %d requests, want 1", count)
		}
		for _, received := range env.receivedRequests() {
			if received.get("Target") != received.backend || len(received.values("Target")) != 1 {
				test.Errorf("%s was told target %v", received.backend, received.values("Target"))
			}
		}
	})
}
