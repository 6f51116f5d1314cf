// Package operator is the client of the HTTP interface that daemons and cores offer
// to operators: it reads settings and status and sends changes. It is used by
// ojctl, ojplan, the simulator and the fleet runner.
package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Client sends each call to the daemons in their order and goes on to the next one
// after a transport error, a 503 or an unknown outcome. It is safe for concurrent
// use.
type Client struct {
	daemons []string
	client  *http.Client
}

// NewClient returns a client of the daemons at these addresses (host:port). A nil transport means
// http.DefaultTransport. Each call to a daemon times out after a second.
func NewClient(daemons []string, transport http.RoundTripper) *Client {
	return &Client{daemons: daemons, client: &http.Client{Transport: transport, Timeout: time.Second}}
}

// Do sends one call and decodes the JSON body of a 200 response into into. Several daemons may
// get the same body, so that a change must carry its own ID. It returns a daemon's error,
// rpc.Unreachable if none answered, or rpc.BadMessage for a response that can't be decoded.
func (client *Client) Do(method, path string, body []byte, into any) error {
	lastErr := rpc.Errorf(rpc.Unreachable, "no daemon address given")
	for _, daemon := range client.daemons {
		request, err := http.NewRequest(method, "http://"+daemon+path, bytes.NewReader(body))
		if err != nil {
			return rpc.Errorf(rpc.BadRequest, "%v", err)
		}
		request.GetBody = nil
		response, err := client.client.Do(request)
		if err != nil {
			lastErr = rpc.Errorf(rpc.Unreachable, "%v", err)
			continue
		}
		content, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			lastErr = rpc.Errorf(rpc.Unreachable, "%v", err)
			continue
		}
		if response.StatusCode == http.StatusOK {
			if err := json.Unmarshal(content, into); err != nil {
				return rpc.Errorf(rpc.BadMessage, "%v", err)
			}
			return nil
		}
		lastErr = decodeError(response.StatusCode, content)
		code := rpc.CodeOf(lastErr)
		if code.Status() != http.StatusServiceUnavailable && code != rpc.OutcomeUnknown {
			return lastErr
		}
	}
	return lastErr
}

// decodeError decodes the error in a daemon's response.
func decodeError(status int, body []byte) error {
	result := &rpc.Error{}
	if err := json.Unmarshal(body, result); err != nil || result.Code == "" {
		return rpc.Errorf(rpc.BadMessage, "status %d: %s", status, body)
	}
	return result
}

// Settings is the result of Read: the settings in force at the daemon that answered. Confirmed
// says that a leader in contact with a majority confirmed the serial.
type Settings struct {
	Serial    uint64          `json:"serial"`
	Confirmed bool            `json:"confirmed"`
	Settings  json.RawMessage `json:"settings"`
	Effective json.RawMessage `json:"effective,omitempty"`
}

// Change is a whole (Put) or partial (Patch) version of the settings, built on the serial Base.
// The field Change is its ID: one that was accepted is acknowledged again when it is resent.
type Change struct {
	Base     uint64          `json:"base"`
	Change   string          `json:"change"`
	Operator string          `json:"operator,omitempty"`
	Settings json.RawMessage `json:"settings"`
}

// Outcome is an acknowledged change with its serial. Again says that it had been accepted before
// this call.
type Outcome struct {
	Serial uint64 `json:"serial"`
	Change string `json:"change"`
	Again  bool   `json:"again,omitempty"`
}

// Read returns the settings in force, with the resolved values of every route if
// effective is set.
func (client *Client) Read(effective bool) (*Settings, error) {
	path := "/v1/settings"
	if effective {
		path += "?effective=1"
	}
	settings := &Settings{}
	return settings, client.Do(http.MethodGet, path, nil, settings)
}

// Put replaces the whole settings.
func (client *Client) Put(change Change) (*Outcome, error) {
	return client.change(http.MethodPut, change)
}

// Patch merges a partial tree into the settings; null removes a field.
func (client *Client) Patch(change Change) (*Outcome, error) {
	return client.change(http.MethodPatch, change)
}

func (client *Client) change(method string, change Change) (*Outcome, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return nil, rpc.Errorf(rpc.BadRequest, "%v", err)
	}
	outcome := &Outcome{}
	return outcome, client.Do(method, "/v1/settings", body, outcome)
}

// Status returns the leader, the members and the backends as the cores know them.
func (client *Client) Status() (*message.StatusResponse, error) {
	status := &message.StatusResponse{}
	return status, client.Do(http.MethodGet, "/v1/status", nil, status)
}

// Cores returns the cores that vote and the learners that wait for a vote.
func (client *Client) Cores() (*message.MembershipStatus, error) {
	membership := &message.MembershipStatus{}
	return membership, client.Do(http.MethodGet, "/v1/cores", nil, membership)
}

// Removal is a committed removal, with the version of the membership.
type Removal struct {
	Version uint64 `json:"version"`
	Again   bool   `json:"again,omitempty"`
}

// RemoveCore removes a core and gives its vote to a waiting learner.
func (client *Client) RemoveCore(id int) (*Removal, error) {
	removed := &Removal{}
	return removed, client.Do(http.MethodDelete, fmt.Sprintf("/v1/cores/%d", id), nil, removed)
}
