package hostproxy

import (
	"sync"
	"time"

	"orchidjunction/routing"
)

// statWeight is the weight of the newest answer in the means.
const statWeight = 0.05

// RouteStats holds the mean time and size of the answers of each route of late.
type RouteStats struct {
	mutex  sync.Mutex
	routes map[string]*routeStat
}

type routeStat struct {
	milliseconds float64
	kilobytes    float64
}

func newRouteStats() *RouteStats { return &RouteStats{routes: map[string]*routeStat{}} }

func (stats *RouteStats) statsOf(route *routing.Route) *routeStat {
	stat := stats.routes[route.Name]
	if stat == nil {
		stat = &routeStat{milliseconds: float64(max(route.TargetMs, 20)) / 5}
		if route.Kind == routing.Download {
			stat.kilobytes = 64
		}
		stats.routes[route.Name] = stat
	}
	return stat
}

// expect is how many milliseconds an answer should take and how many kilobytes it has.
func (stats *RouteStats) expect(route *routing.Route) (float64, float64) {
	stats.mutex.Lock()
	defer stats.mutex.Unlock()
	stat := stats.statsOf(route)
	return stat.milliseconds, stat.kilobytes
}

func (stats *RouteStats) mean(route *routing.Route) float64 {
	milliseconds, _ := stats.expect(route)
	return milliseconds
}

func (stats *RouteStats) observe(route *routing.Route, took time.Duration, size int) {
	stats.mutex.Lock()
	defer stats.mutex.Unlock()
	stat := stats.statsOf(route)
	stat.milliseconds += statWeight * (float64(took.Milliseconds()) - stat.milliseconds)
	stat.kilobytes += statWeight * (float64(size)/1024 - stat.kilobytes)
}

// forgetOthers forgets the routes that are not in force.
func (stats *RouteStats) forgetOthers(routes []routing.Route) {
	stats.mutex.Lock()
	defer stats.mutex.Unlock()
	if len(stats.routes) <= 2*len(routes)+16 {
		return
	}
	kept := map[string]*routeStat{}
	for index := range routes {
		if stat := stats.routes[routes[index].Name]; stat != nil {
			kept[routes[index].Name] = stat
		}
	}
	stats.routes = kept
}
