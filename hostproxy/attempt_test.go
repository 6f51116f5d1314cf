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

// first gives an act to the first arrival at any of the backends, and good answers
// to later ones.
func onFirstRequest(handle handler) handler {
	var mutex sync.Mutex
	done := false
	return func(exchange *exchange) bool {
		mutex.Lock()
		handle := handle
		if done {
			handle = succeed
		}
		done = true
		mutex.Unlock()
		return handle(exchange)
	}
}

// troubles are ways to leave a client without an answer to a request that may have run.
var failureModes = map[string]handler{
	"reset after reading":   resetAfterReading,
	"close after reading":   closeAfterReading,
	"half an answer":        truncatedBody,
	"half a head":           truncatedHead,
	"garbage":               garbage,
	"no seal":               withoutSeal,
	"no id":                 withoutID,
	"body until close":      bodyUntilClose,
	"half of the chunks":    truncatedChunks,
	"silence":               neverRespond,
	"switching protocols":   respondStatus("101 Switching Protocols"),
	"own 500":               respondStatus("500 Internal Server Error"),
	"own 503, may have run": respondStatus("503 Service Unavailable"),
	"own 429, may have run": respondStatus("429 Too Many Requests"),
	"own 408, may have run": respondStatus("408 Request Timeout"),
	"answer to somebody else": func(exchange *exchange) bool {
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
				test.Errorf("a content type of nobody's: %q", kind)
			}
		}
		if connections := env.backends["b1"].connections(); connections != 1 {
			test.Errorf("%d connections for three requests in turn", connections)
		}
	})
}

// What may have run is sent nowhere else, and nobody is told that it has not run.
func TestNonIdempotentRequestReachesOneBackend(test *testing.T) {
	for name, handle := range failureModes {
		test.Run(name, func(test *testing.T) {
			withTestEnv(test, func(env *testEnv) {
				for _, backend := range []string{"b1", "b2", "b3"} {
					env.addBackend(backend).handleAll(handle)
				}
				reply, _ := env.get("/once/a")
				if count := len(env.receivedRequests()); count != 1 {
					test.Errorf("%d arrivals", count)
				}
				if reply.err != nil || reply.status < 500 || isNotExecutedStatus(reply.status) {
					test.Errorf("%d %q %v", reply.status, reply.body, reply.err)
				}
				if reply.elapsed > 1600*time.Millisecond {
					test.Errorf("took %s", reply.elapsed)
				}
			})
		})
	}
}

// A repeatable request is tried elsewhere after any trouble, and the client gets
// the second backend's answer only.
func TestIdempotentRequestIsRetried(test *testing.T) {
	for name, handle := range failureModes {
		if name == "silence" || name == "own 429, may have run" || name == "own 408, may have run" {
			continue
		}
		test.Run(name, func(test *testing.T) {
			withTestEnv(test, func(env *testEnv) {
				shared := onFirstRequest(handle)
				for _, backend := range []string{"b1", "b2", "b3"} {
					env.addBackend(backend).handleAll(shared)
				}
				reply, id := env.get("/again/a")
				env.expectSuccess(reply, id)
				received := env.receivedRequests()
				if len(received) != 2 || received[0].backend == received[1].backend {
					test.Errorf("arrivals %v", received)
				}
			})
		})
	}
}

// Whatever all backends do, nobody's success is handed on that lacks the seal or
// belongs to another, and no more backends are tried than the route allows.
func TestNoFalseSuccess(test *testing.T) {
	for name, handle := range failureModes {
		test.Run(name, func(test *testing.T) {
			withTestEnv(test, func(env *testEnv) {
				for number := range 5 {
					env.addBackend(fmt.Sprint("b", number)).handleAll(handle)
				}
				for range 4 {
					reply, id := env.get("/again/a")
					if reply.status < 400 && reply.err == nil || strings.Contains(reply.body, "foreign") {
						test.Errorf("%s got %d %q", id, reply.status, reply.body)
					}
					counts := map[string]int{}
					for _, received := range env.receivedRequests() {
						if received.get("Attempt") == id {
							counts[received.backend]++
						}
					}
					if len(counts) > 3 {
						test.Errorf("%s reached %d backends", id, len(counts))
					}
					for backend, count := range counts {
						if count > 1 {
							test.Errorf("%s reached %s %d times", id, backend, count)
						}
					}
				}
			})
		})
	}
}

