// Package steering decides which proxies the clients of a zone are sent to: the nearest
// ones that are ready, and, for each of a zone's proxies that is missing, another one of
// its region. NewIndex makes an immutable Index of a table of members; Index.List gives
// the proxies for a zone.
package steering

import (
	"cmp"
	"hash/fnv"
	"slices"

	"orchidjunction/message"
)

// enough is how many proxies a list should name before farther ones are left out.
const enough = 2

// distance is how far a proxy is from a client.
type distance uint8

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

// List is the proxies that clients of one zone or region are sent to.
type List struct {
	Addresses []string
}

// Rotate returns count addresses of the list, beginning with another one at each turn.
// The list must not be empty.
func (list *List) Rotate(turn, count int) []string {
	part := make([]string, 0, count)
	for index := range count {
		part = append(part, list.Addresses[(turn+index)%len(list.Addresses)])
	}
	return part
}

// Index holds a List for each zone, for each region, and for clients of neither. Those of
// homed requests name no other region's proxies while there is one in the client's own.
type Index struct {
	regionOf map[string]string
	zones    map[string]lists
	regions  map[string]lists
	other    *List
}

// lists are those of a zone or region: for any requests, and for homed ones.
type lists struct{ any, homed *List }

// NewIndex makes the index of a table; a nil table has no members. regionOf gives the
// region of each zone. Peaks says how many proxies a zone had at most.
func NewIndex(table *message.Table, regionOf map[string]string, peaks *Peaks) *Index {
	index := &Index{regionOf: regionOf, zones: map[string]lists{}, regions: map[string]lists{}}
	members := servingMembers(table)
	missing := peaks.missing(members)
	for zone, region := range regionOf {
		index.zones[zone] = index.newLists(members, region, zone, missing[zone])
		if _, known := index.regions[region]; !known {
			index.regions[region] = index.newLists(members, region, "", 0)
		}
	}
	index.other = index.newList(members, "", "", 0, otherRegion)
	return index
}

// List returns the proxies for clients of a zone, or, where that is not known, of a
// region. Homed is whether their requests may have to stay in certain regions.
func (index *Index) List(region, zone string, homed bool) *List {
	found, known := index.zones[zone]
	if !known {
		found, known = index.regions[region]
	}
	switch {
	case !known:
		return index.other
	case homed:
		return found.homed
	}
	return found.any
}

// Lists returns all lists.
func (index *Index) Lists() []*List {
	all := []*List{index.other}
	for _, of := range index.zones {
		all = append(all, of.any, of.homed)
	}
	for _, of := range index.regions {
		all = append(all, of.any, of.homed)
	}
	return all
}

// servingMembers are the proxies that are ready or, when none is, those not leaving.
func servingMembers(table *message.Table) []message.Member {
	var ready, staying []message.Member
	if table == nil {
		return nil
	}
	for _, member := range table.Members {
		if member.Kind != message.ProxyKind || member.PublicAddress == "" || member.Leaving {
			continue
		}
		staying = append(staying, member)
		if member.Ready {
			ready = append(ready, member)
		}
	}
	if len(ready) > 0 {
		return ready
	}
	return staying
}

// newLists makes the lists of a zone, or of a region, mostly one and the same.
func (index *Index) newLists(members []message.Member, region, zone string, missing int) lists {
	made := lists{any: index.newList(members, region, zone, missing, otherRegion)}
	made.homed = index.newList(members, region, zone, missing, sameRegion)
	if len(made.homed.Addresses) == 0 || len(made.homed.Addresses) == len(made.any.Addresses) {
		made.homed = made.any
	}
	return made
}

// newList takes the nearest members up to a distance, and farther ones only while there are
// too few.
// For each of a zone's proxies that is missing it adds one of the region's others,
// so that those left don't bear the whole zone alone.
func (index *Index) newList(members []message.Member, region, zone string, missing int, most distance) *List {
	list := &List{}
	distanceOf := func(member *message.Member) distance {
		switch {
		case member.Zone == zone:
			return sameZone
		case region != "" && index.regionOf[member.Zone] == region:
			return sameRegion
		}
		return otherRegion
	}
	for away := sameZone; away <= most && len(list.Addresses) < enough; away++ {
		for number := range members {
			if distanceOf(&members[number]) == away {
				list.Addresses = append(list.Addresses, members[number].PublicAddress)
			}
		}
		if away == sameZone && len(list.Addresses) >= enough {
			list.Addresses = append(list.Addresses, substitutes(members, distanceOf, zone, missing)...)
		}
	}
	return list
}

// substitutes are so many of the region's other proxies, other ones for each zone.
func substitutes(members []message.Member, distanceOf func(*message.Member) distance, zone string, count int) []string {
	type scored struct {
		address string
		score   uint32
	}
	candidates := []scored{}
	for number := range members {
		member := &members[number]
		if distanceOf(member) == sameRegion {
			hash := fnv.New32a()
			hash.Write([]byte(zone + " " + member.Name))
			candidates = append(candidates, scored{member.PublicAddress, hash.Sum32()})
		}
	}
	slices.SortFunc(candidates, func(left, right scored) int { return cmp.Compare(left.score, right.score) })
	addresses := []string{}
	for _, candidate := range candidates[:min(len(candidates), max(count, 0))] {
		addresses = append(addresses, candidate.address)
	}
	return addresses
}
