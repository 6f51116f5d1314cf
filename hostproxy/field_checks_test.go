package hostproxy

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// fieldCheck checks that a field of the routing has an effect: a client, a backend or an operator
// observes a different result for each of two values.
type fieldCheck struct {
	first, second func(*routing.Config)
	observe       func(*testEnv) string
	want          [2]string
}

// fieldChecks has a check for each field that an operator may set, by type and name. The route is
// "again", with the service "plain"; the tenant has the key k1.
var fieldChecks = map[string]fieldCheck{
	"Config.KeysRequired": {
		first:   config(func(config *routing.Config) { config.KeysRequired = false }),
		second:  config(func(config *routing.Config) { config.KeysRequired = true }),
		observe: statusOf(""),
		want:    [2]string{"200", "401"},
	},
	"Route.Name": {
		first:   route(func(route *routing.Route) { route.Name = "again" }),
		second:  route(func(route *routing.Route) { route.Name = "kept" }),
		observe: statusWithoutRoute("again"),
		want:    [2]string{"404", "200"},
	},
	"Route.Host": {
		first:   route(func(route *routing.Route) { route.Host = "host.example" }),
		second:  route(func(route *routing.Route) { route.Host = "else.example" }),
		observe: statusOf(""),
		want:    [2]string{"200", "404"},
	},
	"Route.Prefix": {
		first:   route(func(route *routing.Route) { route.Prefix = "/again/" }),
		second:  route(func(route *routing.Route) { route.Prefix = "/else/" }),
		observe: statusOf(""),
		want:    [2]string{"200", "404"},
	},
	"Route.Kind": {
		first:   route(func(route *routing.Route) { route.Kind = routing.NonIdempotent }),
		second:  route(func(route *routing.Route) { route.Kind = routing.Idempotent }),
		observe: statusAfterReset,
		want:    [2]string{"502", "200"},
	},
	"Route.TimeoutMs": {
		first:   route(func(route *routing.Route) { route.TimeoutMs = 300 }),
		second:  route(func(route *routing.Route) { route.TimeoutMs = 900 }),
		observe: resultOfBackendTimeout,
		want:    [2]string{"504 after 350ms", "504 after 950ms"},
	},
	"Route.TargetMs": {
		first:   route(func(route *routing.Route) { route.TargetMs = 400 }),
		second:  route(func(route *routing.Route) { route.TargetMs = 1200 }),
		observe: resultOfQueueTimeout,
		want:    [2]string{"503 after 100ms", "503 after 300ms"},
	},
	"Route.Priority": {
		first:   route(func(route *routing.Route) { route.Priority = 0 }),
		second:  route(func(route *routing.Route) { route.Priority = 2 }),
		observe: firstServedOfTwo(""),
		want:    [2]string{"/again/a", "/once/a"},
	},
	"Route.Service": {
		first:   route(func(route *routing.Route) { route.Service = "plain" }),
		second:  route(func(route *routing.Route) { route.Service = "other" }),
		observe: servingBackend,
		want:    [2]string{"b-plain", "b-other"},
	},
	"Route.Split": {
		first: route(func(route *routing.Route) {
			route.Service, route.Split = "", []routing.WeightedService{{Service: "plain", Weight: 1}, {Service: "other", Weight: 0}}
		}),
		second: route(func(route *routing.Route) {
			route.Service, route.Split = "", []routing.WeightedService{{Service: "plain", Weight: 0}, {Service: "other", Weight: 1}}
		}),
		observe: servingBackend,
		want:    [2]string{"b-plain", "b-other"},
	},
	"WeightedService.Weight": {
		first: route(func(route *routing.Route) {
			route.Service, route.Split = "", []routing.WeightedService{{Service: "plain", Weight: 3}, {Service: "other", Weight: 1}}
		}),
		second: route(func(route *routing.Route) {
			route.Service, route.Split = "", []routing.WeightedService{{Service: "plain", Weight: 1}, {Service: "other", Weight: 3}}
		}),
		observe: majorityBackend,
		want:    [2]string{"b-plain", "b-other"},
	},
	"WeightedService.Service": {
		first: route(func(route *routing.Route) {
			route.Service, route.Split = "", []routing.WeightedService{{Service: "plain", Weight: 1}}
		}),
		second: route(func(route *routing.Route) {
			route.Service, route.Split = "", []routing.WeightedService{{Service: "other", Weight: 1}}
		}),
		observe: servingBackend,
		want:    [2]string{"b-plain", "b-other"},
	},
	"Route.Attempts": {
		first:   route(func(route *routing.Route) { route.Attempts = 1 }),
		second:  route(func(route *routing.Route) { route.Attempts = 2 }),
		observe: attemptsOnFailure,
		want:    [2]string{"1", "2"},
	},
	"Route.Public": {
		first:   config(func(config *routing.Config) { config.KeysRequired, config.Routes[1].Public = true, false }),
		second:  config(func(config *routing.Config) { config.KeysRequired, config.Routes[1].Public = true, true }),
		observe: statusOf(""),
		want:    [2]string{"401", "200"},
	},
	"Route.Homes": {
		first:   route(func(route *routing.Route) { route.Homes = []string{"west"} }),
		second:  route(func(route *routing.Route) { route.Homes = []string{"east"} }),
		observe: statusOf(""),
		want:    [2]string{"503", "200"},
	},
	"Service.Name": {
		first:   config(func(config *routing.Config) { config.Services[0].Name, config.Routes[1].Service = "plain", "plain" }),
		second:  config(func(config *routing.Config) { config.Services[0].Name, config.Routes[1].Service = "else", "else" }),
		observe: statusOf(""),
		want:    [2]string{"200", "503"},
	},
	"Service.MaxConnections": {
		first:   service(func(service *routing.Service) { service.MaxConnections = 5 }),
		second:  service(func(service *routing.Service) { service.MaxConnections = 10 }),
		observe: concurrentConnections,
		want:    [2]string{"4", "8"},
	},
	"Service.Protocol": {
		first:   service(func(service *routing.Service) { service.Protocol = "h1" }),
		second:  service(func(service *routing.Service) { service.Protocol = "h2" }),
		observe: rejectedField,
		want:    [2]string{"taken", "services.plain.protocol"},
	},
	"Service.TLS": {
		first:   service(func(service *routing.Service) { service.TLS = false }),
		second:  service(func(service *routing.Service) { service.TLS = true }),
		observe: rejectedField,
		want:    [2]string{"taken", "services.plain.tls"},
	},
	"Service.WarmupRate": {
		first:   service(func(service *routing.Service) { service.WarmupRate = 4 }),
		second:  service(func(service *routing.Service) { service.WarmupRate = 40 }),
		observe: requestsWhileCold,
		want:    [2]string{"up to 11 in a second", "more"},
	},
	"Tenant.Name": {
		first:   tenant(func(tenant *routing.Tenant) { tenant.Name = "first" }),
		second:  tenant(func(tenant *routing.Tenant) { tenant.Name = "second" }),
		observe: tenantAtBackend,
		want:    [2]string{"first", "second"},
	},
	"Tenant.Keys": {
		first:   tenant(func(tenant *routing.Tenant) { tenant.Keys = []string{"k1"} }),
		second:  tenant(func(tenant *routing.Tenant) { tenant.Keys = []string{"k2"} }),
		observe: statusOf("Authorization: Key k1\r\n"),
		want:    [2]string{"200", "401"},
	},
	"Tenant.HasPriority": {
		first:   tenant(func(tenant *routing.Tenant) { tenant.HasPriority, tenant.Priority = false, 0 }),
		second:  tenant(func(tenant *routing.Tenant) { tenant.HasPriority, tenant.Priority = true, 0 }),
		observe: firstServedOfTwo("Authorization: Key k1\r\n"),
		want:    [2]string{"/once/a", "/again/a"},
	},
	"Tenant.Priority": {
		first:   tenant(func(tenant *routing.Tenant) { tenant.HasPriority, tenant.Priority = true, 2 }),
		second:  tenant(func(tenant *routing.Tenant) { tenant.HasPriority, tenant.Priority = true, 0 }),
		observe: firstServedOfTwo("Authorization: Key k1\r\n"),
		want:    [2]string{"/once/a", "/again/a"},
	},
	"Tenant.Homes": {
		first:   tenant(func(tenant *routing.Tenant) { tenant.Homes = []string{"west"} }),
		second:  tenant(func(tenant *routing.Tenant) { tenant.Homes = []string{"east"} }),
		observe: statusOf("Authorization: Key k1\r\n"),
		want:    [2]string{"503", "200"},
	},
	"Limits.HeaderBytes": {
		first:   limits(func(limits *routing.Limits) { limits.HeaderBytes = 4096 }),
		second:  limits(func(limits *routing.Limits) { limits.HeaderBytes = 70_000 }),
		observe: statusOf("Long: " + strings.Repeat("x", 66_000) + "\r\n"),
		want:    [2]string{"431", "200"},
	},
	"Limits.BodyBytes": {
		first:   limits(func(limits *routing.Limits) { limits.BodyBytes = 10 }),
		second:  limits(func(limits *routing.Limits) { limits.BodyBytes = 11 }),
		observe: statusOfBody(11),
		want:    [2]string{"413", "200"},
	},
	"Limits.HeaderMs": {
		first:   limits(func(limits *routing.Limits) { limits.HeaderMs = 700 }),
		second:  limits(func(limits *routing.Limits) { limits.HeaderMs = 7000 }),
		observe: resultOfPartialHead,
		want:    [2]string{"408 after 700ms", "408 after 7s"},
	},
	"Limits.IdleMs": {
		first:   limits(func(limits *routing.Limits) { limits.IdleMs = 700 }),
		second:  limits(func(limits *routing.Limits) { limits.IdleMs = 70_000 }),
		observe: idleCloseTime,
		want:    [2]string{"closed after 700ms", "closed after 1m10s"},
	},
}

