package simulation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"orchidjunction/control"
	"orchidjunction/discovery"
	"orchidjunction/message"
)

// The list and the drain bound of the large deployments. A proxy must stop choosing a draining
// backend early enough that a request it sent before still arrives within the bound.
const (
	drainBound       = 3 * time.Second
	requestAllowance = 700 * time.Millisecond
	// updateAllowance is the extra time of an update that queues behind other traffic on a
	// proxy's slow link; updates took 0.9 s on a large deployment.
	updateAllowance = 600 * time.Millisecond
	listedBackends  = 1080
	listedZones     = 9
	listPage        = 50
	drainsPerSeed   = 6
)

// pagedList is a platform's backend list, paged and by zone, in a region far from the leader.
type pagedList struct {
	world *World

	mutex    sync.Mutex
	backends []message.Backend
}

func newPagedList(world *World, backends int) *pagedList {
	list := &pagedList{world: world}
	for index := range backends {
		list.backends = append(list.backends, message.Backend{
			Name:     fmt.Sprintf("b-%04d", index),
			Service:  "desk",
			Address:  fmt.Sprintf("10.9.%d.%d:80", index/200, index%200+1),
			Zone:     fmt.Sprint("z", index%listedZones),
			Capacity: 4,
		})
	}
	return list
}

// page returns a page after the round trip to the platform.
func (list *pagedList) page(request discovery.PageRequest) discovery.Page {
	list.world.Sleep(interRegionDelay)
	page := list.read(request)
	list.world.Sleep(interRegionDelay)
	return page
}

func (list *pagedList) read(request discovery.PageRequest) discovery.Page {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	listed := []message.Backend{}
	for _, backend := range list.backends {
		if request.Zone == "" || request.Zone == backend.Zone {
			listed = append(listed, backend)
		}
	}
	start, _ := strconv.Atoi(request.Token)
	end := min(start+listPage, len(listed))
	page := discovery.Page{Backends: listed[start:end]}
	if end < len(listed) {
		page.Next = strconv.Itoa(end)
	}
	return page
}

// zones returns the zones of the list.
func (list *pagedList) zones() []string {
	zones := []string{}
	for index := range listedZones {
		zones = append(zones, fmt.Sprint("z", index))
	}
	return zones
}

// drain marks a backend as leaving in the list and returns its name.
func (list *pagedList) drain(index int) string {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.backends[index].Leaving = true
	return list.backends[index].Name
}

// isLeavingEverywhere reports whether the tables of all daemons mark a backend as leaving.
func (world *World) isLeavingEverywhere(name string) bool {
	for _, member := range world.Members {
		if !isLeaving(member.Daemon.Version().Table, name) {
			return false
		}
	}
	return true
}

// Guards against requests to a backend more than 3 s after the list shows that it leaves: the
// leader, far from the platform, read 22 pages one after the other before it sent an update.
func TestDrainIsInForceInTimeWithALongListFarAway(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 5)
		defer world.CloseRegional()
		random := rand.New(rand.NewPCG(seed, 53))
		list := newPagedList(world, listedBackends)
		world.ListBackends, world.ListZones = list.page, list.zones
		shape := world.AdjustCoreConfig
		world.AdjustCoreConfig = func(machine *Core, config *control.Config) {
			shape(machine, config)
			config.TableInterval, config.ListInterval = 150*time.Millisecond, 630*time.Millisecond
		}
		world.startRegional(test, 9)
		world.Sleep(10 * time.Second)
		for range drainsPerSeed {
			world.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
			name, drainedAt := list.drain(random.IntN(listedBackends)), time.Now()
			if !world.Until(2*drainBound, func() bool { return world.isLeavingEverywhere(name) }) {
				world.reportViolation("%s: drain not in force everywhere in time", name)
			}
			if took := time.Since(drainedAt); took > drainBound-requestAllowance-updateAllowance {
				world.reportViolation("%s: drain in force everywhere only after %v", name, took)
			}
		}
		world.reportFailures(test)
	})
}

// Guards against late drains: waiting daemons were only notified of an update and had to fetch
// it with a second round trip to the leader.
func TestSmallUpdateComesWithTheWatch(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 5)
		defer world.CloseRegional()
		list := newPagedList(world, listPage)
		world.ListBackends = list.page
		world.startRegional(test, 9)
		for number := range drainsPerSeed {
			world.Sleep(5 * time.Second)
			name := list.drain(number)
			updated := func() bool { return isLeaving(world.Cores[max(world.Leader(), 0)].running(world).Table(), name) }
			if !world.Until(drainBound, updated) {
				world.reportViolation("%s: drain not in the leader's table", name)
			}
			updatedAt := time.Now()
			world.Until(drainBound, func() bool { return world.isLeavingEverywhere(name) })
			if took := time.Since(updatedAt); took > interRegionDelay+20*time.Millisecond {
				world.reportViolation(
					"%s: drain in force everywhere %v after the leader's table has it, want the one-way latency of %v",
					name,
					took,
					interRegionDelay,
				)
			}
		}
		world.reportFailures(test)
	})
}

// isLeaving reports whether a table marks a backend as leaving.
func isLeaving(table *message.Table, name string) bool {
	for _, backend := range table.Backends {
		if backend.Name == name {
			return backend.Leaving
		}
	}
	return false
}
