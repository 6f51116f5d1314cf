package simulation

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// send sends one HTTP request and returns the status and, for a refusal, the error code.
func (world *World) send(client *http.Client, method, url, key, header, value, body string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if header != "" {
		request.Header.Set(header, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	refusal := struct {
		Code string `json:"code"`
	}{}
	_ = json.Unmarshal(content, &refusal) // only refusals have a JSON body with a code
	return response.StatusCode, refusal.Code
}
