package soak

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// provider is the stand-in of the platform: it serves the backend list and accepts usage
// reports.
type provider struct {
	wire *wireFormat

	mutex    sync.Mutex
	address  string
	server   *http.Server
	backends []*backend
}

func newProvider(wire *wireFormat) (*provider, error) {
	provider := &provider{wire: wire}
	_, err := provider.listen()
	return provider, err
}

// listen serves at a new address and returns the server at the former one, if any.
func (provider *provider) listen() (*http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /backends", provider.serveList)
	mux.HandleFunc("POST /usage", func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	provider.mutex.Lock()
	defer provider.mutex.Unlock()
	former := provider.server
	provider.address, provider.server = listener.Addr().String(), server
	return former, nil
}

func (provider *provider) currentAddress() string {
	provider.mutex.Lock()
	defer provider.mutex.Unlock()
	return provider.address
}

func (provider *provider) close() {
	provider.mutex.Lock()
	defer provider.mutex.Unlock()
	_ = provider.server.Close() // no process is left to use it
}

func (provider *provider) backendsWhere(matches func(*backend) bool) []*backend {
	provider.mutex.Lock()
	defer provider.mutex.Unlock()
	selected := []*backend{}
	for _, backend := range provider.backends {
		if matches(backend) {
			selected = append(selected, backend)
		}
	}
	return selected
}

func (provider *provider) add(backends ...*backend) {
	provider.mutex.Lock()
	provider.backends = append(provider.backends, backends...)
	provider.mutex.Unlock()
}

func (provider *provider) remove(removed *backend) {
	provider.mutex.Lock()
	provider.backends = slices.DeleteFunc(slices.Clone(provider.backends), func(backend *backend) bool { return backend == removed })
	provider.mutex.Unlock()
}

// serveList answers with the backends of the zone in the query, or of all zones, on one page.
func (provider *provider) serveList(writer http.ResponseWriter, request *http.Request) {
	zone := request.URL.Query().Get("zone")
	entries := provider.backendsWhere(func(backend *backend) bool { return zone == "" || backend.Zone == zone })
	body, err := provider.wire.render("backends.json.tmpl", entries)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}
