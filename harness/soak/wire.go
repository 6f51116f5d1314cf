package soak

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
	"time"

	"orchidjunction/platform"
)

// wireFiles are the platform's messages and settings: the soak itself knows none of their names.
//
//go:embed wire
var wireFiles embed.FS

// headers are the platform's names of the fields of requests and answers.
var headers = platform.RequestHeaders()

// wire renders what the stand-ins send.
type wire struct {
	names struct {
		SettingsVariable string // the environment variable that names the settings file
		ReadyPath        string // where a proxy says whether it is ready
	}
	templates *template.Template
}

func newWire() (*wire, error) {
	wire := &wire{}
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

func (wire *wire) render(name string, values any) ([]byte, error) {
	text := &bytes.Buffer{}
	err := wire.templates.ExecuteTemplate(text, name, values)
	return text.Bytes(), err
}

// zone is a zone and its region.
type zone struct{ Name, Region string }

// settings are what the settings file of one machine holds.
type settings struct {
	Name, Role, Address                string
	Zone                               zone
	Zones                              []zone
	FirstPort, LastPort                int
	Seeds                              []string
	First, IsCore                      bool
	Folder                             string
	Operators, Clients, Ready, Lookups string
	Provider                           string
	Bounds                             Bounds
}

// configuration is one version of the routing: only the service of one route and the limits
// of clients' connections change.
type configuration struct {
	Version, Base int
	MovedTo       string
	Limits        limits
}

// rolloutOrder is an order to shift a service to a version.
type rolloutOrder struct {
	Service, Target string
	Over            time.Duration
}
