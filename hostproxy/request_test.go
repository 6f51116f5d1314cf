package hostproxy

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/routing"
)

// requireKeys adds tenants and a public route to the configuration and makes keys required.
func (env *testEnv) requireKeys() {
	env.update(func() {
		config := &env.state.Config
		config.KeysRequired = true
		config.Tenants = []routing.Tenant{
			{Name: "first", Keys: []string{"k1", "k2"}},
			{Name: "ranked", Keys: []string{"k3"}, HasPriority: true, Priority: 5},
			{Name: "western", Keys: []string{"k4"}, Homes: []string{"west"}},
		}
		config.Routes = append(
			config.Routes,
			routing.Route{
				Name:      "open",
				Host:      "host.example",
				Prefix:    "/open/",
				TimeoutMs: 2000,
				TargetMs:  800,
				Service:   "plain",
				Attempts:  3,
				Public:    true,
			},
		)
	})
}

// The request line and body reach the backend unchanged.
func TestRequestIsUnchanged(test *testing.T) {
	long := string(letters(0, 300<<10))
	for _, sent := range []struct{ method, path, body string }{
		{"GET", "/once/", ""},
		{"GET", "/once/a?", ""},
		{"GET", "/once/a?b", ""},
		{"GET", "/once/a?b=c&b=%20+%zz;&&=", ""},
		{"GET", "/once/%2e%2E/%2F//../a/./;x=1?q=/once/?&%00", ""},
		{"GET", "/once/\xc3\xa9~!$&'()*+,=:@", ""},
		{"DELETE", "/once/a", ""},
		{"GET", "/once/a", "a body for get"},
		{"POST", "/once/a", "x"},
		{"PUT", "/once/a?x=y", "GET /once/smuggled HTTP/1.1\r\nHost: host.example\r\nAttempt: smuggled\r\n\r\n"},
		{"PATCH", "/once/a", long},
		{"BREW", "/once/a", "\x00\xff\r\n\r\n"},
	} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			client := env.client()
			defer client.conn.Close()
			id := env.newID()
			env.expectSuccess(client.roundTrip(sent.method, rawRequest(sent.method, sent.path, id, "", sent.body)), id)
			all := env.receivedRequests()
			if len(all) != 1 || all[0].requestLine != sent.method+" "+sent.path+" HTTP/1.1" || string(all[0].body) != sent.body ||
				all[0].chunked {
				test.Errorf("%s %s: arrived as %d, %q", sent.method, sent.path, len(all), all[0].requestLine)
			}
			if hosts := all[0].values("Host"); len(hosts) != 1 || hosts[0] != "host.example" {
				test.Errorf("%v", hosts)
			}
			lengths := all[0].values("Content-Length")
			if sent.body != "" && (len(lengths) != 1 || lengths[0] != strconv.Itoa(len(sent.body))) ||
				sent.body == "" && sent.method == "GET" && len(lengths) != 0 {
				test.Errorf("%s %s: lengths %v", sent.method, sent.path, lengths)
			}
		})
	}
}

// Chunked bodies reach the backend complete, with Content-Length.
func TestChunkedBody(test *testing.T) {
	for name, sent := range map[string]struct{ chunks, want string }{
		"none":      {"0\r\n\r\n", ""},
		"two":       {"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n", "abcde"},
		"a trailer": {"1\r\nx\r\n0\r\nTenant: forged\r\n\r\n", "x"},
		"uppercase": {"A\r\n0123456789\r\n0\r\n\r\n", "0123456789"},
	} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			client := env.client()
			defer client.conn.Close()
			env.expectSuccess(
				client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "Transfer-Encoding: chunked\r\n", "")+sent.chunks),
				"id",
			)
			arrived := env.receivedRequests()[0]
			if string(arrived.body) != sent.want || arrived.get("Content-Length") != strconv.Itoa(len(sent.want)) ||
				arrived.get("Tenant") != "" ||
				arrived.chunked {
				test.Errorf("%s: %q %v", name, arrived.body, arrived.fields)
			}
		})
	}
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		client := env.client()
		defer client.conn.Close()
		env.expectSuccess(client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "Content-Length: 0\r\n", "")), "id")
		if lengths := env.receivedRequests()[0].values("Content-Length"); len(lengths) != 1 || lengths[0] != "0" {
			test.Errorf("%v", lengths)
		}
	})
}

