package cwcatalogue

import (
	"fmt"
	"reflect"
	"slices"
)

// Difference is one change between two catalogues, described for operators
// without knowledge of replication.
type Difference struct {
	// Text says what changes. It is stored in the history of the catalogue.
	Text string
	// CallerImpact describes the effect on callers; it is empty if there is none.
	CallerImpact string
}

// Diff returns the differences between catalogue a and its successor b. It
// compares data centres, links, Entries and planned stops, not workspaces.
func Diff(a, b Catalogue) []Difference {
	var out []Difference
	add := func(impact, format string, args ...any) {
		out = append(out, Difference{Text: fmt.Sprintf(format, args...), CallerImpact: impact})
	}
	for _, e := range b.Entries {
		if old, ok := a.Entry(e.Service); ok {
			out = append(out, diffEntry(old, e)...)
			continue
		}
		add("", "service %s is new: %d groups, owned by %s", e.Service, len(e.Groups), e.Owner)
	}
	for _, e := range a.Entries {
		if _, ok := b.Entry(e.Service); !ok {
			add("all callers of "+e.Service+" are refused", "service %s is removed", e.Service)
		}
	}
	for _, s := range b.PlannedStops {
		if !a.HasPlannedStop(s.Target) {
			add("", "database %s is to be left in peace: it gets no new work", s.Target)
		}
	}
	for _, s := range a.PlannedStops {
		if !b.HasPlannedStop(s.Target) {
			add("", "database %s takes work again", s.Target)
		}
	}
	if !reflect.DeepEqual(a.DataCentres, b.DataCentres) || !reflect.DeepEqual(a.Links, b.Links) {
		add("", "data centres or the delays between them change")
	}
	return out
}

func diffEntry(a, b Entry) []Difference {
	var out []Difference
	add := func(impact, format string, args ...any) {
		out = append(out, Difference{Text: b.Service + ": " + fmt.Sprintf(format, args...), CallerImpact: impact})
	}
	if a.Owner != b.Owner || a.Title != b.Title {
		add("", "owner or title changes (owner %s, title %s)", b.Owner, b.Title)
	}
	if a.Contract != b.Contract {
		add(contractImpact(a.Contract, b.Contract), "contract changes from %+v to %+v", a.Contract, b.Contract)
	}
	if !slices.Equal(sorted(a.GroupNames()), sorted(b.GroupNames())) {
		add("records of this service are looked for in other groups", "its groups change from %v to %v", a.GroupNames(), b.GroupNames())
	}
	for _, g := range b.Groups {
		old, ok := a.Group(g.Name)
		if !ok {
			continue
		}
		out = append(out, diffGroup(b.Service, old, g)...)
	}
	return out
}

// contractImpact returns the effect on callers of a change of contract; empty
// if no limit gets stricter.
func contractImpact(a, b Contract) string {
	if b.Connections < a.Connections || b.QueueLimit < a.QueueLimit || b.StatementTimeout < a.StatementTimeout {
		return "callers may be refused sooner when it is busy"
	}
	return ""
}

func diffGroup(service string, a, b Group) []Difference {
	var out []Difference
	for _, t := range b.Targets {
		old, ok := a.Target(t.ID)
		switch {
		case !ok:
			out = append(out, Difference{Text: fmt.Sprintf("%s: database %s joins group %s", service, t.ID, b.Name)})
		case old != t:
			out = append(out, Difference{
				Text:         fmt.Sprintf("%s: database %s moves from %s (%s) to %s (%s)", service, t.ID, old.Address, old.DataCentre, t.Address, t.DataCentre),
				CallerImpact: "work in progress at " + string(t.ID) + " is interrupted",
			})
		}
	}
	for _, t := range a.Targets {
		if _, ok := b.Target(t.ID); !ok {
			out = append(out, Difference{
				Text:         fmt.Sprintf("%s: database %s leaves group %s", service, t.ID, b.Name),
				CallerImpact: "work in progress at " + string(t.ID) + " is interrupted; plan a stop of it first",
			})
		}
	}
	return out
}

func sorted(s []string) []string {
	s = slices.Clone(s)
	slices.Sort(s)
	return s
}
