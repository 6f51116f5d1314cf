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
	// pacedRate is the requests a second of a proxy on the users' small deployments.
	pacedRate      = 206
	pacedRequests  = 2000
	flatOutWorkers = 8
	flatOutEach    = 2500
	answerBytes    = 2000
)

// directBackend answers at once as a backend of the platform does.
func directBackend() *httptest.Server {
	body := letters(0, answerBytes)
	return httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Attempt", request.Header.Get("Attempt"))
		writer.Header().Set("Seal", "s")
		writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		writer.Write(body)
	}))
}

// realServer is a proxy behind its listener on loopback.
type realServer struct {
	*process.Listener
	URL string
}

// realProxy serves on loopback, in real time, before one backend with room for all.
func realProxy(bench testing.TB, goroutines *concurrent.Group, backend string) (*realServer, *metrics.Counters) {
	counters := metrics.NewCounters()
	dialer := &net.Dialer{}
	proxy := NewProxy(ownPlace("p1", "e1"), dialer.DialContext, func() int64 { return time.Now().UnixMilli() }, goroutines, counters)
	proxy.Apply(&routing.State{Config: ownConfig()}, &message.Table{
		Version:  leaderMark,
		Complete: true,
		Members:  proxyMembers([]string{"p1"}, []string{"e1"}),
		Backends: []message.Backend{{Name: "b1", Service: "plain", Address: backend, Zone: "e1", Capacity: 10_000}},
	}, nil)
	open, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		bench.Fatal(err)
	}
	listener := process.NewListener(open, proxy, process.ListenOptions{Counters: counters, Memory: proxy.Memory()})
	listener.Serve(goroutines)
	return &realServer{Listener: listener, URL: "http://" + open.Addr().String()}, counters
}

// timeRequest returns how long a request takes until its answer is read.
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
	if err != nil || response.StatusCode != http.StatusOK || size != answerBytes {
		bench.Errorf("%d, %d bytes, %v", response.StatusCode, size, err)
	}
	return time.Since(begin)
}

// paced sends requests at a rate, alternating between the backend and the proxy, so that
// both see the same moments.
func paced(bench *testing.B, client *http.Client, urls [2]string) (took [2][]time.Duration) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for number := range 2 * pacedRequests {
		time.Sleep(time.Second / (2 * pacedRate))
		group.Go(func() {
			span := timeRequest(bench, client, urls[number%2], strconv.Itoa(number))
			mutex.Lock()
			took[number%2] = append(took[number%2], span)
			mutex.Unlock()
		})
	}
	group.Wait()
	return took
}

// flatOut sends requests one after the other from some workers.
func flatOut(bench *testing.B, client *http.Client, url string) (took []time.Duration) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for worker := range flatOutWorkers {
		group.Go(func() {
			spans := make([]time.Duration, 0, flatOutEach)
			for number := range flatOutEach {
				spans = append(spans, timeRequest(bench, client, url, strconv.Itoa(worker*flatOutEach+number)))
			}
			mutex.Lock()
			took = append(took, spans...)
			mutex.Unlock()
		})
	}
	group.Wait()
	return took
}

func quantile(spans []time.Duration, share float64) float64 {
	sorted := slices.Sorted(slices.Values(spans))
	return float64(sorted[int(share*float64(len(sorted)-1))].Microseconds())
}

// BenchmarkAddedLatency compares requests through a proxy with requests to its backend, over
// loopback, at a paced rate and flat out. It reports microseconds.
func BenchmarkAddedLatency(bench *testing.B) {
	for range bench.N {
		goroutines := concurrent.NewGroup()
		backend := directBackend()
		proxy, _ := realProxy(bench, goroutines, backend.Listener.Addr().String())
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		took := paced(bench, client, [2]string{backend.URL, proxy.URL})
		for _, share := range []float64{0.5, 0.99} {
			name := strconv.Itoa(int(share * 100))
			direct, through := quantile(took[0], share), quantile(took[1], share)
			bench.ReportMetric(direct, "paced-direct-p"+name+"-us")
			bench.ReportMetric(through, "paced-proxy-p"+name+"-us")
		}
		begin := time.Now()
		direct := flatOut(bench, client, backend.URL)
		directRate := float64(len(direct)) / time.Since(begin).Seconds()
		begin = time.Now()
		through := flatOut(bench, client, proxy.URL)
		throughRate := float64(len(through)) / time.Since(begin).Seconds()
		bench.ReportMetric(directRate, "flat-direct-req/s")
		bench.ReportMetric(throughRate, "flat-proxy-req/s")
		for _, share := range []float64{0.5, 0.99} {
			name := strconv.Itoa(int(share * 100))
			bench.ReportMetric(quantile(direct, share), "flat-direct-p"+name+"-us")
			bench.ReportMetric(quantile(through, share), "flat-proxy-p"+name+"-us")
		}
		proxy.Close()
		backend.Close()
		goroutines.Stop()
		client.CloseIdleConnections()
	}
}
