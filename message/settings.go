package message

import "orchidjunction/rpc"

// Kinds of ChangeRequest: the body replaces the settings or is merged into them.
const (
	WholeChange   = "whole"
	PartialChange = "partial"
)

const maxChangeID = 128

// ChangeRequest is an operator's change of the settings. ID makes it safe to repeat: it is applied
// once however often it is sent. Base is the serial of the settings that it changes.
type ChangeRequest struct {
	ID       string
	Base     uint64
	Kind     string
	Body     []byte
	Operator string
}

// Check rejects an empty or overlong ID, and an unknown kind.
func (request *ChangeRequest) Check() error {
	if request.ID == "" || len(request.ID) > maxChangeID {
		return rpc.Errorf(rpc.BadMessage, "change ID of %d bytes, allowed 1 to %d", len(request.ID), maxChangeID)
	}
	if request.Kind != WholeChange && request.Kind != PartialChange {
		return rpc.Errorf(rpc.BadMessage, "unknown change kind %q", request.Kind)
	}
	return nil
}

// ChangeResponse contains the serial of the settings with the change. Duplicate is true if the
// change had already been made.
type ChangeResponse struct {
	Serial    uint64
	Duplicate bool `msgpack:"Again"`
}

// ReadRequest asks the leader for the confirmed settings or, with History, for their history.
// The response has no body if the settings' serial is HeldSerial.
type ReadRequest struct {
	HeldSerial uint64 `msgpack:"Held"`
	History    bool   `msgpack:"Trail"`
}

// ReadResponse contains the confirmed settings or their history.
type ReadResponse struct {
	Serial  uint64
	Body    []byte
	History []HistoryEntry `msgpack:"Trail"`
}
