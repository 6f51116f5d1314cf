package message

import "orchidjunction/rpc"

// Kinds of a ChangeRequest: its body replaces all settings, or is merged into them.
const (
	WholeChange   = "whole"
	PartialChange = "partial"
)

const maxChangeID = 128

// ChangeRequest is an operator's change of the settings. ID names it, so that it is made
// once however often it is sent; Base is the serial of the settings that it changes.
type ChangeRequest struct {
	ID       string
	Base     uint64
	Kind     string
	Body     []byte
	Operator string
}

// Check refuses an ID of the wrong length and an unknown kind.
func (request *ChangeRequest) Check() error {
	if request.ID == "" || len(request.ID) > maxChangeID {
		return rpc.Errorf(rpc.BadMessage, "change id has %d letters, allowed 1 to %d", len(request.ID), maxChangeID)
	}
	if request.Kind != WholeChange && request.Kind != PartialChange {
		return rpc.Errorf(rpc.BadMessage, "change kind %q", request.Kind)
	}
	return nil
}

// ChangeResponse is the serial that holds the change. Duplicate is true if the change
// had been made before.
type ChangeResponse struct {
	Serial    uint64
	Duplicate bool `msgpack:"Again"`
}

// ReadRequest asks the leader for the confirmed settings or, with History, for their
// history. A sender that holds the settings of that serial gets no body.
type ReadRequest struct {
	HeldSerial uint64 `msgpack:"Held"`
	History    bool   `msgpack:"Trail"`
}

// ReadResponse brings the confirmed settings, or their history.
type ReadResponse struct {
	Serial  uint64
	Body    []byte
	History []HistoryEntry `msgpack:"Trail"`
}
