package hostproxy

import (
	"errors"
	"io"
	"net"
	"net/http"

	"orchidjunction/rpc"
)

// Sizes of the segments that a body is read in. For a body of unknown length, a new segment is
// 1/segmentGrowthDivisor of the bytes read so far, within these bounds, to limit unused
// reservations.
const (
	minSegmentBytes      = 4 << 10
	maxSegmentBytes      = 1 << 20
	segmentGrowthDivisor = 4
)

var (
	errBodyTooLarge        = errors.New("request body exceeds the size limit")
	errBodyMemoryExhausted = errors.New("not enough memory for the request body")
)

// requestBody holds a request body in segments, so that it can grow without being copied.
type requestBody struct {
	segments [][]byte
	size     int64
	// reserved is the number of bytes reserved for the body in RequestMemory.
	reserved int64
}

func (body *requestBody) appendTo(buffer []byte) []byte {
	for _, segment := range body.segments {
		buffer = append(buffer, segment...)
	}
	return buffer
}

func (body *requestBody) writeTo(conn net.Conn) error {
	buffers := append(net.Buffers{}, body.segments...)
	_, err := buffers.WriteTo(conn)
	return err
}

// takeReservation returns the body's reservation, which the caller must release.
func (body *requestBody) takeReservation() int64 {
	reserved := body.reserved
	body.reserved = 0
	return reserved
}

// readRequestBody reads the whole body before anything is sent to a backend. Memory is
// reserved before reading: at once if the length is known, otherwise segment by segment.
func (proxy *Proxy) readRequestBody(request *request, limit int64) (int, rpc.Code) {
	source := request.source
	if limit <= 0 {
		limit = proxy.memory.limit
	}
	if source.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, rpc.TooLarge
	}
	if source.ContentLength == 0 {
		return 0, ""
	}
	err := proxy.readBodySegments(&request.body, source, limit)
	switch {
	case err == nil:
		return 0, ""
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge, rpc.TooLarge
	case errors.Is(err, errBodyMemoryExhausted):
		proxy.counters.Add("bodies_without_memory", 1)
		return http.StatusServiceUnavailable, rpc.Overloaded
	}
	return http.StatusBadRequest, rpc.BadRequest
}

// readBodySegments reads a body to its end, within the size limit and the available memory.
func (proxy *Proxy) readBodySegments(body *requestBody, source *http.Request, limit int64) error {
	if source.ContentLength > 0 && !proxy.reserve(body, source.ContentLength) {
		return errBodyMemoryExhausted
	}
	for {
		size := min(maxSegmentBytes, max(minSegmentBytes, body.size/segmentGrowthDivisor), limit-body.size)
		if source.ContentLength > 0 {
			size = min(maxSegmentBytes, source.ContentLength-body.size)
		}
		if size == 0 {
			return expectEOF(source.Body)
		}
		if source.ContentLength < 0 && !proxy.reserve(body, size) {
			return errBodyMemoryExhausted
		}
		segment := make([]byte, size)
		count, err := io.ReadFull(source.Body, segment)
		body.segments = append(body.segments, segment[:count])
		body.size += int64(count)
		proxy.inbound.recordUrgent(count, proxy.clock())
		switch {
		case err == nil:
		case source.ContentLength < 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
			return nil
		default:
			return err
		}
	}
}

// expectEOF returns an error if a body has more bytes.
func expectEOF(source io.Reader) error {
	var next [1]byte
	_, err := io.ReadFull(source, next[:])
	switch {
	case err == nil:
		return errBodyTooLarge
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}

// reserve reserves memory for more bytes of a body.
func (proxy *Proxy) reserve(body *requestBody, bytes int64) bool {
	if !proxy.memory.Reserve(body.reserved, bytes) {
		return false
	}
	body.reserved += bytes
	return true
}
