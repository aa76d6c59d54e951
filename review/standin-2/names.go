package main

import (
	_ "embed"
	"encoding/json"
	"text/template"
)

//go:embed settings.tmpl
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

//go:embed names.json
var namesText []byte

// names are the platform's names that the stand-ins speak.
var names = func() (n struct {
	Catalog   string `json:"catalog"`
	Ready     string `json:"ready"`
	Order     string `json:"order"`
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Deadline  string `json:"deadline"`
}) {
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}()

// settingsValues are what the settings template is filled with.
type settingsValues struct {
	Name, IP, Zone        string
	Port                  uint16
	Seeds                 []string
	HeartbeatMS           int64
	App, Service          string
	Front, Ready, Control string
	MemoryMB, GraceS      int
	DrainMS               int64
	Store                 string
}
