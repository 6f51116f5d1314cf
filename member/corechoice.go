package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	// askAroundPace is how often other daemons are asked which cores vote, while none is reached.
	askAroundPace = time.Second
	// askAroundMost is how many are asked at once.
	askAroundMost = 3
)

// sessionCore is the core to keep the session at: the leader, where this daemon speaks
// to it itself, and else the one that it was kept at while that votes and answers.
func (daemon *Daemon) sessionCore() string {
	if daemon.place.Direct {
		return daemon.chooseCore()
	}
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.nextCore()
}

// nextCore is the core that was chosen last while it votes and did not fail lately,
// and else the next voter. A seed without a vote is chosen only while all voters
// failed lately: what it is told may reach nobody. The daemon's mutex is held.
func (daemon *Daemon) nextCore() string {
	voters, others := daemon.Finder.Voters()
	begin := max(slices.Index(voters, daemon.core), 0)
	ordered := append(append(append([]string{}, voters[begin:]...), voters[:begin]...), others...)
	chosen := ordered[0]
	for _, core := range ordered {
		if time.Since(daemon.failed[core]) > aloneSpan {
			chosen = core
			break
		}
		if daemon.failed[core].Before(daemon.failed[chosen]) {
			chosen = core
		}
	}
	daemon.core = chosen
	return chosen
}

// votingCores are the voters as far as is known.
func (daemon *Daemon) votingCores() []string {
	voters, _ := daemon.Finder.Voters()
	return voters
}

// asksAround is whether to ask other daemons now which cores vote: no core is reached,
// and all that this one knows may have been replaced while it was cut off.
func (daemon *Daemon) asksAround() bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	due := daemon.reach.quiet() && time.Since(daemon.around) > askAroundPace
	if due {
		daemon.around = time.Now()
	}
	return due
}

// askAround asks some other daemons which cores vote.
func (daemon *Daemon) askAround() {
	others := []message.Member{}
	for _, known := range daemon.Version().Table.Members {
		if known.Name != daemon.place.Name {
			others = append(others, known)
		}
	}
	rand.Shuffle(len(others), func(left, right int) { others[left], others[right] = others[right], others[left] })
	asked := others[:min(len(others), askAroundMost)]
	got, _ := concurrent.Gather(daemon.goroutines, len(asked), func(index int) (*message.LeaderResponse, error) {
		return rpc.Call[message.LeaderRequest, message.LeaderResponse](daemon.line, asked[index].InternalAddress, "who", reachLimit, &message.LeaderRequest{})
	}, func(map[int]*message.LeaderResponse, map[int]error) bool { return false })
	for _, response := range got {
		daemon.Finder.Learn(response.Membership, response.Cores)
	}
}
