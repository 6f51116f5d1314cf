package soak

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
	"time"

	"orchidjunction/platform"
)

// wireFiles are templates of the platform's messages and settings; the code has none of their
// field names.
//
//go:embed wire
var wireFiles embed.FS

// headers are the platform's header names in requests and responses.
var headers = platform.RequestHeaders()

// wireFormat renders messages to the deployment and its settings files.
type wireFormat struct {
	names struct {
		SettingsVariable string // the environment variable that names the settings file
		ReadyPath        string // of a proxy's readiness check
	}
	templates *template.Template
}

func newWire() (*wireFormat, error) {
	wire := &wireFormat{}
	names, err := wireFiles.ReadFile("wire/names.json")
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(names, &wire.names); err != nil {
		return nil, err
	}
	wire.templates, err = template.ParseFS(wireFiles, "wire/*.tmpl")
	return wire, err
}

func (wire *wireFormat) render(name string, values any) ([]byte, error) {
	text := &bytes.Buffer{}
	err := wire.templates.ExecuteTemplate(text, name, values)
	return text.Bytes(), err
}

type zoneInfo struct{ Name, Region string }

// settings are the values of one machine's settings file.
type settings struct {
	Name, Role, Address                string
	Zone                               zoneInfo
	Zones                              []zoneInfo
	FirstPort, LastPort                int
	Seeds                              []string
	First, IsCore                      bool
	Folder                             string
	Operators, Clients, Ready, Lookups string
	Provider                           string
	Bounds                             Bounds
}

// configuration is one version: only the service of one route and the limits on client
// connections change.
type configuration struct {
	Version, Base int
	MovedTo       string
	Limits        connLimits
}

// rolloutOrder is an order to roll out a version of a service.
type rolloutOrder struct {
	Service, Target string
	Over            time.Duration
}
