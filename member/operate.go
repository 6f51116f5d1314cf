package member

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"orchidjunction/conf"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

const changeBytes = 16 << 20

// Operate is the operators' door that every daemon opens.
type Operate struct {
	hold     *Hold
	counters *metrics.Counters
	name     string
	local    func() (uint64, []byte)
	ready    func() bool
	mux      *http.ServeMux
}

func NewOperate(name string, hold *Hold, counters *metrics.Counters, local func() (uint64, []byte), ready func() bool) *Operate {
	operate := &Operate{hold: hold, counters: counters, name: name, local: local, ready: ready, mux: http.NewServeMux()}
	operate.mux.HandleFunc("GET /v1/settings", operate.read)
	operate.mux.HandleFunc("PUT /v1/settings", func(writer http.ResponseWriter, request *http.Request) { operate.change(writer, request, "whole") })
	operate.mux.HandleFunc("PATCH /v1/settings", func(writer http.ResponseWriter, request *http.Request) { operate.change(writer, request, "partial") })
	operate.mux.HandleFunc("POST /v1/check", operate.check)
	operate.mux.HandleFunc("GET /v1/changes", operate.trail)
	operate.mux.HandleFunc("GET /v1/status", operate.status)
	operate.mux.HandleFunc("GET /v1/cores", operate.cores)
	operate.mux.HandleFunc("DELETE /v1/cores/{id}", operate.remove)
	operate.mux.HandleFunc("GET /v1/counts", func(writer http.ResponseWriter, _ *http.Request) { Answer(writer, http.StatusOK, counters.All()) })
	operate.mux.HandleFunc("GET /v1/health", operate.health)
	operate.mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		Refuse(writer, rpc.Errorf(rpc.NotFound, "%s %s", request.Method, request.URL.Path))
	})
	return operate
}

func (operate *Operate) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	operate.mux.ServeHTTP(writer, request)
}

// Answer writes one JSON document.
func Answer(writer http.ResponseWriter, status int, document any) {
	body, err := json.Marshal(document)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte(`{"code":"bad_message"}`)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	writer.WriteHeader(status)
	writer.Write(append(body, '\n'))
}

// Refuse writes a mishap and, where it has one, the time to come back.
func Refuse(writer http.ResponseWriter, err error) {
	refusal := rpc.AsError(err)
	refuse(writer, refusal, refusal)
}

// refuse writes a document with the status and the time to come back of a refusal.
func refuse(writer http.ResponseWriter, refusal *rpc.Error, document any) {
	if refusal.RetryAfterMs > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa((refusal.RetryAfterMs+999)/1000))
	}
	Answer(writer, refusal.Code.Status(), document)
}

type settingsDocument struct {
	Serial    uint64           `json:"serial"`
	Confirmed bool             `json:"confirmed"`
	Settings  json.RawMessage  `json:"settings"`
	Effective []conf.Effective `json:"effective,omitempty"`
}

// read gives the leader's confirmed settings or, with no leader, what is in force here.
func (operate *Operate) read(writer http.ResponseWriter, request *http.Request) {
	document := settingsDocument{Confirmed: true}
	var body []byte
	serial, held := operate.local()
	response, err := Send[message.ReadRequest, message.ReadResponse](operate.hold, "read", &message.ReadRequest{HeldSerial: serial})
	switch {
	case err != nil:
		operate.counters.Add("reads_unconfirmed", 1)
		document.Confirmed = false
		document.Serial, body = serial, held
	case response.Serial == serial:
		document.Serial, body = serial, held
	default:
		document.Serial, body = response.Serial, response.Body
	}
	if len(body) == 0 {
		body = []byte("null")
	}
	document.Settings = body
	if request.URL.Query().Get("effective") != "" && document.Serial > 0 {
		settings, err := conf.Read(body)
		if err != nil {
			Refuse(writer, err)
			return
		}
		document.Effective = settings.Resolve()
	}
	Answer(writer, http.StatusOK, document)
}

type changeDocument struct {
	Base     *uint64         `json:"base"`
	Change   string          `json:"change"`
	Operator string          `json:"operator"`
	Settings json.RawMessage `json:"settings"`
}

type outcomeDocument struct {
	Serial uint64 `json:"serial"`
	Change string `json:"change"`
	Again  bool   `json:"again,omitempty"`
}

type refusalDocument struct {
	rpc.Error
	Change string `json:"change,omitempty"`
}

