package wire

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"connectrpc.com/connect"
)

// Kind names a mishap; operators and callers see it as a stable code.
type Kind string

// Kinds of mishaps. Their texts are stable: operators and callers act on them.
const (
	NotLeader      Kind = "not_leader"
	Lameduck       Kind = "lameduck"
	NoLeader       Kind = "no_leader"
	StaleBallot    Kind = "stale_ballot"
	StaleBase      Kind = "stale_base"
	StaleVersion   Kind = "stale_version"
	Invalid        Kind = "invalid_settings"
	ChangeReused   Kind = "change_id_reused"
	OutcomeUnknown Kind = "outcome_unknown"
	NotStarted     Kind = "not_started"
	Forgotten      Kind = "order_forgotten"
	ZoneChanged    Kind = "zone_changed"
	HoldFull       Kind = "hold_full"
	BadMessage     Kind = "bad_message"
	UnknownMessage Kind = "unknown_message"
	Unreachable    Kind = "unreachable"
	Unreached      Kind = "unreached"
	Blank          Kind = "blank_disk"
	Corrupt        Kind = "corrupt_store"
	DiskFault      Kind = "disk_fault"
	BadFlag        Kind = "bad_flag"
	BadRequest     Kind = "bad_request"
	NotReady       Kind = "not_ready"
	Stopping       Kind = "stopping"
	UnknownKey     Kind = "unknown_key"
	WrongTenant    Kind = "wrong_tenant"
	ForbiddenPlace Kind = "forbidden_region"
	UnknownRoute   Kind = "unknown_route"
	WrongMethod    Kind = "wrong_method"
	KeyRequired    Kind = "money_key_required"
	KeyBusy        Kind = "money_key_in_flight"
	KeyReused      Kind = "money_key_reused"
	TooLarge       Kind = "too_large"
	NoBackend      Kind = "no_backend"
	Busy           Kind = "busy"
	BadReceipt     Kind = "bad_receipt"
	LimitPassed    Kind = "limit_passed"
	WrongIdentity  Kind = "wrong_identity"
	PipeBroken     Kind = "pipe_broken"
	OldSerial      Kind = "old_serial"
	PlatformFault  Kind = "platform_fault"
	NotFound       Kind = "not_found"
	ZoneEmptied    Kind = "zone_emptied"
	AimMissed      Kind = "aim_missed"
	DamagedPart    Kind = "damaged_part"
	NoLearner      Kind = "no_learner"
)

// Detail is one wrong thing in an operator's settings.
type Detail struct {
	Path  string `json:"path"`
	Cause string `json:"cause"`
	Kind  string `json:"kind"`
}

// Mishap is every failure that crosses a process's edge.
type Mishap struct {
	Kind    Kind     `json:"code"`
	Cause   string   `json:"cause,omitempty"`
	Serial  uint64   `json:"serial,omitempty"`
	Leader  string   `json:"leader,omitempty"`
	Retry   int      `json:"retry_after_ms,omitempty"`
	Outcome string   `json:"outcome,omitempty"`
	Details []Detail `json:"details,omitempty"`
}

// Outcome tells a caller whether its task may have run.
const (
	NotRun     = "not_run"
	MayHaveRun = "unknown"
)

// Error is the kind, the cause and all details in one line.
func (mishap *Mishap) Error() string {
	text := string(mishap.Kind)
	if mishap.Cause != "" {
		text += ": " + mishap.Cause
	}
	for _, detail := range mishap.Details {
		text += fmt.Sprintf("; %s: %s (%s)", detail.Path, detail.Cause, detail.Kind)
	}
	return text
}

// New is a mishap of a kind with a formatted cause.
func New(kind Kind, format string, values ...any) error {
	return &Mishap{Kind: kind, Cause: fmt.Sprintf(format, values...)}
}

// KindOf is the mishap's kind, or Unreachable for what a library gave.
func KindOf(err error) Kind {
	var mishap *Mishap
	if errors.As(err, &mishap) {
		return mishap.Kind
	}
	return Unreachable
}

// AsMishap turns any error into a Mishap.
func AsMishap(err error) *Mishap {
	var mishap *Mishap
	if errors.As(err, &mishap) {
		return mishap
	}
	return &Mishap{Kind: Unreachable, Cause: err.Error()}
}

// Prefixed is the error with text in front of its cause and with the same kind.
func Prefixed(text string, err error) error {
	prefixed := *AsMishap(err)
	prefixed.Cause = text + ": " + prefixed.Cause
	return &prefixed
}

// Status is the HTTP status an outer side gives for a kind.
func (kind Kind) Status() int {
	switch kind {
	case StaleBase, StaleVersion, KeyBusy, NoLearner:
		return http.StatusConflict
	case Invalid, BadRequest, BadMessage, KeyRequired:
		return http.StatusBadRequest
	case ChangeReused, KeyReused:
		return http.StatusUnprocessableEntity
	case UnknownKey:
		return http.StatusUnauthorized
	case WrongTenant, ForbiddenPlace, AimMissed:
		return http.StatusForbidden
	case UnknownRoute, NotFound:
		return http.StatusNotFound
	case WrongMethod:
		return http.StatusMethodNotAllowed
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case OutcomeUnknown, LimitPassed:
		return http.StatusGatewayTimeout
	case BadReceipt, WrongIdentity, PipeBroken:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

const mishapHeader = "Oj-Mishap"

func (mishap *Mishap) toConnect() *connect.Error {
	code := connect.CodeFailedPrecondition
	switch mishap.Kind {
	case BadMessage:
		code = connect.CodeInvalidArgument
	case UnknownMessage:
		code = connect.CodeUnimplemented
	}
	packed := connect.NewError(code, mishap)
	if body, fault := pack(mishap); fault == nil {
		packed.Meta().Set(mishapHeader, connect.EncodeBinaryHeader(body))
	}
	return packed
}

func fromConnect(err error) error {
	var packed *connect.Error
	if errors.As(err, &packed) {
		if header := packed.Meta().Get(mishapHeader); header != "" {
			var mishap Mishap
			if body, fault := connect.DecodeBinaryHeader(header); fault == nil && unpack(body, &mishap) == nil {
				return &mishap
			}
		}
	}
	var dialed *net.OpError
	if errors.As(err, &dialed) && dialed.Op == "dial" {
		return &Mishap{Kind: Unreached, Cause: err.Error()}
	}
	return &Mishap{Kind: Unreachable, Cause: err.Error()}
}