func config(set func(*routing.Config)) func(*routing.Config) { return set }

func route(set func(*routing.Route)) func(*routing.Config) {
	return func(config *routing.Config) { set(&config.Routes[1]) }
}

func service(set func(*routing.Service)) func(*routing.Config) {
	return func(config *routing.Config) { set(&config.Services[0]) }
}

func tenant(set func(*routing.Tenant)) func(*routing.Config) {
	return func(config *routing.Config) {
		config.KeysRequired = true
		config.Tenants = []routing.Tenant{{Name: "first", Keys: []string{"k1"}}}
		set(&config.Tenants[0])
	}
}

func limits(set func(*routing.Limits)) func(*routing.Config) {
	return func(config *routing.Config) { set(&config.Limits) }
}

// uncheckedTypes are the types of fields without a check here. Structs have their own fields
// checked; a version (uint64) is for the operator's own use (control.TestRoutingChangeReportsStaleBaseFirst),
// and unknown fields (Extra) are only returned unchanged (platform.TestConfigRoundTripsUnchanged).
var uncheckedTypes = []reflect.Type{
	reflect.TypeFor[[]routing.Route](), reflect.TypeFor[[]routing.Service](), reflect.TypeFor[[]routing.Tenant](),
	reflect.TypeFor[routing.Limits](), reflect.TypeFor[uint64](), reflect.TypeFor[[]routing.Extra](),
}

