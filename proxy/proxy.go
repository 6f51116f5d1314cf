package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
)

const (
	tendPace   = 250 * time.Millisecond
	waitPace   = 50 * time.Millisecond
	unsentMost = 6
	doubtSlack = 2 * time.Second
)

// Proxy carries clients' requests to backends by the view in force.
type Proxy struct {
	place      Place
	dial       Dialer
	goroutines *concurrent.Group
	counters   *metrics.Counters
	clock      func() time.Time
	now        func() int64
	withheld   map[string]bool
	view       atomic.Pointer[View]
	stat       *Stat
	meter      *Meter
	freed      *concurrent.Condition
	lines      lines
	flight     flight
	bodies     bodies
	inward     *Lane
	outward    *Lane
	gate       *Gate
	leaving    atomic.Bool

	laying    sync.Mutex
	targets   map[string]*target
	budgets   map[string]*Budget
	evacuated map[string]bool
	most      int
}

// NewProxy makes a proxy; now gives true time in milliseconds.
func NewProxy(place Place, dial Dialer, now func() int64, goroutines *concurrent.Group, counters *metrics.Counters) *Proxy {
	proxy := &Proxy{place: place, dial: dial, goroutines: goroutines, counters: counters, clock: time.Now, now: now, stat: newStat(), freed: concurrent.NewCondition(),
		targets: map[string]*target{}, budgets: map[string]*Budget{}, evacuated: map[string]bool{}, withheld: map[string]bool{}}
	proxy.inward, proxy.outward = newLane(place.LinkBytes, proxy.clock()), newLane(place.LinkBytes, proxy.clock())
	proxy.gate = newGate(place.LinkBytes)
	proxy.meter = newMeter(place.UsageWindow, now)
	for _, name := range []string{place.Headers.Deadline, place.Headers.Target, place.Headers.Tenant} {
		proxy.withheld[http.CanonicalHeaderKey(name)] = true
	}
	return proxy
}

func (place *Place) doubtSpan() time.Duration { return place.ListLag + doubtSlack }

// Run starts the proxy's own duty: old connections go, silent backends are tried.
func (proxy *Proxy) Run() {
	proxy.goroutines.Every(concurrent.Fixed(tendPace), proxy.tend)
}

func (proxy *Proxy) tend() {
	now := proxy.clock()
	proxy.laying.Lock()
	targets := make([]*target, 0, len(proxy.targets))
	for _, target := range proxy.targets {
		targets = append(targets, target)
	}
	proxy.laying.Unlock()
	for _, target := range targets {
		target.expire(now)
		if target.wakes(now) {
			proxy.goroutines.Start(func() { proxy.revive(target) })
		}
	}
	if view := proxy.view.Load(); view != nil {
		proxy.stat.keep(view.book.Config.Routes)
	}
}

// revive dials a backend that was left out, so that no request has to find out.
func (proxy *Proxy) revive(target *target) {
	if !target.reserve(connectionsMost) {
		target.revived(proxy.clock(), false)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialFar)
	defer cancel()
	conn, err := proxy.dial(ctx, "tcp", target.backend.Address)
	if err != nil {
		target.unreserve()
		target.revived(proxy.clock(), false)
		return
	}
	proxy.counters.Add("backends_revived", 1)
	target.revived(proxy.clock(), true)
	target.give(newConnection(conn))
	proxy.freed.Notify()
}

// Leave makes answers tell clients to go elsewhere.
func (proxy *Proxy) Leave() { proxy.leaving.Store(true) }

func (proxy *Proxy) Leaving() bool { return proxy.leaving.Load() }

// InFlight is how many requests are under way.
func (proxy *Proxy) InFlight() int { return proxy.flight.now() }

// Ready is whether a view is in force.
func (proxy *Proxy) Ready() bool { return proxy.view.Load() != nil && !proxy.Leaving() }

// Windows are the usage counts of the last windows.
func (proxy *Proxy) Windows() []message.WindowCount { return proxy.meter.Windows() }
