// Package cwleadership tracks, for one proxy, the primary of a group of targets that don't
// report their state unasked, and replaces a primary that has failed.
//
// A Group learns the state of its members from the answers to statements, each of which
// carries a log position, and from health checks. It sends health checks only as often
// as the traffic needs them. In each data centre one holder of the group, the observer,
// checks the members on behalf of the other instances there, which count the answers that
// it passes on like their own, with their ages.
//
// Which members count, while they leave and come, is the matter of cwgroup.Reconfiguration:
// acknowledgements, confirmations, fences and the floors of reads all go by its Quorums.
//
// A primary is confirmed when a majority of the members is known to be in its term. A
// confirmation is valid for Lease. A change of primary first fences a majority of the
// members, that is, it stops them from receiving records of the old primary, so the old
// primary can't be confirmed after that. No proxy
// acknowledges a commit of a new term before it has known that term for Lease. While a
// confirmation is valid, the confirmed primary therefore has every acknowledged record.
package cwleadership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwoutlier"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Timeouts and intervals of a group.
const (
	// Lease is how long a confirmation of the primary is valid. The rate of
	// confirmation requests is inversely proportional to it. Acknowledgements in a new
	// term are delayed by it, which costs nothing as long as it is not longer than a
	// promotion takes.
	Lease = time.Second
	// confirmRefreshAge is the age at which a confirmation in use is renewed, so that
	// no read has to wait for a renewal.
	confirmRefreshAge = 650 * time.Millisecond
	// AckTimeout bounds the wait for a second member after a commit. A replica whose
	// replication works receives the record within a few milliseconds.
	AckTimeout = time.Second
	// healthTimeout bounds a health check on an open connection.
	healthTimeout = 300 * time.Millisecond
	// activeTick is the interval of the loop while a change of primary or a restore is
	// in progress, steadyTick the interval otherwise. idleTick applies to a group that
	// this proxy neither holds nor uses; using the group wakes its loop. An instance
	// with a thousand groups uses only a few of them.
	activeTick = 50 * time.Millisecond
	steadyTick = 250 * time.Millisecond
	idleTick   = 2 * time.Second
	// idleCheckInterval is how often the primary of a group without traffic gets a
	// health check.
	idleCheckInterval = 2 * time.Second
	// promotionTimeout is how long a promoted member may take to report as primary
	// before another proxy may start a new promotion. Promotions take about a second.
	promotionTimeout = 4 * time.Second
	// historySpacing is the interval between the samples of the primary's log position.
	// A confirmation derived from traffic can appear older than it is by up to this
	// interval.
	historySpacing = 20 * time.Millisecond
	// confirmInterval is the minimum interval between two requests for a confirmation.
	// A reachable member answers within a few milliseconds.
	confirmInterval = 30 * time.Millisecond
	// ackPollMin and ackPollMax bound the interval between two polls for one commit after
	// the first two: from the time that a busy replica takes to answer a health check to a
	// few hundredths of AckTimeout.
	ackPollMin = 8 * time.Millisecond
	ackPollMax = 40 * time.Millisecond
)

// Config holds the settings and dependencies of a Group.
type Config struct {
	// Self and DataCentre are this proxy's instance id and data centre. Service names
	// the group and its row in Table.
	Self       cwfailover.InstanceID
	DataCentre string
	Service    string
	Clock      clockwork.Clock
	Log        *log.Logger
	Dialer     cwport.Dialer
	Table      cwplatform.Table
	// Era returns the newest era of the table's data in any of its answers so far. The
	// era grows with each restore of the table from an older copy. Era is nil if the
	// table is never restored.
	Era      func() uint64
	Promoter cwport.Promoter
	// RemotePath tracks whether targets in other data centres answer. The groups of an
	// instance share it; if it is nil, New creates one for this group alone.
	RemotePath *RemotePath
	// MinHolderInterval is the minimum time between changes of primary by two different
	// holders.
	MinHolderInterval time.Duration
	// LeavingServes is how long a member that is leaving gets statements; zero if there is
	// no bound. The platform wants none to reach it some time later.
	LeavingServes time.Duration
	// Observers returns the holders of the group, to ask for reports of its members. It
	// is called without any lock of the group held; nil if no other instance is asked.
	Observers func() []cwport.Observer
	// CountCheck is called for each health check that begins, and CountAnswer for each
	// request to an observer that ends; they may be nil.
	CountCheck  func(CheckCause)
	CountAnswer func(cwevidence.Outcome)
	// OnOutlier is called when a member is ejected from reads or readmitted; it may be
	// nil.
	OnOutlier func(cwoutlier.Event)
	// ClaimSeed makes claim ids unique; it must differ between processes.
	ClaimSeed string
}

