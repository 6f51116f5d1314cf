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
func first(does act) act {
	var mutex sync.Mutex
	done := false
	return func(exchange *exchange) bool {
		mutex.Lock()
		now := does
		if done {
			now = well
		}
		done = true
		mutex.Unlock()
		return now(exchange)
	}
}

// troubles are ways to leave a client without an answer to a request that may have run.
var troubles = map[string]act{
	"reset after reading":   resetAfterReading,
	"close after reading":   closeAfterReading,
	"half an answer":        half,
	"half a head":           halfHead,
	"garbage":               garbage,
	"no seal":               withoutSeal,
	"no id":                 withoutID,
	"body until close":      untilClose,
	"half of the chunks":    chunkedHalf,
	"silence":               silent,
	"switching protocols":   status("101 Switching Protocols"),
	"own 500":               status("500 Internal Server Error"),
	"own 503, may have run": status("503 Service Unavailable"),
	"own 429, may have run": status("429 Too Many Requests"),
	"own 408, may have run": status("408 Request Timeout"),
	"answer to somebody else": func(exchange *exchange) bool {
		exchange.say("%s", whole("foreign", "200 OK", "", "foreign"))
		return false
	},
}

func TestGoodAnswerComesBack(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1")
		for _, path := range []string{"/once/a", "/again/a", "/load/a"} {
			reply, id := world.get(path)
			world.good(reply, id)
			if kind, found := reply.header["Content-Type"]; found {
				test.Errorf("a content type of nobody's: %q", kind)
			}
		}
		if connections := world.backends["b1"].connections(); connections != 1 {
			test.Errorf("%d connections for three requests in turn", connections)
		}
	})
}

// What may have run is sent nowhere else, and nobody is told that it has not run.
func TestOnceNeverReachesTwoBackends(test *testing.T) {
	for name, does := range troubles {
		test.Run(name, func(test *testing.T) {
			inWorld(test, func(world *world) {
				for _, backend := range []string{"b1", "b2", "b3"} {
					world.add(backend).ever(does)
				}
				reply, _ := world.get("/once/a")
				if count := len(world.arrivals()); count != 1 {
					test.Errorf("%d arrivals", count)
				}
				if reply.broken != nil || reply.status < 500 || promised(reply.status) {
					test.Errorf("%d %q %v", reply.status, reply.body, reply.broken)
				}
				if reply.took > 1600*time.Millisecond {
					test.Errorf("took %s", reply.took)
				}
			})
		})
	}
}

// A repeatable request is tried elsewhere after any trouble, and the client gets
// the second backend's answer only.
func TestRepeatableGoesElsewhere(test *testing.T) {
	for name, does := range troubles {
		if name == "silence" || name == "own 429, may have run" || name == "own 408, may have run" {
			continue
		}
		test.Run(name, func(test *testing.T) {
			inWorld(test, func(world *world) {
				shared := first(does)
				for _, backend := range []string{"b1", "b2", "b3"} {
					world.add(backend).ever(shared)
				}
				reply, id := world.get("/again/a")
				world.good(reply, id)
				all := world.arrivals()
				if len(all) != 2 || all[0].backend == all[1].backend {
					test.Errorf("arrivals %v", all)
				}
			})
		})
	}
}

