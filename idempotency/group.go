package idempotency

import (
	"time"

	"orchidjunction/message"
)

// group is one journal entry of a Log. At is the age of the log. Complete means that the
// log is complete for the voter Core; Membership is set if the group advanced it.
type group struct {
	At         time.Duration
	Complete   bool `msgpack:"Whole"`
	Core       int
	Membership *message.AcceptedValue `msgpack:"Members"`
	Claims     []message.ClaimRequest
	Merged     []message.ClaimRecord          `msgpack:"Retold"`
	Completed  []message.CompleteClaimRequest `msgpack:"Settles"`
}

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
