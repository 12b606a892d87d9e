package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"text/template"
)

// files has the words and documents of the platform. They stand in files of their own,
// since Go files outside the platform's adapter do not contain them.
//
//go:embed names.json *.tmpl
var files embed.FS

// names are the words of the platform that the stand-ins use.
var names = loadNames()

// platformNames are words of the platform's protocols.
type platformNames struct {
	// SettingsVariable is the environment variable with the path of a settings file.
	SettingsVariable string `json:"settingsVariable"`
	// RangePath, FeedPath and CommitPath are calls of the store, PromotionPath is the
	// call that names a new primary, and ReadinessPath the probe of a proxy.
	RangePath     string `json:"rangePath"`
	FeedPath      string `json:"feedPath"`
	CommitPath    string `json:"commitPath"`
	PromotionPath string `json:"promotionPath"`
	ReadinessPath string `json:"readinessPath"`
	// The codes are those with which a database refuses a statement or a connection.
	BehindCode      string `json:"behindCode"`
	NotPrimaryCode  string `json:"notPrimaryCode"`
	WrongTargetCode string `json:"wrongTargetCode"`
	TooManyCode     string `json:"tooManyCode"`
	NotPreparedCode string `json:"notPreparedCode"`
}

func loadNames() platformNames {
	var n platformNames
	b, err := files.ReadFile("names.json")
	if err == nil {
		err = json.Unmarshal(b, &n)
	}
	if err != nil {
		panic(fmt.Sprintf("names.json: %v", err))
	}
	return n
}

var documents = template.Must(template.ParseFS(files, "*.tmpl"))

// document returns the document of a template, filled in from data.
func document(name string, data any) []byte {
	var b bytes.Buffer
	if err := documents.ExecuteTemplate(&b, name, data); err != nil {
		panic(fmt.Sprintf("%s: %v", name, err))
	}
	return b.Bytes()
}