// Whatever all backends do, nobody's success is handed on that lacks the seal or
// belongs to another, and no more backends are tried than the route allows.
func TestNoFalseSuccess(test *testing.T) {
	for name, does := range troubles {
		test.Run(name, func(test *testing.T) {
			inWorld(test, func(world *world) {
				for number := range 5 {
					world.add(fmt.Sprint("b", number)).ever(does)
				}
				for range 4 {
					reply, id := world.get("/again/a")
					if reply.status < 400 && reply.broken == nil || strings.Contains(reply.body, "foreign") {
						test.Errorf("%s got %d %q", id, reply.status, reply.body)
					}
					per := map[string]int{}
					for _, arrival := range world.arrivals() {
						if arrival.get("Attempt") == id {
							per[arrival.backend]++
						}
					}
					if len(per) > 3 {
						test.Errorf("%s reached %d backends", id, len(per))
					}
					for backend, count := range per {
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
func TestRefusedGoesElsewhere(test *testing.T) {
	for name, does := range map[string]act{"shed": shed, "misdirected": misdirected, "shed with 500": func(exchange *exchange) bool {
		exchange.say("%s", bare(exchange.get("Attempt"), "500 Internal Server Error", "Not-Executed: 1\r\n", ""))
		return true
	}} {
		for _, path := range []string{"/once/a", "/again/a"} {
			test.Run(name+path, func(test *testing.T) {
				inWorld(test, func(world *world) {
					shared := first(does)
					world.add("b1").ever(shared)
					world.add("b2").ever(shared)
					reply, id := world.get(path)
					world.good(reply, id)
					all := world.arrivals()
					if len(all) != 2 || all[0].backend == all[1].backend {
						test.Errorf("%d arrivals", len(all))
					}
				})
			})
		}
	}
}

// Where all refuse, as many are tried as the route allows, and the client is told
// to come back.
func TestRefusedByAll(test *testing.T) {
	for _, path := range []string{"/once/a", "/again/a"} {
		inWorld(test, func(world *world) {
			for number := range 5 {
				world.add(fmt.Sprint("b", number)).ever(shed)
			}
			world.proxy.view.Load().budgets[0].tokens = 2
			reply, _ := world.get(path)
			if reply.status != 503 || reply.header.Get("Retry-After") == "" || reply.broken != nil {
				test.Errorf("%s: %d %v", path, reply.status, reply.header)
			}
			if count := len(world.arrivals()); count != 3 {
				test.Errorf("%s: %d arrivals", path, count)
			}
		})
	}
}

// Without budget nothing is sent a second time.
func TestEmptyBudgetEndsAttempts(test *testing.T) {
	for does, want := range map[string]int{"shed": 503, "reset": 502} {
		inWorld(test, func(world *world) {
			acts := map[string]act{"shed": shed, "reset": resetAfterReading}
			world.add("b1").ever(acts[does])
			world.add("b2").ever(acts[does])
			world.proxy.view.Load().budgets[0].tokens = 0
			reply, _ := world.get("/again/a")
			if reply.status != want || len(world.arrivals()) != 1 {
				test.Errorf("%s: %d after %d arrivals", does, reply.status, len(world.arrivals()))
			}
		})
	}
}

// Requests fill the budget of their service, and of no other.
func TestRequestsFillBudget(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1")
		budgets := world.proxy.view.Load().budgets
		before := [2]float64{budgets[0].tokens, budgets[1].tokens}
		for range 10 {
			world.get("/again/a")
			world.get("/none/a")
		}
		if got := budgets[0].tokens - before[0]; got < 1.49 || got > 1.51 || budgets[1].tokens != before[1] {
			test.Errorf("filled by %v and %v", got, budgets[1].tokens-before[1])
		}
	})
}

// What could not be sent at all goes elsewhere and costs no budget.
func TestUnsentGoesElsewhere(test *testing.T) {
	for name, spoil := range map[string]func(*world){
		"refused dial":   func(world *world) { world.doors.listen("b1:80", nil) },
		"silent dial":    func(world *world) { world.doors.setUnresponsive("b1:80", true) },
		"reset at once":  func(world *world) { world.doors.listen("b1:80", func(pipe *pipe) { pipe.reset() }) },
		"no connections": func(world *world) { world.proxy.targets["b1"].openConnections = 1000 },
	} {
		for _, path := range []string{"/once/a", "/again/a"} {
			test.Run(name+path, func(test *testing.T) {
				inWorld(test, func(world *world) {
					world.add("b1")
					spoil(world)
					world.addAt("b2", "plain", "e2", 8)
					world.proxy.view.Load().budgets[0].tokens = 0
					reply, id := world.get(path)
					world.good(reply, id)
					if len(world.backends["b1"].seen()) != 0 {
						test.Error("b1 got it")
					}
					world.proxy.targets["b1"].openConnections = 0
					world.doors.setUnresponsive("b1:80", false)
				})
			})
		}
	}
}

// Bytes that were taken but not read may have run all the same.
func TestResetBeforeReadingMayHaveRun(test *testing.T) {
	inWorld(test, func(world *world) {
		late := func(pipe *pipe) { world.goroutines.Sleep(10 * time.Millisecond); pipe.reset() }
		world.add("b1").greet(late)
		world.add("b2").greet(late)
		reply, _ := world.get("/once/a")
		if reply.status != 502 || len(world.arrivals()) != 0 {
			test.Errorf("%d, %d arrivals", reply.status, len(world.arrivals()))
		}
		if world.counters.Get("connections_opened") != 1 {
			test.Errorf("%d connections", world.counters.Get("connections_opened"))
		}
	})
}

// A body that is cut off on its way may have run as well.
func TestBodyCutOffOnItsWayMayHaveRun(test *testing.T) {
	inWorld(test, func(world *world) {
		part := func(pipe *pipe) {
			_, _ = io.ReadFull(pipe, make([]byte, 100<<10)) // or less, where the proxy gives up first
			pipe.reset()
		}
		world.add("b1").greet(part)
		world.add("b2").greet(part)
		client := world.client()
		defer client.pipe.Close()
		reply := client.ask("POST", raw("POST", "/once/a", "id", "", string(letters(0, 400<<10))))
		if reply.status != 502 || world.counters.Get("connections_opened") != 1 {
			test.Errorf("%d, %d connections", reply.status, world.counters.Get("connections_opened"))
		}
	})
}

// An idle connection that its backend closed takes the bytes of the next request,
// and nobody knows what became of them.
func TestIdleCloseRacesWithReuse(test *testing.T) {
	for path, want := range map[string]int{"/once/a": 502, "/again/a": 200} {
		inWorld(test, func(world *world) {
			world.add("b1")
			reply, id := world.get("/once/a")
			world.good(reply, id)
			world.addAt("b2", "plain", "e2", 8)
			world.backends["b1"].hang()
			if reply, _ = world.get(path); reply.status != want {
				test.Errorf("%s: %d", path, reply.status)
			}
			if count := len(world.backends["b2"].seen()); count != (want-502)/-302 {
				test.Errorf("%s: %d arrivals at the other", path, count)
			}
		})
	}
}

// Surplus answers are passed over, and a connection with bytes left over is not
// used again.
func TestSurplusAnswers(test *testing.T) {
	for name, play := range map[string]struct {
		does        act
		rest        time.Duration
		surplus     uint64
		connections int
	}{
		"in one go":           {surplusNow, 0, 0, 2},
		"in place of another": {surplusLate(20 * time.Millisecond), 0, 1, 1},
		"while idle":          {surplusLate(20 * time.Millisecond), 100 * time.Millisecond, 1, 1},
		"while idle, in chunks": {func(exchange *exchange) bool {
			well(exchange)
			exchange.backend.goroutines.Sleep(time.Millisecond)
			return chunked(exchange)
		}, 100 * time.Millisecond, 1, 1},
		"garbage in one go": {func(exchange *exchange) bool {
			id := exchange.get("Attempt")
			exchange.say("%sleft over", whole(id, "200 OK", "", text(id)))
			return true
		}, 0, 0, 2},
	} {
		test.Run(name, func(test *testing.T) {
			inWorld(test, func(world *world) {
				world.add("b1").then(play.does)
				for range 4 {
					reply, id := world.get("/once/a")
					world.good(reply, id)
					world.goroutines.Sleep(play.rest)
				}
				if surplus := world.counters.Get("answers_surplus"); surplus != play.surplus {
					test.Errorf("%d surplus answers read", surplus)
				}
				if connections := world.backends["b1"].connections(); connections != play.connections {
					test.Errorf("%d connections", connections)
				}
			})
		})
	}
}

// Leftover bytes that form no answer spoil one request at most, and never look
// like its answer.
func TestLateGarbage(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").then(func(exchange *exchange) bool {
			well(exchange)
			exchange.backend.goroutines.Sleep(time.Millisecond)
			exchange.say("HTTP/1.1 200 OK\r\nSeal: x\r\nContent-Length: 3\r\n\r\nbad")
			return true
		})
		reply, id := world.get("/once/a")
		world.good(reply, id)
		world.goroutines.Sleep(10 * time.Millisecond)
		if reply, _ = world.get("/once/b"); reply.status != 502 {
			test.Errorf("%d %q", reply.status, reply.body)
		}
		reply, id = world.get("/once/c")
		world.good(reply, id)
	})
}

// A backend that sends answer after answer is given up.
func TestTooManySurplusAnswers(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").ever(func(exchange *exchange) bool {
			for range 5 {
				exchange.say("%s", whole("foreign", "200 OK", "", "foreign"))
			}
			return well(exchange)
		})
		if reply, _ := world.get("/once/a"); reply.status != 502 {
			test.Errorf("%d %q", reply.status, reply.body)
		}
	})
}

