package serviceproxy

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"

	"orchidjunction/rpc"
)

const maxBufferedBytes = 1 << 20

// Response is a backend's response. body is all of it, or its beginning if rest is to be streamed.
// length is the body's size in bytes, -1 if unknown.
type Response struct {
	status int
	header http.Header
	body   []byte
	rest   io.ReadCloser
	length int64
}

var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

var internalHeaders = []string{"Oj-Usage", "Oj-Serial", "Oj-Leaving", "Oj-Cold", "Oj-Incarnation"}

// readResponse checks that the response is the task's and reads it: all of it if buffered is set,
// otherwise up to maxBufferedBytes. The response to a HEAD request names a length, but has no body.
func readResponse(response *http.Response, taskID string, maxBytes int, buffered bool) (*Response, error) {
	if responseTask := response.Header.Get("Oj-Task"); responseTask != taskID {
		return nil, rpc.Errorf(rpc.BadResponse, "response is for task %q", responseTask)
	}
	if response.StatusCode < 200 {
		return nil, rpc.Errorf(rpc.BadResponse, "unexpected status %d", response.StatusCode)
	}
	if response.Request.Method == http.MethodHead {
		return &Response{status: response.StatusCode, header: response.Header, length: response.ContentLength}, nil
	}
	if response.ContentLength > int64(maxBytes) {
		return nil, rpc.Errorf(rpc.BadResponse, "response of %d bytes exceeds the limit of %d", response.ContentLength, maxBytes)
	}
	result := &Response{status: response.StatusCode, header: response.Header, length: response.ContentLength}
	bufferLimit := maxBytes
	if !buffered {
		bufferLimit = min(maxBytes, maxBufferedBytes)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(bufferLimit)+1))
	if err != nil {
		return nil, rpc.Errorf(rpc.BadResponse, "reading the response failed after %d bytes: %v", len(body), err)
	}
	if len(body) > maxBytes {
		return nil, rpc.Errorf(rpc.BadResponse, "response exceeds the limit of %d bytes", maxBytes)
	}
	result.body = body
	if len(body) > bufferLimit {
		result.rest = response.Body
	} else {
		result.length = int64(len(body))
	}
	return result, nil
}

// recordedHeader returns the headers to store for replays, up to replayBytes in total.
func (response *Response) recordedHeader() map[string]string {
	recorded, size := map[string]string{}, 0
	for name, values := range response.header {
		if size += len(name) + len(values[0]); size <= replayBytes {
			recorded[name] = values[0]
		}
	}
	for _, name := range append(append([]string{"Content-Length", "Oj-Task", "Date"}, hopByHopHeaders...), internalHeaders...) {
		delete(recorded, name)
	}
	return recorded
}

// write sends the response to the caller. An error means that it was not sent in full.
func (response *Response) write(writer http.ResponseWriter, maxBytes int, replayed bool) error {
	header := writer.Header()
	for name, values := range response.header {
		if !slices.Contains(hopByHopHeaders, name) && !slices.Contains(internalHeaders, name) {
			header[name] = append([]string{}, values...)
		}
	}
	if replayed {
		header.Set("Oj-Replayed", "true")
	}
	header.Del("Content-Length")
	if response.length >= 0 && response.status != http.StatusNoContent && response.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(response.length, 10))
	}
	writer.WriteHeader(response.status)
	if _, err := writer.Write(response.body); err != nil || response.rest == nil {
		return err
	}
	copied, err := io.Copy(writer, io.LimitReader(response.rest, int64(maxBytes-len(response.body))+1))
	if err == nil && copied > int64(maxBytes-len(response.body)) {
		err = errors.New(string(rpc.TooLarge))
	}
	return err
}
