package member

import (
	"context"
	"sync"
	"time"

	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// Hold keeps work that has not started while the lead changes, bounded in
// count and time, and sends it to the new leader.
type Hold struct {
	finder   *Finder
	line     *rpc.Client
	counters *metrics.Counters
	depth    int
	limit    time.Duration
	send     time.Duration
	known    func() message.Leader

	mutex sync.Mutex
	held  int
}

// HoldLimits bound how long a message to the leader may take in all, and each
// attempt of it; none is as the defaults say.
type HoldLimits struct {
	Answer time.Duration
	Send   time.Duration
}

const (
	holdDepth   = 64
	holdRest    = 70 * time.Millisecond
	answerLimit = 950 * time.Millisecond
	sendLimit   = 350 * time.Millisecond
	comeBack    = 500
)

func NewHold(finder *Finder, client *rpc.Client, counters *metrics.Counters) *Hold {
	return &Hold{finder: finder, line: client, counters: counters, depth: holdDepth, limit: answerLimit, send: sendLimit}
}

// Within sets other limits than the defaults.
func (hold *Hold) Within(limits HoldLimits) *Hold {
	if limits.Answer > 0 {
		hold.limit = limits.Answer
	}
	if limits.Send > 0 {
		hold.send = limits.Send
	}
	return hold
}

// Follow names what tells the leader that this process itself knows at the moment,
// where it is a core: its finder only hears of a new one by asking.
func (hold *Hold) Follow(known func() message.Leader) { hold.known = known }

// catchUp brings the finder to what this process knows.
func (hold *Hold) catchUp() {
	if hold.known == nil {
		return
	}
	if leader := hold.known(); leader.Known() {
		hold.finder.Heard(leader)
	} else {
		hold.finder.Drop(hold.finder.Leader(), false)
	}
}

func (hold *Hold) enter() bool {
	hold.mutex.Lock()
	defer hold.mutex.Unlock()
	if hold.held >= hold.depth {
		return false
	}
	hold.held++
	return true
}

func (hold *Hold) leave() {
	hold.mutex.Lock()
	hold.held--
	hold.mutex.Unlock()
}

// Send brings one message to the leader, whoever that becomes within the limit.
func Send[Asked, Told any](hold *Hold, name string, asked *Asked) (*Told, error) {
	return SendIn[Asked, Told](context.Background(), hold, name, asked)
}

// SendIn is a Send that ends with its context, too.
func SendIn[Asked, Told any](ctx context.Context, hold *Hold, name string, asked *Asked) (*Told, error) {
	sent, holding := false, false
	defer func() {
		if holding {
			hold.leave()
		}
	}()
	until := hold.until(ctx)
	hold.catchUp()
	for ctx.Err() == nil {
		leader := hold.finder.Leader()
		if !leader.Known() {
			if !holding && !hold.enter() {
				hold.counters.Add("hold_full", 1)
				if sent {
					return nil, givenUp(sent)
				}
				return nil, &rpc.Error{Code: rpc.QueueFull, Message: "too much waits for a leader", RetryAfterMs: comeBack}
			}
			if !holding {
				holding = true
				hold.counters.Add("held", 1)
			}
			leader = hold.finder.Wait(time.Until(until) - holdRest)
			if !leader.Known() {
				hold.counters.Add("hold_given_up", 1)
				return nil, givenUp(sent)
			}
		}
		rest := time.Until(until)
		if rest <= 0 {
			break
		}
		told, err := rpc.CallContext[Asked, Told](ctx, hold.line, leader.Address, name, min(rest, hold.send), asked)
		if err == nil {
			if holding {
				hold.counters.Add("held_flushed", 1)
			}
			return told, nil
		}
		switch mishap := rpc.AsError(err); rpc.CodeOf(mishap) {
		case rpc.NotLeader, rpc.Lameduck, rpc.NoLeader:
			hold.finder.Drop(leader, rpc.CodeOf(mishap) == rpc.Lameduck)
		case rpc.ConnectFailed:
			hold.finder.Drop(leader, false)
		case rpc.Unreachable, rpc.OutcomeUnknown:
			sent = true
			hold.finder.Drop(leader, false)
		default:
			return nil, mishap
		}
		if time.Now().Before(until) {
			hold.finder.goroutines.Sleep(hold.finder.paces.Seek / 4)
		}
	}
	return nil, givenUp(sent)
}

// until is when a message must have its answer that is sent now.
func (hold *Hold) until(ctx context.Context) time.Time {
	until := time.Now().Add(hold.limit)
	if deadline, given := ctx.Deadline(); given && deadline.Before(until) {
		return deadline
	}
	return until
}

// givenUp is the answer to a message that found no leader in time.
func givenUp(sent bool) error {
	if sent {
		return &rpc.Error{Code: rpc.OutcomeUnknown, Message: "the leader fell silent; send the same change id again", RetryAfterMs: comeBack}
	}
	return &rpc.Error{Code: rpc.NotStarted, Message: "no leader within the hold; nothing was started", RetryAfterMs: comeBack}
}
