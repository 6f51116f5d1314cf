package capacity

import (
	"fmt"
	"math"
)

// line is one quantity of a role at the full size.
type line struct {
	what  string
	work  string
	value float64
	error float64
	unit  string
	bound float64
	runs  string
	by    string
}

// level is what does not grow with the fleet: the mean of the points, and how
// far they stray.
func (found *evidence) level(run string, of quantity) (mean, spread float64) {
	if found.runs[run] == nil {
		return math.NaN(), 0
	}
	values := []float64{}
	for _, result := range found.runs[run].Results {
		if value, measured := of(result); measured && !result.storms() {
			values = append(values, value)
		}
	}
	for _, value := range values {
		mean += value / float64(len(values))
	}
	for _, value := range values {
		spread += (value - mean) * (value - mean) / float64(len(values))
	}
	return mean, math.Sqrt(spread)
}

func (found *evidence) at(run string, of quantity, size float64) (value, spread float64) {
	fit, measured := found.fit(run, of)
	if !measured {
		return math.NaN(), 0
	}
	if fit.Points < 3 {
		return fit.At(size), math.NaN()
	}
	return fit.At(size), fit.SlopeError * size
}

func (found *evidence) roles() string {
	text := &table{}
	text.head("role", "what", "worked out as", "at full size", "± by the fit", "bound", "holds", "mechanism", "from")
	for _, role := range []struct {
		name  string
		lines []line
	}{{"daemon (proxy, also answers where to go)", found.daemonLines()}, {"core that leads", found.leaderLines()}, {"core that follows", found.followerLines()}} {
		for _, line := range role.lines {
			value, spread, bound, holds := number(line.value)+" "+line.unit, number(line.error)+" "+line.unit, "none set", "—"
			if line.bound > 0 {
				bound, holds = number(line.bound)+" "+line.unit, "**no**"
				if line.value <= line.bound {
					holds = "yes"
				}
			}
			if math.IsNaN(line.value) {
				value, spread, holds = "not measured", "", "not known"
			}
			if math.IsNaN(line.error) {
				spread = "unknown, two points"
			}
			text.row(role.name, line.what, line.work, value, spread, bound, holds, line.by, line.runs)
		}
	}
	return text.text.String()
}

// whole is a state of the full size: value and error of one of its costs.
func (found *evidence) whole(of func(State) float64, kinds ...string) (value, spread float64) {
	sizes := map[string]float64{"routes": fullRoutes, "tenants": fullTenants, "backends": fullBackends, "members": fullDaemons}
	for _, kind := range kinds {
		fit := found.state(kind, of)
		value += max(0, fit.At(sizes[kind]))
		spread += fit.SlopeError * sizes[kind]
	}
	return value, spread
}

