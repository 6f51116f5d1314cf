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

// fieldCheck shows that a field of the routing acts: with either value in it, a client, a
// backend or an operator sees something else.
type fieldCheck struct {
	first, second func(*routing.Config)
	observe       func(*world) string
	wants         [2]string
}

// fieldChecks are the checks of all fields that an operator may send, by type and name. The
// route is "again", with the service "plain"; the tenant holds the key k1.
var fieldChecks = map[string]fieldCheck{
	"Config.KeysRequired": {
		first:   config(func(config *routing.Config) { config.KeysRequired = false }),
		second:  config(func(config *routing.Config) { config.KeysRequired = true }),
		observe: statusOf(""),
		wants:   [2]string{"200", "401"},
	},
	"Route.Name": {
		first:   route(func(route *routing.Route) { route.Name = "again" }),
		second:  route(func(route *routing.Route) { route.Name = "kept" }),
		observe: statusWithoutRoute("again"),
		wants:   [2]string{"404", "200"},
	},
	"Route.Host": {
		first:   route(func(route *routing.Route) { route.Host = "host.example" }),
		second:  route(func(route *routing.Route) { route.Host = "else.example" }),
		observe: statusOf(""),
		wants:   [2]string{"200", "404"},
	},
	"Route.Prefix": {
		first:   route(func(route *routing.Route) { route.Prefix = "/again/" }),
		second:  route(func(route *routing.Route) { route.Prefix = "/else/" }),
		observe: statusOf(""),
		wants:   [2]string{"200", "404"},
	},
	"Route.Kind": {
		first:   route(func(route *routing.Route) { route.Kind = routing.NonIdempotent }),
		second:  route(func(route *routing.Route) { route.Kind = routing.Idempotent }),
		observe: statusAfterReset,
		wants:   [2]string{"502", "200"},
	},
	"Route.TimeoutMs": {
		first:   route(func(route *routing.Route) { route.TimeoutMs = 300 }),
		second:  route(func(route *routing.Route) { route.TimeoutMs = 900 }),
		observe: endOfSilence,
		wants:   [2]string{"504 after 350ms", "504 after 950ms"},
	},
	"Route.TargetMs": {
		first:   route(func(route *routing.Route) { route.TargetMs = 400 }),
		second:  route(func(route *routing.Route) { route.TargetMs = 1200 }),
		observe: endOfWait,
		wants:   [2]string{"503 after 100ms", "503 after 300ms"},
	},
	"Route.Priority": {
		first:   route(func(route *routing.Route) { route.Priority = 0 }),
		second:  route(func(route *routing.Route) { route.Priority = 2 }),
		observe: firstOfTwo(""),
		wants:   [2]string{"/again/a", "/once/a"},
	},
	"Route.Service": {
		first:   route(func(route *routing.Route) { route.Service = "plain" }),
		second:  route(func(route *routing.Route) { route.Service = "other" }),
		observe: backendOf,
		wants:   [2]string{"b-plain", "b-other"},
	},
	"Route.Split": {
		first: route(func(route *routing.Route) {
			route.Service, route.Split = "", []routing.WeightedService{{Service: "plain", Weight: 1}, {Service: "other", Weight: 0}}
		}),
		second: route(func(route *routing.Route) {
			route.Service, route.Split = "", []routing.WeightedService{{Service: "plain", Weight: 0}, {Service: "other", Weight: 1}}
		}),
		observe: backendOf,
		wants:   [2]string{"b-plain", "b-other"},
	},
	"WeightedService.Weight": {
		first: route(func(route *routing.Route) {
			route.Service, route.Split = "", []routing.WeightedService{{Service: "plain", Weight: 3}, {Service: "other", Weight: 1}}
		}),
		second: route(func(route *routing.Route) {
			route.Service, route.Split = "", []routing.WeightedService{{Service: "plain", Weight: 1}, {Service: "other", Weight: 3}}
		}),
		observe: mostlyAt,
		wants:   [2]string{"b-plain", "b-other"},
	},
	"WeightedService.Service": {
		first: route(func(route *routing.Route) {
			route.Service, route.Split = "", []routing.WeightedService{{Service: "plain", Weight: 1}}
		}),
		second: route(func(route *routing.Route) {
			route.Service, route.Split = "", []routing.WeightedService{{Service: "other", Weight: 1}}
		}),
		observe: backendOf,
		wants:   [2]string{"b-plain", "b-other"},
	},
	"Route.Attempts": {
		first:   route(func(route *routing.Route) { route.Attempts = 1 }),
		second:  route(func(route *routing.Route) { route.Attempts = 2 }),
		observe: attemptsOfFailure,
		wants:   [2]string{"1", "2"},
	},
	"Route.Public": {
		first:   config(func(config *routing.Config) { config.KeysRequired, config.Routes[1].Public = true, false }),
		second:  config(func(config *routing.Config) { config.KeysRequired, config.Routes[1].Public = true, true }),
		observe: statusOf(""),
		wants:   [2]string{"401", "200"},
	},
	"Route.Homes": {
		first:   route(func(route *routing.Route) { route.Homes = []string{"west"} }),
		second:  route(func(route *routing.Route) { route.Homes = []string{"east"} }),
		observe: statusOf(""),
		wants:   [2]string{"503", "200"},
	},
	"Service.Name": {
		first:   config(func(config *routing.Config) { config.Services[0].Name, config.Routes[1].Service = "plain", "plain" }),
		second:  config(func(config *routing.Config) { config.Services[0].Name, config.Routes[1].Service = "else", "else" }),
		observe: statusOf(""),
		wants:   [2]string{"200", "503"},
	},
	"Service.MaxConnections": {
		first:   service(func(service *routing.Service) { service.MaxConnections = 5 }),
		second:  service(func(service *routing.Service) { service.MaxConnections = 10 }),
		observe: connectionsAtOnce,
		wants:   [2]string{"4", "8"},
	},
	"Service.Protocol": {
		first:   service(func(service *routing.Service) { service.Protocol = "h1" }),
		second:  service(func(service *routing.Service) { service.Protocol = "h2" }),
		observe: acceptance,
		wants:   [2]string{"taken", "services.plain.protocol"},
	},
	"Service.TLS": {
		first:   service(func(service *routing.Service) { service.TLS = false }),
		second:  service(func(service *routing.Service) { service.TLS = true }),
		observe: acceptance,
		wants:   [2]string{"taken", "services.plain.tls"},
	},
	"Service.WarmupRate": {
		first:   service(func(service *routing.Service) { service.WarmupRate = 4 }),
		second:  service(func(service *routing.Service) { service.WarmupRate = 40 }),
		observe: coldArrivals,
		wants:   [2]string{"up to 11 in a second", "more"},
	},
	"Tenant.Name": {
		first:   tenant(func(tenant *routing.Tenant) { tenant.Name = "first" }),
		second:  tenant(func(tenant *routing.Tenant) { tenant.Name = "second" }),
		observe: tenantAtBackend,
		wants:   [2]string{"first", "second"},
	},
	"Tenant.Keys": {
		first:   tenant(func(tenant *routing.Tenant) { tenant.Keys = []string{"k1"} }),
		second:  tenant(func(tenant *routing.Tenant) { tenant.Keys = []string{"k2"} }),
		observe: statusOf("Authorization: Key k1\r\n"),
		wants:   [2]string{"200", "401"},
	},
	"Tenant.HasPriority": {
		first:   tenant(func(tenant *routing.Tenant) { tenant.HasPriority, tenant.Priority = false, 0 }),
		second:  tenant(func(tenant *routing.Tenant) { tenant.HasPriority, tenant.Priority = true, 0 }),
		observe: firstOfTwo("Authorization: Key k1\r\n"),
		wants:   [2]string{"/once/a", "/again/a"},
	},
	"Tenant.Priority": {
		first:   tenant(func(tenant *routing.Tenant) { tenant.HasPriority, tenant.Priority = true, 2 }),
		second:  tenant(func(tenant *routing.Tenant) { tenant.HasPriority, tenant.Priority = true, 0 }),
		observe: firstOfTwo("Authorization: Key k1\r\n"),
		wants:   [2]string{"/once/a", "/again/a"},
	},
	"Tenant.Homes": {
		first:   tenant(func(tenant *routing.Tenant) { tenant.Homes = []string{"west"} }),
		second:  tenant(func(tenant *routing.Tenant) { tenant.Homes = []string{"east"} }),
		observe: statusOf("Authorization: Key k1\r\n"),
		wants:   [2]string{"503", "200"},
	},
	"Limits.HeaderBytes": {
		first:   limits(func(limits *routing.Limits) { limits.HeaderBytes = 4096 }),
		second:  limits(func(limits *routing.Limits) { limits.HeaderBytes = 70_000 }),
		observe: statusOf("Long: " + strings.Repeat("x", 66_000) + "\r\n"),
		wants:   [2]string{"431", "200"},
	},
	"Limits.BodyBytes": {
		first:   limits(func(limits *routing.Limits) { limits.BodyBytes = 10 }),
		second:  limits(func(limits *routing.Limits) { limits.BodyBytes = 11 }),
		observe: statusOfBody(11),
		wants:   [2]string{"413", "200"},
	},
	"Limits.HeaderMs": {
		first:   limits(func(limits *routing.Limits) { limits.HeaderMs = 700 }),
		second:  limits(func(limits *routing.Limits) { limits.HeaderMs = 7000 }),
		observe: endOfPartialHead,
		wants:   [2]string{"408 after 700ms", "408 after 7s"},
	},
	"Limits.IdleMs": {
		first:   limits(func(limits *routing.Limits) { limits.IdleMs = 700 }),
		second:  limits(func(limits *routing.Limits) { limits.IdleMs = 70_000 }),
		observe: endOfRest,
		wants:   [2]string{"closed after 700ms", "closed after 1m10s"},
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

// containers hold fields that are gone through themselves; a version is the operator's own
// (control.TestDecideNamesTheStaleBaseFirst), and what the product does not know is only
// given back (platform.TestConfigRoundTripsUnchanged).
var containers = []reflect.Type{
	reflect.TypeFor[[]routing.Route](), reflect.TypeFor[[]routing.Service](), reflect.TypeFor[[]routing.Tenant](),
	reflect.TypeFor[routing.Limits](), reflect.TypeFor[uint64](), reflect.TypeFor[[]routing.Extra](),
}

// Three limits were read, checked, replicated and given back, and used nowhere: a field that
// an operator may send must act, and one without a check here fails.
func TestEveryFieldOfTheRoutingActs(test *testing.T) {
	seen := map[string]bool{}
	for _, owner := range []reflect.Type{
		reflect.TypeFor[routing.Config](), reflect.TypeFor[routing.Route](), reflect.TypeFor[routing.WeightedService](),
		reflect.TypeFor[routing.Service](), reflect.TypeFor[routing.Tenant](), reflect.TypeFor[routing.Limits](),
	} {
		for field := range owner.Fields() {
			if slices.Contains(containers, field.Type) {
				continue
			}
			name := owner.Name() + "." + field.Name
			seen[name] = true
			test.Run(name, func(test *testing.T) { checkField(test, name) })
		}
	}
	for name := range fieldChecks {
		if !seen[name] {
			test.Errorf("a check of %s, which is no field", name)
		}
	}
}

func checkField(test *testing.T, name string) {
	check, found := fieldChecks[name]
	if !found {
		test.Fatal("no check shows that the field acts")
	}
	for index, set := range []func(*routing.Config){check.first, check.second} {
		inWorld(test, func(world *world) {
			world.addAt("b-plain", "plain", "e1", 8)
			world.addAt("b-other", "other", "e1", 8)
			world.lay(func() { set(&world.book.Config) })
			if got := check.observe(world); got != check.wants[index] {
				test.Errorf("value %d: %q, want %q", index+1, got, check.wants[index])
			}
		})
	}
}

func statusOf(fields string) func(*world) string {
	return func(world *world) string {
		client := world.client()
		defer client.pipe.Close()
		return strconv.Itoa(client.ask("GET", raw("GET", "/again/a", world.id(), fields, "")).status)
	}
}

func statusOfBody(size int) func(*world) string {
	return func(world *world) string {
		client := world.client()
		defer client.pipe.Close()
		body := string(letters(0, size))
		return strconv.Itoa(client.ask("POST", raw("POST", "/again/a", world.id(), "", body)).status)
	}
}

// statusWithoutRoute is the status once a patch has removed a route by its name.
func statusWithoutRoute(name string) func(*world) string {
	return func(world *world) string {
		world.lay(func() {
			patched, err := world.book.Config.Apply(&routing.Patch{RemoveRoutes: []string{name}})
			if err != nil {
				world.test.Error(err)
			}
			world.book.Config = patched
		})
		return statusOf("")(world)
	}
}

// statusAfterReset is the status of a request whose first backend breaks off, with another
// one there.
func statusAfterReset(world *world) string {
	breaking := first(resetAfterReading)
	world.backends["b-plain"].ever(breaking)
	world.add("b-second").ever(breaking)
	reply, _ := world.get("/again/a")
	return strconv.Itoa(reply.status)
}

// endOfSilence is what becomes of a request whose backend does not answer: it is held for its
// timeout and deadlineSlack.
func endOfSilence(world *world) string {
	world.backends["b-plain"].ever(silent)
	return ended(world.get("/again/a"))
}

// endOfWait is what becomes of a request for which no backend has room.
func endOfWait(world *world) string {
	world.lay(func() { world.table.Backends = nil })
	world.addAt("one-slot", "plain", "e1", 1).ever(silent)
	for range 3 {
		client := world.client()
		defer client.pipe.Close()
		client.send(raw("GET", "/once/filler", world.id(), "", ""))
		synctest.Wait()
	}
	return ended(world.get("/again/a"))
}

func ended(reply reply, _ string) string { return fmt.Sprintf("%d after %v", reply.status, reply.took) }

// firstOfTwo is the path of the request that is served first of two that wait for the same
// backend, whichever came first: one of the route "again", and one of the route "once",
// whose priority is 1. With a tenant's fields, that of "again" is 2.
func firstOfTwo(fields string) func(*world) string {
	return func(world *world) string {
		world.lay(func() {
			routes := world.book.Config.Routes
			routes[0].Priority, routes[0].Public = 1, true
			if fields != "" {
				routes[1].Priority = 2
			}
			world.table.Backends = nil
		})
		winners := map[string]bool{}
		for round, paths := range [][]string{{"/once/a", "/again/a"}, {"/again/a", "/once/a"}} {
			winners[contest(world, "one-slot-"+strconv.Itoa(round), paths, fields)] = true
			world.lay(func() { world.table.Backends = nil })
		}
		return strings.Join(slices.Sorted(maps.Keys(winners)), " or ")
	}
}

// contest fills a backend with requests that end one after the other, lets two more wait for
// it, in the order of their paths, and returns the path of the one that came to it first.
func contest(world *world, name string, paths []string, fields string) string {
	const full, work = 3, 60 * time.Millisecond
	backend := world.addAt(name, "plain", "e1", 1)
	for number := range full {
		backend.then(after(time.Duration(number+1)*work, well))
	}
	asking := sync.WaitGroup{}
	ask := func(path, fields string) {
		client, id := world.client(), world.id()
		asking.Go(func() {
			defer client.pipe.Close()
			if reply := client.ask("GET", raw("GET", path, id, fields, "")); reply.status != 200 {
				world.test.Errorf("%s: %d %v", path, reply.status, reply.broken)
			}
		})
		synctest.Wait()
	}
	for range full {
		ask("/once/filler", "")
	}
	for _, path := range paths {
		if path == "/again/a" {
			ask(path, fields)
		} else {
			ask(path, "")
		}
	}
	asking.Wait()
	return strings.Fields(backend.seen()[full].line)[1]
}

func backendOf(world *world) string {
	world.get("/again/a")
	arrived := world.arrivals()
	if len(arrived) != 1 {
		return fmt.Sprintf("%d arrivals", len(arrived))
	}
	return arrived[0].backend
}

// mostlyAt is the backend that gets three in four of many requests.
func mostlyAt(world *world) string {
	const requests = 400
	for range requests {
		world.get("/again/a")
	}
	for name, backend := range world.backends {
		if count := len(backend.seen()); count > requests*2/3 && count < requests*5/6 {
			return name
		}
	}
	return "neither"
}

func attemptsOfFailure(world *world) string {
	world.backends["b-plain"].ever(status("500 X"))
	world.add("b-second").ever(status("500 X"))
	world.get("/again/a")
	return strconv.Itoa(len(world.arrivals()))
}

// connectionsAtOnce is how many connections a burst of requests opens to one backend.
func connectionsAtOnce(world *world) string {
	world.backends["b-plain"].ever(after(100*time.Millisecond, well))
	asking := sync.WaitGroup{}
	for range 20 {
		client, text := world.client(), raw("GET", "/again/a", world.id(), "", "")
		asking.Go(func() {
			defer client.pipe.Close()
			client.ask("GET", text)
		})
	}
	asking.Wait()
	return strconv.Itoa(world.backends["b-plain"].connections())
}

// acceptance is the field that is refused when the routing is sent.
func acceptance(world *world) string {
	err := world.book.Config.Check()
	if err == nil {
		return "taken"
	}
	return rpc.AsError(err).Details[0].Path
}

// coldArrivals is whether a cold backend gets more in a second than a warm-up rate of 4 lets
// all proxies send: 1.5 times that, and 5.
func coldArrivals(world *world) string {
	world.lay(func() {
		world.table.Backends = []message.Backend{
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
		world.get("/again/a")
	}
	if len(world.arrivals()) <= 4*3/2+5 {
		return "up to 11 in a second"
	}
	return "more"
}

func tenantAtBackend(world *world) string {
	statusOf("Authorization: Key k1\r\n")(world)
	return world.arrivals()[0].get("Tenant")
}

// endOfPartialHead is what becomes of a head that never ends.
func endOfPartialHead(world *world) string {
	client := world.client()
	defer client.pipe.Close()
	return ended(client.ask("GET", raw("GET", "/again/a", "id", "", "")[:20]), "")
}

// endOfRest is when a connection is closed after an answer.
func endOfRest(world *world) string {
	client := world.client()
	defer client.pipe.Close()
	client.ask("GET", raw("GET", "/again/a", "id", "", ""))
	begin := time.Now()
	if _, err := client.reader.ReadByte(); err == nil {
		return "open"
	}
	return fmt.Sprintf("closed after %v", time.Since(begin))
}