// Group tracks the members and the primary of one group for one proxy, places
// statements, and carries out changes of primary. Its methods are safe for concurrent
// use.
type Group struct {
	cfg Config

	mu      sync.Mutex
	members map[cwgroup.MemberID]*Member
	sup     *cwfailover.Supervisor
	// size is the minimum number of members of the group, listed or not.
	size int
	// reconfiguration tells which members count while they leave and come. nextSettleAt is
	// the earliest time of the next request for reports to settle a change.
	reconfiguration cwgroup.Reconfiguration
	nextSettleAt    time.Time
	// history samples the log position of the primary. Samples up to confirmedAt are of
	// the group's primary; later ones may be of a primary that has been replaced.
	history cwroute.PositionHistory
	// applied estimates what each replica has applied.
	applied cwroute.ApplyTracker
	// outliers finds the members that serve worse than the others.
	outliers    cwoutlier.Detector
	tracker     cwack.Tracker
	logProgress map[cwgroup.MemberID]*logProgress
	// readLog holds the last log entry of reads, by member and basis.
	readLog map[readLogKey]readLogEntry
	// restarts holds the members that restarted under the same id and have not regained
	// their full vote.
	restarts map[cwgroup.MemberID]restart
	closed   bool
	// changed is closed and replaced whenever the view changes.
	changed chan struct{}
	// term is the newest term whose primary this proxy knows. termLearntAt is a time by
	// which the members had been fenced for it. termStart is the log position of its
	// primary when this proxy first saw it.
	term         cwgroup.Term
	termLearntAt time.Time
	termStart    cwgroup.LogPosition
	// refusedTerm is the newest term for which a member refused to be fenced since some member
	// had been promoted in it, out of sight of this proxy.
	refusedTerm cwgroup.Term
	// nextConfirmAt is the earliest time of the next request for a confirmation.
	nextConfirmAt time.Time
	// confirmedAt is when a majority was last known to be in term, and lastUsedAt when
	// a statement last used the group.
	confirmedAt, lastUsedAt time.Time
	// inUseSince is the start of the current period of use.
	inUseSince time.Time
	// ackDelays holds how long after a commit each replica is expected to have the record.
	ackDelays map[cwgroup.MemberID]cwevidence.AckDelay
	// pollingAcks is true while replicas are polled for waiting commits. checking holds
	// the members with a health check or a probe in progress.
	pollingAcks bool
	checking    map[cwgroup.MemberID]bool
	// row is the group's row in the table as read at rowSeenAt. Its term never
	// decreases.
	row       cwfailover.Row
	rowSeenAt time.Time
	// termWhenRowSeen is the value of term when row was read, or one less if the row's
	// primary was already known to lead. It is kept because claims are numbered
	// separately: failed attempts count in the row's term but not in the members'
	// terms.
	termWhenRowSeen cwgroup.Term
	// rank is this proxy's rank among those that may replace the primary.
	rank int
	// heldElsewhere is true if other proxies hold the group; this proxy then watches it
	// only while it is used here.
	heldElsewhere bool
	// unreachable holds the members whose last connection attempt failed, including
	// members that never reported.
	unreachable map[cwgroup.MemberID]bool
	// backoffs space the checks of members that can't be reached, and roundBackoff those
	// of the other members while a majority can't be reached.
	backoffs     map[cwgroup.MemberID]cwevidence.Backoff
	roundBackoff cwevidence.Backoff
	// lastHealth holds the last answer of each member to a health check, to be passed on,
	// and lastCheckAt when the last check of each member began here.
	lastHealth  map[cwgroup.MemberID]healthAnswer
	lastCheckAt map[cwgroup.MemberID]time.Time
	// source chooses the observer to ask. observed is true if the last choice was another
	// instance. inquiring holds the causes with a request in progress. rounds schedules
	// the requests while the primary is unknown or in doubt.
	source    cwevidence.Source
	observed  bool
	inquiring map[CheckCause]bool
	rounds    cwevidence.Rounds
	// startInquiry is closed when the requests to observers at the beginning of the
	// current period of use have ended; nil if there are none.
	startInquiry chan struct{}
	// pathSuspected is whether the path to other data centres was in doubt at the last
	// tick.
	pathSuspected bool
	// lastUnservedAt is when this proxy last refused a statement that holders of the
	// group could not run either.
	lastUnservedAt time.Time
	// wakeups has an element if the loop is to run its next tick at once.
	wakeups chan struct{}
	// primarySilentSince is when the primary was first found not to answer; zero if it
	// answers.
	primarySilentSince time.Time
	// majorityUnreachable is true while fewer than a majority of the members can be
	// reached.
	majorityUnreachable atomic.Bool
	// servedElsewhere is set once other instances are likely to serve the group while
	// this one can't, and cleared once a majority of the members can be reached again.
	// While a majority can't be reached, the row is read at nextRowReadAt;
	// rowUnreadable is true if the last read failed.
	servedElsewhere, rowUnreadable bool
	nextRowReadAt                  time.Time
	// majorityAnswering is true while a majority of the members has answered within
	// Lease.
	majorityAnswering atomic.Bool
	// fencingToken is the version of the table row that holds this proxy's claim. It is
	// sent with promotions.
	fencingToken uint64
	// era is the era of the table's data as last passed to SetEra. restoredAt is when
	// this proxy learnt that the table had been restored from an older copy; zero if it
	// has not been.
	era        uint64
	restoredAt time.Time
	// rowLossChecked is true once it is known whether the restore lost the row;
	// nextRestoreCheckAt is when to check.
	rowLossChecked     bool
	nextRestoreCheckAt time.Time
}

