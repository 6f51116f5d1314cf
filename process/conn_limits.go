package process

import (
	"math"
	"time"

	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// Default limits of a listener's connections.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
)

// freeHeaderBytes is the part of a request's head that each connection may hold without a
// memory reservation; most heads are shorter.
const freeHeaderBytes = 8 << 10

// ConnLimits holds the limits of a client's connection. A limit of 0 means the listener's own,
// or else the default.
type ConnLimits struct {
	// HeaderBytes is the maximum length of a request's head: its request line and its header.
	HeaderBytes int64
	// HeaderTimeout is the maximum time from a head's first byte to its last, and also from
	// the opening of a connection to its first byte.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time from a response to the next request's first byte.
	IdleTimeout time.Duration
}

// ConnLimitsOf converts the limits of an operator's routing configuration.
func ConnLimitsOf(limits routing.Limits) ConnLimits {
	return ConnLimits{
		HeaderBytes:   int64(limits.HeaderBytes),
		HeaderTimeout: Milliseconds(limits.HeaderMs),
		IdleTimeout:   Milliseconds(limits.IdleMs),
	}
}

var defaultLimits = ConnLimits{
	HeaderBytes:   defaultHeaderBytes,
	HeaderTimeout: defaultHeaderTimeout,
	IdleTimeout:   defaultIdleTimeout,
}

// withDefaults replaces zero limits by those of others.
func (limits ConnLimits) withDefaults(others ConnLimits) ConnLimits {
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = others.HeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = others.HeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = others.IdleTimeout
	}
	return limits
}

// maxOf returns the higher of each pair of limits.
func (limits ConnLimits) maxOf(other ConnLimits) ConnLimits {
	return ConnLimits{
		HeaderBytes:   max(limits.HeaderBytes, other.HeaderBytes),
		HeaderTimeout: max(limits.HeaderTimeout, other.HeaderTimeout),
		IdleTimeout:   max(limits.IdleTimeout, other.IdleTimeout),
	}
}

// Milliseconds converts a number of milliseconds to a duration, at most the maximum duration.
func Milliseconds(count int) time.Duration {
	if int64(count) > math.MaxInt64/int64(time.Millisecond) {
		return math.MaxInt64
	}
	return time.Duration(count) * time.Millisecond
}

// HeadMemory limits the memory of request heads. It is safe for concurrent use.
type HeadMemory interface {
	// Reserve takes bytes for a head that has already reserved some. It returns false if they
	// are not available.
	Reserve(reserved, bytes int64) bool
	Release(bytes int64)
}

// LimitFlags holds the command-line flags for connection limits.
type LimitFlags struct {
	headerBytes, headerTimeoutMs, idleTimeoutMs int
}

// NewLimitFlags adds the flags to a program's command line. They apply to external listeners;
// calls between processes have the default limits.
func NewLimitFlags(flags *Flags) *LimitFlags {
	limits := &LimitFlags{
		headerBytes:     defaultHeaderBytes,
		headerTimeoutMs: int(defaultHeaderTimeout.Milliseconds()),
		idleTimeoutMs:   int(defaultIdleTimeout.Milliseconds()),
	}
	flags.Parser.Int(&limits.headerBytes, "", "max-header-bytes", "maximum size of a request's head (request line and header) in bytes")
	flags.Parser.Int(&limits.headerTimeoutMs, "", "header-timeout-ms", "maximum time to receive a request's head in milliseconds")
	flags.Parser.Int(
		&limits.idleTimeoutMs,
		"",
		"idle-timeout-ms",
		"maximum time that a connection may be idle between requests in milliseconds",
	)
	return limits
}

// Limits returns the limits, or an error that names a flag out of range.
func (limits *LimitFlags) Limits() (ConnLimits, error) {
	for _, flag := range []struct {
		name  string
		value int
	}{
		{"max-header-bytes", limits.headerBytes},
		{"header-timeout-ms", limits.headerTimeoutMs},
		{"idle-timeout-ms", limits.idleTimeoutMs},
	} {
		if flag.value < 1 {
			return ConnLimits{}, rpc.Errorf(rpc.BadFlag, "--%s: %d is less than 1", flag.name, flag.value)
		}
	}
	return ConnLimits{
		HeaderBytes:   int64(limits.headerBytes),
		HeaderTimeout: Milliseconds(limits.headerTimeoutMs),
		IdleTimeout:   Milliseconds(limits.idleTimeoutMs),
	}, nil
}