// Header fields are passed on with all values, except hop-by-hop fields and those that the
// proxy sets.
func TestRequestFields(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		manyFields, want := "", []string{}
		for number := range 100 {
			value := fmt.Sprint("value ", number)
			manyFields, want = manyFields+"Many: "+value+"\r\n", append(want, value)
		}
		client := env.client()
		defer client.conn.Close()
		fields := manyFields + "Connection: keep-alive, Private\r\nPrivate: x\r\nKeep-Alive: timeout=5\r\nProxy-Connection: x\r\nTE: trailers\r\nUpgrade: h2c\r\n" +
			"Tenant: forged\r\ntenant: forged too\r\nTarget: forged\r\nX-Empty:\r\nAccept-Encoding: gzip\r\nAuthorization: Basic abc\r\n"
		env.expectSuccess(client.roundTrip("GET", rawRequest("GET", "/once/a", "id", fields, "")), "id")
		arrived := env.receivedRequests()[0]
		if !slices.Equal(arrived.values("Many"), want) {
			test.Errorf("field Many arrived as %v", arrived.values("Many"))
		}
		for _, removed := range []string{"Connection", "Private", "Keep-Alive", "Proxy-Connection", "TE", "Upgrade", "Tenant", "User-Agent", "Transfer-Encoding"} {
			if values := arrived.values(removed); len(values) > 0 {
				test.Errorf("field %s arrived: %v", removed, values)
			}
		}
		for name, value := range map[string]string{"Attempt": "id", "Target": "b1", "Accept-Encoding": "gzip", "Authorization": "Basic abc", "X-Empty": ""} {
			if values := arrived.values(name); len(values) != 1 && name != "X-Empty" || arrived.get(name) != value {
				test.Errorf("field %s arrived as %v", name, values)
			}
		}
	})
}

// Requests with ambiguous framing reach a backend as one request or not at all.
func TestSmuggling(test *testing.T) {
	head := "POST /once/a HTTP/1.1\r\nHost: host.example\r\nAttempt: id\r\nDeadline: 1500\r\n"
	inner := "GET /once/b HTTP/1.1\r\nHost: host.example\r\nAttempt: smuggled\r\n\r\n"
	for name, text := range map[string]string{
		"length and chunks":     head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunks and length":     head + "Transfer-Encoding: chunked\r\nContent-Length: " + strconv.Itoa(len(inner)+5) + "\r\n\r\n0\r\n\r\n",
		"two lengths":           head + "Content-Length: 0\r\nContent-Length: " + strconv.Itoa(len(inner)) + "\r\n\r\n" + inner,
		"two lengths in one":    head + "Content-Length: 0, " + strconv.Itoa(len(inner)) + "\r\n\r\n" + inner,
		"signed length":         head + "Content-Length: +" + strconv.Itoa(len(inner)) + "\r\n\r\n" + inner,
		"unknown coding":        head + "Transfer-Encoding: xchunked\r\n\r\n" + inner,
		"two codings":           head + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
		"space before colon":    head + "Content-Length : " + strconv.Itoa(len(inner)) + "\r\n\r\n" + inner,
		"folded":                head + "X: a\r\n Content-Length: " + strconv.Itoa(len(inner)) + "\r\n\r\n",
		"bare return in value":  head + "X: a\rContent-Length: 5\r\n\r\n",
		"null in value":         head + "X: a\x00b\r\n\r\n",
		"space in path":         strings.Replace(head, "/once/a", "/once/a HTTP/1.1\tx", 1) + "\r\n",
		"two hosts":             head + "Host: other.example\r\n\r\n",
		"newline in a chunk":    head + "Transfer-Encoding: chunked\r\n\r\n5\n\r\nhello\r\n0\r\n\r\n",
		"chunk size in letters": head + "Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n",
	} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			client := env.client()
			defer client.conn.Close()
			client.roundTrip("POST", text)
			env.goroutines.Sleep(100 * time.Millisecond)
			all := env.receivedRequests()
			if len(all) > 1 {
				test.Errorf("%s: %d arrivals", name, len(all))
			}
			for _, arrival := range all {
				if arrival.get("Attempt") != "id" || arrival.requestLine != "POST /once/a HTTP/1.1" || arrival.chunked ||
					len(arrival.values("Content-Length")) != 1 ||
					len(arrival.values("Host")) != 1 ||
					len(arrival.body) > 0 {
					test.Errorf("%s: %q %v %q", name, arrival.requestLine, arrival.fields, arrival.body)
				}
			}
		})
	}
}

