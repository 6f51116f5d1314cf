package hostproxy

import (
	"context"

	"k8s.io/klog/v2"

	"orchidjunction/message"
)

// offer is the time in which a target is a candidate: from the first view that has it as
// one until a view comes into force that has not. What was not sent by its end is taken
// back and chosen again. A target that is offered again gets a new offer. It is guarded by
// the proxy's applyMutex; requests hold only the context.
type offer struct {
	context context.Context
	end     context.CancelFunc
	newest  *View
}

// offerIn notes that a view has the target as a candidate. The context that it returns is
// done once the target is withdrawn.
func (target *target) offerIn(view *View) context.Context {
	if target.offer == nil {
		ctx, cancel := context.WithCancel(context.Background())
		target.offer = &offer{context: ctx, end: cancel}
	}
	target.offer.newest = view
	return target.offer.context
}

// isWithdrawn is whether a view has come into force that does not have the candidate.
func (held *candidate) isWithdrawn() bool { return held.offer.Err() != nil }

// withdrawOthers ends the offers of the targets that a view does not have as candidates.
// The view is in force already, so that whoever chooses again does so by it.
func (proxy *Proxy) withdrawOthers(view *View, version message.TableVersion) {
	withdrawn, running := 0, 0
	for _, target := range proxy.targets {
		if target.offer == nil || target.offer.newest == view {
			continue
		}
		target.offer.end()
		target.offer = nil
		withdrawn++
		running += target.inFlight()
	}
	if withdrawn == 0 {
		return
	}
	proxy.counters.Add("backends_withdrawn", uint64(withdrawn))
	klog.Infof("%s: table %d of term %d withdraws %d backends, which have %d requests of this proxy",
		proxy.config.Name, version.Number, version.Term.Number, withdrawn, running)
}
