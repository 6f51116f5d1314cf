package serviceproxy

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"orchidjunction/config"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	fullUsage   = 0.85
	rankUsage   = 0.1
	leastUsage  = 0.3
	floorBurst  = 0.5
	borrowBurst = 0.03
	paceSpan    = 100 * time.Millisecond
	paceUp      = 0.02
	paceUpIdle  = 0.2
	paceDown    = 0.6
	idlePart    = 3
	slowestPace = 0.05
	firstPace   = 0.5
	evenPart    = 0.3
	demandSpan  = 2 * time.Second
)

// Admission is admission control by class: a class may use its floor at any time and
// borrow more while backends are idle. The lower its rank, the sooner it gives
// borrowed capacity back.
type Admission struct {
	mutex      sync.Mutex
	classes    map[string]*classLimits
	since      time.Time
	tasks      float64
	demand     float64
	overloaded time.Time
}

type classLimits struct {
	rank   int
	floor  *rate.Limiter
	borrow *rate.Limiter
	share  float64
	pace   float64
	paced  time.Time
}

// NewAdmission returns an Admission without classes, which admits everything.
func NewAdmission() *Admission {
	return &Admission{classes: map[string]*classLimits{}, since: time.Now()}
}

// Apply sets floors and borrowing to this proxy's share of the settings. The share
// follows demand, a part of it is even; all proxies compute it from the same table,
// so that the shares add up to the whole.
func (admission *Admission) Apply(settings *config.Settings, table *message.Table, name string) {
	part := partOf(table, name)
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	for className, class := range settings.Classes {
		held := admission.classes[className]
		if held == nil {
			held = &classLimits{floor: rate.NewLimiter(0, 0), borrow: rate.NewLimiter(0, 0)}
			admission.classes[className] = held
		}
		held.rank = class.Rank
		resize(held.floor, float64(class.FloorRps)*part, floorBurst)
		share := float64(class.BorrowRps) * part
		if held.share > 0 {
			held.pace *= share / held.share
		} else {
			held.pace = share * firstPace
		}
		held.share = share
		held.pace = min(max(held.pace, held.share*slowestPace), held.share)
		resize(held.borrow, held.pace, borrowBurst)
	}
	for className := range admission.classes {
		if _, found := settings.Classes[className]; !found {
			delete(admission.classes, className)
		}
	}
}

// partOf is a proxy's part of all that are ready; one whose demand is not known
// yet counts as the mean of the others.
func partOf(table *message.Table, name string) float64 {
	count, known, total, own := 0, 0, 0.0, 0.0
	for _, member := range table.Members {
		if member.Kind != message.ProxyKind || !member.Ready && member.Name != name {
			continue
		}
		count++
		if member.Name == name {
			own = member.Demand
		}
		if member.Demand > 0 {
			known++
			total += member.Demand
		}
	}
	even := 1 / float64(max(count, 1))
	if known == 0 {
		return even
	}
	mean := total / float64(known)
	if own == 0 {
		own = mean
	}
	return evenPart*even + (1-evenPart)*own/(total+mean*float64(count-known))
}

func resize(limiter *rate.Limiter, share, span float64) {
	burst := 0
	if share > 0 {
		burst = int(max(2, math.Ceil(share*span)))
	}
	if limiter.Limit() != rate.Limit(share) {
		limiter.SetLimit(rate.Limit(share))
	}
	if limiter.Burst() != burst {
		limiter.SetBurst(burst)
	}
}

// Admit admits one request of a class, given the mean usage of the backends. The
// error is rpc.Overloaded.
func (admission *Admission) Admit(class string, usage float64) error {
	admission.mutex.Lock()
	admission.tasks++
	held := admission.classes[class]
	admission.mutex.Unlock()
	if held == nil || held.floor.Allow() {
		return nil
	}
	most := max(fullUsage-rankUsage*float64(held.rank-1), leastUsage)
	full, idle := usage > most, usage < most/idlePart
	admission.repace(held, full, idle)
	allowed := !full && held.borrow.Allow()
	if !idle || !allowed {
		admission.mutex.Lock()
		admission.overloaded = time.Now()
		admission.mutex.Unlock()
	}
	if full {
		return &rpc.Error{
			Code:         rpc.Overloaded,
			Message:      "class " + class + " is above its floor and backends have no room to lend",
			RetryAfterMs: retryAfterMs,
			Outcome:      rpc.NotRun,
		}
	}
	if !allowed {
		return &rpc.Error{
			Code:         rpc.Overloaded,
			Message:      "class " + class + " has its floor and all it may borrow",
			RetryAfterMs: retryAfterMs,
			Outcome:      rpc.NotRun,
		}
	}
	return nil
}

// repace lets borrowing grow by little while there is room and shrink by much
// when there is none: what backends report is always a little old.
func (admission *Admission) repace(held *classLimits, full, idle bool) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	if time.Since(held.paced) < paceSpan {
		return
	}
	held.paced = time.Now()
	up := paceUp
	if idle {
		up = paceUpIdle
	}
	if full {
		held.pace = max(held.pace*paceDown, held.share*slowestPace)
	} else {
		held.pace = min(held.pace+held.share*up, held.share)
	}
	resize(held.borrow, held.pace, borrowBurst)
}

// Overloaded reports whether borrowing was refused or backends were not idle within
// the last second.
func (admission *Admission) Overloaded() bool {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return time.Since(admission.overloaded) < overloadedTTL
}

// Demand returns the requests a second that this proxy was asked for, in coarse
// steps, so that the table changes seldom.
func (admission *Admission) Demand() float64 {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	if span := time.Since(admission.since); span >= demandSpan {
		now := admission.tasks / span.Seconds()
		if admission.demand == 0 || math.Abs(now-admission.demand) > 0.4*admission.demand {
			admission.demand = math.Pow(1.5, math.Round(math.Log(max(now, 1))/math.Log(1.5)))
		}
		admission.tasks, admission.since = 0, time.Now()
	}
	return admission.demand
}