// Which requests a key admits, and which tenant the backend gets.
func TestKeys(test *testing.T) {
	for _, sent := range []struct {
		path, fields string
		status       int
		tenant       string
	}{
		{"/once/a", "Authorization: Key k1\r\n", 200, "first"},
		{"/once/a", "Authorization: key  k2 \r\nTenant: ranked\r\n", 200, "first"},
		{"/once/a", "Authorization: Key k3\r\n", 200, "ranked"},
		{"/once/a", "Authorization: Key k9\r\n", 401, ""},
		{"/once/a", "Authorization: Other k1\r\n", 401, ""},
		{"/once/a", "Authorization: k1\r\n", 401, ""},
		{"/once/a", "Authorization: Key \r\n", 401, ""},
		{"/once/a", "", 401, ""},
		{"/once/a", "Tenant: first\r\n", 401, ""},
		{"/open/a", "", 200, ""},
		{"/open/a", "Tenant: first\r\n", 200, ""},
		{"/open/a", "Authorization: Key k9\r\n", 200, ""},
		{"/open/a", "Authorization: Key k1\r\n", 200, "first"},
		{"/open/a", "Authorization: Basic x\r\nAuthorization: Key k1\r\n", 200, ""},
		{"/open/a", "Authorization: Key\tk1\r\n", 200, "first"},
		{"/none/a", "", 404, ""},
		{"/none/a", "Authorization: Key k1\r\n", 404, ""},
		{"/onc", "Authorization: Key k1\r\n", 404, ""},
	} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			env.requireKeys()
			client := env.client()
			defer client.conn.Close()
			reply := client.roundTrip("GET", rawRequest("GET", sent.path, "id", sent.fields, ""))
			all := env.receivedRequests()
			if reply.status != sent.status || (sent.status == 200) != (len(all) == 1) {
				test.Errorf("%s %q: %d, %d arrivals", sent.path, sent.fields, reply.status, len(all))
				return
			}
			for _, arrival := range all {
				if tenants := arrival.values("Tenant"); arrival.get("Tenant") != sent.tenant || len(tenants) > 1 {
					test.Errorf("%s %q: tenant %v", sent.path, sent.fields, tenants)
				}
				for _, value := range arrival.values("Authorization") {
					if value != "Basic x" {
						test.Errorf("%s %q: backend got Authorization %q", sent.path, sent.fields, value)
					}
				}
			}
		})
	}
}

func TestNoKeyNeededWithoutTenants(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		reply, id := env.get("/once/a")
		env.expectSuccess(reply, id)
		if values := env.receivedRequests()[0].values("Tenant"); len(values) != 0 {
			test.Errorf("%v", values)
		}
	})
}

// A body over the limit gets 413 and reaches no backend.
func TestBodyTooLarge(test *testing.T) {
	for name, fields := range map[string]string{"length": "Content-Length: 1048577\r\n", "chunks": "Transfer-Encoding: chunked\r\n"} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			client := env.client()
			defer client.conn.Close()
			if name == "chunks" {
				body := string(letters(0, 1<<20+1))
				env.goroutines.Start(func() {
					client.send(rawRequest("POST", "/once/a", "id", fields, "") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body))
				})
			} else {
				client.send(rawRequest("POST", "/once/a", "id", fields, ""))
			}
			client.setTimeout(time.Second)
			reply := client.roundTrip("POST", "")
			if reply.status != 413 || len(env.receivedRequests()) != 0 {
				test.Errorf("%s: %d, %d arrivals", name, reply.status, len(env.receivedRequests()))
			}
		})
	}
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		client := env.client()
		defer client.conn.Close()
		env.expectSuccess(client.roundTrip("POST", rawRequest("POST", "/once/a", "id", "", string(letters(0, 1<<20)))), "id")
		if size := len(env.receivedRequests()[0].body); size != 1<<20 {
			test.Errorf("%d bytes arrived", size)
		}
	})
}

