// Package cwcatalogue models the catalogue, the configuration that operators
// write.
//
// A catalogue has data centres, links between them, and entries. An entry
// describes a database service: its owner, its contract (service class and
// limits), and the groups of replicated targets that hold its data. A planned
// stop names a target that gets no new work. Operators never configure a term,
// a log position or a primary; the proxies find those out.
//
// A catalogue is an immutable value with a revision; the With methods return
// changed copies. Validate lists every invalid field, Diff describes to an
// operator what a new catalogue changes.
package cwcatalogue

import (
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Revision counts the accepted changes of the catalogue. The first one has
// revision 1.
type Revision uint64

// Class is the service class of an entry. It decides between offloading the
// primary and low latency.
type Class string

// Service classes.
const (
	// ClassReplicaReads prefers replicas for reads: a read may wait until a replica
	// has caught up.
	ClassReplicaReads Class = "replicaReads"
	// ClassFastWrites prefers low latency: a read goes to the primary at once
	// instead of waiting for a replica.
	ClassFastWrites Class = "fastWrites"
)

// ReadConsistency is the read consistency of an entry: which data a read may see.
type ReadConsistency string

// Read consistency levels.
const (
	// ReadByCaller leaves the choice to the caller's session settings.
	ReadByCaller ReadConsistency = ""
	// ReadLatest requires a read to see every write that was acknowledged
	// before the read.
	ReadLatest ReadConsistency = "newest"
	// ReadBoundedStaleness allows data that is stale by at most the contract's MaxAge.
	ReadBoundedStaleness ReadConsistency = "aged"
	// ReadYourWrites allows data that is stale by at most the contract's MaxAge
	// and contains the session's own writes.
	ReadYourWrites ReadConsistency = "ownWrites"
)

// DataCentre is a failure domain: the network can cut it off from the other
// data centres.
type DataCentre struct {
	Name   string
	Region string
}

// Link is the network path between two data centres.
type Link struct {
	// A and B are the names of the data centres.
	A, B string
	// Delay is the one-way delay.
	Delay time.Duration
}

// Target is one database server.
type Target struct {
	ID         cwgroup.MemberID
	DataCentre string
	// Address is IP:port.
	Address string
}

// Group is a replica set: targets that replicate one log. The order of Targets
// has no meaning.
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

// Target returns the target with the id, or false if the group has none.
func (g Group) Target(id cwgroup.MemberID) (Target, bool) {
	i := slices.IndexFunc(g.Targets, func(t Target) bool { return t.ID == id })
	if i < 0 {
		return Target{}, false
	}
	return g.Targets[i], true
}

// Contract is the service class and the limits of an entry.
type Contract struct {
	Class Class
	// Connections is the number of connections that each target accepts, for
	// all clients together.
	Connections int
	// Slots is the number of statements that a target executes at once without
	// slowing down. It is the initial value of an adaptive concurrency limit.
	Slots int
	// QueueLimit is the number of statements that may wait for one target at
	// one proxy.
	QueueLimit int
	// StatementTimeout bounds one statement, including its time in the queue.
	StatementTimeout time.Duration
	// AckTimeout bounds the wait for a majority after a write.
	AckTimeout time.Duration
	// ReadWait is how long a read may wait for a replica to catch up.
	ReadWait time.Duration
	// ChecksTerm is true if the targets check the term of every control
	// command, such as a promotion, that they receive.
	ChecksTerm bool
	// FailoverWithoutTable allows a failover while the platform's table is
	// unavailable. It requires ChecksTerm.
	FailoverWithoutTable bool
	// Reads is the consistency level of reads.
	Reads ReadConsistency
	// MaxAge is the maximum staleness of data under ReadBoundedStaleness and
	// ReadYourWrites.
	MaxAge time.Duration
	// Aim is the latency objective for a whole operation; zero if there is
	// none.
	Aim time.Duration
	// Priority orders entries that share targets; zero is the highest.
	Priority int
	// IdleTransaction is how long a transaction may be idle; zero means no
	// limit.
	IdleTransaction time.Duration
}

// Entry describes a database service.
type Entry struct {
	// Service is the unique name of the service, which callers connect to.
	Service  string
	Title    string
	Owner    string
	Contract Contract
	Groups   []Group
	// Public is true if callers need no key.
	Public bool
}

// Group returns the entry's group with the name, or false if there is none.
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

// PlannedStop is a planned stop of a target. Until it is withdrawn, the target gets
// no new work.
type PlannedStop struct {
	Target cwgroup.MemberID
	// PlannedBy is the operator who planned the stop; Note is the reason.
	PlannedBy, Note string
	// PlannedAt is when the stop was planned, not when it takes place.
	PlannedAt time.Time
}

// Catalogue is one revision of the whole configuration. Callers must not
// change the slices of a catalogue; use the With methods.
type Catalogue struct {
	Revision    Revision
	DataCentres []DataCentre
	Links       []Link
	Entries     []Entry
	// EntryTable replaces Entries in catalogues that can have tens of thousands of
	// entries; nil in others.
	EntryTable   *EntryTable
	PlannedStops []PlannedStop
	// KeyRequired is true if callers must present a key, which identifies their
	// workspace, except for public entries.
	KeyRequired bool
	Workspaces  []Workspace
}

// Entry returns the entry of the service, or false if Entries has none. It
// does not search EntryTable.
func (c Catalogue) Entry(service string) (Entry, bool) {
	i := slices.IndexFunc(c.Entries, func(e Entry) bool { return e.Service == service })
	if i < 0 {
		return Entry{}, false
	}
	return c.Entries[i], true
}

// HasPlannedStop reports whether the catalogue has a planned stop of the target.
func (c Catalogue) HasPlannedStop(id cwgroup.MemberID) bool {
	return slices.ContainsFunc(c.PlannedStops, func(s PlannedStop) bool { return s.Target == id })
}

// HasTarget reports whether any group in Entries has the target.
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

// LinkDelay returns the one-way delay between two data centres, zero within one,
// and MaxLinkDelay if the catalogue has no link between them.
func (c Catalogue) LinkDelay(a, b string) time.Duration {
	if a == b {
		return 0
	}
	for _, l := range c.Links {
		if l.A == a && l.B == b || l.A == b && l.B == a {
			return l.Delay
		}
	}
	return MaxLinkDelay
}

// MaxLinkDelay is the one-way delay assumed between data centres without a link,
// and the longest delay that a link may have.
const MaxLinkDelay = time.Second

// WithRevision returns a copy with the revision.
func (c Catalogue) WithRevision(r Revision) Catalogue {
	c.Revision = r
	return c
}

// WithEntry returns a copy that has e in place of the entry of the same
// service, if there is one.
func (c Catalogue) WithEntry(e Entry) Catalogue {
	c.Entries = slices.DeleteFunc(slices.Clone(c.Entries), func(o Entry) bool { return o.Service == e.Service })
	c.Entries = append(c.Entries, e)
	return c
}

// WithPlannedStop returns a copy with the planned stop. If the target already has a
// planned stop, that one is kept unchanged.
func (c Catalogue) WithPlannedStop(s PlannedStop) Catalogue {
	if c.HasPlannedStop(s.Target) {
		return c
	}
	c.PlannedStops = append(slices.Clone(c.PlannedStops), s)
	return c
}

// WithoutPlannedStop returns a copy without the planned stop of the target.
func (c Catalogue) WithoutPlannedStop(id cwgroup.MemberID) Catalogue {
	c.PlannedStops = slices.DeleteFunc(slices.Clone(c.PlannedStops), func(s PlannedStop) bool { return s.Target == id })
	return c
}

// NewerThan reports whether c replaces o. Comparing revisions is enough to
// merge catalogues from several sources: the platform's table gives each
// accepted change a revision of its own, and a proxy only moves to a higher
// one, so an outdated row or peer cannot revert a change.
func (c Catalogue) NewerThan(o Catalogue) bool { return c.Revision > o.Revision }
