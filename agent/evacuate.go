package agent

import (
	"context"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Evacuate forwards an order on a zone to the leader. Such orders carry no ID, and a
// request may reach the leader long after its sender gave up on it. So the leader is asked
// first how often the zone changed, and carries out only what expects that number:
// whatever was acknowledged since stays in force. Nothing is ordered once ctx has ended.
func Evacuate(ctx context.Context, forwarder *Forwarder, zone string, begin bool) (*message.EvacuateResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, forwarder.deadline(ctx))
	defer cancel()
	query := &message.EvacuateRequest{Zone: zone, Begin: begin, QueryOnly: true}
	current, err := ForwardContext(ctx, forwarder, message.MethodEvacuate, query)
	if err != nil {
		return nil, queryError(err)
	}
	order := &message.EvacuateRequest{Zone: zone, Begin: begin, ExpectedChanges: current.Changes}
	response, err := ForwardContext(ctx, forwarder, message.MethodEvacuate, order)
	if err != nil && rpc.CodeOf(err) == rpc.ZoneChanged {
		raced := *rpc.AsError(err)
		raced.RetryAfterMs = retryAfterMs
		return nil, &raced
	}
	return response, err
}

// queryError returns a query's error as an order's: a query starts nothing.
func queryError(err error) error {
	if rpc.CodeOf(err) == rpc.OutcomeUnknown {
		return noLeaderError(false)
	}
	return err
}
