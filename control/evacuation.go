package control

import (
	"slices"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// restoredZoneTTL is how long the time of a zone's restoration is kept.
const restoredZoneTTL = time.Minute

// applyEvacuation returns the routing after an evacuation order, nil if the order changes
// nothing. The time now is in milliseconds.
func applyEvacuation(state *routing.State, request *message.EvacuateRequest, now int64) *routing.State {
	index, isEvacuated := slices.BinarySearch(state.Evacuated, request.Zone)
	if isEvacuated == request.Begin {
		return nil
	}
	next := *state
	next.Zones = state.WithZoneChange(request.Zone)
	if request.Begin {
		next.Evacuated = slices.Insert(slices.Clone(state.Evacuated), index, request.Zone)
		return &next
	}
	next.Evacuated = slices.Delete(slices.Clone(state.Evacuated), index, index+1)
	next.Restored = slices.DeleteFunc(slices.Clone(state.Restored), func(zone routing.RestoredZone) bool {
		return zone.Zone == request.Zone || now-zone.AtMs > restoredZoneTTL.Milliseconds()
	})
	next.Restored = append(next.Restored, routing.RestoredZone{Zone: request.Zone, AtMs: now})
	return &next
}

// onEvacuate evacuates a zone or restores it. An order is rejected if the zone has changed since
// it was sent: its operator gave up on it and may have been told since that the opposite is in
// force.
func (core *Core) onEvacuate(request *message.EvacuateRequest) (*message.EvacuateResponse, error) {
	leadership, err := core.currentLeadership()
	if err != nil {
		return nil, err
	}
	if request.QueryOnly {
		return &message.EvacuateResponse{Changes: leadership.currentRouting().ZoneChangeCount(request.Zone)}, nil
	}
	response, isChanged := &message.EvacuateResponse{}, false
	response.Serial, err = leadership.writeRouting(func(current *routing.State) (*routing.State, error) {
		next := applyEvacuation(current, request, core.Now())
		response.Changes = current.ZoneChangeCount(request.Zone)
		if next != nil && response.Changes != request.ExpectedChanges {
			return nil, rpc.Errorf(rpc.ZoneChanged, "zone changed %d times, order expects %d", response.Changes, request.ExpectedChanges)
		}
		isChanged = next != nil
		return next, nil
	})
	if err == nil && !isChanged {
		err = leadership.confirmDecision(nil)
	}
	if err != nil {
		core.counters.Add("evacuations_"+string(rpc.CodeOf(err)), 1)
		return nil, err
	}
	return response, nil
}
