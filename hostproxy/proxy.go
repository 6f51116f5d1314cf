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
	// maintainInterval is the time between looks for old connections and ejected targets.
	maintainInterval = 250 * time.Millisecond
	// waitInterval bounds one wait for capacity, after which the request looks again.
	waitInterval = 50 * time.Millisecond
	// maxUnsent bounds the backends that a request could not be sent to.
	maxUnsent = 6
	// suspectSlack is added to the list's lag where a zone was opened again.
	suspectSlack = 2 * time.Second
)

// Proxy carries clients' requests to backends by the view in force.
type Proxy struct {
	config          Config
	dial            Dialer
	goroutines      *concurrent.Group
	counters        *metrics.Counters
	clock           func() time.Time
	now             func() int64
	withheldHeaders map[string]bool
	view            atomic.Pointer[routingView]
	stats           *routeStats
	usageMeter      *usageMeter
	figures         *requestMetrics
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
	onLimits        func(routing.Limits)

	applyMutex  sync.Mutex
	targets     map[string]*target
	budgets     map[string]*retryBudget
	evacuated   map[string]bool
	rollouts    map[string]*rollout // by service
	lastTarget  uint32
	standing    map[string]string // the version of each service that serves without a roll-out
	mostProxies int
}

// NewProxy makes a proxy; now gives true time in milliseconds.
func NewProxy(config Config, dial Dialer, now func() int64, goroutines *concurrent.Group, counters *metrics.Counters) *Proxy {
	proxy := &Proxy{
		config:          config,
		dial:            dial,
		goroutines:      goroutines,
		counters:        counters,
		clock:           time.Now,
		now:             now,
		stats:           newRouteStats(),
		figures:         newRequestMetrics(counters),
		references:      score.NewReferences(),
		capacityFreed:   concurrent.NewCondition(),
		targets:         map[string]*target{},
		budgets:         map[string]*retryBudget{},
		memory:          newRequestMemory(config.MemoryBytes),
		uploads:         newPendingUploads(),
		evacuated:       map[string]bool{},
		rollouts:        map[string]*rollout{},
		standing:        map[string]string{},
		withheldHeaders: map[string]bool{},
		onLimits:        func(routing.Limits) {},
	}
	proxy.inbound, proxy.outbound = newShaper(config.LinkBytes, proxy.clock()), newShaper(config.LinkBytes, proxy.clock())
	proxy.transfers = newTransferLimiter(config.LinkBytes)
	proxy.usageMeter = newUsageMeter(config.UsageWindow, now)
	counters.Gauge("requests_in_flight", func() float64 { return float64(proxy.InFlight()) })
	counters.Gauge("body_bytes_held", func() float64 { return float64(proxy.memory.InUse()) })
	counters.Gauge("backends_ejected", func() float64 { return float64(proxy.ejected()) })
	for _, name := range []string{config.Headers.Deadline, config.Headers.Target, config.Headers.Tenant} {
		proxy.withheldHeaders[http.CanonicalHeaderKey(name)] = true
	}
	return proxy
}

func (config *Config) suspectTTL() time.Duration { return config.ListLag + suspectSlack }

// OnLimits calls the hook with the limits of clients' connections, each time that a routing
// state is put in force. It must be called before Apply.
func (proxy *Proxy) OnLimits(hook func(routing.Limits)) { proxy.onLimits = hook }

// Memory is the memory for bodies and heads, for the listeners to draw on.
func (proxy *Proxy) Memory() *RequestMemory { return proxy.memory }

// Run starts the proxy's background work: it closes old connections and probes backends
// that gave no answer.
func (proxy *Proxy) Run() {
	proxy.goroutines.Every(concurrent.Fixed(maintainInterval), proxy.maintain)
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
			proxy.goroutines.Start(func() { proxy.revive(target) })
		}
	}
	if view := proxy.view.Load(); view != nil {
		proxy.stats.prune(view.state.Config.Routes)
		proxy.pruneReferences(view.state.Config.Routes)
	}
}

// ejected returns how many targets are left out because they failed.
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

// revive dials a backend that was left out, so that no request has to find out.
func (proxy *Proxy) revive(target *target) {
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

// Leave makes answers tell clients to go elsewhere.
func (proxy *Proxy) Leave() { proxy.leaving.Store(true) }

// Leaving is whether Leave was called.
func (proxy *Proxy) Leaving() bool { return proxy.leaving.Load() }

// InFlight is how many requests are under way.
func (proxy *Proxy) InFlight() int { return proxy.inFlight.value() }

// Ready is whether a view is in force.
func (proxy *Proxy) Ready() bool { return proxy.view.Load() != nil && !proxy.Leaving() }

// HasHomes is whether requests for a host may have to stay in certain regions; it is taken
// for so while no view is in force.
func (proxy *Proxy) HasHomes(host string) bool {
	view := proxy.view.Load()
	return view == nil || view.index.HasHomes(host)
}

// Windows are the usage counts of the last windows.
func (proxy *Proxy) Windows() []message.WindowCount { return proxy.usageMeter.Windows() }
