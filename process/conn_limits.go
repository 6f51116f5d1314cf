package process

import (
	"math"
	"time"

	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// Limits of a listener's connections where nobody has given others.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
)

// freeHeaderBytes is what each connection may hold of a request's head without a
// reservation; most heads are shorter.
const freeHeaderBytes = 8 << 10

// ConnLimits bound what a client may do on a connection. A limit of 0 is not given: the
// listener's own holds, or else the default one.
type ConnLimits struct {
	// HeaderBytes is the length of a request's head: its request line and its header.
	HeaderBytes int64
	// HeaderTimeout is the time from a head's first byte to its last. A new connection has
	// as long for its first byte.
	HeaderTimeout time.Duration
	// IdleTimeout is the time from an answer to the next request's first byte.
	IdleTimeout time.Duration
}

// ConnLimitsOf are the limits that an operator's routing names.
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

// orElse returns the limits, with others in place of those that are not given.
func (limits ConnLimits) orElse(others ConnLimits) ConnLimits {
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

// widest returns the more generous of each of two limits.
func (limits ConnLimits) widest(other ConnLimits) ConnLimits {
	return ConnLimits{
		HeaderBytes:   max(limits.HeaderBytes, other.HeaderBytes),
		HeaderTimeout: max(limits.HeaderTimeout, other.HeaderTimeout),
		IdleTimeout:   max(limits.IdleTimeout, other.IdleTimeout),
	}
}

// Milliseconds is a number of milliseconds as a duration; one too large for that is the
// longest duration.
func Milliseconds(count int) time.Duration {
	if int64(count) > math.MaxInt64/int64(time.Millisecond) {
		return math.MaxInt64
	}
	return time.Duration(count) * time.Millisecond
}

// HeadMemory bounds the memory that the heads of requests take. It is safe for concurrent use.
type HeadMemory interface {
	// Reserve takes bytes for a head that holds some already; false when there are not so many.
	Reserve(reserved, bytes int64) bool
	Release(bytes int64)
}

// LimitFlags are the limits of a program's listeners as flags.
type LimitFlags struct {
	headerBytes, headerTimeoutMs, idleTimeoutMs int
}

// NewLimitFlags adds the flags to a program's command line. They bound what those outside
// may do; calls between processes keep to the default limits.
func NewLimitFlags(flags *Flags) *LimitFlags {
	limits := &LimitFlags{
		headerBytes:     defaultHeaderBytes,
		headerTimeoutMs: int(defaultHeaderTimeout.Milliseconds()),
		idleTimeoutMs:   int(defaultIdleTimeout.Milliseconds()),
	}
	flags.Parser.Int(&limits.headerBytes, "", "max-header-bytes", "longest head of a request")
	flags.Parser.Int(&limits.headerTimeoutMs, "", "header-timeout-ms", "time for the head of a request")
	flags.Parser.Int(&limits.idleTimeoutMs, "", "idle-timeout-ms", "time that a connection may wait for its next request")
	return limits
}

// Limits returns what the flags say, or which of them is out of range.
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
			return ConnLimits{}, rpc.Errorf(rpc.BadFlag, "--%s: %d is below 1", flag.name, flag.value)
		}
	}
	return ConnLimits{
		HeaderBytes:   int64(limits.headerBytes),
		HeaderTimeout: Milliseconds(limits.headerTimeoutMs),
		IdleTimeout:   Milliseconds(limits.idleTimeoutMs),
	}, nil
}
