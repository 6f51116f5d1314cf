package hostproxy

import (
	"time"

	"orchidjunction/metrics"
	"orchidjunction/routing"
)

// requestResult is how a request ended from the client's point of view.
type requestResult uint8

// The zero value, resultUnanswered, applies to a request that got no response.
const (
	resultUnanswered requestResult = iota
	resultServed
	resultBackendFailure
	resultProxyFailure
	resultRefused
	resultCount
)

var resultLabels = [resultCount]string{"unanswered", "served", "failed_by_backend", "failed", "refused"}

var kindLabels = map[routing.Kind]string{
	routing.NonIdempotent: "once",
	routing.Idempotent:    "repeatable",
	routing.Download:      "download",
}

// requestTimings are the phases of a request. The rest of its duration is the proxy's overhead.
type requestTimings struct {
	waiting    time.Duration // for a backend with capacity
	connecting time.Duration // dialing
	backends   time.Duration // from the first byte sent to the response's first part, summed over attempts
}

// requestMetrics are the request histograms. Their cardinality is bounded by the route
// kinds, phases and results.
type requestMetrics struct {
	wait      map[routing.Kind]*metrics.Histogram
	connect   map[routing.Kind]*metrics.Histogram
	sendDelay map[routing.Kind]*metrics.Histogram // per attempt, from choosing its backend to sending its first byte
	backend   map[routing.Kind]*metrics.Histogram
	total     map[routing.Kind][]*metrics.Histogram // by result
	overhead  *metrics.Histogram
	linkWait  *metrics.Histogram // per attempt, on this machine's link
}

func newRequestMetrics(counters *metrics.Counters) *requestMetrics {
	histograms := &requestMetrics{
		wait:      map[routing.Kind]*metrics.Histogram{},
		connect:   map[routing.Kind]*metrics.Histogram{},
		sendDelay: map[routing.Kind]*metrics.Histogram{},
		backend:   map[routing.Kind]*metrics.Histogram{},
		total:     map[routing.Kind][]*metrics.Histogram{},
		overhead:  counters.Histogram("request_added_seconds"),
		linkWait:  counters.Histogram("link_wait_seconds"),
	}
	for kind, name := range kindLabels {
		label := metrics.Label{Name: "kind", Value: name}
		histograms.wait[kind] = counters.Histogram("request_wait_seconds", label)
		histograms.connect[kind] = counters.Histogram("request_connect_seconds", label)
		histograms.sendDelay[kind] = counters.Histogram("attempt_send_delay_seconds", label)
		histograms.backend[kind] = counters.Histogram("request_backend_seconds", label)
		for _, result := range resultLabels {
			histograms.total[kind] = append(
				histograms.total[kind],
				counters.Histogram("request_seconds", label, metrics.Label{Name: "result", Value: result}),
			)
		}
	}
	return histograms
}

// observeSend records the send delay of an attempt just before its first byte is sent.
func (histograms *requestMetrics) observeSend(request *request, now time.Time) {
	histograms.sendDelay[request.route.Kind].Observe(now.Sub(request.chosenAt))
}

// observeOverhead records the latency that the proxy added to a request, just before the
// response header is written.
func (histograms *requestMetrics) observeOverhead(request *request, now time.Time) {
	timings := &request.timings
	histograms.overhead.Observe(now.Sub(request.begin) - timings.waiting - timings.connecting - timings.backends)
}

// observeEnd records the timings of a completed request that matched a route.
func (histograms *requestMetrics) observeEnd(request *request, now time.Time) {
	if request.route == nil {
		return
	}
	kind := request.route.Kind
	histograms.wait[kind].Observe(request.timings.waiting)
	histograms.connect[kind].Observe(request.timings.connecting)
	histograms.backend[kind].Observe(request.timings.backends)
	histograms.total[kind][request.result].Observe(now.Sub(request.begin))
}
