package member

import (
	"context"

	"orchidjunction/wire"
)

// Evacuate brings an order on a zone to the leader. Such orders carry no name, and
// a message may reach the leader long after its sender gave up on it. So the leader
// is asked first how often the zone changed, and carries out only what builds on
// that: whatever was acknowledged since stays in force. Nothing is ordered for a
// caller that has gone meanwhile.
func Evacuate(ctx context.Context, hold *Hold, zone string, begin bool) (*wire.EvacuateTold, error) {
	ctx, cancel := context.WithDeadline(ctx, hold.until(ctx))
	defer cancel()
	order := wire.Evacuate{Zone: zone, Begin: begin}
	ask := order
	ask.Ask = true
	now, mishap := SendIn[wire.Evacuate, wire.EvacuateTold](ctx, hold, "evacuate", &ask)
	if mishap != nil {
		return nil, notStarted(mishap)
	}
	order.Upon = now.Changes
	told, mishap := SendIn[wire.Evacuate, wire.EvacuateTold](ctx, hold, "evacuate", &order)
	if mishap != nil && wire.KindOf(mishap) == wire.ZoneChanged {
		raced := *wire.AsMishap(mishap)
		raced.Retry = comeBack
		return nil, &raced
	}
	return told, mishap
}

// notStarted is a question's mishap as an order's: a question starts nothing.
func notStarted(mishap error) error {
	if wire.KindOf(mishap) == wire.OutcomeUnknown {
		return givenUp(false)
	}
	return mishap
}