// A request that a backend refused has not run: another backend gets it.
func TestRefusedRequestIsRetried(test *testing.T) {
	for name, handle := range map[string]handler{"shed": shed, "misdirected": misdirected, "shed with 500": func(exchange *exchange) bool {
		exchange.writef("%s", unsealedResponse(exchange.get("Attempt"), "500 Internal Server Error", "Not-Executed: 1\r\n", ""))
		return true
	}} {
		for _, path := range []string{"/once/a", "/again/a"} {
			test.Run(name+path, func(test *testing.T) {
				withTestEnv(test, func(env *testEnv) {
					shared := onFirstRequest(handle)
					env.addBackend("b1").handleAll(shared)
					env.addBackend("b2").handleAll(shared)
					reply, id := env.get(path)
					env.expectSuccess(reply, id)
					received := env.receivedRequests()
					if len(received) != 2 || received[0].backend == received[1].backend {
						test.Errorf("%d arrivals", len(received))
					}
				})
			})
		}
	}
}

// Where all refuse, as many are tried as the route allows, and the client is told
// to come back.
func TestRefusedByAllBackends(test *testing.T) {
	for _, path := range []string{"/once/a", "/again/a"} {
		withTestEnv(test, func(env *testEnv) {
			for number := range 5 {
				env.addBackend(fmt.Sprint("b", number)).handleAll(shed)
			}
			env.proxy.view.Load().budgets[0].tokens = 2
			reply, _ := env.get(path)
			if reply.status != 503 || reply.header.Get("Retry-After") == "" || reply.err != nil {
				test.Errorf("%s: %d %v", path, reply.status, reply.header)
			}
			if count := len(env.receivedRequests()); count != 3 {
				test.Errorf("%s: %d arrivals", path, count)
			}
		})
	}
}

// Without budget nothing is sent a second time.
func TestEmptyBudgetPreventsRetries(test *testing.T) {
	for handle, want := range map[string]int{"shed": 503, "reset": 502} {
		withTestEnv(test, func(env *testEnv) {
			acts := map[string]handler{"shed": shed, "reset": resetAfterReading}
			env.addBackend("b1").handleAll(acts[handle])
			env.addBackend("b2").handleAll(acts[handle])
			env.proxy.view.Load().budgets[0].tokens = 0
			reply, _ := env.get("/again/a")
			if reply.status != want || len(env.receivedRequests()) != 1 {
				test.Errorf("%s: %d after %d arrivals", handle, reply.status, len(env.receivedRequests()))
			}
		})
	}
}

// Requests fill the budget of their service, and of no other.
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
			test.Errorf("filled by %v and %v", got, budgets[1].tokens-before[1])
		}
	})
}

// What could not be sent at all goes elsewhere and costs no budget.
func TestUnsentRequestIsRetriedWithoutBudget(test *testing.T) {
	for name, breakBackend := range map[string]func(*testEnv){
		"refused dial":   func(env *testEnv) { env.network.serve("b1:80", nil) },
		"silent dial":    func(env *testEnv) { env.network.silence("b1:80", true) },
		"reset at once":  func(env *testEnv) { env.network.serve("b1:80", func(pipe *pipe) { pipe.reset() }) },
		"no connections": func(env *testEnv) { env.proxy.targets["b1"].openConnections = 1000 },
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
						test.Error("b1 got it")
					}
					env.proxy.targets["b1"].openConnections = 0
					env.network.silence("b1:80", false)
				})
			})
		}
	}
}

// Bytes that were taken but not read may have run all the same.
func TestResetBeforeReadingMayHaveRun(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		resetLater := func(pipe *pipe) { env.goroutines.Sleep(10 * time.Millisecond); pipe.reset() }
		env.addBackend("b1").onConnect(resetLater)
		env.addBackend("b2").onConnect(resetLater)
		reply, _ := env.get("/once/a")
		if reply.status != 502 || len(env.receivedRequests()) != 0 {
			test.Errorf("%d, %d arrivals", reply.status, len(env.receivedRequests()))
		}
		if env.counters.Get("connections_opened") != 1 {
			test.Errorf("%d connections", env.counters.Get("connections_opened"))
		}
	})
}

