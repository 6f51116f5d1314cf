package hostproxy

import (
	"sync"
	"time"

	"orchidjunction/routing"
)

// routeStatWeight is the weight of the newest response in the moving averages.
const routeStatWeight = 0.05

// routeStats holds moving averages of response time and size by route.
type routeStats struct {
	mutex  sync.Mutex
	routes map[string]*routeMeans
}

type routeMeans struct {
	milliseconds float64
	kilobytes    float64
}

func newRouteStats() *routeStats { return &routeStats{routes: map[string]*routeMeans{}} }

func (stats *routeStats) meansFor(route *routing.Route) *routeMeans {
	means := stats.routes[route.Name]
	if means == nil {
		means = &routeMeans{milliseconds: float64(max(route.TargetMs, 20)) / 5}
		if route.Kind == routing.Download {
			means.kilobytes = 64
		}
		stats.routes[route.Name] = means
	}
	return means
}

// expected returns a route's mean response time in milliseconds and size in kilobytes.
func (stats *routeStats) expected(route *routing.Route) (float64, float64) {
	stats.mutex.Lock()
	defer stats.mutex.Unlock()
	means := stats.meansFor(route)
	return means.milliseconds, means.kilobytes
}

func (stats *routeStats) meanMs(route *routing.Route) float64 {
	milliseconds, _ := stats.expected(route)
	return milliseconds
}

func (stats *routeStats) observe(route *routing.Route, elapsed time.Duration, size int) {
	stats.mutex.Lock()
	defer stats.mutex.Unlock()
	means := stats.meansFor(route)
	means.milliseconds += routeStatWeight * (float64(elapsed.Milliseconds()) - means.milliseconds)
	means.kilobytes += routeStatWeight * (float64(size)/1024 - means.kilobytes)
}

// prune drops removed routes once there are many.
func (stats *routeStats) prune(routes []routing.Route) {
	stats.mutex.Lock()
	defer stats.mutex.Unlock()
	if len(stats.routes) <= 2*len(routes)+16 {
		return
	}
	kept := map[string]*routeMeans{}
	for index := range routes {
		if means := stats.routes[routes[index].Name]; means != nil {
			kept[routes[index].Name] = means
		}
	}
	stats.routes = kept
}
