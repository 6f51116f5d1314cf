package hostproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/process"
	"orchidjunction/routing"
)

// testEnv is a proxy with its own server and fake backends. It runs in virtual time.
type testEnv struct {
	test       *testing.T
	goroutines *concurrent.Group
	counters   *metrics.Counters
	network    *fakeNetwork
	proxy      *Proxy
	server     *process.Listener
	listener   *listener
	state      *routing.State
	table      *message.Table
	rollouts   []message.Rollout
	backends   map[string]*fakeBackend
	lastID     int
}

var testHeaders = Headers{
	Attempt: "Attempt", Deadline: "Deadline", Seal: "Seal", Tenant: "Tenant", Target: "Target", Load: "Load", NotExecuted: "Not-Executed",
	Backend: "Backend", Warmup: "Warmup", KeyScheme: "Key",
}

func testConfig(name, zone string) Config {
	return Config{
		Name:           name,
		Zone:           zone,
		Regions:        map[string]string{"e1": "east", "e2": "east", "w1": "west"},
		Headers:        testHeaders,
		RetryRatio:     0.2,
		RetryExtra:     60,
		WarmupExcess:   1.5,
		WarmupExtra:    5,
		UsageWindow:    5 * time.Second,
		BackendListLag: time.Second,
	}
}

func testRoutingConfig() routing.Config {
	return routing.Config{
		Version: 1,
		Routes: []routing.Route{
			{
				Name:      "once",
				Host:      "host.example",
				Prefix:    "/once/",
				Kind:      routing.NonIdempotent,
				TimeoutMs: 2000,
				TargetMs:  800,
				Service:   "plain",
				Attempts:  3,
			},
			{
				Name:      "again",
				Host:      "host.example",
				Prefix:    "/again/",
				Kind:      routing.Idempotent,
				TimeoutMs: 2000,
				TargetMs:  800,
				Service:   "plain",
				Attempts:  3,
			},
			{
				Name:      "load",
				Host:      "host.example",
				Prefix:    "/load/",
				Kind:      routing.Download,
				TimeoutMs: 2000,
				TargetMs:  800,
				Service:   "plain",
				Attempts:  3,
			},
		},
		Services: []routing.Service{
			{Name: "plain", MaxConnections: 130, WarmupMs: 3000, WarmupRate: 10},
			{Name: "other", MaxConnections: 130, WarmupMs: 3000, WarmupRate: 10},
		},
		Limits: routing.Limits{BodyBytes: 1 << 20},
	}
}

func withTestEnv(test *testing.T, run func(env *testEnv)) {
	synctest.Test(test, func(test *testing.T) {
		env := newTestEnv(test)
		defer env.close()
		run(env)
	})
}

func newTestEnv(test *testing.T) *testEnv {
	env := &testEnv{
		test:       test,
		goroutines: concurrent.NewGroup(),
		counters:   metrics.NewCounters(),
		network:    newFakeNetwork(),
		listener:   newListener(),
		backends:   map[string]*fakeBackend{},
		state: &routing.State{
			Config: testRoutingConfig(),
		},
		table: &message.Table{
			Version:  leaderVersion,
			Complete: true,
			Members:  []message.Member{{Name: "p1", Kind: "proxy", Zone: "e1", Ready: true}},
		},
	}
	env.proxy = NewProxy(
		testConfig("p1", "e1"),
		env.network.dial,
		func() int64 { return time.Now().UnixMilli() },
		env.goroutines,
		env.counters,
	)
	env.server = process.NewListener(env.listener, env.proxy, process.ListenOptions{
		Limits:   process.ConnLimits{HeaderBytes: http.DefaultMaxHeaderBytes},
		Counters: env.counters,
		Memory:   env.proxy.RequestMemory(),
	})
	env.proxy.OnLimits(func(limits routing.Limits) { env.server.SetLimits(process.ConnLimitsOf(limits)) })
	env.server.Serve(env.goroutines)
	env.proxy.Run()
	return env
}

func (env *testEnv) close() {
	if off := env.counters.Get("requests_off_the_chart"); off != 0 {
		env.test.Errorf("%d unexpected transitions between request stages", off)
	}
	env.server.Close() // connections still open end with the test
	for _, backend := range env.backends {
		backend.stop()
	}
	env.goroutines.Stop()
	env.update(func() { env.table.Backends = nil })
	env.goroutines.Wait()
	time.Sleep(time.Second)
}

