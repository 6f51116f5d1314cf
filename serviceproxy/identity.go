package serviceproxy

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

const maxIdentityBytes = 16 << 10

// Identity is what a backend reports about itself: on each new connection, and partly in the
// headers of each response. Utilization is its load as a fraction of its capacity, WarmupRate the
// requests per second that it accepts while warming up.
type Identity struct {
	Service     string  `json:"service"`
	Instance    string  `json:"instance"`
	Incarnation string  `json:"incarnation"`
	Utilization float64 `json:"usage"`
	WarmingUp   bool    `json:"cold"`
	WarmupRate  float64 `json:"gentle_rate"`
	Leaving     bool    `json:"leaving"`
	Serial      uint64  `json:"serial"`
}

// query requests the identity on a new connection, before anything else is sent over it.
func (identity *Identity) query(conn net.Conn, host string, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return rpc.Errorf(rpc.ConnectionBroken, "identity: %v", err)
	}
	defer func() { _ = conn.SetDeadline(time.Time{}) }() // if this fails, so does the next use of the connection
	if _, err := io.WriteString(conn, "GET /oj/identity HTTP/1.1\r\nHost: "+host+"\r\nAccept: application/json\r\n\r\n"); err != nil {
		return rpc.Errorf(rpc.ConnectionBroken, "identity: %v", err)
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return rpc.Errorf(rpc.BadResponse, "identity: %v", err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxIdentityBytes+1))
	response.Body.Close()
	if err != nil || len(body) > maxIdentityBytes || response.StatusCode != http.StatusOK || response.Close || reader.Buffered() > 0 {
		return rpc.Errorf(rpc.BadResponse, "identity: status %d, %d bytes, %v", response.StatusCode, len(body), err)
	}
	if err := json.Unmarshal(body, identity); err != nil {
		return rpc.Errorf(rpc.BadResponse, "identity: %v", err)
	}
	if identity.Incarnation == "" {
		return rpc.Errorf(rpc.BadResponse, "identity without incarnation")
	}
	return nil
}

// verify returns an error unless the identity is that of the listed backend.
func (identity *Identity) verify(backend message.Backend) error {
	if identity.Service != backend.Service || identity.Instance != backend.Name {
		return rpc.Errorf(
			rpc.WrongBackend,
			"%s identifies as %s of service %s, but is listed as %s of service %s",
			backend.Address,
			identity.Instance,
			identity.Service,
			backend.Name,
			backend.Service,
		)
	}
	return nil
}

// updateFromHeader updates the identity from the headers of a response.
func (identity *Identity) updateFromHeader(header http.Header) {
	if usage, err := strconv.ParseFloat(header.Get("Oj-Usage"), 64); err == nil && usage >= 0 {
		identity.Utilization = usage
	}
	if serial, err := strconv.ParseUint(header.Get("Oj-Serial"), 10, 64); err == nil && serial > identity.Serial {
		identity.Serial = serial
	}
	if leaving := header.Get("Oj-Leaving"); leaving != "" {
		identity.Leaving = leaving == "true"
	}
	if cold := header.Get("Oj-Cold"); cold != "" {
		identity.WarmingUp = cold == "true"
	}
}