// Three limits were once parsed, validated, replicated and returned, but had no effect. Every field
// that an operator may set must have an effect; one without a check here fails.
func TestEveryFieldOfTheRoutingActs(test *testing.T) {
	seen := map[string]bool{}
	for _, owner := range []reflect.Type{
		reflect.TypeFor[routing.Config](), reflect.TypeFor[routing.Route](), reflect.TypeFor[routing.WeightedService](),
		reflect.TypeFor[routing.Service](), reflect.TypeFor[routing.Tenant](), reflect.TypeFor[routing.Limits](),
	} {
		for field := range owner.Fields() {
			if slices.Contains(uncheckedTypes, field.Type) {
				continue
			}
			name := owner.Name() + "." + field.Name
			seen[name] = true
			test.Run(name, func(test *testing.T) { checkField(test, name) })
		}
	}
	for name := range fieldChecks {
		if !seen[name] {
			test.Errorf("check of %s, which is not a field", name)
		}
	}
}

func checkField(test *testing.T, name string) {
	check, found := fieldChecks[name]
	if !found {
		test.Fatal("no check that the field has an effect")
	}
	for index, set := range []func(*routing.Config){check.first, check.second} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackendAt("b-plain", "plain", "e1", 8)
			env.addBackendAt("b-other", "other", "e1", 8)
			env.update(func() { set(&env.state.Config) })
			if got := check.observe(env); got != check.want[index] {
				test.Errorf("value %d: %q, want %q", index+1, got, check.want[index])
			}
		})
	}
}

