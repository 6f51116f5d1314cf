package soak

import (
	"bytes"
	"hash/fnv"
	"net/http"
	"time"

	"orchidjunction/harness/standin"
)

// responsePlan is how a backend delimits the body of a response, and how it ends the response.
type responsePlan struct {
	percent uint32 // of the responses
	framing standin.Framing
	ending  standin.Ending
}

// responsePlans are the plans of all responses; their percentages add up to 100.
var responsePlans = []responsePlan{
	{percent: 40, framing: standin.FramedByLength},
	{percent: 20, framing: standin.FramedByChunks},
	{percent: 20, framing: standin.FramedByClose},
	{percent: 19, framing: standin.FramedByAnnouncedClose},
	{percent: 1, framing: standin.FramedByClose, ending: standin.EndsWithReset},
}

// planResponse draws the plan of a response from the ID of its request.
func planResponse(id string) responsePlan {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	draw := hash.Sum32() % 100
	for _, plan := range responsePlans {
		if draw < plan.percent {
			return plan
		}
		draw -= plan.percent
	}
	return responsePlans[0]
}

// breaksOff reports whether the backend doesn't complete the response.
func (plan responsePlan) breaksOff() bool { return plan.ending == standin.EndsWithReset }

// writeResponse sends a successful response. Its second half follows after a pause, in which the
// request is still running.
func (plan responsePlan) writeResponse(writer http.ResponseWriter, body string, pause time.Duration) {
	if !plan.framing.EndsWithConnection() {
		writeInHalves(writer, body, pause, plan.framing == standin.FramedByChunks)
		return
	}
	fields := bytes.Buffer{}
	_ = writer.Header().Write(&fields) // a buffer never fails
	response := standin.FramedResponse{Framing: plan.framing, Ending: plan.ending, Fields: fields.String(), Body: body}
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // the proxy has closed the connection
	}
	defer conn.Close()
	if response.Begin(conn) != nil {
		return // as above
	}
	time.Sleep(pause)
	_, _ = response.End(conn) // as above
}

// writeInHalves sends a response in chunks if flushed after the first half, else with a length.
func writeInHalves(writer http.ResponseWriter, body string, pause time.Duration, flushed bool) {
	half := len(body) / 2
	writer.Write([]byte(body[:half]))
	if flushed {
		_ = http.NewResponseController(writer).Flush() // fails if the proxy has closed the connection
	}
	time.Sleep(pause)
	writer.Write([]byte(body[half:]))
}
