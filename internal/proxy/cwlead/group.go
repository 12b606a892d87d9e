// Package cwlead knows, for one proxy, who leads a group of targets that tell
// nothing unasked, and replaces a primary that has failed.
//
// What a Group knows comes from the traffic's own answers, each of which tells
// where a log stands, and from asking targets about themselves. It asks no more
// often than the traffic needs.
//
// Who leads is confirmed by a majority of the members, the primary among them,
// and the confirmation counts for Lease. A change of primary first makes a
// majority of the members stop receiving, so no confirmation of the old primary
// is younger than that. And no proxy acknowledges a commit of a new term before
// it has known that term for Lease. So while a confirmation counts, nothing has
// been acknowledged that the confirmed primary lacks.
package cwlead

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Times of a group.
const (
	// Lease is how long a confirmation of the primary counts. Its inverse is
	// the rate of questions. Acknowledgements of a new term wait for it, which
	// costs nothing as long as it is not above what a promotion takes.
	Lease = time.Second
	// refreshAt is the age at which a confirmation that is in use is renewed,
	// so that no read waits for it.
	refreshAt = 650 * time.Millisecond
	// AckTimeout bounds the wait for a second member after a commit. A replica
	// that receives at all does so within a few milliseconds.
	AckTimeout = time.Second
	// LeavingCounts is how long a member that leaves counts towards a majority:
	// the longest that an instance in touch takes to learn of it, with a margin.
	LeavingCounts = 4 * time.Second
	// askTimeout bounds a question to a target on an open connection.
	askTimeout = 300 * time.Millisecond
	// tick is how often time is let pass while something is under way, calmTick
	// otherwise, and idleTick for a group that this proxy neither holds nor uses;
	// whoever uses it wakes it. An instance before a thousand groups uses few.
	tick     = 50 * time.Millisecond
	calmTick = 250 * time.Millisecond
	idleTick = 2 * time.Second
	// calmAsk is how often the primary of a group without traffic is asked.
	calmAsk = 2 * time.Second
	// promotionPatience is how long a promoted member may take to lead before
	// somebody else promotes again. Promotions take about a second.
	promotionPatience = 4 * time.Second
	// traceSpacing is how finely the primary's log is traced; a confirmation by
	// traffic is older than it could be by as much.
	traceSpacing = 20 * time.Millisecond
	// confirmEvery is the least time between two questions for a confirmation:
	// an answer that is there comes within a few milliseconds.
	confirmEvery = 30 * time.Millisecond
	// ackFirst is the wait before the first question for a commit. A record
	// needs about as long to travel, and the traffic's own answers may show it.
	ackFirst = 3 * time.Millisecond
	// ackPollMin and ackPollMax bound the pause between two questions for one
	// commit: from what a busy replica takes to answer one to some hundredths
	// of AckTimeout.
	ackPollMin = 8 * time.Millisecond
	ackPollMax = 40 * time.Millisecond
)

// Config is what a group is made with.
type Config struct {
	Self       cwfailover.InstanceID
	DataCentre string
	Service    string
	Clock      clockwork.Clock
	Log        *log.Logger
	Dialer     cwport.Dialer
	Table      cwplatform.Table
	// Era returns the newest era of the table's data that any answer has told; nil
	// if the table never comes back from an older copy.
	Era      func() uint64
	Promoter cwport.Promoter
	// Path is shared by the groups of an instance; nil stands for one of this
	// group's own.
	Path *Path
	// Turn is the least time between the acts of two holders.
	Turn time.Duration
	// Seed makes claim ids unique; it must differ between processes.
	Seed string
}