func statusOf(fields string) func(*testEnv) string {
	return func(env *testEnv) string {
		client := env.client()
		defer client.conn.Close()
		return strconv.Itoa(client.roundTrip("GET", rawRequest("GET", "/again/a", env.newID(), fields, "")).status)
	}
}

func statusOfBody(size int) func(*testEnv) string {
	return func(env *testEnv) string {
		client := env.client()
		defer client.conn.Close()
		body := string(letters(0, size))
		return strconv.Itoa(client.roundTrip("POST", rawRequest("POST", "/again/a", env.newID(), "", body)).status)
	}
}

// statusWithoutRoute returns the status after a patch has removed a route by name.
func statusWithoutRoute(name string) func(*testEnv) string {
	return func(env *testEnv) string {
		env.update(func() {
			patched, err := env.state.Config.Apply(&routing.Patch{RemoveRoutes: []string{name}})
			if err != nil {
				env.test.Error(err)
			}
			env.state.Config = patched
		})
		return statusOf("")(env)
	}
}

// statusAfterReset returns the status of a request whose first backend resets the connection, if
// there is another backend.
func statusAfterReset(env *testEnv) string {
	resetFirst := onFirstRequest(resetAfterReading)
	env.backends["b-plain"].handleByDefault(resetFirst)
	env.addBackend("b-second").handleByDefault(resetFirst)
	reply, _ := env.get("/again/a")
	return strconv.Itoa(reply.status)
}

// resultOfBackendTimeout returns the result of a request whose backend does not respond: a 504
// after the timeout plus deadlineSlack.
func resultOfBackendTimeout(env *testEnv) string {
	env.backends["b-plain"].handleByDefault(neverRespond)
	return statusAndDuration(env.get("/again/a"))
}

// resultOfQueueTimeout returns the result of a request for which no backend has capacity.
func resultOfQueueTimeout(env *testEnv) string {
	env.update(func() { env.table.Backends = nil })
	env.addBackendAt("one-slot", "plain", "e1", 1).handleByDefault(neverRespond)
	for range 3 {
		client := env.client()
		defer client.conn.Close()
		client.send(rawRequest("GET", "/once/filler", env.newID(), "", ""))
		synctest.Wait()
	}
	return statusAndDuration(env.get("/again/a"))
}

func statusAndDuration(reply reply, _ string) string {
	return fmt.Sprintf("%d after %v", reply.status, reply.elapsed)
}

// firstServedOfTwo returns which of two requests waiting for the same backend is served first,
// in either order of arrival: one of the route "again", or one of the route "once" with priority 1.
// If fields are given (a tenant's), the route "again" has priority 2.
func firstServedOfTwo(fields string) func(*testEnv) string {
	return func(env *testEnv) string {
		env.update(func() {
			routes := env.state.Config.Routes
			routes[0].Priority, routes[0].Public = 1, true
			if fields != "" {
				routes[1].Priority = 2
			}
			env.table.Backends = nil
		})
		winners := map[string]bool{}
		for round, paths := range [][]string{{"/once/a", "/again/a"}, {"/again/a", "/once/a"}} {
			winners[firstServed(env, "one-slot-"+strconv.Itoa(round), paths, fields)] = true
			env.update(func() { env.table.Backends = nil })
		}
		return strings.Join(slices.Sorted(maps.Keys(winners)), " or ")
	}
}