// A body that is cut off on its way may have run as well.
func TestPartlySentBodyMayHaveRun(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		resetPartway := func(pipe *pipe) {
			_, _ = io.ReadFull(pipe, make([]byte, 100<<10)) // or less, where the proxy gives up first
			pipe.reset()
		}
		env.addBackend("b1").onConnect(resetPartway)
		env.addBackend("b2").onConnect(resetPartway)
		client := env.client()
		defer client.conn.Close()
		reply := client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", string(letters(0, 400<<10))))
		if reply.status != 502 || env.counters.Get("connections_opened") != 1 {
			test.Errorf("%d, %d connections", reply.status, env.counters.Get("connections_opened"))
		}
	})
}

// An idle connection that its backend closed takes the bytes of the next request,
// and nobody knows what became of them.
func TestIdleCloseRacesWithReuse(test *testing.T) {
	for path, want := range map[string]int{"/once/a": 502, "/again/a": 200} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			reply, id := env.get("/once/a")
			env.expectSuccess(reply, id)
			env.addBackendAt("b2", "plain", "e2", 8)
			env.backends["b1"].closeConnections()
			if reply, _ = env.get(path); reply.status != want {
				test.Errorf("%s: %d", path, reply.status)
			}
			if count := len(env.backends["b2"].requests()); count != (want-502)/-302 {
				test.Errorf("%s: %d arrivals at the other", path, count)
			}
		})
	}
}

// Surplus answers are passed over, and a connection with bytes left over is not
// used again.
func TestSurplusResponses(test *testing.T) {
	for name, testCase := range map[string]struct {
		handle      handler
		idle        time.Duration
		surplus     uint64
		connections int
	}{
		"in one go":           {surplusAtOnce, 0, 0, 2},
		"in place of another": {surplusDelayed(20 * time.Millisecond), 0, 1, 1},
		"while idle":          {surplusDelayed(20 * time.Millisecond), 100 * time.Millisecond, 1, 1},
		"while idle, in chunks": {func(exchange *exchange) bool {
			succeed(exchange)
			exchange.backend.goroutines.Sleep(time.Millisecond)
			return chunked(exchange)
		}, 100 * time.Millisecond, 1, 1},
		"garbage in one go": {func(exchange *exchange) bool {
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
					test.Errorf("%d surplus answers read", surplus)
				}
				if connections := env.backends["b1"].connections(); connections != testCase.connections {
					test.Errorf("%d connections", connections)
				}
			})
		})
	}
}

// Leftover bytes that form no answer spoil one request at most, and never look
// like its answer.
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
			test.Errorf("%d %q", reply.status, reply.body)
		}
		reply, id = env.get("/once/c")
		env.expectSuccess(reply, id)
	})
}

// A backend that sends answer after answer is given up.
func TestTooManySurplusResponses(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleAll(func(exchange *exchange) bool {
			for range 5 {
				exchange.writef("%s", sealedResponse("foreign", "200 OK", "", "foreign"))
			}
			return succeed(exchange)
		})
		if reply, _ := env.get("/once/a"); reply.status != 502 {
			test.Errorf("%d %q", reply.status, reply.body)
		}
	})
}

// The rest of a refusal's body is no answer to the next request.
func TestRefusalWithLargeBodyPreventsReuse(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleNext(func(exchange *exchange) bool {
			received := unsealedResponse(
				exchange.get("Attempt"),
				"503 Service Unavailable",
				"Not-Executed: full\r\n",
				string(letters(0, maxBufferedBodyBytes+readBufferBytes)),
			)
			exchange.writef("%s", received[:len(received)-readBufferBytes])
			exchange.backend.goroutines.Sleep(5 * time.Millisecond)
			exchange.writef("%s", received[len(received)-readBufferBytes:])
			return true
		})
		if reply, _ := env.get("/once/a"); reply.status != 503 {
			test.Errorf("%d", reply.status)
		}
		reply, id := env.get("/once/b")
		env.expectSuccess(reply, id)
		if connections := env.backends["b1"].connections(); connections != 2 {
			test.Errorf("%d connections", connections)
		}
	})
}

// A head without end is cut off long before it fills the memory.
func TestOversizedResponseHead(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		written := 0
		env.addBackend("b1").handleAll(func(exchange *exchange) bool {
			exchange.writef("HTTP/1.1 200 OK\r\nX: ")
			for resetPartway := letters(0, 32<<10); written < 64<<20; written += len(resetPartway) {
				if _, err := exchange.pipe.Write(resetPartway); err != nil {
					return false
				}
			}
			return false
		})
		if reply, _ := env.get("/once/a"); reply.status != 502 {
			test.Errorf("%d", reply.status)
		}
		synctest.Wait()
		if written > 4<<20 {
			test.Errorf("%d bytes of a head were read", written)
		}
	})
}

