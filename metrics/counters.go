// Package metrics is the figures of a process: counters, gauges and histograms. Operators
// read them as text in Prometheus' exposition format (WriteText, ServeHTTP), the counters
// also by ojctl status and in the log. A name never changes its meaning.
//
// In the text a counter named "requests" is orchidjunction_requests_total; histograms are
// in seconds, and their names end so. docs/ops/metrics.md lists them.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
)

const (
	namePrefix    = "orchidjunction_"
	counterSuffix = "_total"
	// contentType is that of the text format.
	textContentType = "text/plain; version=0.0.4; charset=utf-8"
)

// buckets are the upper bounds of histograms, in seconds. The third is the aim for the time
// that a proxy adds.
var durationBuckets = []float64{0.0005, 0.001, 0.0015, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Counters is a set of named figures; each counter is created at its first use. It is safe
// for concurrent use.
type Counters struct {
	set    *vm.Set
	mutex  sync.RWMutex
	values map[string]*vm.Counter
}

// NewCounters returns an empty set.
func NewCounters() *Counters {
	return &Counters{set: vm.NewSet(), values: map[string]*vm.Counter{}}
}

// Add increases a counter by amount.
func (counters *Counters) Add(name string, amount uint64) {
	counters.counter(name).AddInt64(int64(amount))
}

// counter returns the counter of a name.
func (counters *Counters) counter(name string) *vm.Counter {
	counters.mutex.RLock()
	counter := counters.values[name]
	counters.mutex.RUnlock()
	if counter != nil {
		return counter
	}
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	if counter = counters.values[name]; counter == nil {
		counter = counters.set.GetOrCreateCounter(metricName(name) + counterSuffix)
		counters.values[name] = counter
	}
	return counter
}

// Get returns a counter's value, 0 if it was never used.
func (counters *Counters) Get(name string) uint64 {
	counters.mutex.RLock()
	defer counters.mutex.RUnlock()
	if counter := counters.values[name]; counter != nil {
		return counter.Get()
	}
	return 0
}

// All returns a copy of all counters by name.
func (counters *Counters) All() map[string]uint64 {
	counters.mutex.RLock()
	defer counters.mutex.RUnlock()
	values := make(map[string]uint64, len(counters.values))
	for name, counter := range counters.values {
		values[name] = counter.Get()
	}
	return values
}

// Names returns the names of all counters in order.
func (counters *Counters) Names() []string {
	return slices.Sorted(maps.Keys(counters.All()))
}

// Gauge adds a figure that is read when the text is written. It replaces one of the same
// name.
func (counters *Counters) Gauge(name string, value func() float64) {
	counters.set.UnregisterMetric(metricName(name))
	counters.set.NewGauge(metricName(name), value)
}

// Label is a name and a value that tell histograms of one name apart.
type Label struct{ Name, Value string }

// Histogram is how often durations fell below each of the buckets' bounds. It is safe for
// concurrent use.
type Histogram struct{ inner *vm.PrometheusHistogram }

// Histogram returns the histogram of a name, which ends in _seconds, and labels. The number
// of histograms must be bounded by the program.
func (counters *Counters) Histogram(name string, labels ...Label) *Histogram {
	pairs := make([]string, 0, len(labels))
	for _, label := range labels {
		pairs = append(pairs, fmt.Sprintf("%s=%q", label.Name, label.Value))
	}
	fullName := metricName(name)
	if len(pairs) > 0 {
		fullName += "{" + strings.Join(pairs, ",") + "}"
	}
	return &Histogram{inner: counters.set.GetOrCreatePrometheusHistogramExt(fullName, durationBuckets)}
}

// Observe counts a duration.
func (histogram *Histogram) Observe(duration time.Duration) {
	histogram.inner.Update(duration.Seconds())
}

// WriteText writes all figures in Prometheus' exposition format.
func (counters *Counters) WriteText(writer io.Writer) { counters.set.WritePrometheus(writer) }

// ServeHTTP answers with the text of all figures.
func (counters *Counters) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", textContentType)
	counters.WriteText(writer)
}

// textName returns a name as the text format allows it.
func metricName(name string) string {
	return namePrefix + strings.Map(func(letter rune) rune {
		switch {
		case letter >= 'a' && letter <= 'z', letter >= '0' && letter <= '9', letter == '_':
			return letter
		}
		return '_'
	}, strings.ToLower(name))
}
