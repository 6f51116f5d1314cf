package rpc

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"orchidjunction/metrics"
)

type testRequest struct{ Size int }

type testResponse struct{ Body []byte }

const testMethod Method[testRequest, testResponse] = "compressed"

// headerRecorder records the headers of the last call. With isOldRelease it removes the headers
// that an older release does not send.
type headerRecorder struct {
	transport    http.RoundTripper
	isOldRelease bool
	request      http.Header
	responseSize int64
	encoding     string
	hasDate      bool
}

func (recorder *headerRecorder) RoundTrip(request *http.Request) (*http.Response, error) {
	if recorder.isOldRelease {
		request.Header.Del("Accept-Encoding")
		request.Header.Set("Accept-Encoding", "identity")
	}
	recorder.request = request.Header.Clone()
	response, err := recorder.transport.RoundTrip(request)
	if err == nil {
		recorder.responseSize = response.ContentLength
		recorder.encoding = response.Header.Get("Content-Encoding")
		recorder.hasDate = response.Header.Get("Date") != ""
	}
	return response, err
}

// Only long responses to callers that accept compression are compressed; short ones and those to
// an older release are not. All arrive complete. Unused headers are omitted.
func TestLongResponsesAreCompressed(test *testing.T) {
	server := NewServer(metrics.NewCounters())
	Handle(server, testMethod, func(_ context.Context, request *testRequest) (*testResponse, error) {
		return &testResponse{Body: bytes.Repeat([]byte("a backend in a zone;"), request.Size/20)}, nil
	})
	listener := httptest.NewServer(server)
	defer listener.Close()
	for _, step := range []struct {
		name         string
		isOldRelease bool
		size         int
		compressed   bool
	}{
		{"short", false, 200, false},
		{"long", false, 40_000, true},
		{"long, to an older release", true, 40_000, false},
	} {
		recorder := &headerRecorder{transport: http.DefaultTransport, isOldRelease: step.isOldRelease}
		address := strings.TrimPrefix(listener.URL, "http://")
		response, err := Call(NewClient(recorder), address, testMethod, time.Second, &testRequest{Size: step.size})
		if err != nil || len(response.Body) != step.size {
			test.Fatalf("%s: call failed or response incomplete: %v", step.name, err)
		}
		if isCompressed := recorder.encoding != ""; isCompressed != step.compressed {
			test.Errorf("%s: content encoding %q", step.name, recorder.encoding)
		}
		if step.compressed && recorder.responseSize > int64(step.size/10) {
			test.Errorf("%s: response of %d bytes, want a tenth of the body at most", step.name, recorder.responseSize)
		}
		if recorder.hasDate || len(recorder.request.Get("User-Agent")) > 2 {
			test.Errorf("%s: unnecessary headers: request %v, response with Date: %v", step.name, recorder.request, recorder.hasDate)
		}
	}
}

// Hundreds of concurrent long responses arrive complete, and all compressors together use the
// memory of one.
func TestConcurrentCompressorsShareWriter(test *testing.T) {
	const callers = 300
	compressors := []*compressor{}
	for range callers {
		compressors = append(compressors, newCompressor().(*compressor))
	}
	body := bytes.Repeat([]byte("a backend in a zone;"), 5000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	targets := make([]bytes.Buffer, callers)
	var group sync.WaitGroup
	for index, compressor := range compressors {
		group.Go(func() {
			compressor.Reset(&targets[index])
			for chunk := range slices.Chunk(body, 7000) {
				if _, err := compressor.Write(chunk); err != nil {
					test.Error(err)
				}
			}
			if err := compressor.Close(); err != nil {
				test.Error(err)
			}
			compressor.Reset(io.Discard)
		})
	}
	group.Wait()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if growth := int64(after.HeapAlloc) - int64(before.HeapAlloc); growth > 8<<20 {
		test.Errorf("%d compressors use %d bytes of heap", callers, growth)
	}
	for index := range targets {
		reader, err := gzip.NewReader(&targets[index])
		if err != nil {
			test.Fatal(err)
		}
		if decompressed, err := io.ReadAll(reader); err != nil || !bytes.Equal(decompressed, body) {
			test.Fatalf("response %d: decompressed %d bytes, error %v", index, len(decompressed), err)
		}
	}
	runtime.KeepAlive(compressors)
}
