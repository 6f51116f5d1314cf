package wire

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"connectrpc.com/connect"
)

// Code names a mishap; operators and callers see it as a stable code.
type Code string

// Kinds of mishaps. Their texts are stable: operators and callers act on them.
const (
	NotLeader        Code = "not_leader"
	Lameduck         Code = "lameduck"
	NoLeader         Code = "no_leader"
	StaleTerm        Code = "stale_ballot"
	StaleBase        Code = "stale_base"
	StaleVersion     Code = "stale_version"
	Invalid          Code = "invalid_settings"
	ChangeIDReused   Code = "change_id_reused"
	OutcomeUnknown   Code = "outcome_unknown"
	NotStarted       Code = "not_started"
	Forgotten        Code = "order_forgotten"
	ZoneChanged      Code = "zone_changed"
	QueueFull        Code = "hold_full"
	BadMessage       Code = "bad_message"
	UnknownMessage   Code = "unknown_message"
	Unreachable      Code = "unreachable"
	ConnectFailed    Code = "unreached"
	BlankDisk        Code = "blank_disk"
	CorruptStore     Code = "corrupt_store"
	DiskFailure      Code = "disk_fault"
	BadFlag          Code = "bad_flag"
	BadRequest       Code = "bad_request"
	NotReady         Code = "not_ready"
	Stopping         Code = "stopping"
	UnknownKey       Code = "unknown_key"
	WrongTenant      Code = "wrong_tenant"
	ForbiddenRegion  Code = "forbidden_region"
	UnknownRoute     Code = "unknown_route"
	MethodNotAllowed Code = "wrong_method"
	KeyRequired      Code = "money_key_required"
	KeyInFlight      Code = "money_key_in_flight"
	KeyReused        Code = "money_key_reused"
	TooLarge         Code = "too_large"
	NoBackend        Code = "no_backend"
	Overloaded       Code = "busy"
	BadResponse      Code = "bad_receipt"
	DeadlineExceeded Code = "limit_passed"
	WrongBackend     Code = "wrong_identity"
	ConnectionBroken Code = "pipe_broken"
	StaleSerial      Code = "old_serial"
	PlatformError    Code = "platform_fault"
	NotFound         Code = "not_found"
	ZoneDrained      Code = "zone_emptied"
	ObjectiveMissed  Code = "aim_missed"
	CorruptChunk     Code = "damaged_part"
	NoLearner        Code = "no_learner"
)

// Detail is one wrong thing in an operator's settings.
type Detail struct {
	Path    string `json:"path"`
	Message string `json:"cause" msgpack:"Cause"`
	Code    string `json:"kind" msgpack:"Kind"`
}

// Error is every failure that crosses a process's edge.
type Error struct {
	Code         Code     `json:"code" msgpack:"Kind"`
	Message      string   `json:"cause,omitempty" msgpack:"Cause"`
	Serial       uint64   `json:"serial,omitempty"`
	Leader       string   `json:"leader,omitempty"`
	RetryAfterMs int      `json:"retry_after_ms,omitempty" msgpack:"Retry"`
	Outcome      string   `json:"outcome,omitempty"`
	Details      []Detail `json:"details,omitempty"`
}

// Outcome tells a caller whether its task may have run.
const (
	NotRun     = "not_run"
	MayHaveRun = "unknown"
)

// Error is the kind, the cause and all details in one line.
func (err *Error) Error() string {
	text := string(err.Code)
	if err.Message != "" {
		text += ": " + err.Message
	}
	for _, detail := range err.Details {
		text += fmt.Sprintf("; %s: %s (%s)", detail.Path, detail.Message, detail.Code)
	}
	return text
}

// Errorf is a mishap of a kind with a formatted cause.
func Errorf(kind Code, format string, values ...any) error {
	return &Error{Code: kind, Message: fmt.Sprintf(format, values...)}
}

// CodeOf is the mishap's kind, or Unreachable for what a library gave.
func CodeOf(err error) Code {
	var mishap *Error
	if errors.As(err, &mishap) {
		return mishap.Code
	}
	return Unreachable
}

// AsError turns any error into a Mishap.
func AsError(err error) *Error {
	var mishap *Error
	if errors.As(err, &mishap) {
		return mishap
	}
	return &Error{Code: Unreachable, Message: err.Error()}
}

// WithPrefix is the error with text in front of its cause and with the same kind.
func WithPrefix(text string, err error) error {
	prefixed := *AsError(err)
	prefixed.Message = text + ": " + prefixed.Message
	return &prefixed
}

// Status is the HTTP status an outer side gives for a kind.
func (kind Code) Status() int {
	switch kind {
	case StaleBase, StaleVersion, KeyInFlight, NoLearner:
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
	case OutcomeUnknown, DeadlineExceeded:
		return http.StatusGatewayTimeout
	case BadResponse, WrongBackend, ConnectionBroken:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

const errorHeader = "Oj-Mishap"

func (err *Error) toConnect() *connect.Error {
	code := connect.CodeFailedPrecondition
	switch err.Code {
	case BadMessage:
		code = connect.CodeInvalidArgument
	case UnknownMessage:
		code = connect.CodeUnimplemented
	}
	packed := connect.NewError(code, err)
	if body, fault := marshal(err); fault == nil {
		packed.Meta().Set(errorHeader, connect.EncodeBinaryHeader(body))
	}
	return packed
}

func fromConnect(err error) error {
	var packed *connect.Error
	if errors.As(err, &packed) {
		if header := packed.Meta().Get(errorHeader); header != "" {
			var err Error
			if body, fault := connect.DecodeBinaryHeader(header); fault == nil && unmarshal(body, &err) == nil {
				return &err
			}
		}
	}
	var dialed *net.OpError
	if errors.As(err, &dialed) && dialed.Op == "dial" {
		return &Error{Code: ConnectFailed, Message: err.Error()}
	}
	return &Error{Code: Unreachable, Message: err.Error()}
}
