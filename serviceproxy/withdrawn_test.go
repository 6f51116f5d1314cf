package serviceproxy

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/config"
	"orchidjunction/message"
	"orchidjunction/metrics"
)

// withdrawalFixture is a proxy with two backends. The one that is dialled first is withdrawn
// during the dial.
type withdrawalFixture struct {
	proxy        *Proxy
	withdraw     func(fixture *withdrawalFixture, target *Target)
	dialledFirst string         // name of a backend
	requests     map[string]int // requests per backend
}

func newWithdrawalFixture(withdraw func(*withdrawalFixture, *Target)) *withdrawalFixture {
	fixture := &withdrawalFixture{withdraw: withdraw, requests: map[string]int{}}
	fixture.proxy = &Proxy{counters: metrics.NewCounters(), budget: newRetryBudget(), usage: metrics.NewCounters()}
	fixture.proxy.dial = fixture.dial
	fixture.apply(&config.Settings{})
	for _, name := range []string{"b1", "b2"} {
		target := newTarget(message.Backend{Name: name, Service: "plain", Address: name + ":80", Zone: "zone-" + name}, fixture.dial)
		target.identity, target.identityKnown = Identity{Incarnation: name}, true
		services := fixture.proxy.plan.Load().services
		services["plain"] = append(services["plain"], target)
	}
	return fixture
}

// apply puts other settings in force, with the same targets.
func (fixture *withdrawalFixture) apply(settings *config.Settings) {
	next := &plan{routes: NewRoutes(1, settings, nil), services: map[string][]*Target{}}
	if before := fixture.proxy.plan.Load(); before != nil {
		next.services = before.services
	}
	fixture.proxy.plan.Store(next)
}

func (fixture *withdrawalFixture) dial(_ context.Context, _, address string) (net.Conn, error) {
	if fixture.dialledFirst == "" {
		fixture.dialledFirst = strings.TrimSuffix(address, ":80")
		for _, target := range fixture.proxy.plan.Load().services["plain"] {
			if target.backend().Address == address {
				fixture.withdraw(fixture, target)
			}
		}
	}
	client, server := net.Pipe()
	go fixture.serve(strings.TrimSuffix(address, ":80"), server)
	return client, nil
}

// serve answers as a backend until the proxy closes the connection.
func (fixture *withdrawalFixture) serve(name string, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := fmt.Sprintf(`{"service":"plain","instance":%q,"incarnation":%q}`, name, name)
		if request.URL.Path != "/oj/identity" {
			fixture.requests[name]++
			body = "done"
		}
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nOj-Task: %s\r\nContent-Length: %d\r\n\r\n%s",
			request.Header.Get("Oj-Task"), len(body), body)
		if err != nil {
			return
		}
	}
}

// send sends one task that has a single attempt.
func (fixture *withdrawalFixture) send() error {
	task := &task{
		proxy:    fixture.proxy,
		plan:     fixture.proxy.plan.Load(),
		state:    newStateMachine(fixture.proxy.counters),
		id:       "task-1",
		request:  httptest.NewRequest(http.MethodPost, "/charge", nil),
		route:    &config.FlatRoute{Service: "plain", Attempts: 1, ResponseBytes: 1000},
		path:     "/charge",
		deadline: time.Now().Add(time.Second),
		tried:    map[*Target]bool{},
	}
	task.plan.routes.tenants = []tenantEntry{{name: "tenant"}}
	return task.sendWithRetries()
}

// A task was sent to a backend that was withdrawn during the dial (DRAIN, issue 33). It must go to
// another one, without using up its attempt.
func TestWithdrawnDuringDial(test *testing.T) {
	for name, withdraw := range map[string]func(*withdrawalFixture, *Target){
		"leaves": func(_ *withdrawalFixture, target *Target) {
			backend := target.backend()
			backend.Leaving = true
			target.updateListing(backend, 0)
		},
		"is unlisted": func(_ *withdrawalFixture, target *Target) { target.close() },
		"is drained": func(fixture *withdrawalFixture, target *Target) {
			fixture.apply(&config.Settings{Drained: config.Drained{Backends: []string{target.backend().Name}}})
		},
		"its zone is drained": func(fixture *withdrawalFixture, target *Target) {
			fixture.apply(&config.Settings{Drained: config.Drained{Zones: []string{target.backend().Zone}}})
		},
	} {
		test.Run(name, func(test *testing.T) {
			synctest.Test(test, func(test *testing.T) {
				fixture := newWithdrawalFixture(withdraw)
				if err := fixture.send(); err != nil {
					test.Error(err)
				}
				if fixture.requests[fixture.dialledFirst] != 0 || len(fixture.requests) != 1 {
					test.Errorf("requests per backend %v, withdrawn backend %s", fixture.requests, fixture.dialledFirst)
				}
				for _, target := range fixture.proxy.plan.Load().services["plain"] {
					if target.inFlight != 0 {
						test.Errorf("%d requests still in flight at %s", target.inFlight, target.backend().Name)
					}
					target.close()
				}
			})
		})
	}
}
