// Package cwcataloguejson encodes and decodes the catalogue as JSON.
//
// The format has camelCase names, and durations in milliseconds. It is defined by
// separate types, so that changes of the catalogue's types do not change the format.
// Unknown fields are rejected. Decoding reports all faults of a valid JSON document
// together, each with its line and field.
package cwcataloguejson

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

type documentBody struct {
	Revision    uint64           `json:"revision"`
	DataCentres []dataCentreBody `json:"dataCentres"`
	Links       []linkBody       `json:"links"`
	Entries     []entryBody      `json:"entries"`
	Stops       []stopBody       `json:"stops"`
}

type dataCentreBody struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

type linkBody struct {
	A       string  `json:"a"`
	B       string  `json:"b"`
	DelayMs float64 `json:"delayMs"`
}

type entryBody struct {
	Service  string       `json:"service"`
	Title    string       `json:"title"`
	Owner    string       `json:"owner"`
	Contract contractBody `json:"contract"`
	Groups   []groupBody  `json:"groups"`
}

type contractBody struct {
	Class                string  `json:"class"`
	Connections          int     `json:"connections"`
	Slots                int     `json:"slots"`
	QueueLimit           int     `json:"queueLimit"`
	StatementTimeoutMs   float64 `json:"statementTimeoutMs"`
	AckTimeoutMs         float64 `json:"ackTimeoutMs"`
	ReadWaitMs           float64 `json:"readWaitMs"`
	ChecksTerm           bool    `json:"checksTerm"`
	FailoverWithoutTable bool    `json:"failoverWithoutTable"`
}

type groupBody struct {
	Name    string       `json:"name"`
	Targets []targetBody `json:"targets"`
}

type targetBody struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
}

