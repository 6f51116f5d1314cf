// Package steering selects the proxies for the clients of a zone: the nearest ones that are
// ready, plus a substitute from the same region for each missing proxy of the zone.
package steering

import (
	"cmp"
	"hash/fnv"
	"slices"

	"orchidjunction/message"
)

// minListSize is the number of proxies at which a list gets no farther ones.
const minListSize = 2

// distance is the distance of a proxy from a client.
type distance uint8

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

// List holds the proxies for the clients of one zone or region.
type List struct {
	Addresses []string
}

// Rotate returns count addresses of the list, starting at a position that advances with turn.
// The list must not be empty.
func (list *List) Rotate(turn, count int) []string {
	part := make([]string, 0, count)
	for index := range count {
		part = append(part, list.Addresses[(turn+index)%len(list.Addresses)])
	}
	return part
}

// Index holds a List for each zone, each region, and clients of neither. Homed requests may be
// restricted to home regions: while the client's region has proxies, their lists have no others.
type Index struct {
	regionOf map[string]string
	zones    map[string]lists
	regions  map[string]lists
	other    *List
}

// lists are those of a zone or region, for any requests and for homed ones.
type lists struct{ any, homed *List }

// NewIndex builds the index of a table; a nil table has no members. regionOf maps zones to
// regions. peaks holds the maximum number of proxies of each zone so far.
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

// List returns the proxies for clients of a zone, or of a region if the zone is unknown. homed is
// whether their requests may be restricted to home regions.
func (index *Index) List(region, zone string, homed bool) *List {
	entry, known := index.zones[zone]
	if !known {
		entry, known = index.regions[region]
	}
	switch {
	case !known:
		return index.other
	case homed:
		return entry.homed
	}
	return entry.any
}

// Lists returns all lists, some of them repeatedly.
func (index *Index) Lists() []*List {
	all := []*List{index.other}
	for _, entry := range index.zones {
		all = append(all, entry.any, entry.homed)
	}
	for _, entry := range index.regions {
		all = append(all, entry.any, entry.homed)
	}
	return all
}

// servingMembers returns the ready proxies or, if there are none, all that are not leaving.
func servingMembers(table *message.Table) []message.Member {
	var ready, notLeaving []message.Member
	if table == nil {
		return nil
	}
	for _, member := range table.Members {
		if member.Kind != message.ProxyKind || member.PublicAddress == "" || member.Leaving {
			continue
		}
		notLeaving = append(notLeaving, member)
		if member.Ready {
			ready = append(ready, member)
		}
	}
	if len(ready) > 0 {
		return ready
	}
	return notLeaving
}

// newLists returns the lists of a zone or region. Usually, both are the same.
func (index *Index) newLists(members []message.Member, region, zone string, missing int) lists {
	result := lists{any: index.newList(members, region, zone, missing, otherRegion)}
	result.homed = index.newList(members, region, zone, missing, sameRegion)
	if len(result.homed.Addresses) == 0 || len(result.homed.Addresses) == len(result.any.Addresses) {
		result.homed = result.any
	}
	return result
}

// newList returns the nearest members up to maxDistance, farther ones only below minListSize. For
// each missing proxy of the zone it adds another one of the region, so that the remaining ones do
// not take the load of the whole zone.
func (index *Index) newList(members []message.Member, region, zone string, missing int, maxDistance distance) *List {
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
	for current := sameZone; current <= maxDistance && len(list.Addresses) < minListSize; current++ {
		for position := range members {
			if distanceOf(&members[position]) == current {
				list.Addresses = append(list.Addresses, members[position].PublicAddress)
			}
		}
		if current == sameZone && len(list.Addresses) >= minListSize {
			list.Addresses = append(list.Addresses, substitutes(members, distanceOf, zone, missing)...)
		}
	}
	return list
}

// substitutes returns up to count proxies of the region's other zones, different for each zone.
func substitutes(members []message.Member, distanceOf func(*message.Member) distance, zone string, count int) []string {
	type candidate struct {
		address string
		hash    uint32
	}
	candidates := []candidate{}
	for position := range members {
		member := &members[position]
		if distanceOf(member) == sameRegion {
			hash := fnv.New32a()
			hash.Write([]byte(zone + " " + member.Name))
			candidates = append(candidates, candidate{member.PublicAddress, hash.Sum32()})
		}
	}
	slices.SortFunc(candidates, func(left, right candidate) int { return cmp.Compare(left.hash, right.hash) })
	addresses := []string{}
	for _, candidate := range candidates[:min(len(candidates), max(count, 0))] {
		addresses = append(addresses, candidate.address)
	}
	return addresses
}
