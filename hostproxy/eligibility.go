package hostproxy

import (
	"context"

	"k8s.io/klog/v2"

	"orchidjunction/message"
)

// eligibility is the period in which a target is a candidate: from the first view that
// lists it as one until a view without it is in force. Attempts not sent by then are taken
// back and choose again. A target listed again gets a new eligibility. It is guarded by the
// proxy's applyMutex; requests hold only the context.
type eligibility struct {
	context  context.Context
	cancel   context.CancelFunc
	lastView *routingView
}

// markEligible records that a view has the target as a candidate. The returned context is
// done once the target is withdrawn.
func (target *target) markEligible(view *routingView) context.Context {
	if target.eligibility == nil {
		ctx, cancel := context.WithCancel(context.Background())
		target.eligibility = &eligibility{context: ctx, cancel: cancel}
	}
	target.eligibility.lastView = view
	return target.eligibility.context
}

// isWithdrawn reports whether a view without the candidate has come into force.
func (candidate *candidate) isWithdrawn() bool { return candidate.eligible.Err() != nil }

// withdrawIneligible withdraws the targets that are not candidates in a view. The view must
// be in force already, so that attempts taken back choose from it.
func (proxy *Proxy) withdrawIneligible(view *routingView, version message.TableVersion) {
	withdrawn, running := 0, 0
	for _, target := range proxy.targets {
		if target.eligibility == nil || target.eligibility.lastView == view {
			continue
		}
		target.eligibility.cancel()
		target.eligibility = nil
		withdrawn++
		running += target.inFlight()
	}
	if withdrawn == 0 {
		return
	}
	proxy.counters.Add("backends_withdrawn", uint64(withdrawn))
	klog.Infof("%s: table %d of term %d withdrew %d backends with %d requests in flight from this proxy",
		proxy.config.Name, version.Number, version.Term.Number, withdrawn, running)
}
