package cwcataloguejson

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

func TestExamplesRoundTrip(t *testing.T) {
	for _, name := range []string{"camara", "margalla", "trial"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", name+".json"))
		qt.Assert(t, err, qt.IsNil)
		c, err := Decode(text)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", name))
		again, err := Encode(c)
		qt.Assert(t, err, qt.IsNil)
		back, err := Decode(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, back, qt.DeepEquals, c)
		parts, err := SplitParts(c)
		qt.Assert(t, err, qt.IsNil)
		joined, err := JoinParts(parts)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, joined.Entries, qt.DeepEquals, c.Entries)
	}
}

func TestFaultsShowLineAndField(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"unknown field", "{\n \"revision\": 1,\n \"colour\": 2\n}", `line 3: colour: "colour" is not allowed; no such field`},
		{"twice", "{\n \"revision\": 1,\n \"revision\": 2\n}", `line 3: revision: "revision" is not allowed; each field once`},
		{"wrong type", "{\n \"revision\": \"x\"\n}", "line 2: revision"},
		{"cut short", "{\n \"revision\": 1,", "line 2: document"},
		{"not JSON", "revision 1", "line 1: document"},
		{"two documents", "{}\n{}", "line 2: document"},
		{"bad value", "{\n \"entries\": [\n  {\"service\": \"Big\",\n   \"owner\": \"\"}]}", `line 3: entries[0].service: "Big" is not allowed`},
		{"missing value", "{\n \"entries\": [\n  {\"service\": \"a\",\n   \"owner\": \"\"}]}", `line 4: entries[0].owner`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Decode([]byte(tc.text))
			var de *DocumentError
			qt.Assert(t, err, qt.ErrorAs, &de)
			qt.Assert(t, err.Error(), qt.Contains, tc.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "trial.json"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(text))
	f.Add("{}")
	f.Add(`{"entries":[{"groups":[{"targets":[]}]}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Decode([]byte(text))
		if err != nil {
			if strings.TrimSpace(err.Error()) == "" {
				t.Fatal("the error text is empty")
			}
			return
		}
		again, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("the encoded catalogue was rejected: %v", err)
		}
	})
}

func sampleCatalogue(n int) cwcatalogue.Catalogue {
	c := cwcatalogue.Catalogue{Revision: 1, DataCentres: []cwcatalogue.DataCentre{{Name: "dc", Region: "r"}}}
	for i := range n {
		name := fmt.Sprintf("service-%d", i)
		e := cwcatalogue.Entry{Service: name, Owner: "o", Contract: cwcatalogue.Contract{
			Class: cwcatalogue.ClassReplicaReads, Connections: 25, Slots: 3, QueueLimit: 200,
			StatementTimeout: time.Second, AckTimeout: time.Second,
		}}
		g := cwcatalogue.Group{Name: name}
		for j := range 3 {
			g.Targets = append(g.Targets, cwcatalogue.Target{
				ID: cwgroup.MemberID(fmt.Sprintf("db-%d-%d", i, j)), DataCentre: "dc", Address: fmt.Sprintf("10.%d.%d.%d:5432", i/250, i%250, j+1),
			})
		}
		e.Groups = []cwcatalogue.Group{g}
		c.Entries = append(c.Entries, e)
	}
	return c
}

// BenchmarkCatalogue measures encoding a whole catalogue, decoding it with validation,
// and joining it from its parts.
func BenchmarkCatalogue(b *testing.B) {
	for _, n := range []int{10, 100, 700} {
		c := sampleCatalogue(n)
		text, err := Encode(c)
		qt.Assert(b, err, qt.IsNil)
		parts, err := SplitParts(c)
		qt.Assert(b, err, qt.IsNil)
		b.Run(fmt.Sprintf("encode/%d", n), func(b *testing.B) {
			for range b.N {
				_, _ = Encode(c)
			}
			b.ReportMetric(float64(len(text)), "bytes")
		})
		b.Run(fmt.Sprintf("decode/%d", n), func(b *testing.B) {
			for range b.N {
				if _, err := Decode(text); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("join/%d", n), func(b *testing.B) {
			for range b.N {
				_, _ = JoinParts(parts)
			}
		})
	}
}