// The rest of a refusal's body is no answer to the next request.
func TestRefusalWithLargeBodyTaintsConnection(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").then(func(exchange *exchange) bool {
			all := bare(
				exchange.get("Attempt"),
				"503 Service Unavailable",
				"Not-Executed: full\r\n",
				string(letters(0, maxBufferedBodyBytes+readBufferBytes)),
			)
			exchange.say("%s", all[:len(all)-readBufferBytes])
			exchange.backend.goroutines.Sleep(5 * time.Millisecond)
			exchange.say("%s", all[len(all)-readBufferBytes:])
			return true
		})
		if reply, _ := world.get("/once/a"); reply.status != 503 {
			test.Errorf("%d", reply.status)
		}
		reply, id := world.get("/once/b")
		world.good(reply, id)
		if connections := world.backends["b1"].connections(); connections != 2 {
			test.Errorf("%d connections", connections)
		}
	})
}

// A head without end is cut off long before it fills the memory.
func TestEndlessHead(test *testing.T) {
	inWorld(test, func(world *world) {
		written := 0
		world.add("b1").ever(func(exchange *exchange) bool {
			exchange.say("HTTP/1.1 200 OK\r\nX: ")
			for part := letters(0, 32<<10); written < 64<<20; written += len(part) {
				if _, err := exchange.pipe.Write(part); err != nil {
					return false
				}
			}
			return false
		})
		if reply, _ := world.get("/once/a"); reply.status != 502 {
			test.Errorf("%d", reply.status)
		}
		synctest.Wait()
		if written > 4<<20 {
			test.Errorf("%d bytes of a head were read", written)
		}
	})
}

