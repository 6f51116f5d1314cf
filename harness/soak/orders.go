package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// changeConfigurations moves a route between two services and draws the limits of clients'
// connections, again and again until ctx ends.
func (soak *soak) changeConfigurations(ctx context.Context, random *rand.Rand) {
	for pause(ctx, random); ctx.Err() == nil; pause(ctx, random) {
		next := roomService
		if soak.movedTo == roomService {
			next = deskService
		}
		if !soak.configure(ctx, next, drawLimits(random)) {
			return
		}
	}
}

// configure sends the next version; false if it was not acknowledged.
func (soak *soak) configure(ctx context.Context, movedTo string, limits limits) bool {
	record := &acknowledged{version: soak.version + 1, movedTo: movedTo, limits: limits, sentAt: time.Now()}
	soak.log.configured(record)
	next := configuration{Version: record.version, Base: soak.version, MovedTo: movedTo, Limits: limits}
	status, err := soak.operator.configure(ctx, next)
	if err != nil || status != http.StatusOK {
		soak.printf("version %d was not acknowledged: status %d, %v", record.version, status, err)
		return false
	}
	record.ackedAt = time.Now()
	soak.version, soak.movedTo = record.version, movedTo
	return true
}

// rollOut brings one version after the other into a service, good ones and bad ones, until
// ctx ends.
func (soak *soak) rollOut(ctx context.Context, random *rand.Rand, service string) {
	for number := 2; ctx.Err() == nil; number++ {
		soak.bringIn(ctx, service, fmt.Sprintf("v%d", number), random.IntN(2) == 0)
		sleep(ctx, rolloutPause)
	}
}

// bringIn orders one roll-out and follows it to its end.
func (soak *soak) bringIn(ctx context.Context, service, target string, isBad bool) {
	former := soak.deployment.provider.listed(func(backend *backend) bool {
		return backend.Service == service && !backend.Leaving()
	})
	badShare := 0.0
	if isBad {
		badShare = badVersion
	}
	next, err := soak.newBackends(len(former), service, target, badShare, true)
	if err != nil {
		soak.printf("backends: %v", err)
		return
	}
	record := &shift{service: service, target: target, isBad: isBad, over: soak.options.RolloutTerm, sentAt: time.Now()}
	soak.log.ordered(record)
	soak.deployment.provider.add(next...)
	body, err := soak.deployment.wire.render("rollout.json.tmpl", rolloutOrder{Service: service, Target: target, Over: record.over})
	if err != nil {
		soak.printf("roll-out: %v", err)
		return
	}
	ordering, cancel := context.WithDeadline(ctx, record.sentAt.Add(record.over))
	defer cancel()
	if soak.operator.order(ordering, http.MethodPost, "/rollouts", body) == http.StatusOK {
		record.ackedAt = time.Now()
	}
	soak.follow(record)
	if record.complete {
		for _, backend := range former {
			soak.deployment.provider.remove(backend)
			backend.close()
		}
		return
	}
	time.Sleep(revertedLinger)
	soak.retire(next)
}

// follow reads a roll-out's state until it has ended.
func (soak *soak) follow(record *shift) {
	until := record.sentAt.Add(record.over + rolloutSlack)
	for ; time.Now().Before(until); time.Sleep(rolloutPoll) {
		switch soak.operator.rolloutState(context.Background(), record.service) {
		case stateComplete:
			record.finalAt, record.complete = time.Now(), true
			return
		case stateReverted:
			record.finalAt, record.reverted = time.Now(), true
			return
		}
	}
}
