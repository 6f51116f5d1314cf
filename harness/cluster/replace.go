package cluster

import (
	"fmt"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"orchidjunction/message"
)

const (
	replaceTimeout = 15 * time.Second
	stopTimeout    = 8 * time.Second
	pollInterval   = 50 * time.Millisecond
)

// coresReplaced replaces a lost core, another one as planned (the new one starts before the
// old one gets SIGTERM), and the leader as planned. Then a proxy and a directory restart with
// the new cores as seeds.
func coresReplaced(fleet *Fleet) {
	for _, step := range []struct {
		name    string
		leading bool
		planned bool
	}{{"gone", false, false}, {"planned", false, true}, {"leader", true, true}} {
		fleet.sleepFraction(0.1)
		old := fleet.findCore(step.leading)
		if old == nil {
			fleet.failures = append(fleet.failures, "found no core to replace for step "+step.name)
			return
		}
		if step.planned {
			fleet.replaceCoreAsPlanned(step.name, old)
		} else {
			fleet.replaceLostCore(step.name, old)
		}
	}
	fleet.sleepFraction(0.1)
	for _, daemon := range []*Process{fleet.Proxies[0], fleet.Directories[0]} {
		fleet.updateSeeds(daemon)
		fleet.restart(daemon, syscall.SIGTERM, 100*time.Millisecond)
		fleet.sleepFraction(0.05)
	}
}

// updateSeeds puts the current cores into a daemon's --seed flags, for its next start.
func (fleet *Fleet) updateSeeds(daemon *Process) {
	cores := fleet.currentCores()
	for index, argument := range daemon.arguments {
		if argument == "--seed" && len(cores) > 0 {
			daemon.arguments[index+1], cores = cores[0].InternalAddress, cores[1:]
		}
	}
}

// findCore returns the leader, or an initial core that is not the leader.
func (fleet *Fleet) findCore(leading bool) *Process {
	leader := fleet.Leader()
	if leading || leader == nil {
		return leader
	}
	for _, core := range fleet.Cores {
		if core != leader && slices.Contains(core.arguments, "--id") {
			return core
		}
	}
	return nil
}

// startNewCore starts a core with an empty data folder and the cores' addresses as seeds.
func (fleet *Fleet) startNewCore(zone string) *Process {
	fleet.addedCores++
	core := fleet.newProcess(fmt.Sprintf("core-%d", fleet.Spec.Cores+fleet.addedCores), "ojcore")
	core.Zone, core.InternalAddress, core.OperatorAddress = zone, fleet.newAddress(), fleet.newAddress()
	core.arguments = []string{
		"--zone",
		zone,
		"--wire",
		core.InternalAddress,
		"--operate",
		core.OperatorAddress,
		"--data",
		filepath.Join(fleet.Spec.Folder, core.Name),
		"--platform",
		fleet.Platform.PublicAddress,
	}
	for _, seed := range fleet.Cores {
		core.arguments = append(core.arguments, "--seed", seed.InternalAddress)
	}
	if err := core.Start(); err != nil {
		fleet.failures = append(fleet.failures, err.Error())
	}
	return core
}

// replaceLostCore kills a core and starts a new one, which must replace it without an operator.
func (fleet *Fleet) replaceLostCore(name string, old *Process) {
	old.Signal(syscall.SIGKILL)
	old.Wait(time.Second)
	start := time.Now()
	core := fleet.startNewCore(old.Zone)
	fleet.awaitReplacement(name, old, core, start)
}

// replaceCoreAsPlanned starts a new core and stops the old one once the new one is a synced learner.
func (fleet *Fleet) replaceCoreAsPlanned(name string, old *Process) {
	core := fleet.startNewCore(old.Zone)
	if !fleet.awaitMembership(func(membership *message.MembershipStatus) bool {
		return slices.ContainsFunc(membership.Learners, func(learner message.LearnerStatus) bool {
			return learner.Address == core.InternalAddress && learner.Synced
		})
	}) {
		fleet.failures = append(fleet.failures, name+": "+core.Name+" did not become a synced learner in time")
	}
	start := time.Now()
	old.Signal(syscall.SIGTERM)
	if code := old.Wait(stopTimeout); code != 0 {
		fleet.failures = append(fleet.failures, fmt.Sprintf("%s ended with exit code %d", old.Name, code))
	}
	fleet.awaitReplacement(name, old, core, start)
}

// awaitReplacement waits until the new core is a voter and the old one is not.
func (fleet *Fleet) awaitReplacement(name string, old, core *Process, start time.Time) {
	replaced := fleet.awaitMembership(func(membership *message.MembershipStatus) bool {
		isVoter := func(address string) bool {
			return slices.ContainsFunc(membership.Voters, func(voter message.VoterStatus) bool { return voter.Address == address })
		}
		return len(membership.Next) == 0 && len(membership.Voters) == fleet.Spec.Cores && isVoter(core.InternalAddress) &&
			!isVoter(old.InternalAddress)
	})
	if !replaced {
		fleet.failures = append(fleet.failures, fmt.Sprintf("%s: %s has not replaced %s", name, core.Name, old.Name))
	}
	fmt.Printf(
		"%s: %s: %s replaced %s after %v: %v\n",
		fleet.partnerName,
		name,
		core.Name,
		old.Name,
		time.Since(start).Round(time.Millisecond),
		replaced,
	)
	fleet.mutex.Lock()
	fleet.Cores[slices.Index(fleet.Cores, old)] = core
	fleet.mutex.Unlock()
}

// awaitMembership waits until the reported membership meets condition; false after replaceTimeout.
func (fleet *Fleet) awaitMembership(condition func(*message.MembershipStatus) bool) bool {
	for deadline := time.Now().Add(replaceTimeout); time.Now().Before(deadline); fleet.goroutines.Sleep(pollInterval) {
		if membership, err := fleet.OperatorClient(0).Cores(); err == nil && condition(membership) {
			return true
		}
	}
	return false
}
