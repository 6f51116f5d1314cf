package discovery

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

const (
	maxPageBytes = 4 << 20
	// defaultRetryAfter applies if the Retry-After header is missing, invalid or above
	// maxRetryAfter.
	defaultRetryAfter = time.Second
	maxRetryAfter     = time.Minute
	// retryMargin is added to the Retry-After of the platform.
	retryMargin = 10 * time.Millisecond
)

// HTTPLister returns a Lister for the built-in platform's HTTP API at an address of the
// form IP:port: GET /v1/backends?page=TOKEN. The API cannot list by zone.
func HTTPLister(address string, transport http.RoundTripper, counters *metrics.Counters) Lister {
	lister := &httpLister{address: address, client: &http.Client{Transport: transport}, counters: counters}
	return lister.page
}

type httpLister struct {
	address  string
	client   *http.Client
	counters *metrics.Counters
}

type pageDocument struct {
	Items []message.Backend `json:"items"`
	Next  string            `json:"next"`
}

func (lister *httpLister) page(ctx context.Context, asked PageRequest) Page {
	location := "http://" + lister.address + "/v1/backends?page=" + url.QueryEscape(asked.Token)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, location, nil)
	if err != nil {
		return failedPage("%w", err)
	}
	response, err := lister.client.Do(request)
	if err != nil {
		return failedPage("%w", err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return decodePage(response.Body)
	case http.StatusTooManyRequests:
		lister.counters.Add("platform_rate_limited", 1)
		page := failedPage("rate limited")
		page.RetryAfter = retryAfter(response.Header)
		return page
	}
	return failedPage("%s", response.Status)
}

func failedPage(format string, values ...any) Page {
	return Page{Err: rpc.Errorf(rpc.PlatformError, format, values...)}
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > maxRetryAfter.Seconds() {
		return defaultRetryAfter + retryMargin
	}
	return time.Duration(seconds*float64(time.Second)) + retryMargin
}

func decodePage(source io.Reader) Page {
	body, err := io.ReadAll(io.LimitReader(source, maxPageBytes+1))
	if err != nil {
		return failedPage("read page, %d bytes received: %w", len(body), err)
	}
	if len(body) > maxPageBytes {
		return failedPage("page exceeds %d bytes", maxPageBytes)
	}
	document := &pageDocument{}
	if err := json.Unmarshal(body, document); err != nil {
		return failedPage("decode page: %w", err)
	}
	return Page{Backends: document.Items, Next: document.Next}
}
