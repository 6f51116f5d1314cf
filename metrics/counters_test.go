package metrics

import (
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

// samplePattern matches a sample or comment line of the Prometheus text format.
var samplePattern = regexp.MustCompile(
	`^(#.*|[a-z_][a-z0-9_]*(\{([a-z_]+="[^"]*",?)+\})? -?[0-9.e+-]+|[a-z_][a-z0-9_]*\{.*le="\+Inf"\} [0-9]+)$`,
)

// The text contains every metric under its exported name and conforms to the format.
func TestPrometheusText(test *testing.T) {
	counters := NewCounters()
	counters.Add("requests", 3)
	counters.Add("refused_no-backend", 1)
	counters.Gauge("leading", func() float64 { return 0 })
	counters.Gauge("leading", func() float64 { return 1 })
	histogram := counters.Histogram("request_seconds", Label{"kind", "once"}, Label{"result", "served"})
	histogram.Observe(1400 * time.Microsecond)
	histogram.Observe(30 * time.Millisecond)
	recorder := httptest.NewRecorder()
	counters.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	text := recorder.Body.String()
	for _, wanted := range []string{
		"orchidjunction_requests_total 3\n",
		"orchidjunction_refused_no_backend_total 1\n",
		"orchidjunction_leading 1\n",
		`orchidjunction_request_seconds_bucket{kind="once",result="served",le="0.001"} 0` + "\n",
		`orchidjunction_request_seconds_bucket{kind="once",result="served",le="0.0015"} 1` + "\n",
		`orchidjunction_request_seconds_bucket{kind="once",result="served",le="+Inf"} 2` + "\n",
		`orchidjunction_request_seconds_count{kind="once",result="served"} 2` + "\n",
	} {
		if !strings.Contains(text, wanted) {
			test.Errorf("%q is missing in\n%s", wanted, text)
		}
	}
	for sample := range strings.SplitSeq(strings.TrimSpace(text), "\n") {
		if !samplePattern.MatchString(sample) {
			test.Errorf("line does not conform to the text format: %q", sample)
		}
	}
	if contentType := recorder.Header().Get("Content-Type"); !strings.HasPrefix(contentType, "text/plain; version=0.0.4") {
		test.Errorf("content type %q", contentType)
	}
	if counters.Get("requests") != 3 || counters.Get("unused") != 0 || len(counters.All()) != 2 {
		test.Errorf("unexpected counters %v", counters.All())
	}
}

// Concurrent first uses of a counter lose no increments.
func TestConcurrentCounters(test *testing.T) {
	counters := NewCounters()
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for index := range 1000 {
				counters.Add([]string{"a", "b", "c"}[index%3], 1)
			}
		})
	}
	group.Wait()
	if sum := counters.Get("a") + counters.Get("b") + counters.Get("c"); sum != 8000 || counters.Get("a") != 8*334 {
		test.Errorf("counters %v, want 8000 increments in total", counters.All())
	}
}
