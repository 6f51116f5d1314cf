package hostproxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/process"
	"orchidjunction/routing"
)

const (
	// pacedRate is the request rate, per second, of a proxy in a small deployment.
	pacedRate         = 206
	pacedRequests     = 2000
	maxRateWorkers    = 8
	requestsPerWorker = 2500
	responseBytes     = 2000
)

// newDirectBackend returns a backend that responds at once, like a backend of the platform.
func newDirectBackend() *httptest.Server {
	body := letters(0, responseBytes)
	return httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Attempt", request.Header.Get("Attempt"))
		writer.Header().Set("Seal", "s")
		writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		writer.Write(body)
	}))
}

// loopbackServer is a proxy and its listener on loopback.
type loopbackServer struct {
	*process.Listener
	URL string
}

// startLoopbackProxy starts a proxy on loopback, in real time, with one backend that has
// capacity for all requests.
func startLoopbackProxy(bench testing.TB, goroutines *concurrent.Group, backend string) (*loopbackServer, *metrics.Counters) {
	counters := metrics.NewCounters()
	dialer := &net.Dialer{}
	proxy := NewProxy(testConfig("p1", "e1"), dialer.DialContext, func() int64 { return time.Now().UnixMilli() }, goroutines, counters)
	proxy.Apply(&routing.State{Config: testRoutingConfig()}, &message.Table{
		Version:  leaderVersion,
		Complete: true,
		Members:  proxyMembers([]string{"p1"}, []string{"e1"}),
		Backends: []message.Backend{{Name: "b1", Service: "plain", Address: backend, Zone: "e1", Capacity: 10_000}},
	}, nil)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		bench.Fatal(err)
	}
	listener := process.NewListener(socket, proxy, process.ListenOptions{Counters: counters, Memory: proxy.RequestMemory()})
	listener.Serve(goroutines)
	return &loopbackServer{Listener: listener, URL: "http://" + socket.Addr().String()}, counters
}

// timeRequest returns the time from sending a request until its response is read.
func timeRequest(bench *testing.B, client *http.Client, url, id string) time.Duration {
	request, err := http.NewRequest(http.MethodGet, url+"/once/a", http.NoBody)
	if err != nil {
		bench.Error(err)
		return 0
	}
	request.Host = "host.example"
	request.Header.Set("Attempt", id)
	request.Header.Set("Deadline", "2000")
	begin := time.Now()
	response, err := client.Do(request)
	if err != nil {
		bench.Error(err)
		return 0
	}
	defer response.Body.Close()
	size, err := io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != http.StatusOK || size != responseBytes {
		bench.Errorf("status %d, %d body bytes, %v", response.StatusCode, size, err)
	}
	return time.Since(begin)
}

// measurePaced sends requests at a fixed rate, alternating between the backend and the proxy so
// that both are measured under the same conditions.
func measurePaced(bench *testing.B, client *http.Client, urls [2]string) (durations [2][]time.Duration) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for number := range 2 * pacedRequests {
		time.Sleep(time.Second / (2 * pacedRate))
		group.Go(func() {
			duration := timeRequest(bench, client, urls[number%2], strconv.Itoa(number))
			mutex.Lock()
			durations[number%2] = append(durations[number%2], duration)
			mutex.Unlock()
		})
	}
	group.Wait()
	return durations
}

// measureMaxRate sends requests from maxRateWorkers workers, each without pause.
func measureMaxRate(bench *testing.B, client *http.Client, url string) (durations []time.Duration) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for worker := range maxRateWorkers {
		group.Go(func() {
			workerDurations := make([]time.Duration, 0, requestsPerWorker)
			for number := range requestsPerWorker {
				workerDurations = append(workerDurations, timeRequest(bench, client, url, strconv.Itoa(worker*requestsPerWorker+number)))
			}
			mutex.Lock()
			durations = append(durations, workerDurations...)
			mutex.Unlock()
		})
	}
	group.Wait()
	return durations
}

func quantile(durations []time.Duration, fraction float64) float64 {
	sorted := slices.Sorted(slices.Values(durations))
	return float64(sorted[int(fraction*float64(len(sorted)-1))].Microseconds())
}

// BenchmarkAddedLatency compares requests through a proxy with requests to its backend, over
// loopback, at a fixed rate and at the maximum rate. Latencies are in microseconds.
func BenchmarkAddedLatency(bench *testing.B) {
	for range bench.N {
		goroutines := concurrent.NewGroup()
		backend := newDirectBackend()
		proxy, _ := startLoopbackProxy(bench, goroutines, backend.Listener.Addr().String())
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		durations := measurePaced(bench, client, [2]string{backend.URL, proxy.URL})
		for _, fraction := range []float64{0.5, 0.99} {
			name := strconv.Itoa(int(fraction * 100))
			direct, through := quantile(durations[0], fraction), quantile(durations[1], fraction)
			bench.ReportMetric(direct, "paced-direct-p"+name+"-us")
			bench.ReportMetric(through, "paced-proxy-p"+name+"-us")
		}
		begin := time.Now()
		direct := measureMaxRate(bench, client, backend.URL)
		directRate := float64(len(direct)) / time.Since(begin).Seconds()
		begin = time.Now()
		through := measureMaxRate(bench, client, proxy.URL)
		throughRate := float64(len(through)) / time.Since(begin).Seconds()
		bench.ReportMetric(directRate, "flat-direct-req/s")
		bench.ReportMetric(throughRate, "flat-proxy-req/s")
		for _, fraction := range []float64{0.5, 0.99} {
			name := strconv.Itoa(int(fraction * 100))
			bench.ReportMetric(quantile(direct, fraction), "flat-direct-p"+name+"-us")
			bench.ReportMetric(quantile(through, fraction), "flat-proxy-p"+name+"-us")
		}
		proxy.Close()
		backend.Close()
		goroutines.Stop()
		client.CloseIdleConnections()
	}
}
