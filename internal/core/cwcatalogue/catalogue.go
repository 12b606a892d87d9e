// Package cwcatalogue models what operators write: the catalogue.
//
// A catalogue has data centres, links between them, and entries. An entry names
// a database service, its owner, and its contract: class and limits. A service
// is kept in one or more groups of targets. Planned stops name targets or
// instances that are to be left in peace. Operators never name a term, a
// position or a primary.
//
// A catalogue is an immutable value with a revision; the With methods return
// changed copies. Check lists every fault, Diff says in plain words what a new
// catalogue changes.
package cwcatalogue

import (
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Revision counts the accepted changes of the catalogue. The first is 1.
type Revision uint64

// Class says which measure an entry's owner weighs more.
type Class string

// The classes.
const (
	// ClassReads favours reads at replicas: a read may wait for one.
	ClassReads Class = "replicaReads"
	// ClassWrites favours short answers: a read goes to the primary at once.
	ClassWrites Class = "fastWrites"
)

// ReadRule says which data a read may see where the entry, rather than the
// caller, settles it.
type ReadRule string

// The rules.
const (
	// ReadByCaller leaves it to the caller's session settings.
	ReadByCaller ReadRule = ""
	// ReadNewest asks for everything that was acknowledged before the read.
	ReadNewest ReadRule = "newest"
	// ReadAged accepts data of the entry's age.
	ReadAged ReadRule = "aged"
	// ReadOwnWrites accepts data of the entry's age that has what the session
	// wrote.
	ReadOwnWrites ReadRule = "ownWrites"
)

// DataCentre is a place that can be cut off from others.
type DataCentre struct {
	Name   string
	Region string
}

// Link is the path between two data centres.
type Link struct {
	A, B string
	// Delay is one way.
	Delay time.Duration
}

// Target is one database.
type Target struct {
	ID         cwgroup.MemberID
	DataCentre string
	// Address is IP:port.
	Address string
}

// Group is a replica set. The order of Targets has no meaning.
type Group struct {
	Name    string
	Targets []Target
}

// MemberIDs returns the ids of the group's targets.
func (g Group) MemberIDs() []cwgroup.MemberID {
	ids := make([]cwgroup.MemberID, 0, len(g.Targets))
	for _, t := range g.Targets {
		ids = append(ids, t.ID)
	}
	return ids
}

// Target returns the target with the id.
func (g Group) Target(id cwgroup.MemberID) (Target, bool) {
	i := slices.IndexFunc(g.Targets, func(t Target) bool { return t.ID == id })
	if i < 0 {
		return Target{}, false
	}
	return g.Targets[i], true
}

// Contract is the class and the limits of an entry.
type Contract struct {
	Class Class
	// Connections is what each target accepts, for everybody together.
	Connections int
	// Slots is the number of statements that a target executes well at once.
	// It seeds an adaptive limit.
	Slots int
	// QueueLimit is the number of statements that may wait for one target at
	// one proxy.
	QueueLimit int
	// StatementTimeout bounds one statement, waiting included.
	StatementTimeout time.Duration
	// AckTimeout bounds the wait for a majority after a write.
	AckTimeout time.Duration
	// ReadWait is how long a read may wait for a replica to catch up.
	ReadWait time.Duration
	// ChecksTerm is true if the targets check the term of every order.
	ChecksTerm bool
	// FailoverWithoutTable lets a primary be replaced while the platform's
	// table is away. It needs ChecksTerm.
	FailoverWithoutTable bool
	// Reads says which data a read may see.
	Reads ReadRule
	// MaxAge is the age of data that ReadAged and ReadOwnWrites accept.
	MaxAge time.Duration
	// Aim is how soon callers want a whole operation done; zero if not told.
	Aim time.Duration
	// Priority orders entries that share targets; zero is the highest.
	Priority int
	// Synchronous is true if a primary acknowledges a commit only once a
	// replica has it.
	Synchronous bool
	// IdleTransaction is how long a transaction may rest; zero means no bound.
	IdleTransaction time.Duration
}

// Entry is a database service.
type Entry struct {
	Service  string
	Title    string
	Owner    string
	Contract Contract
	Groups   []Group
	// Public is true if callers need no key.
	Public bool
}

// Group returns the entry's group with the name.
func (e Entry) Group(name string) (Group, bool) {
	i := slices.IndexFunc(e.Groups, func(g Group) bool { return g.Name == name })
	if i < 0 {
		return Group{}, false
	}
	return e.Groups[i], true
}

// GroupNames returns the names of the entry's groups.
func (e Entry) GroupNames() []string {
	names := make([]string, 0, len(e.Groups))
	for _, g := range e.Groups {
		names = append(names, g.Name)
	}
	return names
}

// Stop is a planned stop of a target.
type Stop struct {
	Target cwgroup.MemberID
	// By is who planned it; Note is why.
	By, Note  string
	PlannedAt time.Time
}

// Catalogue is everything that operators wrote. Callers must not change the
// slices of a catalogue; use the With methods.
type Catalogue struct {
	Revision    Revision
	DataCentres []DataCentre
	Links       []Link
	Entries     []Entry
	// Table has the entries in place of Entries where they can be tens of
	// thousands; nil elsewhere.
	Table *Table
	Stops []Stop
	// Keyed is true if callers show by a key to which workspace they belong.
	Keyed      bool
	Workspaces []Workspace
}

// Entry returns the entry of the service.
func (c Catalogue) Entry(service string) (Entry, bool) {
	i := slices.IndexFunc(c.Entries, func(e Entry) bool { return e.Service == service })
	if i < 0 {
		return Entry{}, false
	}
	return c.Entries[i], true
}

// Stopping reports whether a stop of the target is planned.
func (c Catalogue) Stopping(id cwgroup.MemberID) bool {
	return slices.ContainsFunc(c.Stops, func(s Stop) bool { return s.Target == id })
}

// HasTarget reports whether any group has the target.
func (c Catalogue) HasTarget(id cwgroup.MemberID) bool {
	for _, e := range c.Entries {
		for _, g := range e.Groups {
			if _, ok := g.Target(id); ok {
				return true
			}
		}
	}
	return false
}

// Distance returns the one-way delay between two data centres, zero within one,
// and FarAway if no link is known.
func (c Catalogue) Distance(a, b string) time.Duration {
	if a == b {
		return 0
	}
	for _, l := range c.Links {
		if l.A == a && l.B == b || l.A == b && l.B == a {
			return l.Delay
		}
	}
	return FarAway
}

// FarAway is the distance between data centres without a link.
const FarAway = time.Second

// WithRevision returns a copy with the revision.
func (c Catalogue) WithRevision(r Revision) Catalogue {
	c.Revision = r
	return c
}

// WithEntry returns a copy in which e replaces or joins the entries.
func (c Catalogue) WithEntry(e Entry) Catalogue {
	c.Entries = slices.DeleteFunc(slices.Clone(c.Entries), func(o Entry) bool { return o.Service == e.Service })
	c.Entries = append(c.Entries, e)
	return c
}

// WithStop returns a copy in which the stop is planned. A stop of the same
// target that is planned already stays as it is.
func (c Catalogue) WithStop(s Stop) Catalogue {
	if c.Stopping(s.Target) {
		return c
	}
	c.Stops = append(slices.Clone(c.Stops), s)
	return c
}

// WithoutStop returns a copy without the stop of the target.
func (c Catalogue) WithoutStop(id cwgroup.MemberID) Catalogue {
	c.Stops = slices.DeleteFunc(slices.Clone(c.Stops), func(s Stop) bool { return s.Target == id })
	return c
}

// NewerThan reports whether c replaces o. It is all that merging takes: every
// accepted change has a revision of its own from the table, and a proxy only
// ever moves to a higher one, so an old row or an old peer can never make a
// change revert.
func (c Catalogue) NewerThan(o Catalogue) bool { return c.Revision > o.Revision }