func (found *evidence) daemonLines() []line {
	bookBytes, bookBytesError := found.whole(packed, "routes", "tenants")
	tableBytes, tableBytesError := found.whole(packed, "backends", "members")
	memory, memoryError := found.whole(held, "routes", "tenants", "backends", "members")
	bookTime, bookTimeError := found.whole(func(state State) float64 { return unpacked(state) + laid(state) }, "routes", "tenants")
	tableTime, tableTimeError := found.whole(func(state State) float64 { return unpacked(state) + laid(state) }, "backends", "members")
	owners := found.state("owners", laid)
	ownersTime := owners.Slope / ownersBackends * fullDaemons * fullBackends
	ownersError := owners.SlopeError / ownersBackends * fullDaemons * fullBackends
	tables := fullEnds * tablesAnEnd
	idle, idleError := found.level("daemons", steady(daemonRole, processor))
	idleIn, idleInError := found.level("daemons", steady(daemonRole, bytesIn))
	active := fullRequests / fullDaemons * meterWindow.Seconds()
	response, toldError := found.at("usage", steady(daemonRole, bytesOut), active)
	count, countError := found.level("daemons", steady(daemonRole, messages))
	opened, openedError := found.level("daemons", steady(daemonRole, descriptors))
	beside, besideError := found.at("backends", steady(daemonRole, processor), fullBackends)
	kept, keptError := found.at("backends", steady(daemonRole, resident), fullBackends)
	return []line{
		{"resident with all backends, 100 routes and 100 tenants", "backends' line", kept, keptError, "MB", mostMemoryMB, "backends", "proxy targets and tables; to build: subsets (need 4)"},
		{"live heap of the state in force (Go lets it double)", "routes × 130 k + tenants × 610 k + backends × 85 k + members × 16 k", memory, memoryError, "MB", mostMemoryMB, "state", "routing.Index, proxy targets; to build: subsets (need 4)"},
		{"state while a new version comes", "twice that, and the packed book and table", 2*memory + (bookBytes+tableBytes)/(1<<20), 2 * memoryError, "MB", mostMemoryMB, "state", "whole swap; to build: patches (need 1)"},
		{"bytes/s in, nothing changes", "does not grow; mean of the points", idleIn, idleInError, "B/s", mostBytes, "daemons", "long poll and sessions of Direct mode"},
		{"bytes/s in, for changes of routing", "1.03 changes/s × packed book", fullChanges * bookBytes, fullChanges * bookBytesError, "B/s", mostBytes, "state", "whole book by fetch; to build: patches (need 1)"},
		{"bytes/s in, for ends and starts of daemons", "0.33 tables/s × packed table", tables * tableBytes, tables * tableBytesError, "B/s", mostBytes, "state", "whole table by fetch; to build: deltas (need 2)"},
		{"bytes/s out", "usage's line at 1,031 tenants a window (206 requests/s, none twice)", response, toldError, "B/s", mostBytes, "usage", "seven windows a session; to build: need 5"},
		{"messages/s, nothing changes", "does not grow; mean of the points", count, countError, "/s", 0, "daemons", "long poll of 2.5 s, session of 0.5 s"},
		{"processor, nothing changes, 100 backends", "does not grow; mean of the points", idle, idleError, "cores", mostProcessor, "daemons", "the same"},
		{"processor, nothing changes, all backends", "backends' line (each is looked at 4 times a second)", beside, besideError, "cores", mostProcessor, "backends", "hostproxy.Proxy.maintain over all targets; to build: subsets (need 4)"},
		{"processor, for changes of routing", "1.03 changes/s × (unpack + put in force)", fullChanges * bookTime, fullChanges * bookTimeError, "cores", mostProcessor, "state", "routing.DecodeState and NewIndex; to build: need 1"},
		{"processor, for tables, without owners", "0.33 tables/s × (unpack + put in force)", tables * tableTime, tables * tableTimeError, "cores", mostProcessor, "state", "hostproxy.Proxy.Apply; to build: needs 2 and 4"},
		{"processor seconds a table for owners of cold backends", "µs a member and backend × 16 k × 85 k", ownersTime, ownersError, "s", 1 / tables, "state (owners)", "hostproxy.owner; to build: need 6"},
		{"descriptors of control", "does not grow; mean of the points", opened, openedError, "", 0, "daemons", "a connection a message under way"},
		{"share of a retry extra of 10 a service", "10 × 0.75 / 16 k; less than one is never taken", 10 * 0.75 / fullDaemons, 0, "tokens", 0, "by rule", "hostproxy.Budget; to build: need 7"},
	}
}

