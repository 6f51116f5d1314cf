package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// provider is the stand-in of the platform: its list of backends, and the usage reports it takes.
type provider struct {
	address string
	server  *http.Server

	wire *wire

	mutex    sync.Mutex
	backends []*backend
}

func newProvider(wire *wire, address string) (*provider, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	provider := &provider{wire: wire, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /backends", provider.list)
	mux.HandleFunc("POST /usage", func(http.ResponseWriter, *http.Request) {}) // each report is accepted
	provider.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = provider.server.Serve(listener) }()
	return provider, nil
}

func (provider *provider) list(writer http.ResponseWriter, _ *http.Request) {
	provider.mutex.Lock()
	defer provider.mutex.Unlock()
	body, err := provider.wire.list(provider.backends)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}
