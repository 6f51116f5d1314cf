package standin

import (
	"fmt"
	"io"
	"net"
)

// Framing is how a response delimits its body.
type Framing uint8

// The framings of a response. Without a length or chunks, the body ends with the connection.
const (
	FramedByLength Framing = iota
	FramedByChunks
	FramedByClose
	FramedByAnnouncedClose // with Connection: close
	FramedByHTTP10Close
	FramedWithoutBody
)

// Framings are all framings.
var Framings = []Framing{
	FramedByLength, FramedByChunks, FramedByClose, FramedByAnnouncedClose, FramedByHTTP10Close, FramedWithoutBody,
}

// String returns the framing's name.
func (framing Framing) String() string {
	return [...]string{"length", "chunks", "close", "announced close", "HTTP/1.0 close", "no body"}[framing]
}

// EndsWithConnection reports whether the body ends with the connection.
func (framing Framing) EndsWithConnection() bool {
	return framing == FramedByClose || framing == FramedByAnnouncedClose || framing == FramedByHTTP10Close
}

// Ending is what a backend does once it has sent the head and the first half of a body.
type Ending uint8

// The endings of a response. The first two complete it for every framing.
const (
	EndsInOrder Ending = iota
	EndsWithSurplus
	EndsWithEarlyClose
	EndsInsideChunk
	EndsWithReset
	EndsWithSilence
)

// Endings are all endings.
var Endings = []Ending{EndsInOrder, EndsWithSurplus, EndsWithEarlyClose, EndsInsideChunk, EndsWithReset, EndsWithSilence}

// String returns the ending's name.
func (ending Ending) String() string {
	return [...]string{"in order", "surplus", "early close", "close inside a chunk", "reset", "silence"}[ending]
}

// FramedResponse is a successful response as raw bytes. It is sent in two steps, Begin and End.
type FramedResponse struct {
	Framing Framing
	Ending  Ending
	Fields  string // header fields other than those of the framing, each with its line end
	Body    string
	Surplus string // what EndsWithSurplus sends after the response
}

// IsComplete reports whether the response, as it is sent, is complete: RFC 9112, section 8.
func (response *FramedResponse) IsComplete() bool {
	switch response.Ending {
	case EndsInOrder, EndsWithSurplus:
		return true
	case EndsWithEarlyClose:
		return response.Framing.EndsWithConnection() || response.Framing == FramedWithoutBody
	}
	return response.Framing == FramedWithoutBody
}

// SentBody returns the part of the body that is sent.
func (response *FramedResponse) SentBody() string {
	if response.Ending == EndsInOrder || response.Ending == EndsWithSurplus {
		return response.Body
	}
	return response.firstHalf()
}

func (response *FramedResponse) firstHalf() string { return response.Body[:len(response.Body)/2] }

func (response *FramedResponse) head() string {
	switch response.Framing {
	case FramedByLength:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(response.Body))
	case FramedByChunks:
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	case FramedByAnnouncedClose:
		return "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	case FramedByHTTP10Close:
		return "HTTP/1.0 200 OK\r\n"
	case FramedWithoutBody:
		return "HTTP/1.1 204 No Content\r\n"
	}
	return "HTTP/1.1 200 OK\r\n"
}

// Begin sends the head and the first half of the body.
func (response *FramedResponse) Begin(conn io.Writer) error {
	_, err := io.WriteString(conn, response.head()+response.Fields+"\r\n"+response.frame(response.firstHalf()))
	return err
}

// End ends the response and reports whether the connection stays open; otherwise, the caller must
// close it. Bytes that the peer has not read yet are lost by a reset.
func (response *FramedResponse) End(conn net.Conn) (bool, error) {
	rest := response.frame(response.Body[len(response.firstHalf()):])
	if response.Framing == FramedByChunks {
		rest += "0\r\n\r\n"
	}
	switch response.Ending {
	case EndsInOrder:
		_, err := io.WriteString(conn, rest)
		return !response.Framing.EndsWithConnection(), err
	case EndsWithSurplus:
		_, err := io.WriteString(conn, rest+response.Surplus)
		return true, err
	case EndsInsideChunk:
		_, err := io.WriteString(conn, "ff\r\npart of a chunk")
		return false, err
	case EndsWithReset:
		return false, resetOnClose(conn)
	case EndsWithSilence:
		return true, nil
	}
	return false, nil
}

// frame encodes a part of the body.
func (response *FramedResponse) frame(part string) string {
	if response.Framing != FramedByChunks || part == "" {
		return part
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
}

// resetOnClose makes the next Close of a connection reset it.
func resetOnClose(conn net.Conn) error {
	lingering, supported := conn.(interface{ SetLinger(seconds int) error })
	if !supported {
		return fmt.Errorf("%T cannot be reset", conn)
	}
	return lingering.SetLinger(0)
}