type stopBody struct {
	Target    string    `json:"target"`
	By        string    `json:"by"`
	Note      string    `json:"note"`
	PlannedAt time.Time `json:"plannedAt"`
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// Encode returns a catalogue as indented JSON.
func Encode(c cwcatalogue.Catalogue) ([]byte, error) {
	return json.MarshalIndent(toBody(c), "", "  ")
}

func toBody(c cwcatalogue.Catalogue) documentBody {
	d := documentBody{
		Revision:    uint64(c.Revision),
		DataCentres: []dataCentreBody{},
		Links:       []linkBody{},
		Entries:     []entryBody{},
		Stops:       []stopBody{},
	}
	for _, dc := range c.DataCentres {
		d.DataCentres = append(d.DataCentres, dataCentreBody(dc))
	}
	for _, l := range c.Links {
		d.Links = append(d.Links, linkBody{A: l.A, B: l.B, DelayMs: milliseconds(l.Delay)})
	}
	for _, e := range c.Entries {
		d.Entries = append(d.Entries, entryToBody(e))
	}
	for _, s := range c.PlannedStops {
		d.Stops = append(d.Stops, stopBody{Target: string(s.Target), By: s.PlannedBy, Note: s.Note, PlannedAt: s.PlannedAt})
	}
	return d
}

func entryToBody(e cwcatalogue.Entry) entryBody {
	c := e.Contract
	b := entryBody{
		Service: e.Service,
		Title:   e.Title,
		Owner:   e.Owner,
		Contract: contractBody{
			Class:                string(c.Class),
			Connections:          c.Connections,
			Slots:                c.Slots,
			QueueLimit:           c.QueueLimit,
			StatementTimeoutMs:   milliseconds(c.StatementTimeout),
			AckTimeoutMs:         milliseconds(c.AckTimeout),
			ReadWaitMs:           milliseconds(c.ReadWait),
			ChecksTerm:           c.ChecksTerm,
			FailoverWithoutTable: c.FailoverWithoutTable,
		},
	}
	for _, g := range e.Groups {
		gb := groupBody{Name: g.Name}
		for _, t := range g.Targets {
			gb.Targets = append(gb.Targets, targetBody{ID: string(t.ID), DataCentre: t.DataCentre, Address: t.Address})
		}
		b.Groups = append(b.Groups, gb)
	}
	return b
}

// Decode decodes and validates a catalogue. Errors are of type *DocumentError, which
// lists every fault found.
func Decode(text []byte) (cwcatalogue.Catalogue, error) {
	lines, unknown, err := locateFields(text)
	if err != nil {
		return cwcatalogue.Catalogue{}, err
	}
	var d documentBody
	if err := json.Unmarshal(text, &d); err != nil {
		return cwcatalogue.Catalogue{}, typeError(text, err)
	}
	c := fromBody(d)
	faults := unknown
	for _, f := range cwcatalogue.Validate(c) {
		faults = append(faults, LineFault{Line: lines.lineOf(f.Path), Fault: f})
	}
	if len(faults) > 0 {
		return c, &DocumentError{Faults: faults}
	}
	return c, nil
}

func fromBody(d documentBody) cwcatalogue.Catalogue {
	c := cwcatalogue.Catalogue{Revision: cwcatalogue.Revision(d.Revision)}
	for _, dc := range d.DataCentres {
		c.DataCentres = append(c.DataCentres, cwcatalogue.DataCentre(dc))
	}
	for _, l := range d.Links {
		c.Links = append(c.Links, cwcatalogue.Link{A: l.A, B: l.B, Delay: fromMilliseconds(l.DelayMs)})
	}
	for _, e := range d.Entries {
		c.Entries = append(c.Entries, entryFromBody(e))
	}
	for _, s := range d.Stops {
		c.PlannedStops = append(c.PlannedStops, cwcatalogue.PlannedStop{Target: cwgroup.MemberID(s.Target), PlannedBy: s.By, Note: s.Note, PlannedAt: s.PlannedAt})
	}
	return c
}

func entryFromBody(b entryBody) cwcatalogue.Entry {
	c := b.Contract
	e := cwcatalogue.Entry{
		Service: b.Service,
		Title:   b.Title,
		Owner:   b.Owner,
		Contract: cwcatalogue.Contract{
			Class:                cwcatalogue.Class(c.Class),
			Connections:          c.Connections,
			Slots:                c.Slots,
			QueueLimit:           c.QueueLimit,
			StatementTimeout:     fromMilliseconds(c.StatementTimeoutMs),
			AckTimeout:           fromMilliseconds(c.AckTimeoutMs),
			ReadWait:             fromMilliseconds(c.ReadWaitMs),
			ChecksTerm:           c.ChecksTerm,
			FailoverWithoutTable: c.FailoverWithoutTable,
		},
	}
	for _, g := range b.Groups {
		group := cwcatalogue.Group{Name: g.Name}
		for _, t := range g.Targets {
			group.Targets = append(group.Targets, cwcatalogue.Target{ID: cwgroup.MemberID(t.ID), DataCentre: t.DataCentre, Address: t.Address})
		}
		e.Groups = append(e.Groups, group)
	}
	return e
}

// SplitParts splits a catalogue into the values of the rows in which it is stored, by
// name: one part for data centres and links, one for planned stops, and one for each entry.
func SplitParts(c cwcatalogue.Catalogue) (map[string][]byte, error) {
	parts := make(map[string][]byte, len(c.Entries)+2)
	add := func(name string, part cwcatalogue.Catalogue) error {
		text, err := encodePart(part)
		parts[name] = text
		return err
	}
	if err := add(PartDataCentres, cwcatalogue.Catalogue{DataCentres: c.DataCentres, Links: c.Links}); err != nil {
		return nil, err
	}
	if err := add(PartStops, cwcatalogue.Catalogue{PlannedStops: c.PlannedStops}); err != nil {
		return nil, err
	}
	for _, e := range c.Entries {
		if err := add(PartEntryPrefix+e.Service, cwcatalogue.Catalogue{Entries: []cwcatalogue.Entry{e}}); err != nil {
			return nil, err
		}
	}
	return parts, nil
}

// Names of the parts of a catalogue.
const (
	// PartDataCentres is the part with data centres and links.
	PartDataCentres = "places"
	// PartStops is the part with planned stops.
	PartStops = "stops"
	// PartEntryPrefix is the prefix of the part of an entry. The service's name follows.
	PartEntryPrefix = "entry/"
)

// partBody is the JSON form of a part. Empty lists are omitted.
type partBody struct {
	DataCentres []dataCentreBody `json:"dataCentres,omitempty"`
	Links       []linkBody       `json:"links,omitempty"`
	Entries     []entryBody      `json:"entries,omitempty"`
	Stops       []stopBody       `json:"stops,omitempty"`
}

func encodePart(c cwcatalogue.Catalogue) ([]byte, error) {
	d := toBody(c)
	return json.Marshal(partBody{DataCentres: d.DataCentres, Links: d.Links, Entries: d.Entries, Stops: d.Stops})
}

// JoinParts builds a catalogue from its parts. The empty part of a removed entry adds
// nothing. Errors are of type *PartError. The revision is not set.
func JoinParts(parts map[string][]byte) (cwcatalogue.Catalogue, error) {
	var d documentBody
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		var p partBody
		if err := json.Unmarshal(parts[name], &p); err != nil {
			return cwcatalogue.Catalogue{}, &PartError{Part: name, Cause: err}
		}
		d.DataCentres = append(d.DataCentres, p.DataCentres...)
		d.Links = append(d.Links, p.Links...)
		d.Entries = append(d.Entries, p.Entries...)
		d.Stops = append(d.Stops, p.Stops...)
	}
	return fromBody(d), nil
}

// PartError reports a row of the catalogue that cannot be decoded.
type PartError struct {
	Part  string
	Cause error
}

func (e *PartError) Error() string { return "catalogue row " + e.Part + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PartError) Unwrap() error { return e.Cause }

// ChangedParts returns the parts of next that differ from those of known. A part that is
// missing from next is returned as an empty JSON object.
func ChangedParts(known, next cwcatalogue.Catalogue) (map[string][]byte, error) {
	before, err := SplitParts(known)
	if err != nil {
		return nil, err
	}
	after, err := SplitParts(next)
	if err != nil {
		return nil, err
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			after[name] = []byte("{}")
		}
	}
	maps.DeleteFunc(after, func(name string, v []byte) bool { return bytes.Equal(v, before[name]) })
	return after, nil
}

// ApplyParts applies changed parts to a known catalogue, and returns the result as revision
// rev. If it fails it returns the known catalogue and a *PartError.
func ApplyParts(known cwcatalogue.Catalogue, changed map[string][]byte, rev cwcatalogue.Revision) (cwcatalogue.Catalogue, error) {
	parts, err := SplitParts(known)
	if err != nil {
		return known, err
	}
	maps.Copy(parts, changed)
	c, err := JoinParts(parts)
	if err != nil {
		return known, err
	}
	return c.WithRevision(rev), nil
}
