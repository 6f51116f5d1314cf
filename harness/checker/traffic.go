package checker

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strings"

	"orchidjunction/config"
	"orchidjunction/harness/standin"
)

func (evidence *Evidence) wholeReceipts() (bad []string, detail string) {
	count := evidence.tries(func(try standin.Try) {
		if try.Mangled || try.Foreign {
			bad = append(bad, fmt.Sprintf("try %s mangled %v foreign %v", try.ID, try.Mangled, try.Foreign))
		}
	})
	return bad, fmt.Sprintf("%d tries", count)
}

func (evidence *Evidence) ownService() (bad []string, detail string) {
	detail = evidence.arrivals(func(record *standin.BackendRecord, arrival *standin.Arrival) {
		if arrival.Service != record.Service {
			bad = append(bad, fmt.Sprintf("%s of %s got a task for %q", record.Instance, record.Service, arrival.Service))
		}
	})
	return bad, detail
}

// ownTenant: what a backend is told of the tenant is who made the try.
func (evidence *Evidence) ownTenant() (bad []string, detail string) {
	tenants := map[string]map[string]bool{}
	evidence.tries(func(try standin.Try) {
		if tenants[try.ID] == nil {
			tenants[try.ID] = map[string]bool{}
		}
		tenants[try.ID][try.Tenant] = true
	})
	detail = evidence.arrivals(func(record *standin.BackendRecord, arrival *standin.Arrival) {
		if arrival.Try != "" && tenants[arrival.Try] != nil && !tenants[arrival.Try][arrival.Tenant] {
			bad = append(bad, fmt.Sprintf("try %s came to %s as %s", arrival.Try, record.Instance, arrival.Tenant))
		}
	})
	return bad, detail
}

// ownRegion looks at backends and at fronts, whoever lends them.
func (evidence *Evidence) ownRegion() (bad []string, detail string) {
	if evidence.Settings == nil {
		return nil, "no settings given"
	}
	regions := map[string]string{}
	for name, region := range evidence.Settings.Regions {
		for _, zone := range region.Zones {
			regions[zone] = name
		}
	}
	routes := evidence.Settings.Flatten()
	watched := 0
	look := func(what, spot, tenant, service, method, path string) {
		forbidden := append(
			append([]string{}, evidence.Settings.Tenants[tenant].ForbidRegions...),
			forbids(routes, service, method, path)...)
		if len(forbidden) > 0 {
			watched++
		}
		if region := regions[evidence.Zones[spot]]; region != "" && slices.Contains(forbidden, region) {
			bad = append(bad, fmt.Sprintf("%s of %s at %s in %s", what, tenant, spot, region))
		}
	}
	evidence.arrivals(func(record *standin.BackendRecord, arrival *standin.Arrival) {
		look("task", record.Instance, arrival.Tenant, arrival.Service, arrival.Method, arrival.Path)
	})
	evidence.tries(func(try standin.Try) {
		service, path, _ := strings.Cut(strings.TrimPrefix(try.Path, "/"), "/")
		if try.Status == http.StatusOK {
			look("try", try.Front, try.Tenant, service, try.Method, "/"+path)
		}
	})
	return bad, fmt.Sprintf("%d with a forbidden region", watched)
}

func forbids(routes []config.FlatRoute, service, method, path string) []string {
	for _, route := range routes {
		if route.Service == service && route.Method == method &&
			(route.Path == path || strings.HasSuffix(route.Path, "*") && strings.HasPrefix(path, strings.TrimSuffix(route.Path, "*"))) {
			return route.ForbidRegions
		}
	}
	return nil
}

func (evidence *Evidence) leavingIsLeft() (bad []string, detail string) {
	detail = evidence.arrivals(func(record *standin.BackendRecord, arrival *standin.Arrival) {
		if arrival.LeavingMs > maxLateMs {
			bad = append(bad, fmt.Sprintf("%s left for %d ms", record.Instance, arrival.LeavingMs))
		}
	})
	return bad, detail
}

// emptied looks for sends at what is emptied, answers by emptied fronts, and
// both for tenants without keys.
func (evidence *Evidence) emptied() (bad []string, detail string) {
	served := 0
	for _, window := range evidence.Windows {
		within := func(at int64) bool { return at > window.From && (window.Until == 0 || at < window.Until) }
		evidence.arrivals(func(record *standin.BackendRecord, arrival *standin.Arrival) {
			if (window.Kind == "backend" && record.Instance == window.Subject || window.Kind == "tenant" && arrival.Tenant == window.Subject) &&
				within(arrival.AtMs) {
				bad = append(bad, fmt.Sprintf("%s %s sent to %d ms too late", window.Kind, window.Subject, arrival.AtMs-window.From))
			}
		})
		evidence.tries(func(try standin.Try) {
			if (window.Kind == "front" && try.Front == window.Subject || window.Kind == "tenant" && try.Tenant == window.Subject) &&
				within(try.AtMs) {
				served++
				if try.Status == http.StatusOK && !try.Replay {
					bad = append(bad, fmt.Sprintf("%s %s served %d ms too late", window.Kind, window.Subject, try.AtMs-window.From))
				}
			}
		})
	}
	return bad, fmt.Sprintf("%d windows, %d tries within", len(evidence.Windows), served)
}