// New returns a group without members. Call SetMembers to add them and Run to start its
// loop.
func New(cfg Config) *Group {
	if cfg.RemotePath == nil {
		cfg.RemotePath = &RemotePath{}
	}
	return &Group{
		cfg:         cfg,
		members:     make(map[cwgroup.MemberID]*Member),
		sup:         cwfailover.NewSupervisor(cfg.Self, cfg.ClaimSeed, cfg.Service, nil),
		logProgress: make(map[cwgroup.MemberID]*logProgress),
		readLog:     make(map[readLogKey]readLogEntry),
		checking:    make(map[cwgroup.MemberID]bool),
		unreachable: make(map[cwgroup.MemberID]bool),
		backoffs:    make(map[cwgroup.MemberID]cwevidence.Backoff),
		lastHealth:  make(map[cwgroup.MemberID]healthAnswer),
		lastCheckAt: make(map[cwgroup.MemberID]time.Time),
		inquiring:   make(map[CheckCause]bool),
		ackDelays:   make(map[cwgroup.MemberID]cwevidence.AckDelay),
		changed:     make(chan struct{}),
		restarts:    make(map[cwgroup.MemberID]restart),
		wakeups:     make(chan struct{}, 1),
		row:         cwfailover.Row{Done: true},
		rank:        rankOf(cfg.Self, cfg.Service),
	}
}

// Name returns the group's name.
func (g *Group) Name() string { return g.cfg.Service }

// Close closes the connections of the group and ends the waits of commits without a
// known outcome.
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

// notify wakes everything that waits for a change of the view. The caller holds mu.
func (g *Group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}
