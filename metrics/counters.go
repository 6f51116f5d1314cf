// Package metrics provides the metrics of a process: counters, gauges and histograms. They are
// exported in the Prometheus text format (WriteText, ServeHTTP), the counters also by ojctl
// status and in the log. The meaning of a name must never change.
//
// The counter "requests" is exported as orchidjunction_requests_total. Histograms are in seconds
// and have names that end in _seconds. docs/ops/metrics.md lists all metrics.
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
	// textContentType is the content type of the Prometheus text format.
	textContentType = "text/plain; version=0.0.4; charset=utf-8"
)

// durationBuckets are the upper bounds of histogram buckets in seconds. The third is the target for
// the latency that a proxy adds.
var durationBuckets = []float64{0.0005, 0.001, 0.0015, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Counters is a set of named metrics. Counters are created at their first use. It is safe for
// concurrent use.
type Counters struct {
	set    *vm.Set
	mutex  sync.RWMutex
	values map[string]*vm.Counter
}

// NewCounters returns an empty set.
func NewCounters() *Counters {
	return &Counters{set: vm.NewSet(), values: map[string]*vm.Counter{}}
}

// Add increases the named counter by amount.
func (counters *Counters) Add(name string, amount uint64) {
	counters.counter(name).AddInt64(int64(amount))
}

// counter returns the named counter, creating it at its first use.
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

// Get returns the value of the named counter, 0 if it was never used.
func (counters *Counters) Get(name string) uint64 {
	counters.mutex.RLock()
	defer counters.mutex.RUnlock()
	if counter := counters.values[name]; counter != nil {
		return counter.Get()
	}
	return 0
}

// All returns the values of all counters by name.
func (counters *Counters) All() map[string]uint64 {
	counters.mutex.RLock()
	defer counters.mutex.RUnlock()
	values := make(map[string]uint64, len(counters.values))
	for name, counter := range counters.values {
		values[name] = counter.Get()
	}
	return values
}

// Names returns the sorted names of all counters.
func (counters *Counters) Names() []string {
	return slices.Sorted(maps.Keys(counters.All()))
}

// Gauge adds a gauge whose value is read when the metrics are exported. It replaces a gauge of the
// same name.
func (counters *Counters) Gauge(name string, value func() float64) {
	counters.set.UnregisterMetric(metricName(name))
	counters.set.NewGauge(metricName(name), value)
}

// Label is a name and a value that distinguish histograms of the same name.
type Label struct{ Name, Value string }

// Histogram counts durations by durationBuckets. It is safe for concurrent use.
type Histogram struct{ inner *vm.PrometheusHistogram }

// Histogram returns the histogram with the given name, which must end in _seconds, and labels,
// creating it at its first use. The number of combinations must be bounded.
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

// Observe adds a duration to the histogram.
func (histogram *Histogram) Observe(duration time.Duration) {
	histogram.inner.Update(duration.Seconds())
}

// WriteText writes all metrics in the Prometheus text format.
func (counters *Counters) WriteText(writer io.Writer) { counters.set.WritePrometheus(writer) }

// ServeHTTP responds with all metrics in the Prometheus text format.
func (counters *Counters) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", textContentType)
	counters.WriteText(writer)
}

// metricName returns the exported name, with the prefix and only characters allowed in metric names.
func metricName(name string) string {
	return namePrefix + strings.Map(func(letter rune) rune {
		switch {
		case letter >= 'a' && letter <= 'z', letter >= '0' && letter <= '9', letter == '_':
			return letter
		}
		return '_'
	}, strings.ToLower(name))
}