func (operate *Operate) change(writer http.ResponseWriter, request *http.Request, kind string) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, changeBytes))
	if err != nil {
		Refuse(writer, rpc.Errorf(rpc.TooLarge, "at most %d bytes: %v", changeBytes, err))
		return
	}
	document := changeDocument{}
	if err := json.Unmarshal(body, &document); err != nil {
		Refuse(writer, rpc.Errorf(rpc.BadRequest, "%v", err))
		return
	}
	if document.Base == nil || len(document.Settings) == 0 || len(document.Change) > 128 {
		Refuse(writer, rpc.Errorf(rpc.BadRequest, "base and settings must be given; change has at most 128 letters"))
		return
	}
	if document.Change == "" {
		document.Change = NewID()
	}
	change := &message.ChangeRequest{ID: document.Change, Base: *document.Base, Kind: kind, Body: document.Settings, Operator: document.Operator}
	response, err := Send[message.ChangeRequest, message.ChangeResponse](operate.hold, "change", change)
	if err != nil {
		operate.counters.Add("operator_refused_"+string(rpc.CodeOf(err)), 1)
		refusal := rpc.AsError(err)
		refuse(writer, refusal, refusalDocument{Error: *refusal, Change: document.Change})
		return
	}
	operate.counters.Add("operator_changes", 1)
	Answer(writer, http.StatusOK, outcomeDocument{Serial: response.Serial, Change: document.Change, Again: response.Duplicate})
}

func (operate *Operate) check(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, changeBytes))
	if err != nil {
		Refuse(writer, rpc.Errorf(rpc.TooLarge, "at most %d bytes", changeBytes))
		return
	}
	if _, err := conf.Read(body); err != nil {
		Refuse(writer, err)
		return
	}
	Answer(writer, http.StatusOK, map[string]string{"code": "valid"})
}

func (operate *Operate) trail(writer http.ResponseWriter, _ *http.Request) {
	response, err := Send[message.ReadRequest, message.ReadResponse](operate.hold, "read", &message.ReadRequest{History: true})
	if err != nil {
		Refuse(writer, err)
		return
	}
	if response.History == nil {
		response.History = []message.HistoryEntry{}
	}
	Answer(writer, http.StatusOK, map[string]any{"serial": response.Serial, "changes": response.History})
}

func (operate *Operate) status(writer http.ResponseWriter, _ *http.Request) {
	response, err := Send[message.StatusRequest, message.StatusResponse](operate.hold, "status", &message.StatusRequest{})
	if err != nil {
		Refuse(writer, err)
		return
	}
	Answer(writer, http.StatusOK, response)
}

// cores tells who votes, who is about to and who waits.
func (operate *Operate) cores(writer http.ResponseWriter, _ *http.Request) {
	response, err := Send[message.StatusRequest, message.StatusResponse](operate.hold, "status", &message.StatusRequest{})
	if err != nil {
		Refuse(writer, err)
		return
	}
	Answer(writer, http.StatusOK, response.Membership)
}

type removalDocument struct {
	Version uint64 `json:"version"`
	Again   bool   `json:"again,omitempty"`
}

// remove gives a core's vote to a learner; the same order again is acknowledged.
func (operate *Operate) remove(writer http.ResponseWriter, request *http.Request) {
	id, err := strconv.Atoi(request.PathValue("id"))
	if err != nil || id < 1 || id > message.MaxPeerID {
		Refuse(writer, rpc.Errorf(rpc.BadRequest, "%q is no core's ID: want 1 to %d", request.PathValue("id"), message.MaxPeerID))
		return
	}
	response, err := Send[message.RemoveVoterRequest, message.RemoveVoterResponse](operate.hold, "removal", &message.RemoveVoterRequest{Core: id})
	if err != nil {
		Refuse(writer, err)
		return
	}
	operate.counters.Add("operator_removals", 1)
	Answer(writer, http.StatusOK, removalDocument{Version: response.Version, Again: response.Duplicate})
}

func (operate *Operate) health(writer http.ResponseWriter, _ *http.Request) {
	serial, _ := operate.local()
	status := http.StatusOK
	if !operate.ready() {
		status = http.StatusServiceUnavailable
	}
	Answer(writer, status, map[string]any{"name": operate.name, "ready": operate.ready(), "serial": serial})
}

// NewID is a random name nobody else uses.
func NewID() string {
	raw := make([]byte, 12)
	rand.Read(raw)
	return hex.EncodeToString(raw)
}
