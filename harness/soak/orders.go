package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// changeConfigurations repeatedly moves a route between two services and changes client
// connection limits, until ctx ends.
func (soak *soak) changeConfigurations(ctx context.Context, random *rand.Rand) {
	for randomPause(ctx, random); ctx.Err() == nil; randomPause(ctx, random) {
		service := roomService
		if soak.movedService == roomService {
			service = deskService
		}
		if !soak.configure(ctx, service, randomLimits(random)) {
			return
		}
	}
}

// configure sends the next version of the configuration; false if it was not acknowledged.
func (soak *soak) configure(ctx context.Context, service string, limits connLimits) bool {
	change := &configChange{version: soak.configVersion + 1, service: service, limits: limits, sentAt: time.Now()}
	soak.recorder.addConfigChange(change)
	next := configuration{Version: change.version, Base: soak.configVersion, MovedTo: service, Limits: limits}
	status, err := soak.operator.configure(ctx, next)
	if err != nil || status != http.StatusOK {
		soak.printf("configuration version %d was not acknowledged: status %d, %v", change.version, status, err)
		return false
	}
	change.acknowledgedAt = time.Now()
	soak.configVersion, soak.movedService = change.version, service
	return true
}

// runRollouts rolls out good and bad versions of a service until ctx ends.
func (soak *soak) runRollouts(ctx context.Context, random *rand.Rand, service string) {
	for version := 2; ctx.Err() == nil; version++ {
		soak.runRollout(ctx, service, fmt.Sprintf("v%d", version), random.IntN(2) == 0)
		sleep(ctx, rolloutPause)
	}
}

// runRollout orders one rollout, waits for its end and removes the backends of the version
// that lost.
func (soak *soak) runRollout(ctx context.Context, service, target string, isBad bool) {
	replaced := soak.deployment.provider.backendsWhere(func(backend *backend) bool {
		return backend.Service == service && !backend.Leaving()
	})
	failureShare := 0.0
	if isBad {
		failureShare = badVersionFailureShare
	}
	started, err := soak.newBackends(len(replaced), service, target, failureShare, true)
	if err != nil {
		soak.printf("could not start backends: %v", err)
		return
	}
	rollout := &rolloutRecord{service: service, target: target, isBad: isBad, term: soak.options.RolloutDuration, sentAt: time.Now()}
	soak.recorder.addRollout(rollout)
	soak.deployment.provider.add(started...)
	body, err := soak.deployment.wire.render("rollout.json.tmpl", rolloutOrder{Service: service, Target: target, Over: rollout.term})
	if err != nil {
		soak.printf("could not render the rollout order: %v", err)
		return
	}
	ordering, cancel := context.WithDeadline(ctx, rollout.sentAt.Add(rollout.term))
	defer cancel()
	if soak.operator.sendUntilAnswered(ordering, http.MethodPost, "/rollouts", body) == http.StatusOK {
		rollout.acknowledgedAt = time.Now()
	}
	soak.awaitRolloutEnd(rollout)
	if rollout.completed {
		for _, backend := range replaced {
			soak.deployment.provider.remove(backend)
			backend.close()
		}
		return
	}
	time.Sleep(revertedDrainDelay)
	soak.retire(started)
}

// awaitRolloutEnd polls a rollout until it has ended or rolloutSlack after its term.
func (soak *soak) awaitRolloutEnd(rollout *rolloutRecord) {
	deadline := rollout.sentAt.Add(rollout.term + rolloutSlack)
	for ; time.Now().Before(deadline); time.Sleep(rolloutPollInterval) {
		switch soak.operator.rolloutState(context.Background(), rollout.service) {
		case stateComplete:
			rollout.endedAt, rollout.completed = time.Now(), true
			return
		case stateReverted:
			rollout.endedAt, rollout.reverted = time.Now(), true
			return
		}
	}
}
