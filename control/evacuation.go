package control

import (
	"slices"
	"time"

	"orchidjunction/message"
	"orchidjunction/route"
	"orchidjunction/rpc"
)

const restoredZoneTTL = time.Minute

// applyEvacuation is the book after an order on a zone, nil when the order changes nothing.
func applyEvacuation(book *route.Book, order *message.EvacuateRequest, now int64) *route.Book {
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
			return one.Zone == order.Zone || now-one.AtMs > restoredZoneTTL.Milliseconds()
		})
		next.Reopened = append(next.Reopened, route.Reopened{Zone: order.Zone, AtMs: now})
	}
	return &next
}

// onEvacuate takes a zone's backends out of use, or back into it. An order that was
// under way while the zone changed is not carried out: its operator gave up on it,
// and may have been told since that the contrary is in force.
func (core *Core) onEvacuate(order *message.EvacuateRequest) (*message.EvacuateResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	if order.QueryOnly {
		return &message.EvacuateResponse{Changes: leadership.currentRouting().Changes(order.Zone)}, nil
	}
	response, changed := &message.EvacuateResponse{}, false
	response.Serial, err = leadership.writeRouting(func(book *route.Book) (*route.Book, error) {
		next := applyEvacuation(book, order, core.Now())
		if response.Changes = book.Changes(order.Zone); next != nil && response.Changes != order.ExpectedChanges {
			return nil, rpc.Errorf(rpc.ZoneChanged, "changed %d times, the order is upon %d", response.Changes, order.ExpectedChanges)
		}
		changed = next != nil
		return next, nil
	})
	if err == nil && !changed {
		err = leadership.confirmDecision(nil)
	}
	if err != nil {
		core.counters.Add("evacuations_"+string(rpc.CodeOf(err)), 1)
		return nil, err
	}
	return response, nil
}
