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
func Evacuate(ctx context.Context, hold *Hold, zone string, begin bool) (*wire.EvacuateResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, hold.until(ctx))
	defer cancel()
	order := wire.EvacuateRequest{Zone: zone, Begin: begin}
	ask := order
	ask.QueryOnly = true
	now, err := SendIn[wire.EvacuateRequest, wire.EvacuateResponse](ctx, hold, "evacuate", &ask)
	if err != nil {
		return nil, notStarted(err)
	}
	order.ExpectedChanges = now.Changes
	told, err := SendIn[wire.EvacuateRequest, wire.EvacuateResponse](ctx, hold, "evacuate", &order)
	if err != nil && wire.CodeOf(err) == wire.ZoneChanged {
		raced := *wire.AsError(err)
		raced.RetryAfterMs = comeBack
		return nil, &raced
	}
	return told, err
}

// notStarted is a question's mishap as an order's: a question starts nothing.
func notStarted(err error) error {
	if wire.CodeOf(err) == wire.OutcomeUnknown {
		return givenUp(false)
	}
	return err
}