func (found *evidence) leaderLines() []line {
	bookBytes, bookBytesError := found.whole(packed, "routes", "tenants")
	tableBytes, tableBytesError := found.whole(packed, "backends", "members")
	tables := fullEnds * tablesAnEnd
	lines := []line{}
	for _, each := range []struct {
		what, run, unit string
		of              quantity
		size            float64
		bound           float64
		by              string
	}{
		{"processor, nothing changes", "daemons", "cores", steady(leaderRole, processor), fullDaemons, 0, "onSession, onWatch, Meter.take; to build: relays, sub-leaders (need 3)"},
		{"messages/s, nothing changes", "daemons", "/s", steady(leaderRole, messages), fullDaemons, 0, "Direct mode; to build: need 3"},
		{"bytes/s in, nothing changes, 10 tenants a window", "daemons", "B/s", steady(leaderRole, bytesIn), fullDaemons, 0, "sessions; to build: needs 3 and 5"},
		{"bytes/s out, nothing changes", "daemons", "B/s", steady(leaderRole, bytesOut), fullDaemons, 0, "sessions told; to build: need 3"},
		{"memory", "daemons", "MB", steady(leaderRole, resident), fullDaemons, 0, "Sessions, Meter, connections; to build: need 3"},
		{"descriptors", "daemons", "", steady(leaderRole, descriptors), fullDaemons, 0, "HTTP/1 connections; to build: need 3"},
		{"processor for the list of backends and the table", "backends", "cores", steady(leaderRole, processor), fullBackends, 0, "PlatformReader, buildTable; to build: need 8"},
		{"bytes/s in for the list of backends", "backends", "B/s", steady(leaderRole, bytesIn), fullBackends, 0, "whole list each 0.5 s; to build: need 8"},
		{"processor seconds a change by routes, 12 daemons", "routes", "s", perChange(leaderRole, processor), fullRoutes, 1 / fullChanges, "writeRouting, onFetch; to build: need 1"},
		{"processor seconds a change by tenants, 6 daemons", "tenants", "s", perChange(leaderRole, processor), fullTenants, 1 / fullChanges, "writeRouting, onFetch; to build: need 1"},
	} {
		value, spread := found.at(each.run, each.of, each.size)
		lines = append(lines, line{each.what, each.run + "' line", value, spread, each.unit, each.bound, each.run, each.by})
	}
	usage, measured := found.fit("usage", steady(leaderRole, bytesIn))
	response := math.NaN()
	if measured {
		response = usage.Slope / float64(middle.Daemons) * fullDaemons * fullRequests / fullDaemons * meterWindow.Seconds()
	}
	return append(lines,
		line{"bytes/s in, usage", "usage's slope a daemon × 16 k × 1,031 tenants", response, usage.SlopeError / float64(middle.Daemons) * fullRequests * meterWindow.Seconds(), "B/s", 0, "usage", "Meter.take; to build: need 5"},
		line{"bytes/s out for changes of routing", "1.03 changes/s × packed book × 16 k", fullChanges * bookBytes * fullDaemons, fullChanges * bookBytesError * fullDaemons, "B/s", 1.25e9, "state; bound: a link of 10 Gbit/s", "onFetch; to build: needs 1 to 3"},
		line{"bytes/s out for ends and starts", "0.33 tables/s × packed table × 16 k", tables * tableBytes * fullDaemons, tables * tableBytesError * fullDaemons, "B/s", 1.25e9, "state; bound: a link of 10 Gbit/s", "onFetch; to build: needs 1 to 3"},
		line{"one message with the whole book", "packed book", bookBytes, bookBytesError, "B", 32 << 20, "state; bound: the wire's message limit", "FetchTold; to build: need 1"})
}

func (found *evidence) followerLines() []line {
	bookBytes, bookBytesError := found.whole(packed, "routes", "tenants")
	lines := []line{}
	for _, each := range []struct {
		what, run, unit string
		of              quantity
		size            float64
		by              string
	}{
		{"processor, nothing changes", "daemons", "cores", steady(followerRole, processor), 0, "beats, tellLeader"},
		{"messages/s, nothing changes", "daemons", "/s", steady(followerRole, messages), 0, "beats, who"},
		{"memory", "daemons", "MB", steady(followerRole, resident), fullDaemons, "connections of finders that linger"},
		{"descriptors", "daemons", "", steady(followerRole, descriptors), fullDaemons, "connections of finders that linger"},
		{"processor seconds a change by routes", "routes", "s", perChange(followerRole, processor), fullRoutes, "Voter.Accept, Journal; to build: need 1"},
	} {
		value, spread := found.at(each.run, each.of, each.size)
		work := each.run + "' line"
		if each.size == 0 {
			work = "does not grow; mean of the points"
			value, spread = found.level(each.run, each.of)
		}
		lines = append(lines, line{each.what, work, value, spread, each.unit, 0, each.run, each.by})
	}
	return append(lines, line{"bytes/s to disk for changes of routing", "1.03 changes/s × packed book", fullChanges * bookBytes, fullChanges * bookBytesError, "B/s", 0, fmt.Sprintf("state; %d machines for control", coreMachines), "Journal; to build: need 1"})
}
