package agent

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"orchidjunction/config"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

const maxChangeBytes = 16 << 20

// OperatorAPI is the HTTP API that every daemon serves to operators.
type OperatorAPI struct {
	forwarder     *Forwarder
	counters      *metrics.Counters
	name          string
	localSettings func() (uint64, []byte)
	ready         func() bool
	mux           *http.ServeMux
}

// NewOperatorAPI returns the API of the named daemon. localSettings returns the serial and body of
// the settings that the daemon has applied; ready reports whether the daemon may serve.
func NewOperatorAPI(
	name string,
	forwarder *Forwarder,
	counters *metrics.Counters,
	localSettings func() (uint64, []byte),
	ready func() bool,
) *OperatorAPI {
	api := &OperatorAPI{
		forwarder:     forwarder,
		counters:      counters,
		name:          name,
		localSettings: localSettings,
		ready:         ready,
		mux:           http.NewServeMux(),
	}
	api.mux.HandleFunc("GET /v1/settings", api.read)
	api.mux.HandleFunc("PUT /v1/settings", func(writer http.ResponseWriter, request *http.Request) { api.change(writer, request, "whole") })
	api.mux.HandleFunc(
		"PATCH /v1/settings",
		func(writer http.ResponseWriter, request *http.Request) { api.change(writer, request, "partial") },
	)
	api.mux.HandleFunc("POST /v1/check", api.check)
	api.mux.HandleFunc("GET /v1/changes", api.history)
	api.mux.HandleFunc("GET /v1/status", api.status)
	api.mux.HandleFunc("GET /v1/cores", api.cores)
	api.mux.HandleFunc("DELETE /v1/cores/{id}", api.remove)
	api.mux.HandleFunc(
		"GET /v1/counts",
		func(writer http.ResponseWriter, _ *http.Request) { WriteJSON(writer, http.StatusOK, counters.All()) },
	)
	api.mux.Handle("GET /metrics", counters)
	api.mux.HandleFunc("GET /v1/health", api.health)
	api.mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		WriteError(writer, rpc.Errorf(rpc.NotFound, "%s %s", request.Method, request.URL.Path))
	})
	return api
}

func (api *OperatorAPI) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	api.mux.ServeHTTP(writer, request)
}

// WriteJSON responds with document encoded as JSON.
func WriteJSON(writer http.ResponseWriter, status int, document any) {
	body, err := json.Marshal(document)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte(`{"code":"bad_message"}`)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	writer.WriteHeader(status)
	writer.Write(append(body, '\n'))
}

// WriteError responds with err as JSON, and with Retry-After if err has a retry delay.
func WriteError(writer http.ResponseWriter, err error) {
	failure := rpc.AsError(err)
	writeErrorDocument(writer, failure, failure)
}

// writeErrorDocument responds with document, using the HTTP status and retry delay of failure.
func writeErrorDocument(writer http.ResponseWriter, failure *rpc.Error, document any) {
	if failure.RetryAfterMs > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa((failure.RetryAfterMs+999)/1000))
	}
	WriteJSON(writer, failure.Code.Status(), document)
}

type settingsDocument struct {
	Serial    uint64             `json:"serial"`
	Confirmed bool               `json:"confirmed"`
	Settings  json.RawMessage    `json:"settings"`
	Effective []config.Effective `json:"effective,omitempty"`
}

// read returns the leader's confirmed settings or, without a leader, the settings applied
// on this daemon, marked as unconfirmed.
func (api *OperatorAPI) read(writer http.ResponseWriter, request *http.Request) {
	document := settingsDocument{Confirmed: true}
	var body []byte
	serial, localBody := api.localSettings()
	response, err := Forward(api.forwarder, message.MethodRead, &message.ReadRequest{HeldSerial: serial})
	switch {
	case err != nil:
		api.counters.Add("reads_unconfirmed", 1)
		document.Confirmed = false
		document.Serial, body = serial, localBody
	case response.Serial == serial:
		document.Serial, body = serial, localBody
	default:
		document.Serial, body = response.Serial, response.Body
	}
	if len(body) == 0 {
		body = []byte("null")
	}
	document.Settings = body
	if request.URL.Query().Get("effective") != "" && document.Serial > 0 {
		settings, err := config.Read(body)
		if err != nil {
			WriteError(writer, err)
			return
		}
		document.Effective = settings.Resolve()
	}
	WriteJSON(writer, http.StatusOK, document)
}

type changeDocument struct {
	Base     *uint64         `json:"base"`
	Change   string          `json:"change"`
	Operator string          `json:"operator"`
	Settings json.RawMessage `json:"settings"`
}

type outcomeDocument struct {
	Serial    uint64 `json:"serial"`
	Change    string `json:"change"`
	Duplicate bool   `json:"again,omitempty"`
}

