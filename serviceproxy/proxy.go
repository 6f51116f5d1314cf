package serviceproxy

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/config"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// Proxy is the HTTP handler that forwards requests to backends. It lives as long as the process
// and replaces its plan with each version.
type Proxy struct {
	daemon     *agent.Daemon
	goroutines *concurrent.Group
	counters   *metrics.Counters
	dial       Dialer
	budget     *retryBudget
	claims     *Claims
	usage      *metrics.Counters
	admission  *Admission
	retries    *retryDetector
	lending    *LendingLimit
	warmed     atomic.Bool
	plan       atomic.Pointer[plan]
	mutex      sync.Mutex
	targets    map[string]*Target
	taskIDs    atomic.Uint64
	prefix     string
}

// plan is this proxy's immutable view of one version.
type plan struct {
	routes     *Routes
	services   map[string][]*Target
	allTargets []*Target
	drainedAt  time.Time
	complete   bool
	proxies    int
}

// NewProxy returns a proxy without a version; it refuses requests until Apply. It
// registers its usage, demand and readiness with the daemon.
func NewProxy(daemon *agent.Daemon, goroutines *concurrent.Group, counters *metrics.Counters, dial Dialer) *Proxy {
	proxy := &Proxy{
		daemon:     daemon,
		goroutines: goroutines,
		counters:   counters,
		dial:       dial,
		budget:     newRetryBudget(),
		usage:      metrics.NewCounters(),
		admission:  NewAdmission(),
		retries:    newRetryDetector(),
		targets:    map[string]*Target{},
		prefix:     agent.NewID()[:10],
	}
	proxy.claims = newClaims(proxy)
	daemon.SetKeyReplica(proxy.claims.Joined)
	daemon.SetWarmedUp(proxy.warm)
	daemon.SetUsage(proxy.usage.All)
	daemon.SetDemand(proxy.admission.Demand)
	daemon.OnRetire(proxy.claims.coreStore.flush)
	return proxy
}

// Run starts the proxy's background work.
func (proxy *Proxy) Run() {
	proxy.goroutines.Every(concurrent.Fixed(joinInterval), proxy.claims.join)
	proxy.goroutines.Start(proxy.claims.coreStore.deliver)
	proxy.goroutines.OnStop(func() {
		proxy.claims.coreStore.queue.Close()
		for _, target := range proxy.plan.Load().targets() {
			target.probeHint.Notify()
		}
	})
}

// Apply puts a version in force; one without settings is ignored.
func (proxy *Proxy) Apply(version *agent.Version) {
	if version.Settings == nil {
		return
	}
	proxies := 0
	for _, member := range version.Table.Members {
		if member.Kind == message.ProxyKind {
			proxies++
		}
	}
	proxies = max(proxies, 1)
	proxy.budget.setProxies(proxies)
	proxy.budget.setLimits(version.Settings.Retry.Fraction, version.Settings.Retry.Floor)
	proxy.claims.store.SetTTL(version.Settings.KeyTTL())
	proxy.admission.Apply(version.Settings, version.Table, proxy.daemon.Name())
	next := &plan{services: map[string][]*Target{}, complete: version.Table.Complete, proxies: proxies}
	next.routes = proxy.plan.Load().nextRoutes(version)
	proxy.mutex.Lock()
	listed := map[string]bool{}
	for _, backend := range version.Table.Backends {
		listed[backend.Name] = true
		target := proxy.targets[backend.Name]
		if target == nil || target.backend().Address != backend.Address || target.backend().Service != backend.Service {
			if target != nil {
				target.close()
			}
			target = newTarget(backend, proxy.dial)
			proxy.targets[backend.Name] = target
			proxy.goroutines.Start(func() { proxy.watchTarget(target) })
		}
		target.updateListing(backend, warmupShares(version.Table, backend, proxy.daemon.Name()))
		next.services[backend.Service] = append(next.services[backend.Service], target)
		next.allTargets = append(next.allTargets, target)
	}
	for name, target := range proxy.targets {
		if !listed[name] {
			target.close()
			delete(proxy.targets, name)
		}
	}
	proxy.mutex.Unlock()
	if next.routes.Drained(proxy.daemon.Zone()) {
		next.drainedAt = time.Now()
		if before := proxy.plan.Load(); before != nil && !before.drainedAt.IsZero() {
			next.drainedAt = before.drainedAt
		}
	}
	proxy.plan.Store(next)
	proxy.claims.apply(newKeyReplicas(version.Table, next.routes.regions), version.Table.Version)
}

