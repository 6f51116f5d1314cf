package agent

import (
	"encoding/json"
	"io"
	"net/http"

	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

const maxRolloutBytes = 64 << 10

// RolloutPath is the URL path of the RolloutAPI.
const RolloutPath = "/v1/rollouts"

// RolloutAPI is the HTTP API for rollouts: POST starts one, GET returns the newest of a service
// with its counts, and DELETE aborts it.
type RolloutAPI struct {
	forwarder *Forwarder
	counters  *metrics.Counters
	mux       *http.ServeMux
}

// NewRolloutAPI returns a RolloutAPI that sends orders to the leader through forwarder.
func NewRolloutAPI(forwarder *Forwarder, counters *metrics.Counters) *RolloutAPI {
	api := &RolloutAPI{forwarder: forwarder, counters: counters, mux: http.NewServeMux()}
	api.mux.HandleFunc("POST "+RolloutPath, api.start)
	api.mux.HandleFunc("GET "+RolloutPath+"/{service}", api.read)
	api.mux.HandleFunc("DELETE "+RolloutPath+"/{service}", api.abort)
	api.mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		WriteError(writer, rpc.Errorf(rpc.NotFound, "%s %s", request.Method, request.URL.Path))
	})
	return api
}

func (api *RolloutAPI) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	api.mux.ServeHTTP(writer, request)
}

// RolloutRequest orders a rollout that must complete within TermMs milliseconds.
type RolloutRequest struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	TermMs  int64  `json:"term_ms"`
}

// RolloutReceipt confirms an order. Duplicate is true if the order had already been accepted.
type RolloutReceipt struct {
	ID        uint64 `json:"id"`
	Duplicate bool   `json:"again,omitempty"`
}

// RolloutStatus is the state of a rollout and the total counts of all proxies.
type RolloutStatus struct {
	ID             uint64  `json:"id"`
	Service        string  `json:"service"`
	Target         string  `json:"target"`
	Phase          string  `json:"phase"`
	Step           int     `json:"step"`
	Share          float64 `json:"share"`
	Requests       uint64  `json:"requests"`
	Items          uint64  `json:"items"`
	Exceedances    uint64  `json:"exceedances"`
	Failures       uint64  `json:"failures"`
	FormerRequests uint64  `json:"former_requests"`
	FormerFailures uint64  `json:"former_failures"`
	FormerInFlight int     `json:"former_in_flight"`
}

func (api *RolloutAPI) start(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxRolloutBytes))
	if err != nil {
		WriteError(writer, rpc.Errorf(rpc.TooLarge, "request body exceeds the limit of %d bytes", maxRolloutBytes))
		return
	}
	document := RolloutRequest{}
	if err := json.Unmarshal(body, &document); err != nil {
		WriteError(writer, rpc.Errorf(rpc.BadRequest, "%v", err))
		return
	}
	api.order(writer, request, message.RolloutOrder{Service: document.Service, Target: document.Target, TermMs: document.TermMs})
}

func (api *RolloutAPI) abort(writer http.ResponseWriter, request *http.Request) {
	api.order(writer, request, message.RolloutOrder{Service: request.PathValue("service"), Abort: true})
}

func (api *RolloutAPI) order(writer http.ResponseWriter, request *http.Request, order message.RolloutOrder) {
	if err := order.Check(); err != nil {
		WriteError(writer, err)
		return
	}
	response, err := OrderRollout(request.Context(), api.forwarder, order)
	if err != nil {
		api.counters.Add("operator_refused_"+string(rpc.CodeOf(err)), 1)
		WriteError(writer, err)
		return
	}
	api.counters.Add("operator_rollouts", 1)
	WriteJSON(writer, http.StatusOK, RolloutReceipt{ID: response.ID, Duplicate: response.Duplicate})
}

func (api *RolloutAPI) read(writer http.ResponseWriter, request *http.Request) {
	response, err := ReadRollout(api.forwarder, request.PathValue("service"))
	if err != nil {
		WriteError(writer, err)
		return
	}
	rollout, counts := &response.Rollout, &response.Counts
	WriteJSON(writer, http.StatusOK, RolloutStatus{
		ID:             rollout.ID,
		Service:        rollout.Service,
		Target:         rollout.Target,
		Phase:          rollout.Phase.String(),
		Step:           rollout.Step,
		Share:          rollout.Share,
		Requests:       counts.Requests,
		Items:          counts.Items,
		Exceedances:    counts.Exceedances,
		Failures:       counts.Failures,
		FormerRequests: counts.FormerRequests,
		FormerFailures: counts.FormerFailures,
		FormerInFlight: counts.FormerInFlight,
	})
}