// addBackend adds a backend of the service "plain" in the proxy's zone.
func (env *testEnv) addBackend(name string) *fakeBackend {
	return env.addBackendAt(name, "plain", "e1", 8)
}

func (env *testEnv) addBackendAt(name, service, zone string, capacity int) *fakeBackend {
	added := newFakeBackend(name, name+":80", env.goroutines)
	env.backends[name] = added
	env.network.listen(added.address, added.accept)
	env.update(func() {
		env.table.Backends = append(
			env.table.Backends,
			message.Backend{Name: name, Service: service, Address: added.address, Zone: zone, Capacity: capacity},
		)
	})
	return added
}

// update changes copies of state and table, and applies them.
func (env *testEnv) update(change func()) {
	state, table := *env.state, *env.table
	table.Backends = append([]message.Backend{}, table.Backends...)
	table.Members = append([]message.Member{}, table.Members...)
	state.Config.Routes = append([]routing.Route{}, state.Config.Routes...)
	state.Config.Services = append([]routing.Service{}, state.Config.Services...)
	env.state, env.table = &state, &table
	change()
	env.proxy.Apply(env.state, env.table, env.rollouts)
}

func (env *testEnv) receivedRequests() []*receivedRequest {
	received := []*receivedRequest{}
	for _, backend := range env.backends {
		received = append(received, backend.requests()...)
	}
	sort.Slice(received, func(left, right int) bool { return received[left].receivedAt.Before(received[right].receivedAt) })
	return received
}

// targetLoad returns a target's number of open connections and of running requests.
func (env *testEnv) targetLoad(name string) (int, int) {
	target := env.proxy.targets[name]
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.openConnections, target.running
}

// client is a client connection to the proxy.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (env *testEnv) client() *client {
	near, far := newPipePair("front")
	env.listener.enqueue(far)
	return &client{conn: near, reader: bufio.NewReader(near)}
}

// reply is a response as the client received it. err is set if it was incomplete; closes
// reports whether it announced that the connection will be closed.
type reply struct {
	status  int
	header  http.Header
	body    string
	err     error
	closes  bool
	elapsed time.Duration
}

// send sends raw bytes. Write errors are ignored: a test sees them in the response.
func (client *client) send(raw string) { _, _ = io.WriteString(client.conn, raw) }

// setTimeout sets the deadline of all further reads and writes.
func (client *client) setTimeout(duration time.Duration) {
	_ = client.conn.SetDeadline(time.Now().Add(duration)) // never fails
}

// roundTrip sends raw bytes and reads one response.
func (client *client) roundTrip(method, raw string) reply {
	begin := time.Now()
	client.send(raw)
	response, err := http.ReadResponse(client.reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err, elapsed: time.Since(begin)}
	}
	body, err := io.ReadAll(response.Body)
	return reply{
		status:  response.StatusCode,
		header:  response.Header,
		body:    string(body),
		err:     err,
		closes:  response.Close,
		elapsed: time.Since(begin),
	}
}

// newID returns a new attempt ID.
func (env *testEnv) newID() string {
	env.lastID++
	return "id" + strconv.Itoa(env.lastID)
}

// rawRequest returns the bytes of a well-formed request.
func rawRequest(method, path, id, fields, body string) string {
	text := method + " " + path + " HTTP/1.1\r\nHost: host.example\r\nAttempt: " + id + "\r\n"
	if !strings.Contains(fields, "Deadline: ") {
		text += "Deadline: 1500\r\n"
	}
	if body != "" {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return text + fields + "\r\n" + body
}

// get sends a GET request on a new connection.
func (env *testEnv) get(path string) (reply, string) {
	id := env.newID()
	client := env.client()
	defer client.conn.Close()
	return client.roundTrip("GET", rawRequest("GET", path, id, "", "")), id
}

// expectSuccess fails the test unless the reply is the backend's response to the ID.
func (env *testEnv) expectSuccess(reply reply, id string) {
	env.test.Helper()
	if reply.err != nil || reply.status != 200 || reply.body != successBody(id) || reply.header.Get("Attempt") != id ||
		reply.header.Get("Seal") != "s-"+id {
		env.test.Errorf("request %s: got status %d, body %q, header %v, error %v", id, reply.status, reply.body, reply.header, reply.err)
	}
}

// isNotExecutedStatus reports whether a status tells the client that its request was not
// executed and never will be.
func isNotExecutedStatus(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

func dialUnreachable(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }

// leaderVersion is the version of a table that was made by a leader.
var leaderVersion = message.TableVersion{Term: message.Term{Number: 1, Core: 1}, Number: 1}
