package soak

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// provider is the stand-in of the platform: its list of backends, and usage reports, which
// it accepts.
type provider struct {
	address string
	server  *http.Server
	wire    *wire

	mutex    sync.Mutex
	backends []*backend
}

func newProvider(wire *wire) (*provider, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	provider := &provider{wire: wire, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /backends", provider.list)
	mux.HandleFunc("POST /usage", func(http.ResponseWriter, *http.Request) {})
	provider.server = &http.Server{Handler: mux, ReadHeaderTimeout: headTimeout}
	go func() { _ = provider.server.Serve(listener) }() // ends when the server is closed
	return provider, nil
}

// listed returns the backends that a filter takes.
func (provider *provider) listed(takes func(*backend) bool) []*backend {
	provider.mutex.Lock()
	defer provider.mutex.Unlock()
	taken := []*backend{}
	for _, backend := range provider.backends {
		if takes(backend) {
			taken = append(taken, backend)
		}
	}
	return taken
}

func (provider *provider) add(backends ...*backend) {
	provider.mutex.Lock()
	provider.backends = append(provider.backends, backends...)
	provider.mutex.Unlock()
}

func (provider *provider) remove(gone *backend) {
	provider.mutex.Lock()
	provider.backends = slices.DeleteFunc(slices.Clone(provider.backends), func(backend *backend) bool { return backend == gone })
	provider.mutex.Unlock()
}

// list answers one page with the backends of the zone that the query names, or of all.
func (provider *provider) list(writer http.ResponseWriter, request *http.Request) {
	zone := request.URL.Query().Get("zone")
	entries := provider.listed(func(backend *backend) bool { return zone == "" || backend.Zone == zone })
	body, err := provider.wire.render("backends.json.tmpl", entries)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}
