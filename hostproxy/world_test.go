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

// world is one proxy behind a server of its own, and its scripted backends; all
// time in it is virtual.
type world struct {
	test       *testing.T
	goroutines *concurrent.Group
	counters   *metrics.Counters
	doors      *fakeNetwork
	proxy      *Proxy
	server     *process.Listener
	listener   *listener
	book       *routing.State
	table      *message.Table
	rollouts   []message.Rollout
	backends   map[string]*backend
	asked      int
}

var ownHeaders = Headers{
	Attempt: "Attempt", Deadline: "Deadline", Seal: "Seal", Tenant: "Tenant", Target: "Target", Load: "Load", NotExecuted: "Not-Executed",
	Backend: "Backend", Warmup: "Warmup", KeyScheme: "Key",
}

func ownPlace(name, zone string) Config {
	return Config{
		Name:         name,
		Zone:         zone,
		Regions:      map[string]string{"e1": "east", "e2": "east", "w1": "west"},
		Headers:      ownHeaders,
		RetryRatio:   0.2,
		RetryExtra:   60,
		WarmupExcess: 1.5,
		WarmupExtra:  5,
		UsageWindow:  5 * time.Second,
		ListLag:      time.Second,
	}
}

func ownConfig() routing.Config {
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

func inWorld(test *testing.T, play func(world *world)) {
	synctest.Test(test, func(test *testing.T) {
		world := newWorld(test)
		defer world.close()
		play(world)
	})
}

func newWorld(test *testing.T) *world {
	world := &world{
		test:       test,
		goroutines: concurrent.NewGroup(),
		counters:   metrics.NewCounters(),
		doors:      newFakeNetwork(),
		listener:   newListener(),
		backends:   map[string]*backend{},
		book: &routing.State{
			Config: ownConfig(),
		},
		table: &message.Table{
			Version:  leaderMark,
			Complete: true,
			Members:  []message.Member{{Name: "p1", Kind: "proxy", Zone: "e1", Ready: true}},
		},
	}
	world.proxy = NewProxy(
		ownPlace("p1", "e1"),
		world.doors.dial,
		func() int64 { return time.Now().UnixMilli() },
		world.goroutines,
		world.counters,
	)
	world.server = process.NewListener(world.listener, world.proxy, process.ListenOptions{
		Limits:   process.ConnLimits{HeaderBytes: http.DefaultMaxHeaderBytes},
		Counters: world.counters,
		Memory:   world.proxy.Memory(),
	})
	world.proxy.OnLimits(func(limits routing.Limits) { world.server.SetLimits(process.ConnLimitsOf(limits)) })
	world.server.Serve(world.goroutines)
	world.proxy.Run()
	return world
}

func (world *world) close() {
	if off := world.counters.Get("requests_off_the_chart"); off != 0 {
		world.test.Errorf("%d steps off the chart of requests", off)
	}
	world.server.Close() // what is open still, the test ends
	for _, backend := range world.backends {
		backend.stop()
	}
	world.goroutines.Stop()
	world.lay(func() { world.table.Backends = nil })
	world.goroutines.Wait()
	time.Sleep(time.Second)
}

// add brings up a backend of the plain service in the proxy's zone.
func (world *world) add(name string) *backend {
	return world.addAt(name, "plain", "e1", 8)
}

func (world *world) addAt(name, service, zone string, slots int) *backend {
	added := newBackend(name, name+":80", world.goroutines)
	world.backends[name] = added
	world.doors.listen(added.address, added.accept)
	world.lay(func() {
		world.table.Backends = append(
			world.table.Backends,
			message.Backend{Name: name, Service: service, Address: added.address, Zone: zone, Capacity: slots},
		)
	})
	return added
}

// lay changes copies of book and table, and puts them in force.
func (world *world) lay(change func()) {
	state, table := *world.book, *world.table
	table.Backends = append([]message.Backend{}, table.Backends...)
	table.Members = append([]message.Member{}, table.Members...)
	state.Config.Routes = append([]routing.Route{}, state.Config.Routes...)
	state.Config.Services = append([]routing.Service{}, state.Config.Services...)
	world.book, world.table = &state, &table
	change()
	world.proxy.Apply(world.book, world.table, world.rollouts)
}

func (world *world) arrivals() []*arrival {
	all := []*arrival{}
	for _, backend := range world.backends {
		all = append(all, backend.seen()...)
	}
	sort.Slice(all, func(left, right int) bool { return all[left].at.Before(all[right].at) })
	return all
}

// held is how many connections a target has open, and how many requests run there.
func (world *world) held(name string) (int, int) {
	target := world.proxy.targets[name]
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.openConnections, target.running
}

// client is one connection to the proxy.
type client struct {
	pipe   net.Conn
	reader *bufio.Reader
}

func (world *world) client() *client {
	near, far := newPipePair("front")
	world.listener.enqueue(far)
	return &client{pipe: near, reader: bufio.NewReader(near)}
}

// reply is what the client got; broken tells that no whole answer came,
// and last that the connection is to be closed.
type reply struct {
	status int
	header http.Header
	body   string
	broken error
	last   bool
	took   time.Duration
}

// send sends raw bytes; what the proxy does not take shows in what it answers.
func (client *client) send(raw string) { _, _ = io.WriteString(client.pipe, raw) }

// limit ends the client's waiting after a span.
func (client *client) limit(span time.Duration) {
	_ = client.pipe.SetDeadline(time.Now().Add(span)) // never fails
}

// ask sends raw bytes and reads one answer.
func (client *client) ask(method, raw string) reply {
	begin := time.Now()
	client.send(raw)
	response, err := http.ReadResponse(client.reader, &http.Request{Method: method})
	if err != nil {
		return reply{broken: err, took: time.Since(begin)}
	}
	body, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode,
		header: response.Header,
		body:   string(body),
		broken: err,
		last:   response.Close,
		took:   time.Since(begin),
	}
}

// id gives every request one of its own.
func (world *world) id() string {
	world.asked++
	return "id" + strconv.Itoa(world.asked)
}

// raw is a request's bytes as an orderly client sends them.
func raw(method, path, id, fields, body string) string {
	text := method + " " + path + " HTTP/1.1\r\nHost: host.example\r\nAttempt: " + id + "\r\n"
	if !strings.Contains(fields, "Deadline: ") {
		text += "Deadline: 1500\r\n"
	}
	if body != "" {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return text + fields + "\r\n" + body
}

// get asks on a connection of its own.
func (world *world) get(path string) (reply, string) {
	id := world.id()
	client := world.client()
	defer client.pipe.Close()
	return client.ask("GET", raw("GET", path, id, "", "")), id
}

// good fails the test unless the reply is the backend's answer to the id.
func (world *world) good(reply reply, id string) {
	world.test.Helper()
	if reply.broken != nil || reply.status != 200 || reply.body != text(id) || reply.header.Get("Attempt") != id ||
		reply.header.Get("Seal") != "s-"+id {
		world.test.Errorf("%s got %d %q %v %v", id, reply.status, reply.body, reply.header, reply.broken)
	}
}

// promised are the statuses that say a request has not run and never will.
func promised(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

func unreachable(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }

// leaderMark is a table's that some leader made.
var leaderMark = message.TableVersion{Term: message.Term{Number: 1, Core: 1}, Number: 1}
