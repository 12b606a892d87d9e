package cwdatabase

import (
	"context"
	"database/sql"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// Object ids of PostgreSQL types, as in the catalog pg_type.
const (
	oidBool    = pgtype.BoolOID
	oidBytes   = pgtype.ByteaOID
	oidInt8    = pgtype.Int8OID
	oidText    = pgtype.TextOID
	oidFloat8  = pgtype.Float8OID
	oidNumeric = pgtype.NumericOID
)

// column is the name and type of a result column.
type column struct {
	name string
	oid  uint32
}

// result is the complete result of one statement.
type result struct {
	// columns is nil for a statement that returns no rows.
	columns []column
	rows    [][]any
	// tag is the command tag, such as INSERT 0 1.
	tag string
}

func (r *result) rowDescription(formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range r.columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: -1,
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return d
}

// formatOf returns the format code of the column or parameter at index i, by the
// rules of the Bind message: no codes mean text for all, one code applies to all.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

// typeMaps pools the type maps that encode and decode values. A map is not safe
// for concurrent use, so each caller takes one of its own.
var typeMaps = sync.Pool{New: func() any { return pgtype.NewMap() }}

func (r *result) dataRow(row []any, formats []int16) (*pgproto3.DataRow, error) {
	m := typeMaps.Get().(*pgtype.Map)
	defer typeMaps.Put(m)
	out := &pgproto3.DataRow{Values: make([][]byte, len(row))}
	for i, v := range row {
		if v == nil {
			continue
		}
		b, err := encode(m, r.columns[i].oid, formatOf(formats, i), v)
		if err != nil {
			return nil, err
		}
		out.Values[i] = b
	}
	return out, nil
}

// encode returns a value of SQLite in the wire format of a PostgreSQL type. Text
// is converted where the column has another type.
func encode(m *pgtype.Map, oid uint32, format int16, v any) ([]byte, error) {
	s, isText := v.(string)
	if isText && (format == 0 || oid == oidText) {
		return []byte(s), nil
	}
	if isText && oid == oidBool {
		v = s == "t" || s == "true" || s == "on" || s == "1"
	}
	if isText && oid == oidInt8 {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return nil, &sqlError{"22P02", "invalid input syntax for type bigint: " + strconv.Quote(s)}
		}
		v = n
	}
	if isText && oid == oidBytes {
		v = decodeBytea(s)
	}
	if oid == oidText {
		v = fmt.Sprint(v)
	}
	if n, ok := v.(int64); ok && oid == oidBool {
		v = n != 0
	}
	b, err := m.Encode(oid, format, v, nil)
	if err != nil {
		return nil, &sqlError{"42804", err.Error()}
	}
	return b, nil
}

// decodeBytea decodes the hexadecimal form of a bytea, such as \x0102. Any other
// text is taken as the bytes themselves.
func decodeBytea(s string) []byte {
	digits, ok := strings.CutPrefix(s, `\x`)
	if b, err := hex.DecodeString(digits); ok && err == nil {
		return b
	}
	return []byte(s)
}

