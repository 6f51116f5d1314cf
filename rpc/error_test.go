package rpc

import (
	"errors"
	"fmt"
	"io"
	"testing"
)

// A wrapped Error matches its code and its cause. Success returns a nil error, not an error that
// contains a nil *Error.
func TestErrorsAreFoundByCodeAndCause(test *testing.T) {
	cause := Errorf(DiskFailure, "sync: %w", io.ErrShortWrite)
	wrapped := fmt.Errorf("roll: %w", cause)
	if !errors.Is(wrapped, DiskFailure) || !errors.Is(wrapped, io.ErrShortWrite) || errors.Is(wrapped, NotLeader) {
		test.Errorf("%v does not match exactly its code and its cause", wrapped)
	}
	if CodeOf(wrapped) != DiskFailure || CodeOf(io.EOF) != Unreachable {
		test.Errorf("codes %s and %s, want those of a disk failure and of a foreign error", CodeOf(wrapped), CodeOf(io.EOF))
	}
	if prefixed := WithPrefix(
		"file",
		wrapped,
	); prefixed.Error() != "disk_fault: file: sync: short write" ||
		!errors.Is(prefixed, io.ErrShortWrite) {
		test.Errorf("unexpected prefixed error: %v", prefixed)
	}
	if err := (Codec{}).Unmarshal([]byte{0x80}, &struct{}{}); err != nil {
		test.Errorf("an empty message returns %v", err)
	}
}

// An Error keeps all its exported fields across processes, but not its cause.
func TestErrorCrossesProcesses(test *testing.T) {
	sent := &Error{
		Code: StaleBase, Message: "based on 3", Serial: 7, Leader: "10.0.0.1:41", RetryAfterMs: 500, Outcome: NotRun,
		Details: []Detail{{Path: "routes.a", Message: "dangling", Code: "dangling"}}, cause: io.EOF,
	}
	received := AsError(fromConnect(sent.toConnect()))
	if received.Error() != sent.Error() || received.Serial != 7 || received.Leader != sent.Leader || received.RetryAfterMs != 500 ||
		received.Outcome != NotRun {
		test.Errorf("sent %+v, received %+v", sent, received)
	}
	if errors.Is(received, io.EOF) || !errors.Is(received, StaleBase) {
		test.Errorf("received error has cause %v and code %s", received.cause, received.Code)
	}
}
