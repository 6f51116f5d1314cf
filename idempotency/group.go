package idempotency

import (
	"time"

	"orchidjunction/message"
)

// group is one durable step of a Log. At is the log's age. Complete says that the log is
// complete for the voter Core, and Membership is set if the group raised it.
type group struct {
	At         time.Duration
	Complete   bool `msgpack:"Whole"`
	Core       int
	Membership *message.AcceptedValue `msgpack:"Members"`
	Claims     []message.ClaimRequest
	Merged     []message.ClaimRecord          `msgpack:"Retold"`
	Completed  []message.CompleteClaimRequest `msgpack:"Settles"`
}

// add puts a message, and the voter for which it completes the log, into the group.
func (group *group) add(write *Write) {
	group.Claims = append(group.Claims, write.Request.Claims...)
	group.Merged = append(group.Merged, write.Request.Merged...)
	group.Completed = append(group.Completed, write.Request.Completed...)
	if write.CompleteAs > 0 {
		group.Complete, group.Core = true, write.CompleteAs
	}
}

func (group *group) isEmpty() bool {
	entries := len(group.Claims) + len(group.Merged) + len(group.Completed)
	return entries == 0 && !group.Complete && group.Membership == nil
}
