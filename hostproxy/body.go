package hostproxy

import (
	"errors"
	"io"
	"net"
	"net/http"

	"orchidjunction/rpc"
)

// Sizes of the pieces that a body is read in. One of unknown length grows by a part
// 1/pieceShare of what was read of it, so that little is reserved that stays empty.
const (
	minPiece   = 4 << 10
	maxPiece   = 1 << 20
	pieceShare = 4
)

var (
	errBodyTooLarge = errors.New("the body is larger than the limit")
	errNoBodyMemory = errors.New("no memory for the body")
)

// requestBody is a request's body in the pieces that it was read in: it grows without
// being copied.
type requestBody struct {
	pieces [][]byte
	size   int64
	// reserved is what the body holds of the memory for bodies, in bytes.
	reserved int64
}

// appendTo appends the whole body to a buffer.
func (body *requestBody) appendTo(buffer []byte) []byte {
	for _, piece := range body.pieces {
		buffer = append(buffer, piece...)
	}
	return buffer
}

// writeTo writes the whole body to a connection.
func (body *requestBody) writeTo(conn net.Conn) error {
	buffers := append(net.Buffers{}, body.pieces...)
	_, err := buffers.WriteTo(conn)
	return err
}

// takeReservation returns what the body holds of the memory for bodies, for the caller to
// give back.
func (body *requestBody) takeReservation() int64 {
	reserved := body.reserved
	body.reserved = 0
	return reserved
}

// readRequestBody reads the whole body before anything is sent to a backend. Its memory is
// reserved before it is read, that of a body of unknown length as it grows.
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
	err := proxy.readBodyPieces(&request.body, source, limit)
	switch {
	case err == nil:
		return 0, ""
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge, rpc.TooLarge
	case errors.Is(err, errNoBodyMemory):
		proxy.counters.Add("bodies_without_memory", 1)
		return http.StatusServiceUnavailable, rpc.Overloaded
	}
	return http.StatusBadRequest, rpc.BadRequest
}

// readBodyPieces reads a body to its end, as long as it is within the limit and there is
// memory for it.
func (proxy *Proxy) readBodyPieces(body *requestBody, source *http.Request, limit int64) error {
	if source.ContentLength > 0 && !proxy.reserve(body, source.ContentLength) {
		return errNoBodyMemory
	}
	for {
		size := min(maxPiece, max(minPiece, body.size/pieceShare), limit-body.size)
		if source.ContentLength > 0 {
			size = min(maxPiece, source.ContentLength-body.size)
		}
		if size == 0 {
			return expectEnd(source.Body)
		}
		if source.ContentLength < 0 && !proxy.reserve(body, size) {
			return errNoBodyMemory
		}
		piece := make([]byte, size)
		count, err := io.ReadFull(source.Body, piece)
		body.pieces = append(body.pieces, piece[:count])
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

// expectEnd reports an error unless a body has no more bytes.
func expectEnd(source io.Reader) error {
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

// reserve takes memory for more bytes of a body.
func (proxy *Proxy) reserve(body *requestBody, bytes int64) bool {
	if !proxy.memory.Reserve(body.reserved, bytes) {
		return false
	}
	body.reserved += bytes
	return true
}
