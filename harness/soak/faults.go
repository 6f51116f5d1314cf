package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Times and sizes of faults, restarts, drains and rollouts.
const (
	restartDelay           = 300 * time.Millisecond
	startupTime            = time.Second // for which a started process counts as disturbed
	minFreeze              = 500 * time.Millisecond
	freezeRange            = 2 * time.Second
	minPause               = 300 * time.Millisecond
	pauseRange             = 1500 * time.Millisecond
	drainCount             = 3
	drainSlack             = 1500 * time.Millisecond // beyond Drain, for which a leaving backend keeps serving
	idlePollInterval       = 20 * time.Millisecond
	maxIdleWait            = 6 * time.Second
	warmupSpan             = 1500 * time.Millisecond
	rolloutPause           = 2 * time.Second
	rolloutPollInterval    = 250 * time.Millisecond
	rolloutSlack           = 6 * time.Second // beyond the term, for which the outcome is still polled
	revertedDrainDelay     = 2 * time.Second // until the backends of a failed rollout leave
	badVersionFailureShare = 0.5             // of its responses
	formerAddressDelay     = 2 * time.Second // for which a moved platform still answers at its former address
)

// soak is one run.
type soak struct {
	options         Options
	random          *rand.Rand
	deployment      *deployment
	operator        *operator
	recorder        *recorder
	disturbances    *disturbances
	slowHeaders     *slowHeaderAttack // nil without an attack
	retirements     sync.WaitGroup
	backendsStarted int
	configVersion   int
	movedService    string
	printf          func(format string, values ...any)
}

func randomPause(ctx context.Context, random *rand.Rand) {
	sleep(ctx, minPause+time.Duration(random.Int64N(int64(pauseRange))))
}

// terminate sends SIGTERM, then SIGKILL after the grace period, and restarts the process.
func (soak *soak) terminate(machine *machine) {
	end := soak.disturbances.begin(machine.name, machine.role == coreRole, true)
	defer end()
	machine.signal(syscall.SIGTERM)
	if !machine.waitOrKill(soak.options.Bounds.Grace) {
		soak.printf("%s: killed, still running at the end of its grace period", machine.name)
	}
	soak.restart(machine)
}

// kill sends SIGKILL and restarts the process.
func (soak *soak) kill(machine *machine) {
	end := soak.disturbances.begin(machine.name, machine.role == coreRole, false)
	defer end()
	machine.waitOrKill(0)
	soak.restart(machine)
}

func (soak *soak) restart(machine *machine) {
	time.Sleep(restartDelay)
	if err := soak.deployment.launch(machine); err != nil {
		soak.printf("%s: restart failed: %v", machine.name, err)
		return
	}
	time.Sleep(startupTime)
}

// freeze suspends a process for a span.
func (soak *soak) freeze(machine *machine, span time.Duration) {
	end := soak.disturbances.begin(machine.name, machine.role == coreRole, false)
	defer end()
	machine.signal(syscall.SIGSTOP)
	time.Sleep(span)
	machine.signal(syscall.SIGCONT)
}

// disturbProxies terminates random proxies until ctx ends, and also kills and freezes them
// once onlyPlanned returns false.
func (soak *soak) disturbProxies(ctx context.Context, random *rand.Rand, onlyPlanned func() bool) {
	proxies := soak.deployment.withRole(proxyRole)
	for randomPause(ctx, random); ctx.Err() == nil; randomPause(ctx, random) {
		proxy := proxies[random.IntN(len(proxies))]
		switch kind := random.IntN(4); {
		case onlyPlanned() || kind < 2:
			soak.terminate(proxy)
		case kind == 2:
			soak.kill(proxy)
		default:
			soak.freeze(proxy, minFreeze+time.Duration(random.Int64N(int64(freezeRange))))
		}
	}
}

// disturbCores terminates, kills and freezes random cores, one at a time, until ctx ends.
func (soak *soak) disturbCores(ctx context.Context, random *rand.Rand) {
	cores := soak.deployment.withRole(coreRole)
	for randomPause(ctx, random); ctx.Err() == nil; sleep(ctx, soak.options.Bounds.Contact) {
		core := cores[random.IntN(len(cores))]
		switch random.IntN(3) {
		case 0:
			soak.terminate(core)
		case 1:
			soak.kill(core)
		default:
			soak.freeze(core, minFreeze+time.Duration(random.Int64N(int64(freezeRange))))
		}
	}
}

// movePlatform changes the platform's address until ctx ends.
func (soak *soak) movePlatform(ctx context.Context, random *rand.Rand) {
	for randomPause(ctx, random); ctx.Err() == nil; sleep(ctx, 2*soak.options.Bounds.Contact) {
		if err := soak.deployment.movePlatform(formerAddressDelay); err != nil {
			soak.printf("could not move the platform: %v", err)
			return
		}
	}
}

// newBackends starts backends of a service, spread over the zones in rotation.
func (soak *soak) newBackends(count int, service, revision string, failureShare float64, needsWarmup bool) ([]*backend, error) {
	backends := []*backend{}
	for range count {
		soak.backendsStarted++
		id := fmt.Sprintf("i-%s-%d", service, soak.backendsStarted)
		backend, err := newBackend(id, service, zones[soak.backendsStarted%len(zones)].Name, revision, failureShare, soak.recorder)
		if err != nil {
			return nil, err
		}
		if needsWarmup {
			backend.warmAt = time.Now().Add(warmupSpan)
		}
		backends = append(backends, backend)
	}
	return backends, nil
}

// retire marks backends as leaving and later, after Drain, removes them once they are idle.
func (soak *soak) retire(backends []*backend) {
	for _, backend := range backends {
		backend.markLeaving()
	}
	soak.retirements.Go(func() {
		time.Sleep(soak.options.Bounds.Drain + drainSlack)
		for _, backend := range backends {
			for until := time.Now().Add(maxIdleWait); !backend.isIdle() && time.Now().Before(until); {
				time.Sleep(idlePollInterval)
			}
			soak.deployment.provider.remove(backend)
			backend.close()
		}
	})
}

// drainBackends replaces backends of a service, a few at a time and without a rollout, until
// ctx ends.
func (soak *soak) drainBackends(ctx context.Context, random *rand.Rand, service string) {
	for randomPause(ctx, random); ctx.Err() == nil; sleep(ctx, soak.options.Bounds.Drain) {
		present := soak.deployment.provider.backendsWhere(func(backend *backend) bool {
			return backend.Service == service && !backend.Leaving()
		})
		count := min(drainCount, len(present)-1)
		if count < 1 {
			continue
		}
		random.Shuffle(len(present), func(left, right int) { present[left], present[right] = present[right], present[left] })
		successors, err := soak.newBackends(count, service, present[0].Revision, 0, true)
		if err != nil {
			soak.printf("could not start backends: %v", err)
			return
		}
		soak.deployment.provider.add(successors...)
		soak.retire(present[:count])
	}
}
