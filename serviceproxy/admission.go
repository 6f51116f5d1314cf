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
	fullUtilization       = 0.85
	utilizationPerRank    = 0.1
	minFullUtilization    = 0.3
	floorBurstSeconds     = 0.5
	borrowBurstSeconds    = 0.03
	borrowAdjustInterval  = 100 * time.Millisecond
	borrowIncrease        = 0.02
	borrowIncreaseIdle    = 0.2
	borrowDecreaseFactor  = 0.6
	idleDivisor           = 3
	minBorrowFraction     = 0.05
	initialBorrowFraction = 0.5
	evenShareFraction     = 0.3
	demandWindow          = 2 * time.Second
)

// Admission controls admission by class. A class may always use its floor, and borrow more while
// backends have spare capacity. The larger its rank, the earlier it must stop borrowing.
type Admission struct {
	mutex        sync.Mutex
	classes      map[string]*classLimits
	windowStart  time.Time
	requests     float64
	demand       float64
	overloadedAt time.Time
}

type classLimits struct {
	rank       int
	floor      *rate.Limiter
	borrow     *rate.Limiter
	maxBorrow  float64
	borrowRate float64
	adjustedAt time.Time
}

// NewAdmission returns an Admission without classes, which admits everything.
func NewAdmission() *Admission {
	return &Admission{classes: map[string]*classLimits{}, windowStart: time.Now()}
}

// Apply sets floors and borrowing to this proxy's share of the settings. Part of the share is
// even, the rest follows demand. All proxies compute it from the same table, so that the shares
// add up.
func (admission *Admission) Apply(settings *config.Settings, table *message.Table, name string) {
	fraction := proxyShare(table, name)
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	for className, class := range settings.Classes {
		limits := admission.classes[className]
		if limits == nil {
			limits = &classLimits{floor: rate.NewLimiter(0, 0), borrow: rate.NewLimiter(0, 0)}
			admission.classes[className] = limits
		}
		limits.rank = class.Rank
		setRate(limits.floor, float64(class.FloorRps)*fraction, floorBurstSeconds)
		maxBorrow := float64(class.BorrowRps) * fraction
		if limits.maxBorrow > 0 {
			limits.borrowRate *= maxBorrow / limits.maxBorrow
		} else {
			limits.borrowRate = maxBorrow * initialBorrowFraction
		}
		limits.maxBorrow = maxBorrow
		limits.borrowRate = min(max(limits.borrowRate, limits.maxBorrow*minBorrowFraction), limits.maxBorrow)
		setRate(limits.borrow, limits.borrowRate, borrowBurstSeconds)
	}
	for className := range admission.classes {
		if _, found := settings.Classes[className]; !found {
			delete(admission.classes, className)
		}
	}
}

// proxyShare returns a proxy's share among the ready proxies. One whose demand is not known yet
// counts with the mean of the others.
func proxyShare(table *message.Table, name string) float64 {
	count, known, total, ownDemand := 0, 0, 0.0, 0.0
	for _, member := range table.Members {
		if member.Kind != message.ProxyKind || !member.Ready && member.Name != name {
			continue
		}
		count++
		if member.Name == name {
			ownDemand = member.Demand
		}
		if member.Demand > 0 {
			known++
			total += member.Demand
		}
	}
	evenShare := 1 / float64(max(count, 1))
	if known == 0 {
		return evenShare
	}
	mean := total / float64(known)
	if ownDemand == 0 {
		ownDemand = mean
	}
	return evenShareFraction*evenShare + (1-evenShareFraction)*ownDemand/(total+mean*float64(count-known))
}

func setRate(limiter *rate.Limiter, perSecond, burstSeconds float64) {
	burst := 0
	if perSecond > 0 {
		burst = int(max(2, math.Ceil(perSecond*burstSeconds)))
	}
	if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimit(rate.Limit(perSecond))
	}
	if limiter.Burst() != burst {
		limiter.SetBurst(burst)
	}
}

// Admit admits one request of a class, given the mean utilization of the backends. The error is
// rpc.Overloaded.
func (admission *Admission) Admit(class string, utilization float64) error {
	admission.mutex.Lock()
	admission.requests++
	limits := admission.classes[class]
	admission.mutex.Unlock()
	if limits == nil || limits.floor.Allow() {
		return nil
	}
	threshold := max(fullUtilization-utilizationPerRank*float64(limits.rank-1), minFullUtilization)
	saturated, idle := utilization > threshold, utilization < threshold/idleDivisor
	admission.adjustBorrowing(limits, saturated, idle)
	allowed := !saturated && limits.borrow.Allow()
	if !idle || !allowed {
		admission.mutex.Lock()
		admission.overloadedAt = time.Now()
		admission.mutex.Unlock()
	}
	if saturated {
		return &rpc.Error{
			Code:         rpc.Overloaded,
			Message:      "class " + class + " is above its floor and the backends have no spare capacity",
			RetryAfterMs: retryAfterMs,
			Outcome:      rpc.NotRun,
		}
	}
	if !allowed {
		return &rpc.Error{
			Code:         rpc.Overloaded,
			Message:      "class " + class + " has used up its floor and its borrowing limit",
			RetryAfterMs: retryAfterMs,
			Outcome:      rpc.NotRun,
		}
	}
	return nil
}

// adjustBorrowing raises the borrowing rate slowly while there is spare capacity and cuts it
// sharply when there is none: the reported utilization is always slightly stale.
func (admission *Admission) adjustBorrowing(limits *classLimits, saturated, idle bool) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	if time.Since(limits.adjustedAt) < borrowAdjustInterval {
		return
	}
	limits.adjustedAt = time.Now()
	increase := borrowIncrease
	if idle {
		increase = borrowIncreaseIdle
	}
	if saturated {
		limits.borrowRate = max(limits.borrowRate*borrowDecreaseFactor, limits.maxBorrow*minBorrowFraction)
	} else {
		limits.borrowRate = min(limits.borrowRate+limits.maxBorrow*increase, limits.maxBorrow)
	}
	setRate(limits.borrow, limits.borrowRate, borrowBurstSeconds)
}

// Overloaded reports whether, within the last second, a request above its class's floor was
// refused or found the backends not idle.
func (admission *Admission) Overloaded() bool {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return time.Since(admission.overloadedAt) < overloadedTTL
}

// Demand returns the requests per second at this proxy, in coarse steps so that the table rarely
// changes.
func (admission *Admission) Demand() float64 {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	if elapsed := time.Since(admission.windowStart); elapsed >= demandWindow {
		current := admission.requests / elapsed.Seconds()
		if admission.demand == 0 || math.Abs(current-admission.demand) > 0.4*admission.demand {
			admission.demand = math.Pow(1.5, math.Round(math.Log(max(current, 1))/math.Log(1.5)))
		}
		admission.requests, admission.windowStart = 0, time.Now()
	}
	return admission.demand
}