type errorDocument struct {
	rpc.Error
	Change string `json:"change,omitempty"`
}

func (api *OperatorAPI) change(writer http.ResponseWriter, request *http.Request, kind string) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxChangeBytes))
	if err != nil {
		WriteError(writer, rpc.Errorf(rpc.TooLarge, "reading settings, limit %d bytes: %v", maxChangeBytes, err))
		return
	}
	document := changeDocument{}
	if err := json.Unmarshal(body, &document); err != nil {
		WriteError(writer, rpc.Errorf(rpc.BadRequest, "%v", err))
		return
	}
	if document.Base == nil || len(document.Settings) == 0 || len(document.Change) > 128 {
		WriteError(writer, rpc.Errorf(rpc.BadRequest, "base and settings are required; change must be at most 128 bytes"))
		return
	}
	if document.Change == "" {
		document.Change = NewID()
	}
	change := &message.ChangeRequest{
		ID:       document.Change,
		Base:     *document.Base,
		Kind:     kind,
		Body:     document.Settings,
		Operator: document.Operator,
	}
	response, err := Forward(api.forwarder, message.MethodChange, change)
	if err != nil {
		api.counters.Add("operator_refused_"+string(rpc.CodeOf(err)), 1)
		failure := rpc.AsError(err)
		writeErrorDocument(writer, failure, errorDocument{Error: *failure, Change: document.Change})
		return
	}
	api.counters.Add("operator_changes", 1)
	WriteJSON(writer, http.StatusOK, outcomeDocument{Serial: response.Serial, Change: document.Change, Duplicate: response.Duplicate})
}

func (api *OperatorAPI) check(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxChangeBytes))
	if err != nil {
		WriteError(writer, rpc.Errorf(rpc.TooLarge, "settings exceed the limit of %d bytes", maxChangeBytes))
		return
	}
	if _, err := config.Read(body); err != nil {
		WriteError(writer, err)
		return
	}
	WriteJSON(writer, http.StatusOK, map[string]string{"code": "valid"})
}

func (api *OperatorAPI) history(writer http.ResponseWriter, _ *http.Request) {
	response, err := Forward(api.forwarder, message.MethodRead, &message.ReadRequest{History: true})
	if err != nil {
		WriteError(writer, err)
		return
	}
	if response.History == nil {
		response.History = []message.HistoryEntry{}
	}
	WriteJSON(writer, http.StatusOK, map[string]any{"serial": response.Serial, "changes": response.History})
}

func (api *OperatorAPI) status(writer http.ResponseWriter, _ *http.Request) {
	response, err := Forward(api.forwarder, message.MethodStatus, &message.StatusRequest{})
	if err != nil {
		WriteError(writer, err)
		return
	}
	WriteJSON(writer, http.StatusOK, response)
}

// cores lists the voters, the voters of a pending replacement and the learners.
func (api *OperatorAPI) cores(writer http.ResponseWriter, _ *http.Request) {
	response, err := Forward(api.forwarder, message.MethodStatus, &message.StatusRequest{})
	if err != nil {
		WriteError(writer, err)
		return
	}
	WriteJSON(writer, http.StatusOK, response.Membership)
}

type removalDocument struct {
	Version   uint64 `json:"version"`
	Duplicate bool   `json:"again,omitempty"`
}

// remove replaces a voter by a learner. It is safe to repeat.
func (api *OperatorAPI) remove(writer http.ResponseWriter, request *http.Request) {
	id, err := strconv.Atoi(request.PathValue("id"))
	if err != nil || id < 1 || id > message.MaxPeerID {
		WriteError(writer, rpc.Errorf(rpc.BadRequest, "invalid core ID %q: want 1 to %d", request.PathValue("id"), message.MaxPeerID))
		return
	}
	response, err := Forward(api.forwarder, message.MethodRemoveVoter, &message.RemoveVoterRequest{Core: id})
	if err != nil {
		WriteError(writer, err)
		return
	}
	api.counters.Add("operator_removals", 1)
	WriteJSON(writer, http.StatusOK, removalDocument{Version: response.Version, Duplicate: response.Duplicate})
}

func (api *OperatorAPI) health(writer http.ResponseWriter, _ *http.Request) {
	serial, _ := api.localSettings()
	status := http.StatusOK
	if !api.ready() {
		status = http.StatusServiceUnavailable
	}
	WriteJSON(writer, status, map[string]any{"name": api.name, "ready": api.ready(), "serial": serial})
}

// NewID returns a random ID of 96 bits in hexadecimal.
func NewID() string {
	random := make([]byte, 12)
	rand.Read(random)
	return hex.EncodeToString(random)
}
