package main

import (
	_ "embed"
	"encoding/json"
)

// namesText has the names of the users' platform. They stand in a file of their own, since no Go
// file outside of the adapter may have them.
//
//go:embed names.json
var namesText []byte

// names are the platform's names by what they stand for.
var names = readNames()

func readNames() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(err)
	}
	return m
}
