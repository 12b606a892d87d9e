package cwdatabase

import (
	"context"
	"errors"
	"strings"

	"modernc.org/sqlite"

	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// Extended result codes of the engine.
const (
	engineCheck      = 275
	engineForeignKey = 787
	engineNotNull    = 1299
	enginePrimaryKey = 1555
	engineUnique     = 2067
	engineMismatch   = 20
)

// toSQL finds the SQLSTATE of an error.
func toSQL(err error) *sqlError {
	var e *sqlError
	if errors.As(err, &e) {
		return e
	}
	var syntax *cwsql.SyntaxError
	if errors.As(err, &syntax) {
		return &sqlError{"42601", syntax.Message}
	}
	var np *NotPrimaryError
	if errors.As(err, &np) {
		return &sqlError{"25006", "cannot execute a write in a read-only transaction: " + np.Error()}
	}
	if errors.Is(err, context.Canceled) {
		return canceled
	}
	var se *sqlite.Error
	if errors.As(err, &se) {
		return &sqlError{engineState(se), se.Error()}
	}
	return &sqlError{"XX000", err.Error()}
}

func engineState(e *sqlite.Error) string {
	switch e.Code() {
	case enginePrimaryKey, engineUnique:
		return "23505"
	case engineNotNull:
		return "23502"
	case engineCheck:
		return "23514"
	case engineForeignKey:
		return "23503"
	case engineMismatch:
		return "22P02"
	}
	// The engine has one code for these; only its message tells them apart.
	for _, k := range [][2]string{
		{"no such table", "42P01"},
		{"no such column", "42703"},
		{"no such function", "42883"},
		{"already exists", "42P07"},
		{"syntax error", "42601"},
	} {
		if strings.Contains(e.Error(), k[0]) {
			return k[1]
		}
	}
	return "XX000"
}
