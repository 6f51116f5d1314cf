// Package soak runs a deployment of real processes on loopback addresses under client load
// on persistent connections, while signals, restarts, configuration changes, backend drains,
// rollouts and changes of the platform's address overlap, drawn from a seed. It then checks the
// records of clients, backends and the operator against the rules in check.go.
package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Options set the length and the size of a soak.
type Options struct {
	Program         string // path of the binary under test
	Folder          string // for settings, logs and state; if empty, a temporary one that is removed at the end
	Seed            uint64
	Duration        time.Duration // of the disturbances
	Proxies         int
	Clients         int
	Backends        int // of each of the two services
	SlowHeads       int // connections to one proxy that send a byte of a header each second
	RolloutDuration time.Duration
	Bounds          Bounds
	Printf          func(format string, values ...any)
}

// Until plannedOnlyShare of the span proxies are only stopped as planned; from
// coreFaultsFromShare on cores are disturbed too.
const (
	plannedOnlyShare    = 0.35
	coreFaultsFromShare = 0.6
)

// Run runs one soak and returns its report.
func Run(options Options) (*Report, error) {
	folder, err := makeFolder(options.Folder)
	if err != nil {
		return nil, err
	}
	if options.Folder == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	deployment, err := newDeployment(options.Program, folder, options.Bounds, options.Proxies)
	if err != nil {
		return nil, err
	}
	defer deployment.stop()
	random := rand.New(rand.NewPCG(options.Seed, 0))
	soak := &soak{
		options:      options,
		random:       random,
		deployment:   deployment,
		operator:     newOperator(newStream(random), deployment.withRole(coreRole), deployment.wire),
		recorder:     newRecorder(),
		disturbances: &disturbances{settleTime: options.Bounds.Contact},
		printf:       options.Printf,
	}
	if err := soak.start(); err != nil {
		return nil, err
	}
	soak.runLoad()
	return soak.checkRules(), nil
}

// newStream returns a generator of its own, so that goroutines don't affect each other's draws.
func newStream(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

func (soak *soak) start() error {
	for _, service := range []string{deskService, roomService} {
		backends, err := soak.newBackends(soak.options.Backends, service, "v1", 0, false)
		if err != nil {
			return err
		}
		soak.deployment.provider.add(backends...)
	}
	soak.configVersion, soak.movedService = 1, deskService
	begin := time.Now()
	first := configuration{Version: 1, MovedTo: deskService, Limits: highLimits}
	if err := soak.deployment.start(context.Background(), soak.operator, first); err != nil {
		return err
	}
	soak.recorder.addConfigChange(
		&configChange{version: 1, service: deskService, limits: highLimits, sentAt: begin, acknowledgedAt: time.Now()},
	)
	time.Sleep(soak.options.Bounds.Contact)
	return nil
}

// runLoad runs clients and disturbances for the span, and the clients until the deployment
// has settled.
func (soak *soak) runLoad() {
	done := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { soak.disturbances.watchStalls(done) })
	for number := range soak.options.Clients {
		user := &client{
			number:   number + 1,
			random:   newStream(soak.random),
			proxies:  soak.deployment.withRole(proxyRole),
			recorder: soak.recorder,
		}
		clients.Go(func() { user.run(done) })
	}
	for range limitClients {
		user := &limitClient{random: newStream(soak.random), proxies: soak.deployment.withRole(proxyRole), recorder: soak.recorder}
		clients.Go(func() { user.run(done) })
	}
	attack := &slowHeaderAttack{target: soak.deployment.withRole(proxyRole)[0], count: soak.options.SlowHeads}
	if attack.count > 0 {
		soak.slowHeaders = attack
		clients.Go(func() { attack.run(done) })
	}
	soak.injectDisturbances()
	time.Sleep(soak.options.Bounds.Contact)
	close(done)
	clients.Wait()
}

// injectDisturbances runs all kinds of disturbances concurrently for the span.
func (soak *soak) injectDisturbances() {
	ctx, cancel := context.WithTimeout(context.Background(), soak.options.Duration)
	defer cancel()
	onlyPlanned := atomic.Bool{}
	onlyPlanned.Store(true)
	time.AfterFunc(fractionOf(soak.options.Duration, plannedOnlyShare), func() { onlyPlanned.Store(false) })
	tasks := []func(*rand.Rand){
		func(random *rand.Rand) { soak.disturbProxies(ctx, random, onlyPlanned.Load) },
		func(random *rand.Rand) { soak.drainBackends(ctx, random, roomService) },
		func(random *rand.Rand) { soak.changeConfigurations(ctx, random) },
		func(random *rand.Rand) { soak.runRollouts(ctx, random, deskService) },
		func(random *rand.Rand) {
			sleep(ctx, fractionOf(soak.options.Duration, coreFaultsFromShare))
			soak.disturbCores(ctx, random)
		},
		func(random *rand.Rand) { soak.movePlatform(ctx, random) },
	}
	var running sync.WaitGroup
	for _, task := range tasks {
		random := newStream(soak.random)
		running.Go(func() { task(random) })
	}
	running.Wait()
	soak.retirements.Wait()
}

func fractionOf(span time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(span) * fraction)
}

func (soak *soak) checkRules() *Report {
	report := newReport(soak.options.Seed)
	checker := &ruleChecker{recorder: soak.recorder, disturbances: soak.disturbances, bounds: soak.options.Bounds, report: report}
	checker.checkTraffic()
	checker.checkLimits()
	if soak.slowHeaders != nil {
		report.Notes = append(report.Notes, soak.slowHeaders.summary(soak.recorder))
	}
	status, body := 0, []byte(nil)
	for deadline := time.Now().Add(soak.options.Bounds.Contact); status != http.StatusOK && time.Now().Before(deadline); time.Sleep(retryInterval) {
		status, body = soak.operator.call(context.Background(), http.MethodGet, "/config", nil)
	}
	checker.checkReadBack(status, string(body))
	return report
}
