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
	replaceLimit = 15 * time.Second
	termLimit    = 8 * time.Second
	lookPace     = 50 * time.Millisecond
)

// coresReplaced replaces every founding core: one that is gone for good, one by plan
// (the new one first, then SIGTERM), and the leader by plan. Then daemons restart with
// the new cores as their seeds.
func coresReplaced(fleet *Fleet) {
	for _, step := range []struct {
		name    string
		leads   bool
		planned bool
	}{{"gone", false, false}, {"planned", false, true}, {"leader", true, true}} {
		fleet.rest(0.1)
		old := fleet.coreWhich(step.leads)
		if old == nil {
			fleet.codes = append(fleet.codes, "no core to replace: "+step.name)
			return
		}
		if step.planned {
			fleet.replaceByPlan(step.name, old)
		} else {
			fleet.replaceGone(step.name, old)
		}
	}
	fleet.rest(0.1)
	for _, daemon := range []*Process{fleet.Proxies[0], fleet.Directories[0]} {
		fleet.reseed(daemon)
		fleet.stop(daemon, syscall.SIGTERM, 100*time.Millisecond)
		fleet.rest(0.05)
	}
}

// reseed names the cores of now among a daemon's flags, for its next start.
func (fleet *Fleet) reseed(daemon *Process) {
	cores := fleet.cores()
	for index, argument := range daemon.arguments {
		if argument == "--seed" && len(cores) > 0 {
			daemon.arguments[index+1], cores = cores[0].InternalAddress, cores[1:]
		}
	}
}

// coreWhich is the leader, or a founding core that doesn't lead.
func (fleet *Fleet) coreWhich(leads bool) *Process {
	leader := fleet.Leader()
	if leads || leader == nil {
		return leader
	}
	for _, core := range fleet.Cores {
		if core != leader && slices.Contains(core.arguments, "--id") {
			return core
		}
	}
	return nil
}

// newCore starts a core on an empty folder that is told the cores' addresses only.
func (fleet *Fleet) newCore(zone string) *Process {
	fleet.added++
	core := fleet.process(fmt.Sprintf("core-%d", fleet.Spec.Cores+fleet.added), "ojcore")
	core.Zone, core.InternalAddress, core.OperatorAddress = zone, fleet.address(), fleet.address()
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
		fleet.codes = append(fleet.codes, err.Error())
	}
	return core
}

// replaceGone kills a core and starts another one, which takes its place by itself.
func (fleet *Fleet) replaceGone(name string, old *Process) {
	old.Signal(syscall.SIGKILL)
	old.Wait(time.Second)
	begin := time.Now()
	core := fleet.newCore(old.Zone)
	fleet.succeeds(name, old, core, begin)
}

// replaceByPlan starts a core first, and ends the old one once the new one is ready.
func (fleet *Fleet) replaceByPlan(name string, old *Process) {
	core := fleet.newCore(old.Zone)
	if !fleet.membershipComes(func(membership *message.MembershipStatus) bool {
		return slices.ContainsFunc(membership.Learners, func(learner message.LearnerStatus) bool {
			return learner.Address == core.InternalAddress && learner.Synced
		})
	}) {
		fleet.codes = append(fleet.codes, name+": "+core.Name+" is no synced learner in time")
	}
	begin := time.Now()
	old.Signal(syscall.SIGTERM)
	if code := old.Wait(termLimit); code != 0 {
		fleet.codes = append(fleet.codes, fmt.Sprintf("%s exit %d", old.Name, code))
	}
	fleet.succeeds(name, old, core, begin)
}

// succeeds waits until the new core votes in the old one's place.
func (fleet *Fleet) succeeds(name string, old, core *Process, begin time.Time) {
	taken := fleet.membershipComes(func(membership *message.MembershipStatus) bool {
		votes := func(address string) bool {
			return slices.ContainsFunc(membership.Voters, func(voter message.VoterStatus) bool { return voter.Address == address })
		}
		return len(membership.Next) == 0 && len(membership.Voters) == fleet.Spec.Cores && votes(core.InternalAddress) &&
			!votes(old.InternalAddress)
	})
	if !taken {
		fleet.codes = append(fleet.codes, fmt.Sprintf("%s: %s has not the place of %s", name, core.Name, old.Name))
	}
	fmt.Printf(
		"%s: %s: %s in the place of %s after %v: %v\n",
		fleet.name,
		name,
		core.Name,
		old.Name,
		time.Since(begin).Round(time.Millisecond),
		taken,
	)
	fleet.mutex.Lock()
	fleet.Cores[slices.Index(fleet.Cores, old)] = core
	fleet.mutex.Unlock()
}

// membershipComes waits until the leader tells of such a membership.
func (fleet *Fleet) membershipComes(holds func(*message.MembershipStatus) bool) bool {
	for limit := time.Now().Add(replaceLimit); time.Now().Before(limit); fleet.goroutines.Sleep(lookPace) {
		if membership, err := fleet.Operator(0).Cores(); err == nil && holds(membership) {
			return true
		}
	}
	return false
}