// A truncated body reaches no backend.
func TestBodyCutShort(test *testing.T) {
	for _, fields := range []string{"Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n"} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1")
			client := env.client()
			client.send(rawRequest("POST", "/once/a", "id", fields, "") + "5\r\nab")
			client.conn.Close()
			env.goroutines.Sleep(3 * time.Second)
			if len(env.receivedRequests()) != 0 {
				test.Errorf("%d arrivals", len(env.receivedRequests()))
			}
		})
	}
}

// A malformed body reaches no backend.
func TestMalformedBody(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		client := env.client()
		defer client.conn.Close()
		reply := client.roundTrip(
			"POST",
			rawRequest("POST", "/once/a", "id", "Transfer-Encoding: chunked\r\n", "")+"5\r\nabcdeXX\r\n0\r\n\r\n",
		)
		if reply.status != 400 || len(env.receivedRequests()) != 0 {
			test.Errorf("%d, %d arrivals", reply.status, len(env.receivedRequests()))
		}
	})
}

// fillBackend adds a backend with one slot and sends it requests that take the given time.
func (env *testEnv) fillBackend(count int, span time.Duration) {
	env.addBackendAt("b1", "plain", "e1", 1).handleByDefault(delayed(span, succeed))
	for range count {
		client := env.client()
		client.send(rawRequest("GET", "/once/a", env.newID(), "", ""))
	}
	synctest.Wait()
}

// Without capacity, a request gets 503 with Retry-After within a quarter of the target time.
func TestNoCapacity(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.fillBackend(3, time.Second)
		reply, _ := env.get("/once/a")
		seconds, err := strconv.ParseFloat(reply.header.Get("Retry-After"), 64)
		if reply.status != 503 || err != nil || seconds <= 0 || seconds > 0.5 || reply.elapsed > 200*time.Millisecond ||
			reply.elapsed < 190*time.Millisecond {
			test.Errorf("%d after %s, Retry-After %q", reply.status, reply.elapsed, reply.header.Get("Retry-After"))
		}
		if count := len(env.receivedRequests()); count != 3 {
			test.Errorf("%d arrivals", count)
		}
	})
}

// A waiting request is sent as soon as there is capacity.
func TestFreedCapacityIsUsedImmediately(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.fillBackend(3, 100*time.Millisecond)
		reply, id := env.get("/once/a")
		env.expectSuccess(reply, id)
		all := env.receivedRequests()
		if waited := all[3].receivedAt.Sub(all[0].receivedAt); waited != 100*time.Millisecond {
			test.Errorf("sent after %s", waited)
		}
	})
}

// Without any backend, a request is refused within the same time.
func TestNoBackend(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		env.update(func() { env.table.Backends = nil })
		reply, _ := env.get("/once/a")
		if reply.status != 503 || reply.header.Get("Retry-After") == "" || reply.elapsed > 200*time.Millisecond {
			test.Errorf("%d after %s", reply.status, reply.elapsed)
		}
	})
}

// At most maxQueuedRequests wait.
func TestQueueLimit(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.fillBackend(3, time.Second)
		for range maxQueuedRequests {
			if !env.proxy.queues.enter(waitQueue{"plain", 3}) {
				test.Fatal("queue is full early")
			}
		}
		reply, _ := env.get("/once/a")
		if reply.status != 503 || reply.elapsed != 0 {
			test.Errorf("%d after %s", reply.status, reply.elapsed)
		}
	})
}

