package hostproxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rollout/score"
	"orchidjunction/routing"
)

const (
	// maintenanceInterval is the interval between checks for expired connections and ejected
	// targets.
	maintenanceInterval = 250 * time.Millisecond
	// waitInterval limits a single wait for capacity; the request then checks again.
	waitInterval = 50 * time.Millisecond
	// maxUnsentAttempts limits the attempts of a request that cannot be sent to any backend.
	maxUnsentAttempts = 6
	// After the evacuation of their zone ends, backends are suspect for ListLag plus
	// suspectMargin.
	suspectMargin = 2 * time.Second
)

// Proxy forwards client requests to backends according to the current view.
type Proxy struct {
	config          Config
	dial            Dialer
	goroutines      *concurrent.Group
	counters        *metrics.Counters
	clock           func() time.Time
	clusterTimeMs   func() int64
	strippedHeaders map[string]bool
	view            atomic.Pointer[routingView]
	stats           *routeStats
	usageMeter      *usageMeter
	requestMetrics  *requestMetrics
	references      *score.References
	capacityFreed   *concurrent.Condition
	queues          waitQueues
	inFlight        inFlightCounter
	memory          *RequestMemory
	uploads         *pendingUploads
	inbound         *linkShaper
	outbound        *linkShaper
	transfers       *transferLimiter
	leaving         atomic.Bool
	limitsHook      func(routing.Limits)

	applyMutex       sync.Mutex
	targets          map[string]*target
	budgets          map[string]*retryBudget
	evacuatedZones   map[string]bool
	rollouts         map[string]*rollout // by service
	lastTargetNumber uint32
	stableVersions   map[string]string // by service: the version that serves if no rollout is active
	maxProxiesSeen   int
}

// NewProxy returns a proxy. clusterTimeMs returns the cluster time, which the cores agree on, in
// milliseconds.
func NewProxy(config Config, dial Dialer, clusterTimeMs func() int64, goroutines *concurrent.Group, counters *metrics.Counters) *Proxy {
	proxy := &Proxy{
		config:          config,
		dial:            dial,
		goroutines:      goroutines,
		counters:        counters,
		clock:           time.Now,
		clusterTimeMs:   clusterTimeMs,
		stats:           newRouteStats(),
		requestMetrics:  newRequestMetrics(counters),
		references:      score.NewReferences(),
		capacityFreed:   concurrent.NewCondition(),
		targets:         map[string]*target{},
		budgets:         map[string]*retryBudget{},
		memory:          newRequestMemory(config.MemoryBytes),
		uploads:         newPendingUploads(),
		evacuatedZones:  map[string]bool{},
		rollouts:        map[string]*rollout{},
		stableVersions:  map[string]string{},
		strippedHeaders: map[string]bool{},
		limitsHook:      func(routing.Limits) {},
	}
	proxy.inbound, proxy.outbound = newShaper(config.LinkBytesPerSecond, proxy.clock()), newShaper(config.LinkBytesPerSecond, proxy.clock())
	proxy.transfers = newTransferLimiter(config.LinkBytesPerSecond)
	proxy.usageMeter = newUsageMeter(config.UsageWindow, clusterTimeMs)
	counters.Gauge("requests_in_flight", func() float64 { return float64(proxy.InFlight()) })
	counters.Gauge("body_bytes_held", func() float64 { return float64(proxy.memory.InUse()) })
	counters.Gauge("backends_ejected", func() float64 { return float64(proxy.ejected()) })
	for _, name := range []string{config.Headers.Deadline, config.Headers.Target, config.Headers.Tenant} {
		proxy.strippedHeaders[http.CanonicalHeaderKey(name)] = true
	}
	return proxy
}

func (config *Config) suspectTTL() time.Duration { return config.BackendListLag + suspectMargin }

// OnLimits sets a hook that receives the client connection limits whenever a routing state is
// applied. It must be called before Apply.
func (proxy *Proxy) OnLimits(hook func(routing.Limits)) { proxy.limitsHook = hook }

// RequestMemory is the memory limit for request bodies and long heads, shared with the listeners.
func (proxy *Proxy) RequestMemory() *RequestMemory { return proxy.memory }

// Run starts the background work: closing expired connections and probing ejected backends.
func (proxy *Proxy) Run() {
	proxy.goroutines.Every(concurrent.Fixed(maintenanceInterval), proxy.maintain)
}

func (proxy *Proxy) maintain() {
	now := proxy.clock()
	proxy.applyMutex.Lock()
	targets := make([]*target, 0, len(proxy.targets))
	for _, target := range proxy.targets {
		targets = append(targets, target)
	}
	proxy.applyMutex.Unlock()
	for _, target := range targets {
		target.closeExpired(now)
		if target.startProbe(now) {
			proxy.goroutines.Start(func() { proxy.probeEjected(target) })
		}
	}
	if view := proxy.view.Load(); view != nil {
		proxy.stats.prune(view.state.Config.Routes)
		proxy.pruneReferences(view.state.Config.Routes)
	}
}

// ejected returns how many targets are currently ejected.
func (proxy *Proxy) ejected() int {
	now := proxy.clock()
	proxy.applyMutex.Lock()
	defer proxy.applyMutex.Unlock()
	count := 0
	for _, target := range proxy.targets {
		if target.isEjected(now) {
			count++
		}
	}
	return count
}

// probeEjected dials an ejected backend, so that no client request is used as the probe.
func (proxy *Proxy) probeEjected(target *target) {
	if !target.reserveConnection(defaultMaxConnections) {
		target.endProbe(proxy.clock(), false)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), farDialTimeout)
	defer cancel()
	conn, err := proxy.dial(ctx, "tcp", target.backend.Address)
	if err != nil {
		target.unreserveConnection()
		target.endProbe(proxy.clock(), false)
		return
	}
	proxy.counters.Add("backends_revived", 1)
	target.endProbe(proxy.clock(), true)
	target.releaseConnection(newConnection(conn))
	proxy.capacityFreed.Notify()
}

// StartDrain makes responses tell clients to close their connections.
func (proxy *Proxy) StartDrain() { proxy.leaving.Store(true) }

// Draining reports whether StartDrain has been called.
func (proxy *Proxy) Draining() bool { return proxy.leaving.Load() }

// InFlight returns the number of requests in progress.
func (proxy *Proxy) InFlight() int { return proxy.inFlight.value() }

// Ready reports whether a view is installed and StartDrain has not been called.
func (proxy *Proxy) Ready() bool { return proxy.view.Load() != nil && !proxy.Draining() }

// HasHomeRegions reports whether requests for a host may be restricted to certain regions. It
// returns true until a view is installed.
func (proxy *Proxy) HasHomeRegions(host string) bool {
	view := proxy.view.Load()
	return view == nil || view.index.HasHomes(host)
}

// UsageWindows returns the usage counts of recent windows.
func (proxy *Proxy) UsageWindows() []message.WindowCount { return proxy.usageMeter.Windows() }
