package serviceproxy

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"

	"orchidjunction/rpc"
)

const bufferBytes = 1 << 20

// Response is a backend's response: body is all of it, or its beginning while rest
// is still to be streamed. length is the body's size in bytes, -1 if it is unknown.
type Response struct {
	status int
	header http.Header
	body   []byte
	rest   io.ReadCloser
	length int64
}

var hopHeaders = []string{
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

var ownHeaders = []string{"Oj-Usage", "Oj-Serial", "Oj-Leaving", "Oj-Cold", "Oj-Incarnation"}

// readResponse checks whose answer it is and reads it whole, up to where
// streaming begins.
func readResponse(response *http.Response, taskID string, most int, whole bool) (*Response, error) {
	if echoed := response.Header.Get("Oj-Task"); echoed != taskID {
		return nil, rpc.Errorf(rpc.BadResponse, "the answer is for task %q", echoed)
	}
	if response.StatusCode < 200 {
		return nil, rpc.Errorf(rpc.BadResponse, "status %d", response.StatusCode)
	}
	if response.ContentLength > int64(most) {
		return nil, rpc.Errorf(rpc.BadResponse, "%d bytes, allowed %d", response.ContentLength, most)
	}
	receipt := &Response{status: response.StatusCode, header: response.Header, length: response.ContentLength}
	first := most
	if !whole {
		first = min(most, bufferBytes)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(first)+1))
	if err != nil {
		return nil, rpc.Errorf(rpc.BadResponse, "after %d bytes: %v", len(body), err)
	}
	if len(body) > most {
		return nil, rpc.Errorf(rpc.BadResponse, "more than %d bytes", most)
	}
	receipt.body = body
	if len(body) > first {
		receipt.rest = response.Body
	} else {
		receipt.length = int64(len(body))
	}
	return receipt, nil
}

// recordedHeader are the headers that a replay gives again, bounded.
func (receipt *Response) recordedHeader() map[string]string {
	kept, size := map[string]string{}, 0
	for name, values := range receipt.header {
		if size += len(name) + len(values[0]); size <= replayBytes {
			kept[name] = values[0]
		}
	}
	for _, name := range append(append([]string{"Content-Length", "Oj-Task", "Date"}, hopHeaders...), ownHeaders...) {
		delete(kept, name)
	}
	return kept
}

// write gives the receipt to the caller; an error means that it was not whole.
func (receipt *Response) write(writer http.ResponseWriter, most int, replayed bool) error {
	header := writer.Header()
	for name, values := range receipt.header {
		if !slices.Contains(hopHeaders, name) && !slices.Contains(ownHeaders, name) {
			header[name] = append([]string{}, values...)
		}
	}
	if replayed {
		header.Set("Oj-Replayed", "true")
	}
	header.Del("Content-Length")
	if receipt.length >= 0 && receipt.status != http.StatusNoContent && receipt.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(receipt.length, 10))
	}
	writer.WriteHeader(receipt.status)
	if _, err := writer.Write(receipt.body); err != nil || receipt.rest == nil {
		return err
	}
	rest, err := io.Copy(writer, io.LimitReader(receipt.rest, int64(most-len(receipt.body))+1))
	if err == nil && rest > int64(most-len(receipt.body)) {
		err = errors.New(string(rpc.TooLarge))
	}
	return err
}
