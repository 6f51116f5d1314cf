package soak

import (
	"sync"
	"time"
)

// exchange is one request and its response, as the client saw them.
type exchange struct {
	id           string
	proxy        string
	method       string
	path         string
	routeService string // empty for the route whose service changes
	bodyDigest   string // SHA-256, in hex
	onReusedConn bool   // the connection had carried a request before
	sentAt       time.Time
	endedAt      time.Time
	status       int // 0 without a complete response
	seal         string
	responseBody string
	timedOut     bool
	isProbe      bool // probes a limit, checked by checkLimits
}

// configChange is one version of the configuration that the operator sent.
type configChange struct {
	version        int
	service        string
	limits         connLimits
	sentAt         time.Time
	acknowledgedAt time.Time // zero if it was not
}

// rolloutRecord is one rollout as it was ordered and how it ended.
type rolloutRecord struct {
	service        string
	target         string
	isBad          bool
	term           time.Duration
	sentAt         time.Time
	acknowledgedAt time.Time // zero if it was not
	endedAt        time.Time // when the final state was read
	completed      bool
	reverted       bool
}

// recorder collects what clients, backends and the operator saw. Its methods are safe for
// concurrent use; the checks read it after all writers have ended.
type recorder struct {
	mutex         sync.Mutex
	exchanges     map[string]*exchange // by attempt ID
	arrivals      []*arrival
	configChanges []*configChange
	rollouts      []*rolloutRecord
	probes        []*limitProbe
}

func newRecorder() *recorder { return &recorder{exchanges: map[string]*exchange{}} }

// addExchange records a request; call it before the first byte is sent.
func (recorder *recorder) addExchange(exchange *exchange) {
	recorder.mutex.Lock()
	recorder.exchanges[exchange.id] = exchange
	recorder.mutex.Unlock()
}

func (recorder *recorder) addArrival(arrival *arrival) {
	recorder.mutex.Lock()
	recorder.arrivals = append(recorder.arrivals, arrival)
	recorder.mutex.Unlock()
}

func (recorder *recorder) addConfigChange(change *configChange) {
	recorder.mutex.Lock()
	recorder.configChanges = append(recorder.configChanges, change)
	recorder.mutex.Unlock()
}

func (recorder *recorder) addProbe(probe *limitProbe) {
	recorder.mutex.Lock()
	recorder.probes = append(recorder.probes, probe)
	recorder.mutex.Unlock()
}

func (recorder *recorder) addRollout(rollout *rolloutRecord) {
	recorder.mutex.Lock()
	recorder.rollouts = append(recorder.rollouts, rollout)
	recorder.mutex.Unlock()
}
