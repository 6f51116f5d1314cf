package control

import (
	"slices"
	"time"

	"orchidjunction/route"
	"orchidjunction/wire"
)

const reopenedStays = time.Minute

// evacuate is the book after an order on a zone, nil when the order changes nothing.
func evacuate(book *route.Book, order *wire.Evacuate, now int64) *route.Book {
	index, found := slices.BinarySearch(book.Evacuated, order.Zone)
	if found == order.Begin {
		return nil
	}
	next := *book
	next.Zones = book.Changed(order.Zone)
	if order.Begin {
		next.Evacuated = slices.Insert(slices.Clone(book.Evacuated), index, order.Zone)
	} else {
		next.Evacuated = slices.Delete(slices.Clone(book.Evacuated), index, index+1)
		next.Reopened = slices.DeleteFunc(slices.Clone(book.Reopened), func(one route.Reopened) bool {
			return one.Zone == order.Zone || now-one.AtMs > reopenedStays.Milliseconds()
		})
		next.Reopened = append(next.Reopened, route.Reopened{Zone: order.Zone, AtMs: now})
	}
	return &next
}

// onEvacuate takes a zone's backends out of use, or back into it. An order that was
// under way while the zone changed is not carried out: its operator gave up on it,
// and may have been told since that the contrary is in force.
func (core *Core) onEvacuate(order *wire.Evacuate) (*wire.EvacuateTold, error) {
	leadership, mishap := core.leading()
	if mishap != nil {
		return nil, mishap
	}
	if order.Ask {
		return &wire.EvacuateTold{Changes: leadership.book().Changes(order.Zone)}, nil
	}
	told, changed := &wire.EvacuateTold{}, false
	told.Serial, mishap = leadership.writeRouting(func(book *route.Book) (*route.Book, error) {
		next := evacuate(book, order, core.Now())
		if told.Changes = book.Changes(order.Zone); next != nil && told.Changes != order.Upon {
			return nil, wire.New(wire.ZoneChanged, "changed %d times, the order is upon %d", told.Changes, order.Upon)
		}
		changed = next != nil
		return next, nil
	})
	if mishap == nil && !changed {
		mishap = leadership.proven(nil)
	}
	if mishap != nil {
		core.counts.Add("evacuations_"+string(wire.KindOf(mishap)), 1)
		return nil, mishap
	}
	return told, nil
}
