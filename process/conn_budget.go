package process

import "sync/atomic"

// Shares of a process's file descriptors. Connections above the served share get 503 with
// Retry-After, those above the refused share are closed unread. The rest is for backends, disks
// and internal calls.
const (
	reservedDescriptors     = 200
	servedShareNumerator    = 3
	servedShareDenominator  = 4
	refusedShareNumerator   = 13
	refusedShareDenominator = 16
)

// ConnBudget limits the open connections of all listeners of a process.
type ConnBudget struct {
	maxServed int64 // connections that are served
	maxOpen   int64 // open connections, including those that are answered with 503
	open      atomic.Int64
}

// NewConnBudget returns the budget of a process with the given number of file descriptors. It
// returns nil, which means unlimited, if the number is unknown (0) or at most reservedDescriptors.
func NewConnBudget(descriptors int) *ConnBudget {
	usable := int64(descriptors) - reservedDescriptors
	if usable <= 0 {
		return nil
	}
	return &ConnBudget{
		maxServed: usable * servedShareNumerator / servedShareDenominator,
		maxOpen:   usable * refusedShareNumerator / refusedShareDenominator,
	}
}

// admission is the decision on a new connection.
type admission uint8

const (
	admitServed  admission = iota
	admitRefused           // the first request gets 503
	admitClosed            // closed unread
)

// acquire counts a new connection, unless it must be closed.
func (budget *ConnBudget) acquire() admission {
	if budget == nil {
		return admitServed
	}
	count := budget.open.Add(1)
	switch {
	case count <= budget.maxServed:
		return admitServed
	case count <= budget.maxOpen:
		return admitRefused
	}
	budget.open.Add(-1)
	return admitClosed
}

func (budget *ConnBudget) release() {
	if budget != nil {
		budget.open.Add(-1)
	}
}

// Open returns the number of open connections.
func (budget *ConnBudget) Open() int64 {
	if budget == nil {
		return 0
	}
	return budget.open.Load()
}
