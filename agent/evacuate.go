package agent

import (
	"context"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Evacuate forwards the start or end of a zone's evacuation to the leader. Such orders have
// no ID, and a request may reach the leader long after its sender has given up. Evacuate
// therefore first queries the zone's change count, and the leader executes the order only if
// the count still matches, so that a late order does not undo a later acknowledged one. No
// order is sent once ctx has ended.
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
		conflict := *rpc.AsError(err)
		conflict.RetryAfterMs = retryAfterMs
		return nil, &conflict
	}
	return response, err
}

// queryError converts a query's error to that of an order that was not started, since a
// query changes nothing.
func queryError(err error) error {
	if rpc.CodeOf(err) == rpc.OutcomeUnknown {
		return noLeaderError(false)
	}
	return err
}