// nextRoutes returns the routes of a version; the same serial reuses those of this plan.
func (plan *plan) nextRoutes(version *agent.Version) *Routes {
	if plan == nil {
		return NewRoutes(version.Serial, version.Settings, nil)
	}
	if plan.routes.Serial == version.Serial {
		return plan.routes
	}
	return NewRoutes(version.Serial, version.Settings, plan.routes)
}

// warmupShares returns how many proxies share a backend's warm-up rate, or 0 if the proxy called
// name is not one of them. All that read the same table choose the same few.
func warmupShares(table *message.Table, backend message.Backend, name string) int {
	ahead, count, ownRank := 0, 0, Rank(backend.Name, name)
	for _, member := range table.Members {
		if member.Kind != message.ProxyKind || member.Leaving {
			continue
		}
		count++
		if member.Name != name && Rank(backend.Name, member.Name) > ownRank {
			ahead++
		}
	}
	if ahead >= maxWarmupProxies {
		return 0
	}
	return max(min(maxWarmupProxies, count), 1)
}

func (plan *plan) targets() []*Target {
	if plan == nil {
		return nil
	}
	return plan.allTargets
}

// warm reports whether every backend of a complete plan was probed once, and then stays true.
func (proxy *Proxy) warm() bool {
	if proxy.warmed.Load() {
		return true
	}
	plan := proxy.plan.Load()
	if plan == nil || !plan.complete {
		return false
	}
	for _, target := range plan.allTargets {
		if !target.firstProbeDone.Load() {
			return false
		}
	}
	proxy.warmed.Store(true)
	return true
}

// watchTarget probes one target until it is no longer listed or the proxy stops.
func (proxy *Proxy) watchTarget(target *Target) {
	for {
		proxy.mutex.Lock()
		listed := proxy.targets[target.backend().Name] == target
		proxy.mutex.Unlock()
		if !listed {
			return
		}
		seen := target.probeHint.Count()
		serial, err := target.probe()
		proxy.counters.Add("probes", 1)
		if err != nil {
			proxy.counters.Add("probes_"+string(rpc.CodeOf(err)), 1)
		} else {
			proxy.daemon.ObserveSerial(serial)
		}
		interval := minProbeInterval
		if plan := proxy.plan.Load(); plan != nil && err == nil {
			interval = probeInterval(plan.proxies)
		}
		target.probeHint.Wait(seen, interval)
		if proxy.goroutines.Stopping() {
			return
		}
	}
}

// Probes returns this proxy's view of each backend's health, for its report to the cores.
func (proxy *Proxy) Probes() []message.Probe {
	plan := proxy.plan.Load()
	if plan == nil {
		return nil
	}
	probes := make([]message.Probe, 0, len(plan.allTargets))
	for _, target := range plan.allTargets {
		probes = append(probes, target.report())
	}
	return probes
}

// pickBackend returns the less loaded of two random backends that may serve the request, and takes
// an in-flight slot there.
func (plan *plan) pickBackend(route *config.FlatRoute, tenant int, tried map[*Target]bool) (*Target, bool) {
	type choice struct {
		target *Target
		load   float64
	}
	choices := []choice{}
	for _, target := range plan.services[route.Service] {
		zone := target.backend().Zone
		if tried[target] || plan.routes.drainedZones[zone] || plan.routes.drainedBackends[target.backend().Name] ||
			!plan.routes.allowed(zone, tenant, route) {
			continue
		}
		if usable, load := target.usable(); usable {
			choices = append(choices, choice{target, load})
		}
	}
	for len(choices) > 0 {
		first, second := rand.IntN(len(choices)), rand.IntN(len(choices))
		if choices[second].load < choices[first].load {
			first = second
		}
		if choices[first].target.acquire() {
			return choices[first].target, true
		}
		choices = append(choices[:first], choices[first+1:]...)
	}
	return nil, false
}

// utilization returns the mean load of a service's usable backends.
func (plan *plan) utilization(service string) float64 {
	sum, count := 0.0, 0
	for _, target := range plan.services[service] {
		if usable, load := target.usable(); usable {
			sum += min(load, 1)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}