// firstServed fills a backend with requests that end one after the other, queues a request for each
// path in order, and returns the path of the one that the backend received first.
func firstServed(env *testEnv, name string, paths []string, fields string) string {
	const full, work = 3, 60 * time.Millisecond
	backend := env.addBackendAt(name, "plain", "e1", 1)
	for number := range full {
		backend.handleNext(delayed(time.Duration(number+1)*work, succeed))
	}
	group := sync.WaitGroup{}
	start := func(path, fields string) {
		client, id := env.client(), env.newID()
		group.Go(func() {
			defer client.conn.Close()
			if reply := client.roundTrip("GET", rawRequest("GET", path, id, fields, "")); reply.status != 200 {
				env.test.Errorf("%s: status %d, error %v", path, reply.status, reply.err)
			}
		})
		synctest.Wait()
	}
	for range full {
		start("/once/filler", "")
	}
	for _, path := range paths {
		if path == "/again/a" {
			start(path, fields)
		} else {
			start(path, "")
		}
	}
	group.Wait()
	return strings.Fields(backend.requests()[full].requestLine)[1]
}

func servingBackend(env *testEnv) string {
	env.get("/again/a")
	received := env.receivedRequests()
	if len(received) != 1 {
		return fmt.Sprintf("%d received requests", len(received))
	}
	return received[0].backend
}

// majorityBackend returns the backend that gets about 3/4 of many requests.
func majorityBackend(env *testEnv) string {
	const requests = 400
	for range requests {
		env.get("/again/a")
	}
	for name, backend := range env.backends {
		if count := len(backend.requests()); count > requests*2/3 && count < requests*5/6 {
			return name
		}
	}
	return "neither"
}

func attemptsOnFailure(env *testEnv) string {
	env.backends["b-plain"].handleByDefault(respondStatus("500 X"))
	env.addBackend("b-second").handleByDefault(respondStatus("500 X"))
	env.get("/again/a")
	return strconv.Itoa(len(env.receivedRequests()))
}

// concurrentConnections returns how many connections a burst of requests opens to one backend.
func concurrentConnections(env *testEnv) string {
	env.backends["b-plain"].handleByDefault(delayed(100*time.Millisecond, succeed))
	group := sync.WaitGroup{}
	for range 20 {
		client, text := env.client(), rawRequest("GET", "/again/a", env.newID(), "", "")
		group.Go(func() {
			defer client.conn.Close()
			client.roundTrip("GET", text)
		})
	}
	group.Wait()
	return strconv.Itoa(env.backends["b-plain"].connections())
}

// rejectedField returns the path of the field for which the configuration is rejected.
func rejectedField(env *testEnv) string {
	err := env.state.Config.Check()
	if err == nil {
		return "taken"
	}
	return rpc.AsError(err).Details[0].Path
}

// requestsWhileCold reports whether a cold backend gets more requests in a second than a warm-up
// rate of 4 allows all proxies together: 1.5 times the rate plus 5.
func requestsWhileCold(env *testEnv) string {
	env.update(func() {
		env.table.Backends = []message.Backend{
			{
				Name:     "b-plain",
				Service:  "plain",
				Address:  "b-plain:80",
				Zone:     "e1",
				Capacity: 8,
				WarmAtMs: time.Now().Add(time.Hour).UnixMilli(),
			},
		}
	})
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		env.get("/again/a")
	}
	if len(env.receivedRequests()) <= 4*3/2+5 {
		return "up to 11 in a second"
	}
	return "more"
}

func tenantAtBackend(env *testEnv) string {
	statusOf("Authorization: Key k1\r\n")(env)
	return env.receivedRequests()[0].get("Tenant")
}

// resultOfPartialHead returns the result of a request whose head is never completed.
func resultOfPartialHead(env *testEnv) string {
	client := env.client()
	defer client.conn.Close()
	return statusAndDuration(client.roundTrip("GET", rawRequest("GET", "/again/a", "id", "", "")[:20]), "")
}

// idleCloseTime returns how long after a response the connection is closed.
func idleCloseTime(env *testEnv) string {
	client := env.client()
	defer client.conn.Close()
	client.roundTrip("GET", rawRequest("GET", "/again/a", "id", "", ""))
	begin := time.Now()
	if _, err := client.reader.ReadByte(); err == nil {
		return "open"
	}
	return fmt.Sprintf("closed after %v", time.Since(begin))
}
