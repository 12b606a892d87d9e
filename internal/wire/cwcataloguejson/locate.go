package cwcataloguejson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"regexp"
	"strings"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
)

// LineFault is a fault with its line, counted from 1. For a missing field it is the line
// of the enclosing object.
type LineFault struct {
	Line  int
	Fault cwcatalogue.InvalidField
}

// String formats the fault for an operator.
func (f LineFault) String() string { return fmt.Sprintf("line %d: %s", f.Line, f.Fault) }

// DocumentError lists the faults of a document. Its text has one line for each fault.
type DocumentError struct{ Faults []LineFault }

func (e *DocumentError) Error() string {
	out := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		out = append(out, f.String())
	}
	return strings.Join(out, "\n")
}

func singleFault(text []byte, offset int64, path, value, allowed string) error {
	return &DocumentError{Faults: []LineFault{{
		Line:  lineAt(text, offset),
		Fault: cwcatalogue.InvalidField{Path: path, Value: value, Allowed: allowed},
	}}}
}

func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

func typeError(text []byte, err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return singleFault(text, te.Offset, te.Field, te.Value, "a "+kindName(te.Type))
	}
	return syntaxError(text, err)
}

func syntaxError(text []byte, err error) error {
	var se *json.SyntaxError
	if errors.As(err, &se) {
		return singleFault(text, se.Offset, "document", se.Error(), "valid JSON")
	}
	return singleFault(text, int64(len(text)), "document", err.Error(), "one complete JSON object")
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice:
		return "list"
	case reflect.Struct:
		return "object"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text in quotes"
	default:
		return "number"
	}
}

// lineTable maps the path of each field to its line.
type lineTable map[string]int

// lineOf returns the line of a path, or of the nearest enclosing object or list.
func (t lineTable) lineOf(path string) int {
	for path != "" {
		if n, ok := t[path]; ok {
			return n
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return t[""]
		}
		path = path[:i]
	}
	return t[""]
}

// fieldLocator reads the tokens of a document and records the line of each field.
type fieldLocator struct {
	text    []byte
	dec     *json.Decoder
	lines   lineTable
	unknown []LineFault
	// countedTo is the offset up to which line breaks were counted, and line the
	// current line.
	countedTo int64
	line      int
}

// currentLine returns the line at the decoder's offset. Offsets only grow, so each part
// of the text is counted once.
func (l *fieldLocator) currentLine() int {
	to := l.dec.InputOffset()
	l.line += bytes.Count(l.text[l.countedTo:to], []byte("\n"))
	l.countedTo = to
	return l.line
}

// locateFields returns the line of each field, and the faults of unknown and repeated
// fields.
func locateFields(text []byte) (lineTable, []LineFault, error) {
	l := &fieldLocator{text: text, dec: json.NewDecoder(bytes.NewReader(text)), lines: lineTable{}, line: 1}
	if err := l.value(""); err != nil {
		return nil, nil, syntaxError(text, err)
	}
	if _, err := l.dec.Token(); !errors.Is(err, io.EOF) {
		return nil, nil, singleFault(text, l.dec.InputOffset(), "document", "more after the end", "one JSON object")
	}
	return l.lines, l.unknown, nil
}

func (l *fieldLocator) value(path string) error {
	tok, err := l.dec.Token()
	if err != nil {
		return err
	}
	if _, ok := l.lines[path]; !ok {
		l.lines[path] = l.currentLine()
	}
	switch tok {
	case json.Delim('{'):
		return l.object(path)
	case json.Delim('['):
		return l.list(path)
	}
	return nil
}

func (l *fieldLocator) object(path string) error {
	for l.dec.More() {
		tok, err := l.dec.Token()
		if err != nil {
			return err
		}
		name, _ := tok.(string)
		child := name
		if path != "" {
			child = path + "." + name
		}
		line := l.currentLine()
		if _, twice := l.lines[child]; twice {
			l.unknown = append(l.unknown, LineFault{Line: line, Fault: cwcatalogue.InvalidField{Path: child, Value: name, Allowed: "each field once"}})
		}
		l.lines[child] = line
		if !knownPaths[indexPattern.ReplaceAllString(child, "")] {
			l.unknown = append(l.unknown, LineFault{Line: line, Fault: cwcatalogue.InvalidField{Path: child, Value: name, Allowed: "no such field"}})
		}
		if err := l.value(child); err != nil {
			return err
		}
	}
	_, err := l.dec.Token()
	return err
}

func (l *fieldLocator) list(path string) error {
	for i := 0; l.dec.More(); i++ {
		if err := l.value(fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	_, err := l.dec.Token()
	return err
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// knownPaths holds the paths of all fields of the format, without list indexes.
var knownPaths = pathsOf(reflect.TypeFor[documentBody](), "")

func pathsOf(t reflect.Type, prefix string) map[string]bool {
	out := make(map[string]bool)
	for i := range t.NumField() {
		f := t.Field(i)
		path := prefix + f.Tag.Get("json")
		out[path] = true
		ft := f.Type
		if ft.Kind() == reflect.Slice {
			ft = ft.Elem()
		}
		if ft.Kind() == reflect.Struct && ft.PkgPath() == t.PkgPath() {
			maps.Copy(out, pathsOf(ft, path+"."))
		}
	}
	return out
}