// Streamed answers come whole and unchanged, or visibly cut.
func TestLargeAnswers(test *testing.T) {
	for _, size := range []int{0, 1, maxBufferedBodyBytes - 1, maxBufferedBodyBytes, maxBufferedBodyBytes + 1, 3 * maxBufferedBodyBytes} {
		for _, inChunks := range []bool{false, true} {
			inWorld(test, func(world *world) {
				world.add("b1").then(large(size, size, inChunks))
				reply, _ := world.get("/load/a")
				if reply.status != 200 || reply.broken != nil || reply.body != string(letters(0, size)) {
					test.Errorf("%d bytes in chunks %v: %d, %d bytes, %v", size, inChunks, reply.status, len(reply.body), reply.broken)
				}
				reply, id := world.get("/once/b")
				world.good(reply, id)
				if connections := world.backends["b1"].connections(); connections != 1 {
					test.Errorf("%d bytes in chunks %v: %d connections", size, inChunks, connections)
				}
			})
			if size == 0 {
				continue
			}
			for _, path := range []string{"/load/a", "/once/a"} {
				inWorld(test, func(world *world) {
					world.add("b1").then(large(size, size-1, inChunks))
					reply, _ := world.get(path)
					if reply.broken == nil && reply.status < 500 || size > maxBufferedBodyBytes && reply.broken == nil {
						test.Errorf("%s: %d bytes less one in chunks %v: %d, %d bytes", path, size, inChunks, reply.status, len(reply.body))
					}
					reply, id := world.get("/once/b")
					world.good(reply, id)
				})
			}
		}
	}
}

