// Package cwdatabase emulates one PostgreSQL database of a replicated group, for
// tests, demos and measurements. All data is in memory.
//
// A Member serves PostgreSQL protocol 3 and runs SQL on an embedded SQLite
// engine. The primary appends a record to its log for each committed write
// transaction. Each record has a term and an index. Replicas copy the log of
// the primary asynchronously over the same protocol and run the records on their
// own data.
//
// A member takes the control commands of the platform's groups: group_adopt
// fences it in a term, group_promote makes it the primary of that term, and
// group_follow makes it a replica of a given primary. Faults are set at run time
// with SetFaults.
package cwdatabase

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Error is the class of the package's own errors.
var Error = errs.Class("database stand-in")

// Config configures a member.
type Config struct {
	// ID is the member's id in the catalogue.
	ID cwgroup.MemberID
	// Listen is the IP address and port to listen on; port 0 picks a free port.
	Listen string
	// MaxConnections is the maximum number of client connections. Replication
	// connections are not counted.
	MaxConnections int
	// Slots is the number of statements executed concurrently; further
	// statements queue. Values below 1 count as 1.
	Slots int
	// ConnectDelay is added to the startup of each client connection.
	ConnectDelay time.Duration
	// ChecksTerm makes the member refuse control commands of an earlier term, or
	// of its own term under another claim, and replication requests of another
	// term. Without it the member accepts any.
	ChecksTerm bool
	// Databases lists the database names that clients can connect to; if it is
	// empty, every name is accepted.
	Databases []string
	// Primary starts the member as the primary of term 1.
	Primary bool
	// PrimaryAddr is the address of the primary of term 1, for a replica.
	PrimaryAddr string
	// PrimaryID is the id of the primary at PrimaryAddr.
	PrimaryID cwgroup.MemberID
}

// Faults are the faults that a member injects. The zero value injects none.
type Faults struct {
	// StreamLag delays the receipt of log records at this replica.
	StreamLag time.Duration
	// ApplyLag delays the application of received log records to the data of
	// this replica.
	ApplyLag time.Duration
	// ServiceTime is added to each statement while it holds a slot.
	ServiceTime time.Duration
	// Frozen stops all answers, as in a paused process. Connections are still
	// accepted by the kernel.
	Frozen bool
	// LoseCommitAnswers is the number of commits that take effect but whose
	// connection is closed instead of the answer being sent.
	LoseCommitAnswers int
	// DropBeforeCommit is the number of commits whose connection is closed
	// before the commit takes effect.
	DropBeforeCommit int
	// NoReplication cuts this member off from its primary and its replicas.
	NoReplication bool
}

// record is one entry of the log: a committed write transaction, or the start of
// a term if it has no statements. It is sent to replicas as JSON.
type record struct {
	Term  cwgroup.Term
	Stmts []statement
}

// Member is one database of a group. Start creates and serves one.
type Member struct {
	cfg    Config
	engine *engine
	server *server

	// writeLock is a semaphore of one. It is held by the open write transaction
	// and by whatever applies log records. It is acquired before mu, never while
	// mu is held.
	writeLock chan struct{}

	mu           sync.Mutex
	role         cwgroup.Role
	adoptedTerm  cwgroup.Term
	adoptedClaim cwgroup.ClaimID
	// log holds the record with log index i in log[i-1].
	log []record
	// applied is the log index of the last record that the engine has run.
	applied cwgroup.LogIndex
	// primaryAddr and primaryID are the address and id of the primary that a
	// replica follows; empty if there is none.
	primaryAddr string
	primaryID   cwgroup.MemberID
	// lastHeard is when this replica last received a message from its primary.
	lastHeard time.Time
	// openWrites is the number of open write transactions.
	openWrites int
	faults     Faults
	// changed is closed and replaced by notify after a change of the role, term,
	// log, data or faults.
	changed chan struct{}
}

func newMember(cfg Config) (*Member, error) {
	e, err := newEngine()
	if err != nil {
		return nil, err
	}
	m := &Member{
		cfg:         cfg,
		engine:      e,
		writeLock:   make(chan struct{}, 1),
		adoptedTerm: 1,
		lastHeard:   time.Now(),
		primaryAddr: cfg.PrimaryAddr,
		primaryID:   cfg.PrimaryID,
		changed:     make(chan struct{}),
	}
	if cfg.Primary {
		m.role = cwgroup.RolePrimary
		m.log = []record{{Term: 1}}
		m.applied = 1
	}
	return m, nil
}

