package soak

import (
	"sync"
	"time"
)

// exchange is one try of a client, as the client saw it.
type exchange struct {
	id       string
	proxy    string
	method   string
	path     string
	service  string // the service that its route names, empty where that changes
	body     string // the digest of what was sent
	reused   bool   // sent on a connection that had carried a request before
	sentAt   time.Time
	endedAt  time.Time
	status   int // 0 if no whole answer came
	seal     string
	answer   string
	timedOut bool
	isProbe  bool // of a limit, judged by itself
}

// acknowledged is one configuration that was sent, and when it was acknowledged.
type acknowledged struct {
	version int
	movedTo string
	limits  limits
	sentAt  time.Time
	ackedAt time.Time // zero if it was not
}

// shift is one roll-out as it was ordered and as it ended.
type shift struct {
	service  string
	target   string
	isBad    bool
	over     time.Duration
	sentAt   time.Time
	ackedAt  time.Time // zero if it was not
	finalAt  time.Time // when complete or reverted was read
	complete bool
	reverted bool
}

// evidence is what clients, backends and the operator recorded. It is safe for concurrent
// use; the checks read it when all have ended.
type evidence struct {
	mutex     sync.Mutex
	exchanges map[string]*exchange // by attempt id
	arrivals  []*arrival
	versions  []*acknowledged
	shifts    []*shift
	probes    []*limitProbe
}

func newEvidence() *evidence { return &evidence{exchanges: map[string]*exchange{}} }

// sent records a request before its first byte is sent.
func (evidence *evidence) sent(exchange *exchange) {
	evidence.mutex.Lock()
	evidence.exchanges[exchange.id] = exchange
	evidence.mutex.Unlock()
}

func (evidence *evidence) arrived(arrival *arrival) {
	evidence.mutex.Lock()
	evidence.arrivals = append(evidence.arrivals, arrival)
	evidence.mutex.Unlock()
}

func (evidence *evidence) configured(version *acknowledged) {
	evidence.mutex.Lock()
	evidence.versions = append(evidence.versions, version)
	evidence.mutex.Unlock()
}

func (evidence *evidence) probed(probe *limitProbe) {
	evidence.mutex.Lock()
	evidence.probes = append(evidence.probes, probe)
	evidence.mutex.Unlock()
}

func (evidence *evidence) ordered(shift *shift) {
	evidence.mutex.Lock()
	evidence.shifts = append(evidence.shifts, shift)
	evidence.mutex.Unlock()
}