// Streamed answers come whole and unchanged, or visibly cut.
func TestLargeResponses(test *testing.T) {
	for _, size := range []int{0, 1, maxBufferedBodyBytes - 1, maxBufferedBodyBytes, maxBufferedBodyBytes + 1, 3 * maxBufferedBodyBytes} {
		for _, inChunks := range []bool{false, true} {
			withTestEnv(test, func(env *testEnv) {
				env.addBackend("b1").handleNext(respondLarge(size, size, inChunks))
				reply, _ := env.get("/load/a")
				if reply.status != 200 || reply.err != nil || reply.body != string(letters(0, size)) {
					test.Errorf("%d bytes in chunks %v: %d, %d bytes, %v", size, inChunks, reply.status, len(reply.body), reply.err)
				}
				reply, id := env.get("/once/b")
				env.expectSuccess(reply, id)
				if connections := env.backends["b1"].connections(); connections != 1 {
					test.Errorf("%d bytes in chunks %v: %d connections", size, inChunks, connections)
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
						test.Errorf("%s: %d bytes less one in chunks %v: %d, %d bytes", path, size, inChunks, reply.status, len(reply.body))
					}
					reply, id := env.get("/once/b")
					env.expectSuccess(reply, id)
				})
			}
		}
	}
}

// A stream that stops is cut at the request's limit.
func TestStalledStream(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleNext(func(exchange *exchange) bool {
			respondLarge(4*maxBufferedBodyBytes, 2*maxBufferedBodyBytes, false)(exchange)
			return neverRespond(exchange)
		})
		reply, _ := env.get("/load/a")
		if reply.err == nil || reply.elapsed > 1600*time.Millisecond {
			test.Errorf("%d after %s: %v", reply.status, reply.elapsed, reply.err)
		}
	})
}

// A stream keeps its place at the backend until its end.
func TestStreamCountsAsRunning(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleNext(respondLarge(4*maxBufferedBodyBytes, 4*maxBufferedBodyBytes, false))
		client := env.client()
		defer client.conn.Close()
		client.send(rawRequest("GET", "/load/a", "id", "", ""))
		synctest.Wait()
		if _, running := env.targetLoad("b1"); running != 1 {
			test.Errorf("%d running while an answer streams", running)
		}
		response, _ := http.ReadResponse(client.reader, nil)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			test.Error(err)
		}
		synctest.Wait()
		if _, running := env.targetLoad("b1"); running != 0 {
			test.Errorf("%d running after it", running)
		}
	})
}

// Answers without a body.
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
			test.Errorf("%+v", reply)
		}
		for _, want := range []int{204, 304} {
			if reply = client.roundTrip(
				"GET",
				rawRequest("GET", "/once/a", "id", "", ""),
			); reply.status != want || reply.body != "" ||
				reply.err != nil {
				test.Errorf("%+v", reply)
			}
		}
		env.expectSuccess(client.roundTrip("GET", rawRequest("GET", "/once/a", "id", "", "")), "id")
		if connections := env.backends["b1"].connections(); connections != 1 {
			test.Errorf("%d connections", connections)
		}
	})
}

// The answer's fields come back, but for those of the connection and of the backend's own state.
func TestResponseHeaderFields(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").
			handleNext(succeedWithFields("Connection: keep-alive, Secret\r\nSecret: x\r\nKeep-Alive: timeout=5\r\nLoad: 1,0,8\r\nBackend: b1\r\nWarmup: 0\r\nKept: one\r\nKept: two\r\nContent-Encoding: none\r\n"))
		reply, id := env.get("/once/a")
		env.expectSuccess(reply, id)
		for _, gone := range []string{"Secret", "Keep-Alive", "Load", "Backend", "Warmup", "Content-Type", "Transfer-Encoding"} {
			if value, found := reply.header[gone]; found {
				test.Errorf("%s came: %q", gone, value)
			}
		}
		if kept := reply.header["Kept"]; len(kept) != 2 || kept[0] != "one" || reply.header.Get("Content-Encoding") != "none" {
			test.Errorf("%v", reply.header)
		}
	})
}

