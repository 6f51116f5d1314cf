package hostproxy

import (
	"orchidjunction/routing"
	"sync"
	"time"
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

func (stat *RouteStats) of(of *routing.Route) *routeStat {
	held := stat.routes[of.Name]
	if held == nil {
		held = &routeStat{milliseconds: float64(max(of.TargetMs, 20)) / 5}
		if of.Kind == routing.Download {
			held.kilobytes = 64
		}
		stat.routes[of.Name] = held
	}
	return held
}

// expect is how many milliseconds an answer should take and how many kilobytes it has.
func (stat *RouteStats) expect(of *routing.Route) (float64, float64) {
	stat.mutex.Lock()
	defer stat.mutex.Unlock()
	held := stat.of(of)
	return held.milliseconds, held.kilobytes
}

func (stat *RouteStats) mean(of *routing.Route) float64 {
	milliseconds, _ := stat.expect(of)
	return milliseconds
}

func (stat *RouteStats) served(of *routing.Route, took time.Duration, size int) {
	stat.mutex.Lock()
	defer stat.mutex.Unlock()
	held := stat.of(of)
	held.milliseconds += statWeight * (float64(took.Milliseconds()) - held.milliseconds)
	held.kilobytes += statWeight * (float64(size)/1024 - held.kilobytes)
}

// keep forgets the routes that are not in force.
func (stat *RouteStats) keep(routes []routing.Route) {
	stat.mutex.Lock()
	defer stat.mutex.Unlock()
	if len(stat.routes) <= 2*len(routes)+16 {
		return
	}
	kept := map[string]*routeStat{}
	for index := range routes {
		if held := stat.routes[routes[index].Name]; held != nil {
			kept[routes[index].Name] = held
		}
	}
	stat.routes = kept
}
