package hostproxy

import (
	"context"
	"slices"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
)

// candidate is a backend in a view: its target, and what the view says of it.
type candidate struct {
	target     *target
	region     string
	distance   distance
	offer      context.Context // done once a view in force does not have the target as a candidate
	warmAt     int64
	owned      bool
	warmupRate float64
	canary     *canary // the roll-out of its service that is active
	underTest  bool    // whether it is of that roll-out's target version
}

// View is what a proxy has in force: routing and backends; it is swapped whole.
// The slices are indexed by the number that routing.Index gives a service. A service has a
// canary while a roll-out of it is active.
type View struct {
	state       *routing.State
	index       *routing.Index
	services    [][]candidate
	canaries    []*canary
	budgets     []*Budget
	connections []int
}

// presumedProxies is how many proxies are taken to share a backend's limits while
// no leader has said how many there are.
const presumedProxies = 32

// The proxies together use this share of a service's connection limit; no proxy's
// own share falls below minConnections.
const (
	connectionShareNumerator   = 4
	connectionShareDenominator = 5
	minConnections             = 2
)

// allowsRegion is whether a region is among the homes; no homes allow all.
func allowsRegion(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// Apply puts a routing state, a table of members and backends, and the roll-outs of
// services in force.
func (proxy *Proxy) Apply(state *routing.State, table *message.Table, rollouts []message.Rollout) {
	proxy.applyMutex.Lock()
	defer proxy.applyMutex.Unlock()
	view := proxy.newView(state)
	proxies := servingProxies(table.Members)
	proxy.maxProxiesSeen = max(proxy.maxProxiesSeen, len(proxies))
	led := table.Version.Term.Number > 0
	proxy.shareLimits(view, led)
	proxy.followRollouts(rollouts)
	proxy.addCanaries(view, rollouts)
	proxy.addBackends(view, table.Backends, proxies, proxy.settleVersions(table.Backends, rollouts), led)
	proxy.setFormer(table.Backends, rollouts)
	proxy.view.Store(view)
	proxy.limitsHook(state.Config.Limits)
	proxy.withdrawOthers(view, table.Version)
	proxy.retireUnlisted(table.Backends)
	proxy.capacityFreed.Notify()
}

// newView returns a view without backends. It reuses the index in force if the
// routing state has not changed.
func (proxy *Proxy) newView(state *routing.State) *View {
	view := &View{state: state}
	if before := proxy.view.Load(); before != nil && before.state == state {
		view.index = before.index
	} else {
		view.index = routing.NewIndex(state)
	}
	view.services = make([][]candidate, len(view.index.Services))
	view.budgets = make([]*Budget, len(view.index.Services))
	view.connections = make([]int, len(view.index.Services))
	return view
}

// servingProxies returns the members that are proxies and not about to leave.
func servingProxies(members []message.Member) []message.Member {
	proxies := []message.Member{}
	for _, member := range members {
		if member.Kind == message.ProxyKind && !member.Leaving {
			proxies = append(proxies, member)
		}
	}
	return proxies
}

// shareLimits gives each service of a view this proxy's share of the retry budget
// and of the connections to a backend. The share is by the most proxies ever seen,
// since those that are missing may be cut off and still serving.
func (proxy *Proxy) shareLimits(view *View, led bool) {
	shares := max(1, proxy.maxProxiesSeen)
	if !led {
		shares = max(shares, presumedProxies)
	}
	for number, service := range view.index.Services {
		view.budgets[number] = proxy.budgetOf(service.Name, led)
		view.connections[number] = maxConnections
		if service.MaxConnections > 0 {
			share := service.MaxConnections * connectionShareNumerator / connectionShareDenominator / shares
			view.connections[number] = max(minConnections, share)
		}
	}
}

// budgetOf returns a service's retry budget with the share that is due now.
func (proxy *Proxy) budgetOf(service string, led bool) *Budget {
	budget := proxy.budgets[service]
	if budget == nil {
		budget = &Budget{}
		proxy.budgets[service] = budget
	}
	if led {
		budget.setShare(proxy.config.RetryRatio, proxy.config.RetryExtra, proxy.maxProxiesSeen)
	} else {
		budget.presumeShare(proxy.config.RetryRatio, proxy.config.RetryExtra, proxy.maxProxiesSeen)
	}
	return budget
}

// addBackends makes candidates of the backends that may be chosen: those of a known
// service and a version in use that are not leaving and whose zone is not evacuated.
func (proxy *Proxy) addBackends(
	view *View, backends []message.Backend, proxies []message.Member, versions map[string]versions, led bool,
) {
	evacuated := map[string]bool{}
	for _, zone := range view.state.Evacuated {
		evacuated[zone] = true
	}
	reopened := proxy.reopenedZones(view.state)
	now := proxy.clock()
	for _, backend := range backends {
		held := proxy.targetOf(backend)
		if proxy.evacuatedZones[backend.Zone] && !evacuated[backend.Zone] {
			held.suspectUntil(now.Add(proxy.config.suspectTTL()))
		} else if left := reopened[backend.Zone]; left > 0 {
			held.suspectUntil(now.Add(min(left, proxy.config.suspectTTL())))
		}
		number, found := view.index.ServiceIndex(backend.Service)
		if !found || backend.Leaving || evacuated[backend.Zone] {
			continue
		}
		service := view.index.Services[number]
		mayWarm := led && (backend.WarmAtMs > 0 || held.isSuspect(now))
		view.add(number, versions[backend.Service], backend.Revision, candidate{
			target:     held,
			region:     proxy.config.Regions[backend.Zone],
			distance:   proxy.config.distance(backend.Zone),
			warmAt:     backend.WarmAtMs,
			owned:      mayWarm && owner(backend, proxies, proxy.config.Regions) == proxy.config.Name,
			warmupRate: ownerWarmupRate(service.WarmupRate, proxy.config.WarmupExcess, proxy.config.WarmupExtra),
		})
	}
	proxy.evacuatedZones = evacuated
}

// add adds a candidate of a version: to those of its service, or to those of the canary. A
// backend of any other version is not offered.
func (view *View) add(number int, versions versions, revision string, candidate candidate) {
	candidate.canary = view.canaries[number]
	if candidate.canary != nil && revision == versions.order.Target {
		candidate.underTest, candidate.offer = true, candidate.target.offerIn(view)
		candidate.canary.candidates = append(candidate.canary.candidates, candidate)
		return
	}
	if revision == versions.standing {
		candidate.offer = candidate.target.offerIn(view)
		view.services[number] = append(view.services[number], candidate)
	}
}

// reopenedZones returns how long the backends of each zone that was opened again
// stay suspect; the time may already be over.
func (proxy *Proxy) reopenedZones(state *routing.State) map[string]time.Duration {
	reopened := map[string]time.Duration{}
	for _, restored := range state.Restored {
		age := time.Duration(proxy.clusterTimeMs()-restored.AtMs) * time.Millisecond
		reopened[restored.Zone] = proxy.config.suspectTTL() - age
	}
	return reopened
}

// targetOf returns the target of a backend, which outlives single views.
func (proxy *Proxy) targetOf(backend message.Backend) *target {
	held := proxy.targets[backend.Name]
	if held == nil {
		held = newTarget(backend)
		proxy.lastTargetNumber++
		held.number = proxy.lastTargetNumber
		proxy.targets[backend.Name] = held
	}
	return held
}

// retireUnlisted closes the targets of backends that are no longer listed.
func (proxy *Proxy) retireUnlisted(backends []message.Backend) {
	listed := make(map[string]bool, len(backends))
	for _, backend := range backends {
		listed[backend.Name] = true
	}
	for name, held := range proxy.targets {
		if !listed[name] {
			held.retire()
			delete(proxy.targets, name)
		}
	}
}
