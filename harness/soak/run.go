// Package soak runs a deployment of real processes on loopback addresses while clients keep
// using open connections, and while signals, restarts, changes of the configuration, drains
// of backends and roll-outs overlap, drawn from a seed. What clients, backends and the
// operator recorded is then held against the rules: check.go.
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

// Options say how long a soak runs and how large it is.
type Options struct {
	Program     string // the program of the deploy file
	Folder      string // for logs; a temporary one, removed at the end, if empty
	Seed        uint64
	Span        time.Duration // of the disturbances
	Proxies     int
	Clients     int
	Backends    int // of each of the two services
	SlowHeads   int // connections to one proxy that send a byte of a head each second
	RolloutTerm time.Duration
	Bounds      Bounds
	Printf      func(format string, values ...any)
}

// Shares of the span in which only planned work is done, and from which on cores are
// disturbed too.
const (
	plannedShare = 0.35
	coresShare   = 0.6
)

// Run runs one soak and returns what it found.
func Run(options Options) (*Report, error) {
	folder, err := newFolder(options.Folder)
	if err != nil {
		return nil, err
	}
	if options.Folder == "" {
		defer func() { _ = os.RemoveAll(folder) }() // a temporary folder
	}
	deployment, err := newDeployment(options.Program, folder, options.Bounds, options.Proxies)
	if err != nil {
		return nil, err
	}
	defer deployment.stop()
	random := rand.New(rand.NewPCG(options.Seed, 0))
	soak := &soak{
		options:    options,
		random:     random,
		deployment: deployment,
		operator:   newOperator(fork(random), deployment.withRole(coreRole), deployment.wire),
		log:        newEvidence(),
		calm:       &calm{contact: options.Bounds.Contact},
		printf:     options.Printf,
	}
	if err := soak.start(); err != nil {
		return nil, err
	}
	soak.play()
	return soak.judge(), nil
}

// fork returns a generator of its own, so that goroutines don't change each other's draws.
func fork(random *rand.Rand) *rand.Rand {
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
	soak.version, soak.movedTo = 1, deskService
	begin := time.Now()
	first := configuration{Version: 1, MovedTo: deskService, Limits: wideLimits}
	if err := soak.deployment.start(context.Background(), soak.operator, first); err != nil {
		return err
	}
	soak.log.configured(&acknowledged{version: 1, movedTo: deskService, limits: wideLimits, sentAt: begin, ackedAt: time.Now()})
	time.Sleep(soak.options.Bounds.Contact)
	return nil
}

// play runs clients and disturbances for the span, then lets all come to rest.
func (soak *soak) play() {
	done := make(chan struct{})
	var users sync.WaitGroup
	users.Go(func() { soak.calm.watchStalls(done) })
	for number := range soak.options.Clients {
		user := &client{number: number + 1, random: fork(soak.random), proxies: soak.deployment.withRole(proxyRole), log: soak.log}
		users.Go(func() { user.run(done) })
	}
	for range limitClients {
		user := &limitClient{random: fork(soak.random), proxies: soak.deployment.withRole(proxyRole), log: soak.log}
		users.Go(func() { user.run(done) })
	}
	attack := &slowHeads{target: soak.deployment.withRole(proxyRole)[0], count: soak.options.SlowHeads}
	if attack.count > 0 {
		soak.attack = attack
		users.Go(func() { attack.run(done) })
	}
	soak.disturb()
	time.Sleep(soak.options.Bounds.Contact)
	close(done)
	users.Wait()
}

// disturb runs all disturbances at once for the span.
func (soak *soak) disturb() {
	ctx, cancel := context.WithTimeout(context.Background(), soak.options.Span)
	defer cancel()
	onlyPlanned := atomic.Bool{}
	onlyPlanned.Store(true)
	time.AfterFunc(share(soak.options.Span, plannedShare), func() { onlyPlanned.Store(false) })
	tasks := []func(*rand.Rand){
		func(random *rand.Rand) { soak.disturbProxies(ctx, random, onlyPlanned.Load) },
		func(random *rand.Rand) { soak.drainBackends(ctx, random, roomService) },
		func(random *rand.Rand) { soak.changeConfigurations(ctx, random) },
		func(random *rand.Rand) { soak.rollOut(ctx, random, deskService) },
		func(random *rand.Rand) {
			sleep(ctx, share(soak.options.Span, coresShare))
			soak.disturbCores(ctx, random)
		},
	}
	var running sync.WaitGroup
	for _, task := range tasks {
		random := fork(soak.random)
		running.Go(func() { task(random) })
	}
	running.Wait()
	soak.work.Wait()
}

func share(span time.Duration, part float64) time.Duration {
	return time.Duration(float64(span) * part)
}

// judge holds the records against the rules.
func (soak *soak) judge() *Report {
	report := newReport(soak.options.Seed)
	judge := &judge{log: soak.log, calm: soak.calm, bounds: soak.options.Bounds, report: report}
	judge.all()
	judge.limits()
	if soak.attack != nil {
		report.Notes = append(report.Notes, soak.attack.note(soak.log))
	}
	status, body := 0, []byte(nil)
	for until := time.Now().Add(soak.options.Bounds.Contact); status != http.StatusOK && time.Now().Before(until); time.Sleep(orderPause) {
		status, body = soak.operator.call(context.Background(), http.MethodGet, "/config", nil)
	}
	judge.readBack(status, string(body))
	return report
}
