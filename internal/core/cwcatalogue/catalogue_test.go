package cwcatalogue

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

func validCatalogue() Catalogue {
	return Catalogue{
		Revision:    3,
		DataCentres: []DataCentre{{Name: "isb-a", Region: "pk-north"}, {Name: "isb-b", Region: "pk-north"}},
		Links:       []Link{{A: "isb-a", B: "isb-b", Delay: time.Millisecond}},
		Entries: []Entry{{
			Service: "hire-ledger", Owner: "Margalla",
			Contract: Contract{
				Class: ClassFastWrites, Connections: 35, Slots: 3, QueueLimit: 10,
				StatementTimeout: time.Second, AckTimeout: time.Second, ChecksTerm: true,
			},
			Groups: []Group{{Name: "hire-1", Targets: []Target{
				{ID: "hire-1-1", DataCentre: "isb-a", Address: "127.0.0.1:1"},
				{ID: "hire-1-2", DataCentre: "isb-b", Address: "127.0.0.1:2"},
			}}},
		}},
	}
}

func invalidPaths(faults []InvalidField) string {
	var out []string
	for _, f := range faults {
		out = append(out, f.Path)
	}
	return strings.Join(out, " ")
}

func TestAllInvalidFieldsAreReported(t *testing.T) {
	qt.Assert(t, Validate(validCatalogue()), qt.HasLen, 0)
	c := validCatalogue()
	e := &c.Entries[0]
	e.Owner = ""
	e.Contract.Class = "fast"
	e.Contract.Connections = 1
	e.Contract.ChecksTerm, e.Contract.FailoverWithoutTable = false, true
	e.Groups[0].Targets[0].DataCentre = "nowhere"
	e.Groups[0].Targets[1].ID = "hire-1-1"
	e.Groups[0].Targets[1].Address = "localhost"
	c.PlannedStops = []PlannedStop{{Target: "absent"}}
	qt.Assert(t, invalidPaths(Validate(c)), qt.Equals, "entries[0].owner entries[0].contract.class "+
		"entries[0].contract.connections entries[0].contract.slots entries[0].contract.failoverWithoutTable "+
		"entries[0].groups[0].targets[0].dataCentre entries[0].groups[0].targets[1].id "+
		"entries[0].groups[0].targets[1].address stops[0].target")
}

func TestDiffReportsCallerImpact(t *testing.T) {
	a, b := validCatalogue(), validCatalogue()
	qt.Assert(t, Diff(a, b), qt.HasLen, 0)
	b.Entries[0].Contract.Connections = 20
	b.Entries[0].Groups[0].Targets = b.Entries[0].Groups[0].Targets[:1]
	b = b.WithPlannedStop(PlannedStop{Target: "hire-1-1"})
	text := fmt.Sprint(Diff(a, b))
	for _, want := range []string{"contract changes", "refused sooner", "hire-1-2 leaves group", "is interrupted", "left in peace"} {
		qt.Assert(t, text, qt.Contains, want)
	}
}

func TestNewerThan(t *testing.T) {
	a, b := validCatalogue(), validCatalogue().WithRevision(4)
	qt.Assert(t, b.NewerThan(a), qt.IsTrue)
	qt.Assert(t, a.NewerThan(b), qt.IsFalse)
	qt.Assert(t, a.NewerThan(a), qt.IsFalse)
}

func TestPlannedStops(t *testing.T) {
	c := validCatalogue().WithPlannedStop(PlannedStop{Target: "hire-1-1", PlannedBy: "ana"})
	again := c.WithPlannedStop(PlannedStop{Target: "hire-1-1", PlannedBy: "jorge"})
	qt.Assert(t, again.PlannedStops, qt.HasLen, 1)
	qt.Assert(t, again.PlannedStops[0].PlannedBy, qt.Equals, "ana")
	qt.Assert(t, again.WithoutPlannedStop("hire-1-1").HasPlannedStop(cwgroup.MemberID("hire-1-1")), qt.IsFalse)
	qt.Assert(t, c.LinkDelay("isb-a", "isb-b"), qt.Equals, time.Millisecond)
	qt.Assert(t, c.LinkDelay("isb-a", "elsewhere"), qt.Equals, MaxLinkDelay)
}
