package member

import (
	"context"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Evacuate brings an order on a zone to the leader. Such orders carry no name, and
// a message may reach the leader long after its sender gave up on it. So the leader
// is asked first how often the zone changed, and carries out only what builds on
// that: whatever was acknowledged since stays in force. Nothing is ordered for a
// caller that has gone meanwhile.
func Evacuate(ctx context.Context, hold *Hold, zone string, begin bool) (*message.EvacuateResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, hold.until(ctx))
	defer cancel()
	order := message.EvacuateRequest{Zone: zone, Begin: begin}
	ask := order
	ask.QueryOnly = true
	now, err := SendIn[message.EvacuateRequest, message.EvacuateResponse](ctx, hold, "evacuate", &ask)
	if err != nil {
		return nil, notStarted(err)
	}
	order.ExpectedChanges = now.Changes
	response, err := SendIn[message.EvacuateRequest, message.EvacuateResponse](ctx, hold, "evacuate", &order)
	if err != nil && rpc.CodeOf(err) == rpc.ZoneChanged {
		raced := *rpc.AsError(err)
		raced.RetryAfterMs = comeBack
		return nil, &raced
	}
	return response, err
}

// notStarted is a question's mishap as an order's: a question starts nothing.
func notStarted(err error) error {
	if rpc.CodeOf(err) == rpc.OutcomeUnknown {
		return givenUp(false)
	}
	return err
}
