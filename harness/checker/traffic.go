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

func (evidence *Evidence) checkResponses() (bad []string, detail string) {
	count := evidence.eachTry(func(try standin.Try) {
		if try.Mangled || try.Foreign {
			bad = append(bad, fmt.Sprintf("attempt %s: response damaged: %v, for another request: %v", try.ID, try.Mangled, try.Foreign))
		}
	})
	return bad, fmt.Sprintf("%d attempts", count)
}

func (evidence *Evidence) checkService() (bad []string, detail string) {
	detail = evidence.eachArrival(func(record *standin.BackendRecord, arrival *standin.Arrival) {
		if arrival.Service != record.Service {
			bad = append(bad, fmt.Sprintf("%s of %s got a task for %q", record.Instance, record.Service, arrival.Service))
		}
	})
	return bad, detail
}

func (evidence *Evidence) checkTenant() (bad []string, detail string) {
	tenants := map[string]map[string]bool{}
	evidence.eachTry(func(try standin.Try) {
		if tenants[try.ID] == nil {
			tenants[try.ID] = map[string]bool{}
		}
		tenants[try.ID][try.Tenant] = true
	})
	detail = evidence.eachArrival(func(record *standin.BackendRecord, arrival *standin.Arrival) {
		if arrival.Try != "" && tenants[arrival.Try] != nil && !tenants[arrival.Try][arrival.Tenant] {
			bad = append(bad, fmt.Sprintf("attempt %s reached %s as tenant %s", arrival.Try, record.Instance, arrival.Tenant))
		}
	})
	return bad, detail
}

// checkRegions checks the regions of backends and of proxies, lent ones included.
func (evidence *Evidence) checkRegions() (bad []string, detail string) {
	if evidence.Settings == nil {
		return nil, "no settings given"
	}
	regionOfZone := map[string]string{}
	for name, region := range evidence.Settings.Regions {
		for _, zone := range region.Zones {
			regionOfZone[zone] = name
		}
	}
	routes := evidence.Settings.Flatten()
	restricted := 0
	check := func(what, location, tenant, service, method, path string) {
		forbidden := append(
			append([]string{}, evidence.Settings.Tenants[tenant].ForbidRegions...),
			forbiddenRegions(routes, service, method, path)...)
		if len(forbidden) > 0 {
			restricted++
		}
		if region := regionOfZone[evidence.Zones[location]]; region != "" && slices.Contains(forbidden, region) {
			bad = append(bad, fmt.Sprintf("%s of tenant %s at %s in forbidden region %s", what, tenant, location, region))
		}
	}
	evidence.eachArrival(func(record *standin.BackendRecord, arrival *standin.Arrival) {
		check("task", record.Instance, arrival.Tenant, arrival.Service, arrival.Method, arrival.Path)
	})
	evidence.eachTry(func(try standin.Try) {
		service, path, _ := strings.Cut(strings.TrimPrefix(try.Path, "/"), "/")
		if try.Status == http.StatusOK {
			check("attempt", try.Front, try.Tenant, service, try.Method, "/"+path)
		}
	})
	return bad, fmt.Sprintf("%d tasks and attempts with forbidden regions", restricted)
}

func forbiddenRegions(routes []config.FlatRoute, service, method, path string) []string {
	for _, route := range routes {
		if route.Service == service && route.Method == method &&
			(route.Path == path || strings.HasSuffix(route.Path, "*") && strings.HasPrefix(path, strings.TrimSuffix(route.Path, "*"))) {
			return route.ForbidRegions
		}
	}
	return nil
}

func (evidence *Evidence) checkLeavingBackends() (bad []string, detail string) {
	detail = evidence.eachArrival(func(record *standin.BackendRecord, arrival *standin.Arrival) {
		if arrival.LeavingMs > maxDelayMs {
			bad = append(bad, fmt.Sprintf("%s got a task %d ms after it began to leave", record.Instance, arrival.LeavingMs))
		}
	})
	return bad, detail
}

// checkDrained looks for tasks at drained backends, responses of drained proxies, and
// both for tenants whose keys are revoked.
func (evidence *Evidence) checkDrained() (bad []string, detail string) {
	withinWindow := 0
	for _, window := range evidence.Windows {
		within := func(at int64) bool { return at > window.From && (window.Until == 0 || at < window.Until) }
		evidence.eachArrival(func(record *standin.BackendRecord, arrival *standin.Arrival) {
			if (window.Kind == "backend" && record.Instance == window.Subject || window.Kind == "tenant" && arrival.Tenant == window.Subject) &&
				within(arrival.AtMs) {
				bad = append(
					bad,
					fmt.Sprintf("%s %s: task at a backend %d ms after the deadline", window.Kind, window.Subject, arrival.AtMs-window.From),
				)
			}
		})
		evidence.eachTry(func(try standin.Try) {
			if (window.Kind == "front" && try.Front == window.Subject || window.Kind == "tenant" && try.Tenant == window.Subject) &&
				within(try.AtMs) {
				withinWindow++
				if try.Status == http.StatusOK && !try.Replay {
					bad = append(
						bad,
						fmt.Sprintf("%s %s: attempt served %d ms after the deadline", window.Kind, window.Subject, try.AtMs-window.From),
					)
				}
			}
		})
	}
	return bad, fmt.Sprintf("%d windows, %d attempts within them", len(evidence.Windows), withinWindow)
}