// Group is what one proxy knows and does about one group.
type Group struct {
	cfg Config

	mu      sync.Mutex
	members map[cwgroup.MemberID]*Member
	sup     *cwfailover.Supervisor
	// size is how many members the group has at least, listed or not.
	size int
	// trace is where the primary's log stood. What it shows up to confirmed is
	// what the group's primary had; later samples may come from one that was
	// replaced.
	trace   cwroute.History
	lag     cwroute.LagMeter
	tracker cwack.Tracker
	streams map[cwgroup.MemberID]*stream
	// served is what was last logged of reads.
	served map[servedKey]served
	// restarts are the members that started again under their ids and do not
	// count in full yet.
	restarts map[cwgroup.MemberID]restart
	closed   bool
	// changed is closed and replaced whenever the view changes.
	changed chan struct{}
	// term is the newest term whose primary this proxy knows. At learnt the
	// members had been fenced for it; start is where its log stood when its
	// primary was first seen.
	term   cwgroup.Term
	learnt time.Time
	start  cwgroup.Mark
	// confirmAt is when a confirmation may be asked for again.
	confirmAt time.Time
	// confirmed is when a majority was last known to be in term, and usedAt
	// when a statement last asked for the group.
	confirmed, usedAt time.Time
	// usedSince is when the present time of use began.
	usedSince time.Time
	// acking is true while replicas are asked for commits that wait, and asked
	// holds the members to which a question is on its way.
	acking bool
	asked  map[cwgroup.MemberID]bool
	// row is the group's row in the table as it was seen at rowSeen. Its term
	// never falls.
	row     cwfailover.Row
	rowSeen time.Time
	// rowTerm is the newest known term when the row came, or the one before if
	// the row's primary led by then. Claims are numbered on their own: attempts
	// that failed count there and not in the members' terms.
	rowTerm cwgroup.Term
	// synchronous is true if a primary itself waits for a replica.
	synchronous bool
	// rank is this proxy's place among those that may replace the primary.
	rank int
	// unheld is true if other proxies hold the group; then this one watches it
	// only while it is used here.
	unheld bool
	// lost are the members that took no connection lately. One that was never
	// heard of can be among them.
	lost map[cwgroup.MemberID]bool
	// unservedAt is when a statement was last refused here after holders could not
	// run it.
	unservedAt time.Time
	// hurry has an element if the next tick is to come at once.
	hurry chan struct{}
	// silentSince is since when the primary has been probed in
	// vain; zero if it has not.
	silentSince time.Time
	// cutOff is true while most members cannot be reached from here.
	cutOff atomic.Bool
	// overtaken is true from when others were taken to serve the group until most
	// members are in reach again. Meanwhile the row is read at readRowAt, and
	// rowLost is true if it could not be.
	overtaken, rowLost bool
	readRowAt          time.Time
	// reached is true while a majority of them has answered lately.
	reached atomic.Bool
	// fence is the version of the table row that holds this proxy's claim.
	fence uint64
	// era is that of the table's data as this proxy was told, and restoredAt when
	// it learnt that the table had come back from an older copy; zero if it has
	// not.
	era        uint64
	restoredAt time.Time
	// rowRestored is true once it is known whether the row was lost then; checkRowAt
	// is when to look.
	rowRestored bool
	checkRowAt  time.Time
}

// New returns a group without members.
func New(cfg Config) *Group {
	if cfg.Path == nil {
		cfg.Path = &Path{}
	}
	return &Group{
		cfg:      cfg,
		members:  make(map[cwgroup.MemberID]*Member),
		sup:      cwfailover.NewSupervisor(cfg.Self, cfg.Seed, cfg.Service, nil),
		streams:  make(map[cwgroup.MemberID]*stream),
		served:   make(map[servedKey]served),
		asked:    make(map[cwgroup.MemberID]bool),
		lost:     make(map[cwgroup.MemberID]bool),
		changed:  make(chan struct{}),
		restarts: make(map[cwgroup.MemberID]restart),
		hurry:    make(chan struct{}, 1),
		row:      cwfailover.Row{Done: true},
		rank:     rankOf(cfg.Self, cfg.Service),
	}
}

// Name returns the group's name.
func (g *Group) Name() string { return g.cfg.Service }

// Close closes the connections of the group.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		m.Pool.Close()
	}
	g.closed = true
	g.tracker.Close()
	g.notify()
}

// notify wakes those that wait for a change. The caller holds mu.
func (g *Group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}
