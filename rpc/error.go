package rpc

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"

	"connectrpc.com/connect"
)

// Code identifies the kind of an Error. Its text is part of the API for operators and callers and
// must not change. A Code is itself an error, so that errors.Is(err, NotLeader) reports whether
// err has that code.
type Code string

// Error returns the code's text.
func (code Code) Error() string { return string(code) }

// Codes for leadership and changes of the replicated state.
const (
	NotLeader      Code = "not_leader"
	Lameduck       Code = "lameduck"
	NoLeader       Code = "no_leader"
	StaleTerm      Code = "stale_ballot"
	StaleBase      Code = "stale_base"
	StaleVersion   Code = "stale_version"
	StaleSerial    Code = "old_serial"
	Invalid        Code = "invalid_settings"
	ChangeIDReused Code = "change_id_reused"
	OutcomeUnknown Code = "outcome_unknown"
	NotStarted     Code = "not_started"
	Forgotten      Code = "order_forgotten"
	ZoneChanged    Code = "zone_changed"
	RolloutActive  Code = "rollout_active"
	RolloutChanged Code = "rollout_changed"
	QueueFull      Code = "hold_full"
	NoLearner      Code = "no_learner"
)

// Codes for processes, disks and calls between processes.
const (
	BadMessage     Code = "bad_message"
	UnknownMessage Code = "unknown_message"
	Unreachable    Code = "unreachable" // the request may have been received
	ConnectFailed  Code = "unreached"   // the request was not sent
	BlankDisk      Code = "blank_disk"
	CorruptStore   Code = "corrupt_store"
	CorruptChunk   Code = "damaged_part"
	DiskFailure    Code = "disk_fault"
	BadFlag        Code = "bad_flag"
	NotReady       Code = "not_ready"
	Stopping       Code = "stopping"
	PlatformError  Code = "platform_fault"
)

// Codes for callers' requests.
const (
	BadRequest       Code = "bad_request"
	UnknownKey       Code = "unknown_key"
	WrongTenant      Code = "wrong_tenant"
	ForbiddenRegion  Code = "forbidden_region"
	UnknownRoute     Code = "unknown_route"
	MethodNotAllowed Code = "wrong_method"
	KeyRequired      Code = "money_key_required"
	KeyInFlight      Code = "money_key_in_flight"
	KeyReused        Code = "money_key_reused"
	TooLarge         Code = "too_large"
	RequestTimeout   Code = "request_timeout"
	NoBackend        Code = "no_backend"
	Overloaded       Code = "busy"
	BadResponse      Code = "bad_receipt"
	DeadlineExceeded Code = "limit_passed"
	WrongBackend     Code = "wrong_identity"
	ConnectionBroken Code = "pipe_broken"
	NotFound         Code = "not_found"
	ZoneDrained      Code = "zone_emptied"
	ObjectiveMissed  Code = "aim_missed"
)

