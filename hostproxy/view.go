package hostproxy

import (
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
	warmAt     int64
	owned      bool
	warmupRate float64
}

// View is what a proxy has in force: routing and backends; it is swapped whole.
type View struct {
	state       *routing.State
	index       *routing.Index
	services    [][]candidate
	budgets     []*Budget
	connections []int
}

const presumedProxies = 32

// allowsRegion is whether a region is among the homes; no homes allow all.
func allowsRegion(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// Apply puts a routing book and a table in force.
func (proxy *Proxy) Apply(state *routing.State, table *message.Table) {
	proxy.applyMutex.Lock()
	defer proxy.applyMutex.Unlock()
	before := proxy.view.Load()
	view := &View{state: state}
	if before != nil && before.state == state {
		view.index = before.index
	} else {
		view.index = routing.NewIndex(state)
	}
	proxies := []message.Member{}
	for _, member := range table.Members {
		if member.Kind == "proxy" && !member.Leaving {
			proxies = append(proxies, member)
		}
	}
	proxy.mostProxies = max(proxy.mostProxies, len(proxies))
	shares := max(1, proxy.mostProxies)
	led := table.Version.Term.Number > 0
	if !led {
		shares = max(shares, presumedProxies)
	}
	view.services = make([][]candidate, len(view.index.Services))
	view.budgets = make([]*Budget, len(view.index.Services))
	view.connections = make([]int, len(view.index.Services))
	for number, service := range view.index.Services {
		budget := proxy.budgets[service.Name]
		if budget == nil {
			budget = &Budget{}
			proxy.budgets[service.Name] = budget
		}
		if led {
			budget.setShare(proxy.config.RetryRatio, proxy.config.RetryExtra, proxy.mostProxies)
		} else {
			budget.presumeShare(proxy.config.RetryRatio, proxy.config.RetryExtra, proxy.mostProxies)
		}
		view.budgets[number] = budget
		view.connections[number] = maxConnections
		if service.MaxConnections > 0 {
			view.connections[number] = max(2, service.MaxConnections*4/5/shares)
		}
	}
	evacuated := map[string]bool{}
	for _, zone := range state.Evacuated {
		evacuated[zone] = true
	}
	now, listed := proxy.clock(), map[string]bool{}
	reopened := map[string]time.Duration{}
	for _, one := range state.Restored {
		reopened[one.Zone] = proxy.config.suspectTTL() - time.Duration(proxy.now()-one.AtMs)*time.Millisecond
	}
	for _, backend := range table.Backends {
		held := proxy.targets[backend.Name]
		if held == nil {
			held = newTarget(backend)
			proxy.targets[backend.Name] = held
		}
		listed[backend.Name] = true
		if proxy.evacuated[backend.Zone] && !evacuated[backend.Zone] {
			held.suspectUntil(now.Add(proxy.config.suspectTTL()))
		} else if left := reopened[backend.Zone]; left > 0 {
			held.suspectUntil(now.Add(min(left, proxy.config.suspectTTL())))
		}
		number, found := view.index.ServiceIndex(backend.Service)
		if !found || backend.Leaving || evacuated[backend.Zone] {
			continue
		}
		service := view.index.Services[number]
		view.services[number] = append(view.services[number], candidate{target: held, region: proxy.config.Regions[backend.Zone], distance: proxy.config.distance(backend.Zone),
			warmAt: backend.WarmAtMs, owned: led && (backend.WarmAtMs > 0 || held.isSuspect(now)) && owner(backend, proxies, proxy.config.Regions) == proxy.config.Name,
			warmupRate: ownerWarmupRate(service.WarmupRate, proxy.config.WarmupExcess, proxy.config.WarmupExtra)})
	}
	proxy.evacuated = evacuated
	for name, held := range proxy.targets {
		if !listed[name] {
			held.retire()
			delete(proxy.targets, name)
		}
	}
	proxy.view.Store(view)
	proxy.capacityFreed.Notify()
}
