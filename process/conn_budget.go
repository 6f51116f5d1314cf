package process

import "sync/atomic"

// Shares of a process's descriptors. Connections above the first share get 503 and a time to
// come back, those above the second are closed unread; the rest is for backends, disks and
// the system's own calls.
const (
	reservedDescriptors   = 200
	servedShareNumerator  = 3
	servedShareDenom      = 4
	refusedShareNumerator = 13
	refusedShareDenom     = 16
)

// ConnBudget bounds the connections that a process's listeners hold open together.
type ConnBudget struct {
	served int64 // up to this many are served
	most   int64 // up to this many are open, those above served with a refusal
	open   atomic.Int64
}

// NewConnBudget returns the budget of a process with so many descriptors; nil, which bounds
// nothing, where that is not known.
func NewConnBudget(descriptors int) *ConnBudget {
	usable := int64(descriptors) - reservedDescriptors
	if usable <= 0 {
		return nil
	}
	return &ConnBudget{
		served: usable * servedShareNumerator / servedShareDenom,
		most:   usable * refusedShareNumerator / refusedShareDenom,
	}
}

// admission is what becomes of a new connection.
type admission uint8

const (
	admitServed  admission = iota
	admitRefused           // its first request is refused
	admitClosed            // it is closed unread
)

// enter counts a new connection, unless that is to be closed.
func (budget *ConnBudget) enter() admission {
	if budget == nil {
		return admitServed
	}
	open := budget.open.Add(1)
	switch {
	case open <= budget.served:
		return admitServed
	case open <= budget.most:
		return admitRefused
	}
	budget.open.Add(-1)
	return admitClosed
}

func (budget *ConnBudget) leave() {
	if budget != nil {
		budget.open.Add(-1)
	}
}

// Open returns how many connections are open.
func (budget *ConnBudget) Open() int64 {
	if budget == nil {
		return 0
	}
	return budget.open.Load()
}
