package hostproxy

import (
	"time"

	"orchidjunction/metrics"
	"orchidjunction/routing"
)

// result is how a request ended, as far as the client can tell.
type result uint8

// The results; a request that is given no answer has the first.
const (
	unanswered result = iota
	served
	failedByBackend
	failedHere
	refusedHere
	resultCount
)

var resultNames = [resultCount]string{"unanswered", "served", "failed_by_backend", "failed", "refused"}

var kindNames = map[routing.Kind]string{
	routing.NonIdempotent: "once",
	routing.Idempotent:    "repeatable",
	routing.Download:      "download",
}

// spent is where a request's time went. What is left of the whole is the proxy's own.
type spent struct {
	waiting    time.Duration // for a backend with capacity
	connecting time.Duration // for new connections
	backends   time.Duration // from the first byte sent to the answer's first part, over all attempts
}

// figures are the histograms of requests. Their number is bounded: kinds of routes, stages
// and results.
type figures struct {
	waiting    map[routing.Kind]*metrics.Histogram
	connecting map[routing.Kind]*metrics.Histogram
	sendDelay  map[routing.Kind]*metrics.Histogram // of an attempt, from the choice of its backend to its first byte
	backends   map[routing.Kind]*metrics.Histogram
	whole      map[routing.Kind][]*metrics.Histogram // by result
	added      *metrics.Histogram
	linkWait   *metrics.Histogram // of attempts, on this machine's own link
}

func newFigures(counters *metrics.Counters) *figures {
	made := &figures{
		waiting:    map[routing.Kind]*metrics.Histogram{},
		connecting: map[routing.Kind]*metrics.Histogram{},
		sendDelay:  map[routing.Kind]*metrics.Histogram{},
		backends:   map[routing.Kind]*metrics.Histogram{},
		whole:      map[routing.Kind][]*metrics.Histogram{},
		added:      counters.Histogram("request_added_seconds"),
		linkWait:   counters.Histogram("link_wait_seconds"),
	}
	for kind, name := range kindNames {
		label := metrics.Label{Name: "kind", Value: name}
		made.waiting[kind] = counters.Histogram("request_wait_seconds", label)
		made.connecting[kind] = counters.Histogram("request_connect_seconds", label)
		made.sendDelay[kind] = counters.Histogram("attempt_send_delay_seconds", label)
		made.backends[kind] = counters.Histogram("request_backend_seconds", label)
		for _, result := range resultNames {
			made.whole[kind] = append(
				made.whole[kind],
				counters.Histogram("request_seconds", label, metrics.Label{Name: "result", Value: result}),
			)
		}
	}
	return made
}

// sending observes an attempt of which the first byte is about to be sent.
func (figures *figures) sending(request *request, now time.Time) {
	figures.sendDelay[request.route.Kind].Observe(now.Sub(request.chosenAt))
}

// answering observes what the proxy added to a request whose answer's head is about to be
// written.
func (figures *figures) answering(request *request, now time.Time) {
	spent := &request.spent
	figures.added.Observe(now.Sub(request.begin) - spent.waiting - spent.connecting - spent.backends)
}

// ended observes a request that had a route.
func (figures *figures) ended(request *request, now time.Time) {
	if request.route == nil {
		return
	}
	kind := request.route.Kind
	figures.waiting[kind].Observe(request.spent.waiting)
	figures.connecting[kind].Observe(request.spent.connecting)
	figures.backends[kind].Observe(request.spent.backends)
	figures.whole[kind][request.result].Observe(now.Sub(request.begin))
}
