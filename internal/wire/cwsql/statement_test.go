package cwsql

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestKinds(t *testing.T) {
	for _, tc := range []struct {
		text string
		want Kind
	}{
		{"SELECT * FROM ronda WHERE id = $1", Read},
		{"SELECT count(*), max(id) FROM ronda", Read},
		{"VALUES (1)", Read},
		{"WITH x AS (SELECT 1) SELECT * FROM x", Read},
		{"SELECT * FROM ronda FOR UPDATE", Write},
		{"SELECT nextval('s')", Write},
		{"SELECT my_function(1)", Write},
		{"WITH x AS (INSERT INTO ronda VALUES (1) RETURNING id) SELECT * FROM x", Write},
		{"SELECT * INTO copy FROM ronda", Write},
		{"EXPLAIN SELECT 1", Read},
		{"EXPLAIN ANALYZE DELETE FROM ronda", Write},
		{"INSERT INTO ronda VALUES (1)", Write},
		{"DROP TABLE ronda", Write},
		{"VACUUM", Write},
		{"begin", Begin},
		{"START TRANSACTION READ ONLY", Begin},
		{"commit", Commit},
		{"END", Commit},
		{"ROLLBACK", Rollback},
		{"ROLLBACK TO SAVEPOINT a", Savepoint},
		{"SET work_mem = '1MB'", Set},
		{"SET LOCAL work_mem = '1MB'", SetLocal},
		{"SET TRANSACTION READ ONLY", SetLocal},
		{"RESET ALL", Reset},
		{"SHOW work_mem", Show},
		{"DISCARD ALL", Discard},
		{"COPY ronda TO STDOUT", Unsupported},
		{"LISTEN x", Unsupported},
		{"SELECT pg_advisory_lock(1)", Unsupported},
		{"SELECT set_config('a.b', 'c', false)", Unsupported},
		{"CREATE TEMP TABLE x (id int)", Unsupported},
		{"PREPARE TRANSACTION 'x'", Unsupported},
		{"DECLARE c CURSOR FOR SELECT 1", Unsupported},
	} {
		t.Run(tc.text, func(t *testing.T) {
			out, err := Parse(tc.text)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, out, qt.HasLen, 1)
			qt.Assert(t, out[0].Kind, qt.Equals, tc.want)
		})
	}
}

func TestSettingsAndModes(t *testing.T) {
	parseOne := func(text string) Statement {
		out, err := Parse(text)
		qt.Assert(t, err, qt.IsNil)
		return out[0]
	}
	qt.Assert(t, parseOne("SET cicadawalk.requestKey = 'k1'"), qt.Equals, Statement{Kind: Set, Text: "SET cicadawalk.requestKey = 'k1'", Name: "cicadawalk.requestkey", Value: "k1", Literals: "'k1'"})
	qt.Assert(t, parseOne("SET x TO on").Value, qt.Equals, "on")
	qt.Assert(t, parseOne("SET x TO 5").Value, qt.Equals, "5")
	qt.Assert(t, parseOne("SET x TO DEFAULT").Default, qt.IsTrue)
	qt.Assert(t, parseOne("BEGIN READ ONLY").ReadOnly, qt.IsTrue)
	qt.Assert(t, parseOne("BEGIN READ WRITE").ReadWrite, qt.IsTrue)
	qt.Assert(t, parseOne("COMMIT AND CHAIN").Chain, qt.IsTrue)
	qt.Assert(t, parseOne("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY"), qt.Equals,
		Statement{Kind: Set, Text: "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", Name: "default_transaction_read_only", Value: "on", Literals: "'on'"})
}

// Guards against a target that reads other statements in a text than the proxy, since the session
// has changed how strings are read or in which encoding they are.
func TestSettingsThatChangeHowTextIsReadAreUnsupported(t *testing.T) {
	for text, want := range map[string]Kind{
		"SET standard_conforming_strings = off":       Unsupported,
		"SET LOCAL standard_conforming_strings = off": Unsupported,
		"SET standard_conforming_strings TO 0":        Unsupported,
		"SET standard_conforming_strings = on":        Set,
		"SET client_encoding TO 'SJIS'":               Unsupported,
		"SET NAMES 'latin1'":                          Unsupported,
		"SET NAMES 'UTF8'":                            Set,
		"RESET standard_conforming_strings":           Reset,
		"SET standard_conforming_strings TO DEFAULT":  Set,
	} {
		t.Run(text, func(t *testing.T) {
			out, err := Parse(text)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, out[0].Kind, qt.Equals, want)
		})
	}
}

// Guards against a value that ends its literal, or a list that becomes one element.
func TestLiteralsKeepTheirValues(t *testing.T) {
	parse := func(t rapid.TB, text string) Statement {
		out, err := Parse(text)
		if err != nil || len(out) != 1 {
			t.Fatalf("%q: %d statements, %v", text, len(out), err)
		}
		return out[0]
	}
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.StringOf(rapid.SampledFrom([]rune("ab'\\\"; ,é\n$-"))), 1, 3).Draw(t, "values")
		s := parse(t, "SET x = "+QuoteLiterals(values...))
		if s.Kind != Set || s.Value != strings.Join(values, ", ") || s.Literals != QuoteLiterals(values...) {
			t.Fatalf("%q: got %+v", values, s)
		}
		for _, v := range values {
			if q := QuoteLiteral(v); strings.Contains(v, `\`) && !strings.HasPrefix(q, "E'") {
				t.Fatalf("%q depends on how backslashes are read", q)
			}
		}
	})
}

func TestSplit(t *testing.T) {
	out, err := Parse("SELECT 1; -- a; comment\n SELECT ';' ;")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out, qt.HasLen, 2)
	qt.Assert(t, out[0].Text, qt.Equals, "SELECT 1")
	_, err = Parse("SELEC 1")
	var se *SyntaxError
	qt.Assert(t, err, qt.ErrorAs, &se)
	qt.Assert(t, se.Position, qt.Equals, 1)
}

func TestCacheStaysBounded(t *testing.T) {
	var c Cache
	for i := range 3 * cacheShards * cachePerShard {
		c.shards[i%cacheShards].put(string(rune(i)), nil)
	}
	for i := range c.shards {
		qt.Assert(t, len(c.shards[i].m) <= cachePerShard, qt.IsTrue)
	}
}