// A stream that stops is cut at the request's limit.
func TestStreamThatStops(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").then(func(exchange *exchange) bool {
			large(4*maxBufferedBodyBytes, 2*maxBufferedBodyBytes, false)(exchange)
			return silent(exchange)
		})
		reply, _ := world.get("/load/a")
		if reply.broken == nil || reply.took > 1600*time.Millisecond {
			test.Errorf("%d after %s: %v", reply.status, reply.took, reply.broken)
		}
	})
}

// A stream keeps its place at the backend until its end.
func TestStreamKeepsItsPlace(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").then(large(4*maxBufferedBodyBytes, 4*maxBufferedBodyBytes, false))
		client := world.client()
		defer client.pipe.Close()
		client.send(raw("GET", "/load/a", "id", "", ""))
		synctest.Wait()
		if _, running := world.held("b1"); running != 1 {
			test.Errorf("%d running while an answer streams", running)
		}
		response, _ := http.ReadResponse(client.reader, nil)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			test.Error(err)
		}
		synctest.Wait()
		if _, running := world.held("b1"); running != 0 {
			test.Errorf("%d running after it", running)
		}
	})
}

// Answers without a body.
func TestAnswersWithoutBody(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").then(func(exchange *exchange) bool {
			exchange.say("HTTP/1.1 200 OK\r\nAttempt: %s\r\nSeal: s\r\nContent-Length: 77\r\n\r\n", exchange.get("Attempt"))
			return true
		}, func(exchange *exchange) bool {
			exchange.say("HTTP/1.1 204 No Content\r\nAttempt: %s\r\nSeal: s\r\n\r\n", exchange.get("Attempt"))
			return true
		}, func(exchange *exchange) bool {
			exchange.say("HTTP/1.1 304 Not Modified\r\nAttempt: %s\r\nETag: x\r\n\r\n", exchange.get("Attempt"))
			return true
		}, func(exchange *exchange) bool {
			exchange.say("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
			return well(exchange)
		})
		client := world.client()
		defer client.pipe.Close()
		reply := client.ask("HEAD", raw("HEAD", "/once/a", "id", "", ""))
		if reply.status != 200 || reply.header.Get("Content-Length") != "77" || reply.broken != nil {
			test.Errorf("%+v", reply)
		}
		for _, want := range []int{204, 304} {
			if reply = client.ask(
				"GET",
				raw("GET", "/once/a", "id", "", ""),
			); reply.status != want || reply.body != "" ||
				reply.broken != nil {
				test.Errorf("%+v", reply)
			}
		}
		world.good(client.ask("GET", raw("GET", "/once/a", "id", "", "")), "id")
		if connections := world.backends["b1"].connections(); connections != 1 {
			test.Errorf("%d connections", connections)
		}
	})
}

// The answer's fields come back, but for those of the connection and of the backend's own state.
func TestAnswerFields(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").
			then(withFields("Connection: keep-alive, Secret\r\nSecret: x\r\nKeep-Alive: timeout=5\r\nLoad: 1,0,8\r\nBackend: b1\r\nWarmup: 0\r\nKept: one\r\nKept: two\r\nContent-Encoding: none\r\n"))
		reply, id := world.get("/once/a")
		world.good(reply, id)
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
func TestBackendsOwnFailures(test *testing.T) {
	for _, line := range []string{"400 Bad Request", "404 Not Found", "409 Conflict", "500 Internal Server Error", "504 Gateway Timeout"} {
		inWorld(test, func(world *world) {
			world.add("b1").ever(status(line))
			if reply, _ := world.get("/once/a"); fmt.Sprint(reply.status) != line[:3] || reply.body != "of the backend" {
				test.Errorf("%s: %d %q", line, reply.status, reply.body)
			}
		})
	}
}

// A client that goes takes its request with it.
func TestClientGoes(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").ever(silent)
		client := world.client()
		client.send(raw("GET", "/again/a", "id", "", ""))
		world.goroutines.Sleep(50 * time.Millisecond)
		client.pipe.Close()
		world.goroutines.Sleep(10 * time.Millisecond)
		if open, running := world.held("b1"); open != 0 || running != 0 || world.proxy.InFlight() != 0 {
			test.Errorf("open %d, running %d, under way %d", open, running, world.proxy.InFlight())
		}
		if len(world.arrivals()) != 1 {
			test.Errorf("%d arrivals", len(world.arrivals()))
		}
	})
}