// Failures of the backend's own keep status and body.
func TestBackendErrorsAreForwarded(test *testing.T) {
	for _, line := range []string{"400 Bad Request", "404 Not Found", "409 Conflict", "500 Internal Server Error", "504 Gateway Timeout"} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1").handleAll(respondStatus(line))
			if reply, _ := env.get("/once/a"); fmt.Sprint(reply.status) != line[:3] || reply.body != "of the backend" {
				test.Errorf("%s: %d %q", line, reply.status, reply.body)
			}
		})
	}
}

// A client that goes takes its request with it.
func TestClientDisconnect(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleAll(neverRespond)
		client := env.client()
		client.send(rawRequest("GET", "/again/a", "id", "", ""))
		env.goroutines.Sleep(50 * time.Millisecond)
		client.conn.Close()
		env.goroutines.Sleep(10 * time.Millisecond)
		if open, running := env.targetLoad("b1"); open != 0 || running != 0 || env.proxy.InFlight() != 0 {
			test.Errorf("open %d, running %d, under way %d", open, running, env.proxy.InFlight())
		}
		if len(env.receivedRequests()) != 1 {
			test.Errorf("%d arrivals", len(env.receivedRequests()))
		}
	})
}

// The limit is the client's, or the route's where that is shorter, and backends
// are told what is left of it.
func TestDeadline(test *testing.T) {
	for deadline, limit := range map[string]int{"700": 700, "1500": 1500, "90000": 2000, "1e300": 2000, "Inf": 2000, "NaN": 2000, "-4": 2000, "soon": 2000, "0.5": 1, "0": 1} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1").handleAll(neverRespond)
			client := env.client()
			defer client.conn.Close()
			reply := client.roundTrip("GET", rawRequest("GET", "/once/a", "id", "Deadline: "+deadline+"\r\n", ""))
			took := int(reply.elapsed.Milliseconds())
			if limit > 1 && (reply.status != 504 || took < limit || took > limit+60) ||
				limit == 1 && reply.status != 503 && reply.status != 504 {
				test.Errorf("deadline %s: %d after %s", deadline, reply.status, reply.elapsed)
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
		env.addBackend("b1").handleAll(shared)
		env.addBackend("b2").handleAll(shared)
		reply, id := env.get("/once/a")
		env.expectSuccess(reply, id)
		for number, want := range []string{"1500", "1200"} {
			if response := env.receivedRequests()[number].get("Deadline"); response != want {
				test.Errorf("told %s", response)
			}
		}
	})
}

// It is not taken for a backend that came back because it takes dials.
func TestReusedAddressIsNotRevived(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleAll(misdirected)
		env.addBackendAt("b2", "plain", "w1", 8)
		for range 100 {
			reply, id := env.get("/once/a")
			env.expectSuccess(reply, id)
			env.goroutines.Sleep(100 * time.Millisecond)
		}
		if count := len(env.backends["b1"].requests()); count > 3 {
			test.Errorf("asked %d times in 10 s", count)
		}
		if revived := env.counters.Get("backends_revived"); revived != 0 {
			test.Errorf("revived %d times", revived)
		}
	})
}

// Attempts end with the route's number, and with none left to try.
func TestAttemptLimitOfRoute(test *testing.T) {
	for attempts := 1; attempts <= 4; attempts++ {
		withTestEnv(test, func(env *testEnv) {
			env.update(func() {
				for index := range env.state.Config.Routes {
					env.state.Config.Routes[index].Attempts = attempts
				}
			})
			for number := range 3 {
				env.addBackend(fmt.Sprint("b", number)).handleAll(resetAfterReading)
			}
			env.proxy.view.Load().budgets[0].tokens = 9
			reply, _ := env.get("/again/a")
			if reply.status != 502 || len(env.receivedRequests()) != min(attempts, 3) {
				test.Errorf("%d attempts: %d after %d arrivals", attempts, reply.status, len(env.receivedRequests()))
			}
		})
	}
}

// A backend of another life at the same address refuses; it is left out for a while.
func TestReusedAddress(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleAll(func(exchange *exchange) bool {
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
			test.Errorf("asked %d times", count)
		}
		for _, received := range env.receivedRequests() {
			if received.get("Target") != received.backend || len(received.values("Target")) != 1 {
				test.Errorf("%s was told %v", received.backend, received.values("Target"))
			}
		}
	})
}