// Status returns the HTTP status for the code in responses to operators and callers.
func (code Code) Status() int {
	switch code {
	case StaleBase, StaleVersion, KeyInFlight, NoLearner, RolloutActive:
		return http.StatusConflict
	case Invalid, BadRequest, BadMessage, KeyRequired:
		return http.StatusBadRequest
	case ChangeIDReused, KeyReused:
		return http.StatusUnprocessableEntity
	case UnknownKey:
		return http.StatusUnauthorized
	case WrongTenant, ForbiddenRegion, ObjectiveMissed:
		return http.StatusForbidden
	case UnknownRoute, NotFound:
		return http.StatusNotFound
	case MethodNotAllowed:
		return http.StatusMethodNotAllowed
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case RequestTimeout:
		return http.StatusRequestTimeout
	case OutcomeUnknown, DeadlineExceeded:
		return http.StatusGatewayTimeout
	case BadResponse, WrongBackend, ConnectionBroken:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// Detail is an error in a configuration: its path, message and code.
type Detail struct {
	Path    string `json:"path"`
	Message string `json:"cause" msgpack:"Cause"`
	Code    string `json:"kind" msgpack:"Kind"`
}

// Values of Error.Outcome, which says whether the caller's request may have run.
const (
	NotRun     = "not_run"
	MayHaveRun = "unknown"
)

// Error is an error with a code. It is sent between processes unchanged, except for its cause.
type Error struct {
	Code    Code   `json:"code" msgpack:"Kind"`
	Message string `json:"cause,omitempty" msgpack:"Cause"`
	// Serial is the current serial if a change was based on another one.
	Serial uint64 `json:"serial,omitempty"`
	// Leader is the address of the leader if the call went to another core.
	Leader string `json:"leader,omitempty"`
	// RetryAfterMs is the delay before a retry in milliseconds, 0 if unknown.
	RetryAfterMs int `json:"retry_after_ms,omitempty" msgpack:"Retry"`
	// Outcome is NotRun, MayHaveRun or empty.
	Outcome string `json:"outcome,omitempty"`
	// Details are the errors found in a configuration.
	Details []Detail `json:"details,omitempty"`

	cause error
}

// Errorf returns an Error with a message formatted as by fmt.Errorf. An error formatted with %w
// becomes its cause.
func Errorf(code Code, format string, values ...any) error {
	formatted := fmt.Errorf(format, values...)
	return &Error{Code: code, Message: formatted.Error(), cause: errors.Unwrap(formatted)}
}

// Error returns the code, the message and the details in one line.
func (err *Error) Error() string {
	var text strings.Builder
	text.WriteString(string(err.Code))
	if err.Message != "" {
		fmt.Fprintf(&text, ": %s", err.Message)
	}
	for _, detail := range err.Details {
		fmt.Fprintf(&text, "; %s: %s (%s)", detail.Path, detail.Message, detail.Code)
	}
	return text.String()
}

// Unwrap returns the cause, if any. The cause is not sent to other processes.
func (err *Error) Unwrap() error { return err.cause }

// Is reports whether target is the code of err.
func (err *Error) Is(target error) bool {
	code, isCode := target.(Code)
	return isCode && err.Code == code
}

// CodeOf returns the code of the first Error in the chain of err, or Unreachable if there is none.
func CodeOf(err error) Code {
	if found, ok := errors.AsType[*Error](err); ok {
		return found.Code
	}
	return Unreachable
}

// AsError returns the first Error in the chain of err, or if there is none, an Error with code
// Unreachable that wraps err. err must not be nil.
func AsError(err error) *Error {
	if found, ok := errors.AsType[*Error](err); ok {
		return found
	}
	return &Error{Code: Unreachable, Message: err.Error(), cause: err}
}

// WithPrefix returns a copy of err with text prepended to its message. err must not be nil.
func WithPrefix(prefix string, err error) error {
	prefixed := *AsError(err)
	prefixed.Message = prefix + ": " + prefixed.Message
	return &prefixed
}

// errorHeader is the header that contains an encoded Error. Older releases use the same name.
const errorHeader = "Oj-Mishap"

func (err *Error) toConnect() *connect.Error {
	code := connect.CodeFailedPrecondition
	switch err.Code {
	case BadMessage:
		code = connect.CodeInvalidArgument
	case UnknownMessage:
		code = connect.CodeUnimplemented
	}
	connectErr := connect.NewError(code, err)
	if body, marshalErr := Marshal(err); marshalErr == nil {
		connectErr.Meta().Set(errorHeader, connect.EncodeBinaryHeader(body))
	}
	return connectErr
}

func fromConnect(err error) error {
	if remote := remoteError(err); remote != nil {
		return remote
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &Error{Code: ConnectFailed, Message: err.Error(), cause: err}
	}
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return &Error{Code: UnknownMessage, Message: err.Error(), cause: err}
	}
	return &Error{Code: Unreachable, Message: err.Error(), cause: err}
}

// remoteError returns the Error sent by the other process, nil if there is none.
func remoteError(err error) *Error {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil
	}
	header := connectErr.Meta().Get(errorHeader)
	if header == "" {
		return nil
	}
	body, err := connect.DecodeBinaryHeader(header)
	if err != nil {
		return nil
	}
	remote := &Error{}
	if Unmarshal(body, remote) != nil {
		return nil
	}
	return remote
}
