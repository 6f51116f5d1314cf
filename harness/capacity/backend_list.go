package capacity

import (
	"encoding/json"
	"net/http"
	"strconv"

	"orchidjunction/message"
)

// listOf serves the backends as the product's own platform does.
func listOf(all []message.Backend) http.Handler {
	pages := [][]byte{}
	for first := 0; first < len(all); first += pageItems {
		next := ""
		if first+pageItems < len(all) {
			next = strconv.Itoa(len(pages) + 1)
		}
		body, _ := json.Marshal(map[string]any{"items": all[first:min(first+pageItems, len(all))], "next": next})
		pages = append(pages, body)
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		number, _ := strconv.Atoi(request.URL.Query().Get("page"))
		if number < len(pages) {
			writer.Write(pages[number])
		}
	})
}