// A waiting request goes to its own service after a configuration reorders or removes services.
func TestServicesReordered(test *testing.T) {
	for _, removed := range []bool{false, true} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackendAt("o1", "other", "e1", 8)
			env.fillBackend(3, 100*time.Millisecond)
			client := env.client()
			defer client.conn.Close()
			id := env.newID()
			client.send(rawRequest("GET", "/once/a", id, "", ""))
			synctest.Wait()
			env.update(func() {
				config := &env.state.Config
				slices.Reverse(config.Services)
				if removed {
					config.Services, config.Routes = config.Services[:1], nil
				}
			})
			reply := client.roundTrip("GET", "")
			if count := len(env.backends["o1"].requests()); count != 0 {
				test.Errorf("the other service got %d requests", count)
			}
			if removed && reply.status != 503 {
				test.Errorf("%d for a removed service", reply.status)
			} else if !removed {
				env.expectSuccess(reply, id)
			}
		})
	}
}

// Requests of a split route are distributed by the services' weights.
func TestSplit(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1")
		env.addBackendAt("o1", "other", "e1", 8)
		env.update(func() {
			env.state.Config.Routes[0].Service = ""
			env.state.Config.Routes[0].Split = []routing.WeightedService{{Service: "other", Weight: 90}, {Service: "plain", Weight: 10}}
		})
		client := env.client()
		defer client.conn.Close()
		for range 400 {
			id := env.newID()
			env.expectSuccess(client.roundTrip("GET", rawRequest("GET", "/once/a", id, "", "")), id)
		}
		if count := len(env.backends["b1"].requests()); count < 15 || count > 75 {
			test.Errorf("%d of 400 requests for a weight of 10%%", count)
		}
	})
}

// A leaving proxy closes its clients' connections, also after responses to earlier requests.
func TestLeavingProxy(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		if env.proxy.Ready() {
			test.Error("ready without a view")
		}
		if reply, _ := env.get("/once/a"); reply.status != 503 {
			test.Errorf("%d without a view", reply.status)
		}
		env.addBackend("b1").handleByDefault(delayed(100*time.Millisecond, succeed))
		if !env.proxy.Ready() {
			test.Error("not ready")
		}
		client := env.client()
		defer client.conn.Close()
		client.send(rawRequest("GET", "/once/a", "id", "", ""))
		synctest.Wait()
		if env.proxy.InFlight() != 1 {
			test.Errorf("%d in flight", env.proxy.InFlight())
		}
		env.proxy.StartDrain()
		reply := client.roundTrip("GET", "")
		env.expectSuccess(reply, "id")
		if !reply.closes {
			test.Error("connection stays open after a request in flight")
		}
		for _, path := range []string{"/once/a", "/none/a"} {
			if reply, _ := env.get(path); !reply.closes || reply.status == 503 {
				test.Errorf("%s: %d %v", path, reply.status, reply.header)
			}
		}
		synctest.Wait()
		if env.proxy.Ready() || env.proxy.InFlight() != 0 {
			test.Errorf("ready %v, %d in flight", env.proxy.Ready(), env.proxy.InFlight())
		}
	})
}

// Every stage is reachable, and only the last has no successor.
func TestStageTransitions(test *testing.T) {
	reached := map[stage]bool{arrived: true}
	for range stageTransitions {
		for from, successors := range stageTransitions {
			for _, next := range successors {
				if reached[stage(from)] {
					reached[next] = true
				}
			}
		}
	}
	for from, successors := range stageTransitions {
		if !reached[stage(from)] || (len(successors) == 0) != (stage(from) == ending) {
			test.Errorf("stage %d is unreachable, or has wrong successors", from)
		}
	}
	if stageTransitions[arrived][0] == sending || slices.Contains(stageTransitions[ending], sending) {
		test.Error("a request can be sent on arrival or after its end")
	}
}

// A tenant's priority overrides the route's.
func TestTenantPriority(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.requireKeys()
		view := env.proxy.view.Load()
		for key, want := range map[string]int{"k1": 0, "k3": 5} {
			source, _ := http.NewRequest(http.MethodGet, "http://host.example/once/a", nil)
			source.RequestURI = "/once/a"
			source.Header.Set("Authorization", "Key "+key)
			request := &request{source: source, begin: time.Now()}
			if status, code := env.proxy.admit(request, view); status != 0 || request.priority != want {
				test.Errorf("%s: %d %s, priority %d", key, status, code, request.priority)
			}
		}
	})
}