// queryAll runs one statement and reads all of its rows. The text is the
// statement in PostgreSQL's syntax, st the same for SQLite.
func queryAll(ctx context.Context, q querier, text string, st statement) (*result, error) {
	rows, err := q.QueryContext(ctx, st.SQL, st.values()...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	res := &result{}
	if res.columns, err = resultColumns(rows, text); err != nil {
		return nil, err
	}
	for rows.Next() {
		row := make([]any, len(res.columns))
		ptrs := make([]any, len(row))
		for i := range row {
			ptrs[i] = &row[i]
		}
		if err := rows.Scan(ptrs...); err != nil {
			return nil, Error.Wrap(err)
		}
		res.rows = append(res.rows, row)
	}
	if err := rows.Err(); err != nil {
		return nil, err
	}
	res.tag, err = commandTag(ctx, q, text, len(res.rows))
	return res, err
}

// commandTag returns the command tag of a statement that has just run, such as
// INSERT 0 1.
func commandTag(ctx context.Context, q querier, text string, rows int) (string, error) {
	word := firstWord(text)
	switch word {
	case "INSERT", "UPDATE", "DELETE":
		n, err := changedRows(ctx, q)
		if err != nil {
			return "", err
		}
		if word == "INSERT" {
			return fmt.Sprintf("INSERT 0 %d", n), nil
		}
		return fmt.Sprintf("%s %d", word, n), nil
	case "CREATE", "DROP", "ALTER":
		fields := strings.Fields(strings.ToUpper(text))
		return strings.Join(fields[:min(2, len(fields))], " "), nil
	default:
		return fmt.Sprintf("SELECT %d", rows), nil
	}
}

func firstWord(text string) string {
	fields := strings.FieldsFunc(text, func(r rune) bool { return r <= ' ' || r == '(' })
	if len(fields) == 0 {
		return ""
	}
	return strings.ToUpper(fields[0])
}

// changedRows returns the number of rows that the last statement changed.
func changedRows(ctx context.Context, q querier) (int64, error) {
	rows, err := q.QueryContext(ctx, "SELECT changes()")
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer rows.Close()
	var n int64
	for rows.Next() {
		if err := rows.Scan(&n); err != nil {
			return 0, Error.Wrap(err)
		}
	}
	return n, Error.Wrap(rows.Err())
}

// resultColumns returns the names and types of the columns. Where SQLite has no
// declared type for a column, both follow from the expression in the text.
func resultColumns(rows *sql.Rows, text string) ([]column, error) {
	cts, err := rows.ColumnTypes()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(cts) == 0 {
		return nil, nil
	}
	targets := targetList(text)
	out := make([]column, len(cts))
	for i, ct := range cts {
		out[i] = column{name: ct.Name(), oid: oidOfTypeName(ct.DatabaseTypeName())}
		if ct.DatabaseTypeName() != "" || i >= len(targets) {
			continue
		}
		t := targets[i].GetResTarget()
		out[i].oid = oidOfExpr(t.GetVal())
		if name := t.GetName(); name == "" {
			out[i].name = defaultColumnName(t.GetVal())
		}
	}
	return out, nil
}

// defaultColumnName returns the name that PostgreSQL gives to the column of an
// expression without an alias.
func defaultColumnName(n *pgquery.Node) string {
	if f := n.GetFuncCall(); f != nil {
		return f.Funcname[len(f.Funcname)-1].GetString_().GetSval()
	}
	if n.GetCoalesceExpr() != nil {
		return "coalesce"
	}
	return "?column?"
}

// rewrittenTexts caches the results of toSQLiteParams by text.
var rewrittenTexts sync.Map

// toSQLiteParams rewrites parameters from $1 to ?1. It works on tokens, so that
// string constants with a dollar sign are unchanged.
func toSQLiteParams(text string) (string, error) {
	if !strings.Contains(text, "$") {
		return text, nil
	}
	if v, ok := rewrittenTexts.Load(text); ok {
		return v.(string), nil
	}
	scan, err := pgquery.Scan(text)
	if err != nil {
		return "", &sqlError{"42601", err.Error()}
	}
	b := []byte(text)
	for _, t := range scan.Tokens {
		if t.Token == pgquery.Token_PARAM {
			b[t.Start] = '?'
		}
	}
	rewrittenTexts.Store(text, string(b))
	return string(b), nil
}

// takeTypeMap takes a type map from the pool.
func takeTypeMap() *pgtype.Map { return typeMaps.Get().(*pgtype.Map) }

// toArg converts a decoded parameter to the form stored in log records.
func toArg(v any) arg {
	if b, ok := v.([]byte); ok {
		return arg{Bytes: b}
	}
	if t, ok := v.(time.Time); ok {
		v = t.Format(time.RFC3339Nano)
	}
	s := fmt.Sprint(v)
	return arg{Text: &s}
}
