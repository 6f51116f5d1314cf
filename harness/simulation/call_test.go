package simulation

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// ask makes one call and gives its status and, of a refusal, the code.
func (world *World) ask(client *http.Client, method, url, key, header, value, body string) (int, string) {
	request, fault := http.NewRequest(method, url, strings.NewReader(body))
	if fault != nil {
		return 0, fault.Error()
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if header != "" {
		request.Header.Set(header, value)
	}
	response, fault := client.Do(request)
	if fault != nil {
		return 0, fault.Error()
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	mishap := struct {
		Code string `json:"code"`
	}{}
	_ = json.Unmarshal(answer, &mishap) // an answer that is no refusal has no code
	return response.StatusCode, mishap.Code
}
