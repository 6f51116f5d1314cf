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

// The list and the bound of the large deployments: a proxy must choose a draining backend
// no more so early that a request which it sent before still arrives within the bound.
const (
	drainBound       = 3 * time.Second
	requestAllowance = 700 * time.Millisecond
	// updateAllowance is what an update may take longer than here, behind other bytes on a
	// proxy's thin link: 0.9 s as measured on a large deployment.
	updateAllowance = 600 * time.Millisecond
	listedBackends  = 1080
	listedZones     = 9
	listPage        = 50
	drainsPerSeed   = 6
)

// pagedList is a platform's list, in pages and by zone, in a region far from the leader.
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

// page answers after the way there and back.
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

// zones returns those of the list.
func (list *pagedList) zones() []string {
	zones := []string{}
	for index := range listedZones {
		zones = append(zones, fmt.Sprint("z", index))
	}
	return zones
}

// drain makes the list show that a backend leaves.
func (list *pagedList) drain(index int) string {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.backends[index].Leaving = true
	return list.backends[index].Name
}

// leavesEverywhere reports whether all daemons hold that a backend leaves.
func (world *World) leavesEverywhere(name string) bool {
	for _, one := range world.Members {
		if !leaves(one.Daemon.Version().Table, name) {
			return false
		}
	}
	return true
}

// Guards against requests to a backend over 3 s after the list showed that it leaves: the
// leader, far from the platform, read 22 pages one after the other before it told anybody.
func TestDrainIsInForceInTimeWithALongListFarAway(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
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
		world.farUp(test, 9)
		world.Sleep(10 * time.Second)
		for range drainsPerSeed {
			world.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
			name, shown := list.drain(random.IntN(listedBackends)), time.Now()
			if !world.Until(2*drainBound, func() bool { return world.leavesEverywhere(name) }) {
				world.reportViolation("%s: not in force everywhere", name)
			}
			if took := time.Since(shown); took > drainBound-requestAllowance-updateAllowance {
				world.reportViolation("%s: in force everywhere after %v", name, took)
			}
		}
		world.report(test)
	})
}

// Guards against drains told late: daemons that waited for an update asked for it once more,
// a second way to the leader and back, after they were told that there was one.
func TestSmallUpdateComesWithTheWatch(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 5)
		defer world.CloseRegional()
		list := newPagedList(world, listPage)
		world.ListBackends = list.page
		world.farUp(test, 9)
		for number := range drainsPerSeed {
			world.Sleep(5 * time.Second)
			name := list.drain(number)
			leads := func() bool { return leaves(world.Cores[max(world.Leader(), 0)].running(world).Table(), name) }
			if !world.Until(drainBound, leads) {
				world.reportViolation("%s: not in the leader's table", name)
			}
			told := time.Now()
			world.Until(drainBound, func() bool { return world.leavesEverywhere(name) })
			if took := time.Since(told); took > interRegionDelay+20*time.Millisecond {
				world.reportViolation(
					"%s: in force everywhere %v after the leader's table, want one way of %v",
					name,
					took,
					interRegionDelay,
				)
			}
		}
		world.report(test)
	})
}

// leaves reports whether a table says that a backend leaves.
func leaves(table *message.Table, name string) bool {
	for _, backend := range table.Backends {
		if backend.Name == name {
			return backend.Leaving
		}
	}
	return false
}
