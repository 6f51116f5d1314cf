// Package score judges single responses of a version under test against those of the old
// version at the same time, as a proxy sees both.
//
// Each route of a service has a reference of its own, so that a slow route does not pass for
// a slow version, and a fault on one route alone is seen. The reference is made of the newest
// items of the old version. The score of an item is its squared distance to the reference
// mean, in the direction of worse only; it exceeds if that is above the (1 - alpha) quantile
// of the reference's own distances. A healthy version's items exceed with probability alpha
// at most.
package score

import (
	"time"

	"orchidjunction/rollout/martingale"
)

// Alpha is the level of one item, as the test of the counts has it.
const Alpha = martingale.DefaultAlpha

// ReferenceSize is of how many items a reference is made.
const ReferenceSize = 200

// An item counts as failed if it took lateFactor times its route's target, unless maxLateShare
// of the reference did so too. Machines of one version differ in speed by less than that.
const (
	lateFactor   = 2
	maxLateShare = 0.05
)

// Item is what a proxy saw of a response. Took is the time that the backend had it, Target the
// time that its route allows. Load is how many requests the backend had for each that it runs
// at once, 0 if it did not say.
type Item struct {
	Failed bool
	Took   time.Duration
	Target time.Duration
	Load   float64
}

// isLate is whether an item took far longer than its route allows.
func (item *Item) isLate() bool {
	return item.Target > 0 && item.Took >= lateFactor*item.Target
}

// Key identifies a reference.
type Key struct {
	Service string
	Route   string
}

// Judgement is what became of an item of the version under test.
type Judgement struct {
	Exceeds bool
	Failed  bool
}
