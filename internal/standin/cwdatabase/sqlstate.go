package cwdatabase

import (
	"context"
	"errors"
	"strings"

	"modernc.org/sqlite"

	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// Result codes of SQLite: extended codes of violated constraints, and
// SQLITE_MISMATCH.
const (
	sqliteConstraintCheck      = 275
	sqliteConstraintForeignKey = 787
	sqliteConstraintNotNull    = 1299
	sqliteConstraintPrimaryKey = 1555
	sqliteConstraintUnique     = 2067
	sqliteMismatch             = 20
)

// toSQLError maps an error to the SQLSTATE and message sent to the client.
func toSQLError(err error) *sqlError {
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
		return errCanceled
	}
	var se *sqlite.Error
	if errors.As(err, &se) {
		return &sqlError{sqliteState(se), se.Error()}
	}
	return &sqlError{"XX000", err.Error()}
}

// sqliteState maps an error of SQLite to a SQLSTATE; XX000 if none fits.
func sqliteState(e *sqlite.Error) string {
	switch e.Code() {
	case sqliteConstraintPrimaryKey, sqliteConstraintUnique:
		return "23505"
	case sqliteConstraintNotNull:
		return "23502"
	case sqliteConstraintCheck:
		return "23514"
	case sqliteConstraintForeignKey:
		return "23503"
	case sqliteMismatch:
		return "22P02"
	}
	// SQLite reports all of these with the same code, so they are told apart by
	// the message.
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
