package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Times of what the soak does to machines and backends.
const (
	restartDelay   = 300 * time.Millisecond
	startTime      = time.Second // in which a started process counts as disturbed
	minFreeze      = 500 * time.Millisecond
	freezeSpread   = 2 * time.Second
	minPause       = 300 * time.Millisecond
	pauseSpread    = 1500 * time.Millisecond
	drainCount     = 3
	drainSlack     = 1500 * time.Millisecond // beyond Drain, in which a backend that leaves serves on
	idleInterval   = 20 * time.Millisecond
	maxIdleWait    = 6 * time.Second
	warmupSpan     = 1500 * time.Millisecond
	rolloutPause   = 2 * time.Second
	rolloutPoll    = 250 * time.Millisecond
	rolloutSlack   = 6 * time.Second // beyond the term, in which an end is still read
	revertedLinger = 2 * time.Second // until the backends of a reverted version leave
	badVersion     = 0.5             // share of a bad version's answers that fail
)

// soak is one run: a deployment, those who use it and what they recorded.
type soak struct {
	options    Options
	random     *rand.Rand
	deployment *deployment
	operator   *operator
	log        *evidence
	calm       *calm
	attack     *slowHeads // nil without one
	work       sync.WaitGroup
	names      int
	version    int
	movedTo    string
	printf     func(format string, values ...any)
}

// pause waits for a random time, which ends early with ctx.
func pause(ctx context.Context, random *rand.Rand) {
	sleep(ctx, minPause+time.Duration(random.Int64N(int64(pauseSpread))))
}

// terminate sends SIGTERM, SIGKILL after the grace, and starts the process again.
func (soak *soak) terminate(machine *machine) {
	end := soak.calm.begin(machine.name, machine.role == coreRole, true)
	defer end()
	machine.signal(syscall.SIGTERM)
	if !machine.awaitEnd(soak.options.Bounds.Grace) {
		soak.printf("%s: still ran at the end of its grace", machine.name)
	}
	soak.restart(machine)
}

// kill sends SIGKILL and starts the process again.
func (soak *soak) kill(machine *machine) {
	end := soak.calm.begin(machine.name, machine.role == coreRole, false)
	defer end()
	machine.awaitEnd(0)
	soak.restart(machine)
}

func (soak *soak) restart(machine *machine) {
	time.Sleep(restartDelay)
	if err := soak.deployment.launch(machine); err != nil {
		soak.printf("%s: %v", machine.name, err)
		return
	}
	time.Sleep(startTime)
}

// freeze stops a process for a while.
func (soak *soak) freeze(machine *machine, span time.Duration) {
	end := soak.calm.begin(machine.name, machine.role == coreRole, false)
	defer end()
	machine.signal(syscall.SIGSTOP)
	time.Sleep(span)
	machine.signal(syscall.SIGCONT)
}

// disturbProxies stops, kills and freezes proxies one after the other until ctx ends. While
// onlyPlanned says so, they are stopped in order.
func (soak *soak) disturbProxies(ctx context.Context, random *rand.Rand, onlyPlanned func() bool) {
	proxies := soak.deployment.withRole(proxyRole)
	for pause(ctx, random); ctx.Err() == nil; pause(ctx, random) {
		proxy := proxies[random.IntN(len(proxies))]
		switch kind := random.IntN(4); {
		case onlyPlanned() || kind < 2:
			soak.terminate(proxy)
		case kind == 2:
			soak.kill(proxy)
		default:
			soak.freeze(proxy, minFreeze+time.Duration(random.Int64N(int64(freezeSpread))))
		}
	}
}

// disturbCores stops, kills and freezes cores, one at a time, until ctx ends.
func (soak *soak) disturbCores(ctx context.Context, random *rand.Rand) {
	cores := soak.deployment.withRole(coreRole)
	for pause(ctx, random); ctx.Err() == nil; sleep(ctx, soak.options.Bounds.Contact) {
		core := cores[random.IntN(len(cores))]
		switch random.IntN(3) {
		case 0:
			soak.terminate(core)
		case 1:
			soak.kill(core)
		default:
			soak.freeze(core, minFreeze+time.Duration(random.Int64N(int64(freezeSpread))))
		}
	}
}

// newBackends starts backends of a service, one zone after the other.
func (soak *soak) newBackends(count int, service, revision string, badShare float64, isCold bool) ([]*backend, error) {
	backends := []*backend{}
	for range count {
		soak.names++
		id := fmt.Sprintf("i-%s-%d", service, soak.names)
		backend, err := newBackend(id, service, zones[soak.names%len(zones)].Name, revision, badShare, soak.log)
		if err != nil {
			return nil, err
		}
		if isCold {
			backend.warmAt = time.Now().Add(warmupSpan)
		}
		backends = append(backends, backend)
	}
	return backends, nil
}

// retire makes backends leave in order and ends them a little after the bound.
func (soak *soak) retire(backends []*backend) {
	for _, backend := range backends {
		backend.leave()
	}
	soak.work.Go(func() {
		time.Sleep(soak.options.Bounds.Drain + drainSlack)
		for _, backend := range backends {
			for until := time.Now().Add(maxIdleWait); !backend.isIdle() && time.Now().Before(until); {
				time.Sleep(idleInterval)
			}
			soak.deployment.provider.remove(backend)
			backend.close()
		}
	})
}

// drainBackends replaces backends of the service without roll-outs, some at a time, until
// ctx ends.
func (soak *soak) drainBackends(ctx context.Context, random *rand.Rand, service string) {
	for pause(ctx, random); ctx.Err() == nil; sleep(ctx, soak.options.Bounds.Drain) {
		present := soak.deployment.provider.listed(func(backend *backend) bool {
			return backend.Service == service && !backend.Leaving()
		})
		count := min(drainCount, len(present)-1)
		if count < 1 {
			continue
		}
		random.Shuffle(len(present), func(left, right int) { present[left], present[right] = present[right], present[left] })
		successors, err := soak.newBackends(count, service, present[0].Revision, 0, true)
		if err != nil {
			soak.printf("backends: %v", err)
			return
		}
		soak.deployment.provider.add(successors...)
		soak.retire(present[:count])
	}
}