// The limit is the client's, or the route's where that is shorter, and backends
// are told what is left of it.
func TestDeadline(test *testing.T) {
	for deadline, limit := range map[string]int{"700": 700, "1500": 1500, "90000": 2000, "1e300": 2000, "Inf": 2000, "NaN": 2000, "-4": 2000, "soon": 2000, "0.5": 1, "0": 1} {
		inWorld(test, func(world *world) {
			world.add("b1").ever(silent)
			client := world.client()
			defer client.pipe.Close()
			reply := client.ask("GET", raw("GET", "/once/a", "id", "Deadline: "+deadline+"\r\n", ""))
			took := int(reply.took.Milliseconds())
			if limit > 1 && (reply.status != 504 || took < limit || took > limit+60) ||
				limit == 1 && reply.status != 503 && reply.status != 504 {
				test.Errorf("deadline %s: %d after %s", deadline, reply.status, reply.took)
			}
			for _, arrival := range world.arrivals() {
				if got := arrival.get("Deadline"); got != fmt.Sprint(limit) || len(arrival.all("Deadline")) != 1 {
					test.Errorf("deadline %s: backend was told %v", deadline, arrival.all("Deadline"))
				}
			}
		})
	}
	inWorld(test, func(world *world) {
		shared := first(after(300*time.Millisecond, shed))
		world.add("b1").ever(shared)
		world.add("b2").ever(shared)
		reply, id := world.get("/once/a")
		world.good(reply, id)
		for number, want := range []string{"1500", "1200"} {
			if response := world.arrivals()[number].get("Deadline"); response != want {
				test.Errorf("told %s", response)
			}
		}
	})
}

// It is not taken for a backend that came back because it takes dials.
func TestAddressTakenOverIsNotRevived(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").ever(misdirected)
		world.addAt("b2", "plain", "w1", 8)
		for range 100 {
			reply, id := world.get("/once/a")
			world.good(reply, id)
			world.goroutines.Sleep(100 * time.Millisecond)
		}
		if count := len(world.backends["b1"].seen()); count > 3 {
			test.Errorf("asked %d times in 10 s", count)
		}
		if revived := world.counters.Get("backends_revived"); revived != 0 {
			test.Errorf("revived %d times", revived)
		}
	})
}

// Attempts end with the route's number, and with none left to try.
func TestAttemptsOfRoute(test *testing.T) {
	for attempts := 1; attempts <= 4; attempts++ {
		inWorld(test, func(world *world) {
			world.lay(func() {
				for index := range world.book.Config.Routes {
					world.book.Config.Routes[index].Attempts = attempts
				}
			})
			for number := range 3 {
				world.add(fmt.Sprint("b", number)).ever(resetAfterReading)
			}
			world.proxy.view.Load().budgets[0].tokens = 9
			reply, _ := world.get("/again/a")
			if reply.status != 502 || len(world.arrivals()) != min(attempts, 3) {
				test.Errorf("%d attempts: %d after %d arrivals", attempts, reply.status, len(world.arrivals()))
			}
		})
	}
}

// A backend of another life at the same address refuses; it is left out for a while.
func TestAddressTakenOver(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").ever(func(exchange *exchange) bool {
			if exchange.get("Target") != "someone" {
				return misdirected(exchange)
			}
			return well(exchange)
		})
		world.addAt("b2", "plain", "e2", 8)
		for range 5 {
			reply, id := world.get("/once/a")
			world.good(reply, id)
		}
		if count := len(world.backends["b1"].seen()); count != 1 {
			test.Errorf("asked %d times", count)
		}
		for _, arrival := range world.arrivals() {
			if arrival.get("Target") != arrival.backend || len(arrival.all("Target")) != 1 {
				test.Errorf("%s was told %v", arrival.backend, arrival.all("Target"))
			}
		}
	})
}
