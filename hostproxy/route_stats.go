package hostproxy

import (
	"sync"
	"time"

	"orchidjunction/routing"
)

const statWeight = 0.05

// RouteStats is what the answers of routes took and weighed of late.
type RouteStats struct {
	mutex  sync.Mutex
	routes map[string]*routeStat
}

type routeStat struct {
	milliseconds float64
	kilobytes    float64
}

func newRouteStats() *RouteStats { return &RouteStats{routes: map[string]*routeStat{}} }

func (stats *RouteStats) statsOf(of *routing.Route) *routeStat {
	held := stats.routes[of.Name]
	if held == nil {
		held = &routeStat{milliseconds: float64(max(of.TargetMs, 20)) / 5}
		if of.Kind == routing.Download {
			held.kilobytes = 64
		}
		stats.routes[of.Name] = held
	}
	return held
}

// expect is how many milliseconds an answer should take and how many kilobytes it has.
func (stats *RouteStats) expect(of *routing.Route) (float64, float64) {
	stats.mutex.Lock()
	defer stats.mutex.Unlock()
	held := stats.statsOf(of)
	return held.milliseconds, held.kilobytes
}

func (stats *RouteStats) mean(of *routing.Route) float64 {
	milliseconds, _ := stats.expect(of)
	return milliseconds
}

func (stats *RouteStats) observe(of *routing.Route, took time.Duration, size int) {
	stats.mutex.Lock()
	defer stats.mutex.Unlock()
	held := stats.statsOf(of)
	held.milliseconds += statWeight * (float64(took.Milliseconds()) - held.milliseconds)
	held.kilobytes += statWeight * (float64(size)/1024 - held.kilobytes)
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
		if held := stats.routes[routes[index].Name]; held != nil {
			kept[routes[index].Name] = held
		}
	}
	stats.routes = kept
}
