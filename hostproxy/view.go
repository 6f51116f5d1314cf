package hostproxy

import (
	"context"
	"slices"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
)

// candidate is a backend as seen by a view.
type candidate struct {
	target     *target
	region     string
	distance   distance
	eligible   context.Context // done once the target is withdrawn
	warmAtMs   int64
	ownsWarmup bool
	warmupRate float64
	canary     *canary // of the service's active rollout
	underTest  bool    // whether it has that rollout's target version
}

// routingView is the routing state and backends in force; it is replaced as a whole.
// The slices are indexed by routing.Index's service number. A service has a canary while
// its rollout is active.
type routingView struct {
	state            *routing.State
	index            *routing.Index
	candidates       [][]candidate
	canaries         []*canary
	budgets          []*retryBudget
	connectionLimits []int
}

// While the number of proxies is not known from a leader, a service's connection limit is divided
// among at least provisionalProxies.
const provisionalProxies = 32

// The proxies together use this fraction of a service's connection limit; each may open at
// least minConnections.
const (
	connectionShareNumerator   = 4
	connectionShareDenominator = 5
	minConnections             = 2
)

// allowsRegion reports whether a region is a home region; without homes, all are allowed.
func allowsRegion(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// Apply puts a routing state, a table of members and backends, and rollout orders in force.
func (proxy *Proxy) Apply(state *routing.State, table *message.Table, rollouts []message.Rollout) {
	proxy.applyMutex.Lock()
	defer proxy.applyMutex.Unlock()
	view := proxy.newView(state)
	proxies := servingProxies(table.Members)
	proxy.maxProxiesSeen = max(proxy.maxProxiesSeen, len(proxies))
	hasLeader := table.Version.Term.Number > 0
	proxy.shareLimits(view, hasLeader)
	proxy.updateRollouts(rollouts)
	proxy.addCanaries(view, rollouts)
	proxy.addBackends(view, table.Backends, proxies, proxy.resolveVersions(table.Backends, rollouts), hasLeader)
	proxy.updateFormerTargets(table.Backends, rollouts)
	proxy.view.Store(view)
	proxy.limitsHook(state.Config.Limits)
	proxy.withdrawIneligible(view, table.Version)
	proxy.retireUnlisted(table.Backends)
	proxy.capacityFreed.Notify()
}

// newView returns a view without backends. It reuses the current index if the routing state
// has not changed.
func (proxy *Proxy) newView(state *routing.State) *routingView {
	view := &routingView{state: state}
	if current := proxy.view.Load(); current != nil && current.state == state {
		view.index = current.index
	} else {
		view.index = routing.NewIndex(state)
	}
	view.candidates = make([][]candidate, len(view.index.Services))
	view.budgets = make([]*retryBudget, len(view.index.Services))
	view.connectionLimits = make([]int, len(view.index.Services))
	return view
}

// servingProxies returns the proxies that are not leaving.
func servingProxies(members []message.Member) []message.Member {
	proxies := []message.Member{}
	for _, member := range members {
		if member.Kind == message.ProxyKind && !member.Leaving {
			proxies = append(proxies, member)
		}
	}
	return proxies
}

// shareLimits sets this proxy's share of each service's retry budget and connection limit.
// It divides by the most proxies ever seen, since missing ones may be partitioned and still
// serving.
func (proxy *Proxy) shareLimits(view *routingView, hasLeader bool) {
	shares := max(1, proxy.maxProxiesSeen)
	if !hasLeader {
		shares = max(shares, provisionalProxies)
	}
	for index, service := range view.index.Services {
		view.budgets[index] = proxy.budgetFor(service.Name, hasLeader)
		view.connectionLimits[index] = defaultMaxConnections
		if service.MaxConnections > 0 {
			share := service.MaxConnections * connectionShareNumerator / connectionShareDenominator / shares
			view.connectionLimits[index] = max(minConnections, share)
		}
	}
}

// budgetFor returns a service's retry budget with its share updated.
func (proxy *Proxy) budgetFor(service string, hasLeader bool) *retryBudget {
	budget := proxy.budgets[service]
	if budget == nil {
		budget = &retryBudget{}
		proxy.budgets[service] = budget
	}
	if hasLeader {
		budget.setShare(proxy.config.RetryRatio, proxy.config.RetryExtra, proxy.maxProxiesSeen)
	} else {
		budget.setProvisionalShare(proxy.config.RetryRatio, proxy.config.RetryExtra, proxy.maxProxiesSeen)
	}
	return budget
}

// addBackends adds candidates for the eligible backends: those of a known service and a
// version in use that are not leaving and whose zone is not evacuated.
func (proxy *Proxy) addBackends(
	view *routingView, backends []message.Backend, proxies []message.Member, versions map[string]serviceVersions, hasLeader bool,
) {
	evacuated := map[string]bool{}
	for _, zone := range view.state.Evacuated {
		evacuated[zone] = true
	}
	restored := proxy.restoredZones(view.state)
	now := proxy.clock()
	for _, backend := range backends {
		target := proxy.targetFor(backend)
		if proxy.evacuatedZones[backend.Zone] && !evacuated[backend.Zone] {
			target.suspectUntil(now.Add(proxy.config.suspectTTL()))
		} else if left := restored[backend.Zone]; left > 0 {
			target.suspectUntil(now.Add(min(left, proxy.config.suspectTTL())))
		}
		serviceIndex, found := view.index.ServiceIndex(backend.Service)
		if !found || backend.Leaving || evacuated[backend.Zone] {
			continue
		}
		service := view.index.Services[serviceIndex]
		needsWarmup := hasLeader && (backend.WarmAtMs > 0 || target.isSuspect(now))
		view.addCandidate(serviceIndex, versions[backend.Service], backend.Revision, candidate{
			target:     target,
			region:     proxy.config.Regions[backend.Zone],
			distance:   proxy.config.distance(backend.Zone),
			warmAtMs:   backend.WarmAtMs,
			ownsWarmup: needsWarmup && warmupOwner(backend, proxies, proxy.config.Regions) == proxy.config.Name,
			warmupRate: ownerWarmupRate(service.WarmupRate, proxy.config.WarmupExcess, proxy.config.WarmupExtra),
		})
	}
	proxy.evacuatedZones = evacuated
}

// addCandidate adds a candidate to its service or to the canary, depending on its version. A
// backend of any other version is not eligible.
func (view *routingView) addCandidate(serviceIndex int, versions serviceVersions, revision string, candidate candidate) {
	candidate.canary = view.canaries[serviceIndex]
	if candidate.canary != nil && revision == versions.order.Target {
		candidate.underTest, candidate.eligible = true, candidate.target.markEligible(view)
		candidate.canary.candidates = append(candidate.canary.candidates, candidate)
		return
	}
	if revision == versions.current {
		candidate.eligible = candidate.target.markEligible(view)
		view.candidates[serviceIndex] = append(view.candidates[serviceIndex], candidate)
	}
}

// restoredZones returns how long the backends of each restored zone stay suspect; a value
// of zero or less means that the time is over.
func (proxy *Proxy) restoredZones(state *routing.State) map[string]time.Duration {
	restored := map[string]time.Duration{}
	for _, zone := range state.Restored {
		age := time.Duration(proxy.clusterTimeMs()-zone.AtMs) * time.Millisecond
		restored[zone.Zone] = proxy.config.suspectTTL() - age
	}
	return restored
}

// targetFor returns a backend's target and creates it if needed.
func (proxy *Proxy) targetFor(backend message.Backend) *target {
	target := proxy.targets[backend.Name]
	if target == nil {
		target = newTarget(backend)
		proxy.lastTargetNumber++
		target.id = proxy.lastTargetNumber
		proxy.targets[backend.Name] = target
	}
	return target
}

// retireUnlisted retires the targets of backends that are no longer listed.
func (proxy *Proxy) retireUnlisted(backends []message.Backend) {
	listed := make(map[string]bool, len(backends))
	for _, backend := range backends {
		listed[backend.Name] = true
	}
	for name, target := range proxy.targets {
		if !listed[name] {
			target.retire()
			delete(proxy.targets, name)
		}
	}
}