// notify wakes all goroutines that wait on changed. The caller holds mu.
func (m *Member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// positionAt returns the log position of the record with index p; the zero position
// for index 0. The caller holds mu.
func (m *Member) positionAt(p cwgroup.LogIndex) cwgroup.LogPosition {
	if p == 0 {
		return cwgroup.LogPosition{}
	}
	return cwgroup.LogPosition{Term: m.log[p-1].Term, Index: p}
}

// Status returns the member's role, term and log positions.
func (m *Member) Status() cwgroup.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.statusLocked()
}

func (m *Member) statusLocked() cwgroup.Status {
	s := cwgroup.Status{
		Member:      m.cfg.ID,
		Role:        m.role,
		AdoptedTerm: m.adoptedTerm,
		Claim:       m.adoptedClaim,
		Durable:     m.positionAt(cwgroup.LogIndex(len(m.log))),
		Applied:     m.positionAt(m.applied),
		OpenWrites:  m.openWrites,
	}
	if m.role != cwgroup.RolePrimary {
		s.UpstreamAge = time.Since(m.lastHeard)
	}
	return s
}

// SetFaults replaces the injected faults.
func (m *Member) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.notify()
}

// Faults returns the injected faults. LoseCommitAnswers and DropBeforeCommit are
// the numbers that remain.
func (m *Member) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// StaleOrderError reports a control command, or a replication request or stream,
// whose term or claim is not the one that the member is in.
type StaleOrderError struct {
	// Order is the term of the command, and Adopted the member's term.
	Order, Adopted cwgroup.Term
}

func (e *StaleOrderError) Error() string { return "the member has adopted another term or claim" }

// acceptsOrder reports whether the member accepts a control command of the term
// and claim: one of a later term, or of its own term if its claim is unset or
// the same. Without Config.ChecksTerm it accepts every command.
func (m *Member) acceptsOrder(t cwgroup.Term, c cwgroup.ClaimID) bool {
	if !m.cfg.ChecksTerm {
		return true
	}
	return t > m.adoptedTerm || t == m.adoptedTerm && (m.adoptedClaim == c || m.adoptedClaim == "")
}

// adoptTerm executes group_adopt: it moves the member to a term and claim and
// fences it, so that it accepts no control command or log record of an earlier
// term. It returns a *StaleOrderError if the member has adopted a later term, or
// the same term under another claim or under none.
func (m *Member) adoptTerm(t cwgroup.Term, c cwgroup.ClaimID) (cwgroup.Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.acceptsOrder(t, c) || m.cfg.ChecksTerm && t == m.adoptedTerm && m.adoptedClaim == "" {
		return m.statusLocked(), &StaleOrderError{Order: t, Adopted: m.adoptedTerm}
	}
	if t != m.adoptedTerm || c != m.adoptedClaim {
		m.adoptedTerm, m.adoptedClaim = t, c
		m.setRole(cwgroup.RoleFenced)
		m.primaryAddr, m.primaryID = "", ""
	}
	m.notify()
	return m.statusLocked(), nil
}

// promote executes group_promote: it makes the member the primary of a term that
// it has adopted. All records in its log are applied first, and a start-of-term
// record is appended.
func (m *Member) promote(ctx context.Context, t cwgroup.Term, c cwgroup.ClaimID) (cwgroup.Status, error) {
	if err := m.acquireWriteLock(ctx); err != nil {
		return m.Status(), err
	}
	defer func() { <-m.writeLock }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cfg.ChecksTerm && (t != m.adoptedTerm || c != m.adoptedClaim) {
		return m.statusLocked(), &StaleOrderError{Order: t, Adopted: m.adoptedTerm}
	}
	if m.role == cwgroup.RolePrimary && m.adoptedTerm == t {
		return m.statusLocked(), nil
	}
	for int(m.applied) < len(m.log) {
		if err := m.engine.applyRecord(ctx, m.log[m.applied].Stmts); err != nil {
			return m.statusLocked(), err
		}
		m.applied++
	}
	m.adoptedTerm, m.adoptedClaim = t, c
	m.role = cwgroup.RolePrimary
	m.primaryAddr, m.primaryID = "", ""
	m.log = append(m.log, record{Term: t})
	m.applied++
	m.notify()
	return m.statusLocked(), nil
}

// followPrimary executes group_follow: it makes the member a replica of the
// primary with the id and address. It returns a *StaleOrderError if the term or
// claim is stale, or if the member itself is the primary of the term.
func (m *Member) followPrimary(t cwgroup.Term, c cwgroup.ClaimID, id cwgroup.MemberID, addr string) (cwgroup.Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.acceptsOrder(t, c) {
		return m.statusLocked(), &StaleOrderError{Order: t, Adopted: m.adoptedTerm}
	}
	if m.role == cwgroup.RolePrimary && m.adoptedTerm == t && m.cfg.ChecksTerm {
		return m.statusLocked(), &StaleOrderError{Order: t, Adopted: m.adoptedTerm}
	}
	m.adoptedTerm, m.adoptedClaim = t, c
	m.setRole(cwgroup.RoleReplica)
	m.primaryAddr, m.primaryID = addr, id
	m.notify()
	return m.statusLocked(), nil
}

