// Package operator is the client side of the operators' door.
package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"orchidjunction/wire"
)

// Client asks daemons in turn; silence of one moves it to the next.
type Client struct {
	daemons []string
	client  *http.Client
}

func NewClient(daemons []string, transport http.RoundTripper) *Client {
	return &Client{daemons: daemons, client: &http.Client{Transport: transport, Timeout: time.Second}}
}

// Ask sends one call; a change that may have been taken is sent on with its own id.
func (client *Client) Ask(method, path string, body []byte, into any) *wire.Mishap {
	last := wire.New(wire.Unreachable, "no daemon given")
	for _, daemon := range client.daemons {
		request, fault := http.NewRequest(method, "http://"+daemon+path, bytes.NewReader(body))
		if fault != nil {
			return wire.New(wire.BadRequest, "%v", fault)
		}
		request.GetBody = nil
		response, fault := client.client.Do(request)
		if fault != nil {
			last = wire.New(wire.Unreachable, "%v", fault)
			continue
		}
		answer, fault := io.ReadAll(response.Body)
		response.Body.Close()
		if fault != nil {
			last = wire.New(wire.Unreachable, "%v", fault)
			continue
		}
		if response.StatusCode == http.StatusOK {
			if fault := json.Unmarshal(answer, into); fault != nil {
				return wire.New(wire.BadMessage, "%v", fault)
			}
			return nil
		}
		mishap := &wire.Mishap{}
		if fault := json.Unmarshal(answer, mishap); fault != nil || mishap.Kind == "" {
			mishap = wire.New(wire.BadMessage, "status %d: %s", response.StatusCode, answer)
		}
		if mishap.Kind.Status() != http.StatusServiceUnavailable && mishap.Kind != wire.OutcomeUnknown {
			return mishap
		}
		last = mishap
	}
	return last
}

// Settings is what is in force.
type Settings struct {
	Serial    uint64          `json:"serial"`
	Confirmed bool            `json:"confirmed"`
	Settings  json.RawMessage `json:"settings"`
	Effective json.RawMessage `json:"effective,omitempty"`
}

// Change is a new whole or partial version on a base.
type Change struct {
	Base     uint64          `json:"base"`
	Change   string          `json:"change"`
	Operator string          `json:"operator,omitempty"`
	Settings json.RawMessage `json:"settings"`
}

// Outcome is a change in force.
type Outcome struct {
	Serial uint64 `json:"serial"`
	Change string `json:"change"`
	Again  bool   `json:"again,omitempty"`
}

func (client *Client) Read(effective bool) (*Settings, *wire.Mishap) {
	path := "/v1/settings"
	if effective {
		path += "?effective=1"
	}
	settings := &Settings{}
	return settings, client.Ask(http.MethodGet, path, nil, settings)
}

// Put sends a whole version, Patch a partial one.
func (client *Client) Put(change Change) (*Outcome, *wire.Mishap) {
	return client.change(http.MethodPut, change)
}

func (client *Client) Patch(change Change) (*Outcome, *wire.Mishap) {
	return client.change(http.MethodPatch, change)
}

func (client *Client) change(method string, change Change) (*Outcome, *wire.Mishap) {
	body, fault := json.Marshal(change)
	if fault != nil {
		return nil, wire.New(wire.BadRequest, "%v", fault)
	}
	outcome := &Outcome{}
	return outcome, client.Ask(method, "/v1/settings", body, outcome)
}

func (client *Client) Status() (*wire.StatusTold, *wire.Mishap) {
	status := &wire.StatusTold{}
	return status, client.Ask(http.MethodGet, "/v1/status", nil, status)
}

// Cores tells who votes and who waits for a vote.
func (client *Client) Cores() (*wire.MembershipStatus, *wire.Mishap) {
	membership := &wire.MembershipStatus{}
	return membership, client.Ask(http.MethodGet, "/v1/cores", nil, membership)
}

// Removed is a removal that was decided, by the membership's version.
type Removed struct {
	Version uint64 `json:"version"`
	Again   bool   `json:"again,omitempty"`
}

// RemoveCore gives a core's vote to a waiting learner.
func (client *Client) RemoveCore(id int) (*Removed, *wire.Mishap) {
	removed := &Removed{}
	return removed, client.Ask(http.MethodDelete, fmt.Sprintf("/v1/cores/%d", id), nil, removed)
}
