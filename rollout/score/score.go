// Package score judges single responses of a version under test against concurrent responses
// of the old version, as observed by one proxy.
//
// Each route of a service has its own reference, so that a slow route is not mistaken for a
// slow version, and a fault on a single route is detected. The reference consists of the newest
// items of the old version. The score of an item is its squared distance from the reference
// mean, 0 in the direction of better. The item exceeds if its score is above the
// (1 - alpha) quantile of the reference's own distances; items of a healthy version exceed with
// probability at most alpha.
package score

import (
	"time"

	"orchidjunction/rollout/martingale"
)

// Alpha is the level of one item, as in the sequential test.
const Alpha = martingale.DefaultAlpha

// ReferenceSize is the maximum number of items in a reference.
const ReferenceSize = 200

// An item that took lateFactor times its route's target counts as failed, unless maxLateShare of
// the reference did too. Machines of one version differ in speed by less than lateFactor.
const (
	lateFactor   = 2
	maxLateShare = 0.05
)

// Item is a response as observed by a proxy. Took is the time at the backend, Target that which
// the route allows. Load is the backend's number of requests divided by the number that it runs
// concurrently, 0 if unknown.
type Item struct {
	Failed bool
	Took   time.Duration
	Target time.Duration
	Load   float64
}

// isLate reports whether an item took far longer than its route's target.
func (item *Item) isLate() bool {
	return item.Target > 0 && item.Took >= lateFactor*item.Target
}

// Key identifies a reference.
type Key struct {
	Service string
	Route   string
}

// Judgement is the result for an item of the version under test.
type Judgement struct {
	Exceeds bool
	Failed  bool
}
