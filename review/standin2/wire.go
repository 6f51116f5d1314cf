package main

import (
	"embed"
	"encoding/json"
	"strings"
	"text/template"
)

// wireFiles hold the names and messages of the users' pages.
//
//go:embed wire
var wireFiles embed.FS

// wireNames are the names that the users' pages give to headers, paths and variables.
type wireNames struct {
	SettingsVariable string `json:"settings_variable"`
	ReadyPath        string `json:"ready_path"`
	Attempt          string `json:"attempt"`
	Deadline         string `json:"deadline"`
	Seal             string `json:"seal"`
	Target           string `json:"target"`
	Tenant           string `json:"tenant"`
	Backend          string `json:"backend"`
	NotExecuted      string `json:"not_executed"`
}

var names = readNames()

func readNames() wireNames {
	known := wireNames{}
	if err := json.Unmarshal([]byte(readWire("names.json")), &known); err != nil {
		panic(err) // the file is part of this program
	}
	return known
}

func readWire(name string) string {
	body, err := wireFiles.ReadFile("wire/" + name)
	if err != nil {
		panic(err) // the file is part of this program
	}
	return string(body)
}

// render fills in a template of the wire folder.
func render(name string, values any) string {
	text := &strings.Builder{}
	if err := template.Must(template.New(name).Parse(readWire(name))).Execute(text, values); err != nil {
		panic(err) // the templates are part of this program
	}
	return text.String()
}

// config returns the configuration of the deployment: a route that may be repeated and one that may not.
func config() string { return readWire("config.json") }