// setRole changes the role. A primary that is demoted terminates the sessions
// that have a write transaction open. The caller holds mu.
func (m *Member) setRole(r cwgroup.Role) {
	if m.role == cwgroup.RolePrimary && r != cwgroup.RolePrimary && m.server != nil {
		go m.server.terminateWriters()
	}
	m.role = r
}

// acquireWriteLock waits for writeLock until ctx ends.
func (m *Member) acquireWriteLock(ctx context.Context) error {
	select {
	case m.writeLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NotPrimaryError reports a write at a member that is not the primary, or no
// longer the primary of the term in which the transaction began.
type NotPrimaryError struct{ Role cwgroup.Role }

func (e *NotPrimaryError) Error() string { return "cannot write at a " + e.Role.String() }

// begin opens a write transaction and returns the current term. The transaction
// can commit only in that term. It holds writeLock until commit or rollback.
func (m *Member) begin(ctx context.Context) (cwgroup.Term, error) {
	if err := m.checkPrimary(); err != nil {
		return 0, err
	}
	if err := m.acquireWriteLock(ctx); err != nil {
		return 0, err
	}
	m.mu.Lock()
	term, role := m.adoptedTerm, m.role
	if role == cwgroup.RolePrimary {
		m.openWrites++
	}
	m.mu.Unlock()
	if role != cwgroup.RolePrimary {
		<-m.writeLock
		return 0, &NotPrimaryError{Role: role}
	}
	if _, err := m.engine.writeConn.ExecContext(context.WithoutCancel(ctx), "BEGIN"); err != nil {
		m.releaseWrite()
		return 0, Error.Wrap(err)
	}
	return term, nil
}

// checkPrimary returns a *NotPrimaryError if the member is not the primary.
func (m *Member) checkPrimary() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != cwgroup.RolePrimary {
		return &NotPrimaryError{Role: m.role}
	}
	return nil
}

// releaseWrite counts a write transaction as closed and releases writeLock.
func (m *Member) releaseWrite() {
	m.mu.Lock()
	m.openWrites--
	m.mu.Unlock()
	<-m.writeLock
}

// rollback rolls back the open write transaction.
func (m *Member) rollback() {
	_, _ = m.engine.writeConn.ExecContext(context.Background(), "ROLLBACK")
	m.releaseWrite()
}

// commit commits the open write transaction and appends a record of stmts to the
// log. It returns the log position of that record, or of the end of the log if
// stmts is empty. It returns a *NotPrimaryError, and rolls back, if the member is no
// longer the primary of the term.
func (m *Member) commit(term cwgroup.Term, stmts []statement) (cwgroup.LogPosition, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer func() {
		m.openWrites--
		<-m.writeLock
	}()
	ctx := context.Background()
	if m.role != cwgroup.RolePrimary || m.adoptedTerm != term {
		_, _ = m.engine.writeConn.ExecContext(ctx, "ROLLBACK")
		return cwgroup.LogPosition{}, &NotPrimaryError{Role: m.role}
	}
	if _, err := m.engine.writeConn.ExecContext(ctx, "COMMIT"); err != nil {
		_, _ = m.engine.writeConn.ExecContext(ctx, "ROLLBACK")
		return cwgroup.LogPosition{}, Error.Wrap(err)
	}
	if len(stmts) == 0 {
		return m.positionAt(cwgroup.LogIndex(len(m.log))), nil
	}
	if err := m.engine.applyCommitted(ctx, stmts); err != nil {
		return cwgroup.LogPosition{}, err
	}
	m.log = append(m.log, record{Term: term, Stmts: stmts})
	m.applied = cwgroup.LogIndex(len(m.log))
	m.notify()
	return m.positionAt(m.applied), nil
}

// rebuild recreates the data from the log after the log was truncated. The
// caller holds mu and writeLock.
func (m *Member) rebuild(ctx context.Context) error {
	e, err := newEngine()
	if err != nil {
		return err
	}
	for _, r := range m.log {
		if err := e.applyRecord(ctx, r.Stmts); err != nil {
			return err
		}
	}
	old := m.engine
	old.readMu.Lock()
	oldCommitted, oldWorking, oldWrite := old.committed, old.working, old.writeConn
	old.committed, old.working, old.writeConn = e.committed, e.working, e.writeConn
	old.readMu.Unlock()
	_ = oldWrite.Close()
	_ = oldWorking.Close()
	_ = oldCommitted.Close()
	m.applied = cwgroup.LogIndex(len(m.log))
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