func (evidence *Evidence) checkResends() (bad []string, detail string) {
	arrivals := []standin.Arrival{}
	evidence.eachArrival(func(_ *standin.BackendRecord, arrival *standin.Arrival) { arrivals = append(arrivals, *arrival) })
	sort.Slice(arrivals, func(left, right int) bool { return arrivals[left].AtMs < arrivals[right].AtMs })
	seen, isResend := map[string]bool{}, make([]bool, len(arrivals))
	total, most, oldest, firstSends, resends := 0, 0, 0, 0, 0
	for index, arrival := range arrivals {
		isResend[index] = seen[arrival.Task]
		seen[arrival.Task] = true
		if isResend[index] {
			total++
			resends++
		} else {
			firstSends++
		}
		for arrivals[oldest].AtMs <= arrival.AtMs-10_000 {
			if isResend[oldest] {
				resends--
			} else {
				firstSends--
			}
			oldest++
		}
		most = max(most, resends)
		if float64(resends) > 0.2*float64(firstSends)+60 {
			bad = append(bad, fmt.Sprintf("%d resends to %d first sends in 10 s", resends, firstSends))
		}
	}
	return bad, fmt.Sprintf("%d resends, at most %d in 10 s", total, most)
}

func (evidence *Evidence) checkColdBackends() (bad []string, detail string) {
	cold, most := 0, 0
	for _, record := range evidence.Backends {
		lastSecond := []int64{}
		for _, arrival := range record.Arrivals {
			if !arrival.Cold {
				continue
			}
			cold++
			lastSecond = append(lastSecond, arrival.AtMs)
			for lastSecond[0] <= arrival.AtMs-1000 {
				lastSecond = lastSecond[1:]
			}
			most = max(most, len(lastSecond))
			if float64(len(lastSecond)) > record.Gentle*1.2+1 {
				bad = append(
					bad,
					fmt.Sprintf("%s got %d tasks in a second, gentle_rate is %v", record.Instance, len(lastSecond), record.Gentle),
				)
			}
		}
	}
	return bad, fmt.Sprintf("%d tasks at cold backends, at most %d in a second", cold, most)
}

// checkPlannedWork checks that under planned work every task gets its response, if need be
// from another proxy. Tasks of which all attempts were refused as busy are left to checkFloors.
func (evidence *Evidence) checkPlannedWork() (bad []string, detail string) {
	for _, callers := range evidence.Callers {
		served, onlyBusy := map[string]bool{}, map[string]bool{}
		for _, try := range callers.Tries {
			task := try.Tenant + "/" + try.Task
			served[task] = served[task] || try.Status == http.StatusOK
			if _, found := onlyBusy[task]; !found {
				onlyBusy[task] = true
			}
			onlyBusy[task] = onlyBusy[task] && try.Code == "busy"
		}
		refusedBusy := 0
		for task := range served {
			if !served[task] && onlyBusy[task] {
				refusedBusy++
			}
		}
		if evidence.Planned && callers.Broken+callers.Unknown+callers.Unserved > refusedBusy {
			bad = append(
				bad,
				fmt.Sprintf(
					"%d connections broken, %d outcomes unknown, %d not served, %d of them refused as busy: %v",
					callers.Broken,
					callers.Unknown,
					callers.Unserved,
					refusedBusy,
					callers.Statuses,
				),
			)
		}
		detail += fmt.Sprintf(
			"%d tasks, %d served, %d not served, %d unknown, %d connections broken, p50 %.1f ms p99 %.1f ms, longest gap %d ms ",
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

// checkFloors counts attempts refused as busy though their class asked, in that second and
// the one before, for no more than nine tenths of its floor. A fiftieth may be refused, or a
// twentieth after unplanned faults, since proxies share the floor by slightly outdated
// demand. Lent capacity may always be refused.
func (evidence *Evidence) checkFloors() (bad []string, detail string) {
	if evidence.Settings == nil {
		return nil, "no settings given"
	}
	requested, refused, totals := map[string]int{}, map[string]int{}, map[string][2]int{}
	key := func(class string, second int64) string { return fmt.Sprintf("%s %d", class, second) }
	evidence.eachTry(func(try standin.Try) {
		requested[key(try.Class, try.AtMs/1000)]++
		if try.Code == "busy" {
			refused[key(try.Class, try.AtMs/1000)]++
		}
	})
	evidence.eachTry(func(try standin.Try) {
		floor := evidence.Settings.Classes[try.Class].FloorRps * 9 / 10
		if evidence.LentProxies[try.Front] != "" {
			return
		}
		if second := try.AtMs / 1000; requested[key(try.Class, second)] <= floor && requested[key(try.Class, second-1)] <= floor {
			total := totals[try.Class]
			total[0]++
			if try.Code == "busy" {
				total[1]++
			}
			totals[try.Class] = total
		}
	})
	for _, class := range slices.Sorted(maps.Keys(totals)) {
		total := totals[class]
		detail += fmt.Sprintf("%s: %d attempts within its floor, %d refused; ", class, total[0], total[1])
		allowed := total[0] / 50
		if !evidence.Planned {
			allowed = total[0] / 20
		}
		if total[1] > allowed+1 {
			bad = append(bad, fmt.Sprintf("%s: %d of %d attempts within its floor refused", class, total[1], total[0]))
		}
	}
	return bad, detail
}