func (evidence *Evidence) resendsBounded() (bad []string, detail string) {
	arrivals := []standin.Arrival{}
	evidence.arrivals(func(_ *standin.BackendRecord, arrival *standin.Arrival) { arrivals = append(arrivals, *arrival) })
	sort.Slice(arrivals, func(left, right int) bool { return arrivals[left].AtMs < arrivals[right].AtMs })
	known, again := map[string]bool{}, make([]bool, len(arrivals))
	all, most, tail, first, resent := 0, 0, 0, 0, 0
	for index, arrival := range arrivals {
		again[index] = known[arrival.Task]
		known[arrival.Task] = true
		if again[index] {
			all++
			resent++
		} else {
			first++
		}
		for arrivals[tail].AtMs <= arrival.AtMs-10_000 {
			if again[tail] {
				resent--
			} else {
				first--
			}
			tail++
		}
		most = max(most, resent)
		if float64(resent) > 0.2*float64(first)+60 {
			bad = append(bad, fmt.Sprintf("%d resends beside %d first sends", resent, first))
		}
	}
	return bad, fmt.Sprintf("%d resends, at most %d in ten seconds", all, most)
}

// coldGentle counts what a cold backend got in any second.
func (evidence *Evidence) coldGentle() (bad []string, detail string) {
	cold, most := 0, 0
	for _, record := range evidence.Backends {
		second := []int64{}
		for _, arrival := range record.Arrivals {
			if !arrival.Cold {
				continue
			}
			cold++
			second = append(second, arrival.AtMs)
			for second[0] <= arrival.AtMs-1000 {
				second = second[1:]
			}
			most = max(most, len(second))
			if float64(len(second)) > record.Gentle*1.2+1 {
				bad = append(bad, fmt.Sprintf("%s got %d in a second, gentle is %v", record.Instance, len(second), record.Gentle))
			}
		}
	}
	return bad, fmt.Sprintf("%d tasks at cold backends, at most %d in a second", cold, most)
}

// nothingCut: on a planned path every task ends with its whole receipt, if need
// be at another front. Tasks that found no room at all were never taken; they are
// the floors' line.
func (evidence *Evidence) nothingCut() (bad []string, detail string) {
	for _, callers := range evidence.Callers {
		ended, roomless := map[string]bool{}, map[string]bool{}
		for _, try := range callers.Tries {
			name := try.Tenant + "/" + try.Task
			ended[name] = ended[name] || try.Status == http.StatusOK
			if _, found := roomless[name]; !found {
				roomless[name] = true
			}
			roomless[name] = roomless[name] && try.Code == "busy"
		}
		crowded := 0
		for name := range ended {
			if !ended[name] && roomless[name] {
				crowded++
			}
		}
		if evidence.Planned && callers.Broken+callers.Unknown+callers.Unserved > crowded {
			bad = append(
				bad,
				fmt.Sprintf(
					"%d pipes broken, %d unknown, %d not served, %d of them for want of room: %v",
					callers.Broken,
					callers.Unknown,
					callers.Unserved,
					crowded,
					callers.Statuses,
				),
			)
		}
		detail += fmt.Sprintf(
			"%d asked, %d served, %d not, %d unknown, %d pipes broken, p50 %.1f ms p99 %.1f ms, longest gap %d ms ",
			callers.Asked,
			callers.Served,
			callers.Unserved,
			callers.Unknown,
			callers.Broken,
			callers.LatencyMs["p50"],
			callers.LatencyMs["p99"],
			callers.GapMs,
		)
	}
	return bad, detail
}

// floorsKept: in a second and the one before it in which a class asked for no
// more than nine tenths of its floor, next to none of its tries is refused for
// room: a fiftieth, and a twentieth where fronts died, since the floor is split
// among them by demand that is a little old. What is lent may always be refused.
func (evidence *Evidence) floorsKept() (bad []string, detail string) {
	if evidence.Settings == nil {
		return nil, "no settings given"
	}
	request, refused, classes := map[string]int{}, map[string]int{}, map[string][2]int{}
	at := func(class string, second int64) string { return fmt.Sprintf("%s %d", class, second) }
	evidence.tries(func(try standin.Try) {
		request[at(try.Class, try.AtMs/1000)]++
		if try.Code == "busy" {
			refused[at(try.Class, try.AtMs/1000)]++
		}
	})
	evidence.tries(func(try standin.Try) {
		floor := evidence.Settings.Classes[try.Class].FloorRps * 9 / 10
		if evidence.Guests[try.Front] != "" {
			return
		}
		if second := try.AtMs / 1000; request[at(try.Class, second)] <= floor && request[at(try.Class, second-1)] <= floor {
			counted := classes[try.Class]
			counted[0]++
			if try.Code == "busy" {
				counted[1]++
			}
			classes[try.Class] = counted
		}
	})
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		counted := classes[class]
		detail += fmt.Sprintf("%s %d tries within its floor, %d refused; ", class, counted[0], counted[1])
		allowed := counted[0] / 50
		if !evidence.Planned {
			allowed = counted[0] / 20
		}
		if counted[1] > allowed+1 {
			bad = append(bad, fmt.Sprintf("%s: %d of %d tries within its floor refused", class, counted[1], counted[0]))
		}
	}
	return bad, detail
}
