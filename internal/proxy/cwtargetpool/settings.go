package cwtargetpool

import (
	"crypto/sha256"
	"maps"
	"slices"

	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Settings are the settings of a caller's session, by name. The value is immutable; the zero value
// has no settings.
type Settings struct {
	values map[string]string
	// names has the digest of each name, and digests those of the values by those of their names.
	names   map[string]textDigest
	digests map[textDigest]textDigest
}

// textDigest identifies a text. A connection keeps the digests of the settings of its session in
// place of their texts, so that it does not hold those of a caller that has left.
type textDigest [sha256.Size]byte

func digestOf(text string) textDigest { return sha256.Sum256([]byte(text)) }

// NewSettings returns settings with the values, which must not be changed later.
func NewSettings(values map[string]string) Settings {
	if len(values) == 0 {
		return Settings{}
	}
	s := Settings{values: values, names: make(map[string]textDigest, len(values)), digests: make(map[textDigest]textDigest, len(values))}
	for name, value := range values {
		s.record(name, value)
	}
	return s
}

func (s Settings) record(name, value string) {
	d := digestOf(name)
	s.names[name], s.digests[d] = d, digestOf(value)
}

// With returns the settings with another value of one of them.
func (s Settings) With(name, value string) Settings {
	out := Settings{values: maps.Clone(s.values), names: maps.Clone(s.names), digests: maps.Clone(s.digests)}
	if out.values == nil {
		out = Settings{values: make(map[string]string, 1), names: make(map[string]textDigest, 1), digests: make(map[textDigest]textDigest, 1)}
	}
	out.values[name] = value
	out.record(name, value)
	return out
}

// Values returns the values by name, which must not be changed; nil if there are none.
func (s Settings) Values() map[string]string { return s.values }

// Value returns the value of a setting, and false if there is none.
func (s Settings) Value(name string) (string, bool) {
	v, ok := s.values[name]
	return v, ok
}

// Len returns the number of settings.
func (s Settings) Len() int { return len(s.values) }

// lacksAny reports whether a connection has a setting that s does not have.
func (s Settings) lacksAny(onConn map[textDigest]textDigest) bool {
	for name := range onConn {
		if _, ok := s.digests[name]; !ok {
			return true
		}
	}
	return false
}

// changes returns the commands that set what a connection has otherwise, and records them in onConn.
func (s Settings) changes(onConn map[textDigest]textDigest) []cwstatement.Command {
	var out []cwstatement.Command
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		d := s.names[name]
		if onConn[d] == s.digests[d] {
			continue
		}
		onConn[d] = s.digests[d]
		out = append(out, cwstatement.Command{Verb: cwstatement.Set, Name: name, Args: s.values[name]})
	}
	return out
}
