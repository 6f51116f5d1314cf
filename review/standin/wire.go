package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"

	"orchidjunction/platform"
)

// wireFiles are what the users' pages say on the wire and in the settings, in their words: the
// program itself knows none of these.
//
//go:embed wire
var wireFiles embed.FS

// wireNames are the names that stand alone on the pages.
type wireNames struct {
	SettingsVariable string // the environment variable that names the settings file
	ReadyPath        string // where the platform asks whether a machine is ready
}

// wire is how the stand-ins speak.
type wire struct {
	names         wireNames
	configuration string // the first one, small, with the limits that the pages show
	templates     *template.Template
}

// headers are the pages' names of the fields of requests and answers.
var headers = platform.RequestHeaders()

func newWire() (*wire, error) {
	names, err := wireFiles.ReadFile("wire/names.json")
	if err != nil {
		return nil, err
	}
	configuration, err := wireFiles.ReadFile("wire/configuration.json")
	if err != nil {
		return nil, err
	}
	templates, err := template.ParseFS(wireFiles, "wire/*.tmpl")
	if err != nil {
		return nil, err
	}
	wire := &wire{configuration: string(configuration), templates: templates}
	return wire, json.Unmarshal(names, &wire.names)
}

// settings is the settings file of a machine.
func (wire *wire) settings(values *settingsValues) ([]byte, error) {
	return wire.fill("settings.toml.tmpl", values)
}

// list is the platform's list of backends, on one page.
func (wire *wire) list(backends []*backend) ([]byte, error) {
	return wire.fill("backends.json.tmpl", backends)
}

func (wire *wire) fill(name string, values any) ([]byte, error) {
	text := &bytes.Buffer{}
	err := wire.templates.ExecuteTemplate(text, name, values)
	return text.Bytes(), err
}

// settingsValues are what differs between the settings files of a deployment.
type settingsValues struct {
	Name, Role, Address, Zone, Region  string
	FirstPort, LastPort, MemoryMB      int
	Seeds                              []string
	First, IsCore                      bool
	Folder                             string
	Zones                              []zoneValues
	Operators, Clients, Ready, Lookups string
	Provider                           string
}

// zoneValues is a zone and its region.
type zoneValues struct{ Name, Region string }
