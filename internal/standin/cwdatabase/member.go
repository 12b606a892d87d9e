// Package cwdatabase is a stand-in for one database of the users' groups.
//
// It speaks PostgreSQL protocol 3 and runs real SQL on an embedded engine. Its
// log has terms and positions; replicas copy the log of their primary
// asynchronously, over the same protocol. It takes the orders that the
// platform's groups take: adopt a term, promote, follow. Faults are set at run
// time through Faults. It is an emulator for tests, demos and measurements, and
// keeps everything in memory.
package cwdatabase

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Error is the class of the stand-in's own failures.
var Error = errs.Class("database stand-in")

// Config is what a member is started with.
type Config struct {
	ID cwgroup.MemberID
	// Listen is the IP address and port to listen on; port 0 takes any.
	Listen string
	// Connections is the most that are accepted, replication not counted.
	Connections int
	// Slots is the number of statements executed at once; others queue.
	Slots int
	// ConnectDelay is how long a new connection takes.
	ConnectDelay time.Duration
	// ChecksTerm is false for a member that obeys any order.
	ChecksTerm bool
	// Databases are the names that can be connected to; empty allows any.
	Databases []string
	// Primary starts the member as the primary of term 1.
	Primary bool
	// Follow is the address of the primary of term 1, for a replica.
	Follow string
	// FollowID is that primary's id.
	FollowID cwgroup.MemberID
}

// Faults are set at run time.
type Faults struct {
	// StreamLag delays records on their way to this replica.
	StreamLag time.Duration
	// ApplyLag delays records between a replica's log and its data.
	ApplyLag time.Duration
	// ServiceTime is added to each statement, while it holds a slot.
	ServiceTime time.Duration
	// Frozen stops all answers, as a paused process would; connections are
	// still accepted by the kernel.
	Frozen bool
	// LoseCommits is the number of commits after which the connection is closed
	// in place of the answer.
	LoseCommits int
	// DropBeforeCommit is the number of commits at which the connection is
	// closed before the commit takes effect.
	DropBeforeCommit int
	// NoReplication cuts this member off from its primary and its replicas.
	NoReplication bool
}

// record is one entry of the log.
type record struct {
	Term  cwgroup.Term
	Stmts []statement
}

// Member is one database. Make one with Start.
type Member struct {
	cfg    Config
	engine *engine
	server *server

	// writer is held by the one open write transaction, and by whoever applies
	// records. It is taken before mu, never after.
	writer chan struct{}

	mu      sync.Mutex
	role    cwgroup.Role
	adopted cwgroup.Term
	claim   cwgroup.ClaimID
	// log has the record of position i at log[i-1].
	log []record
	// applied is the position up to which engine has the records.
	applied cwgroup.LogIndex
	follow  string
	leader  cwgroup.MemberID
	// heard is when this replica last heard from its primary.
	heard  time.Time
	open   int
	faults Faults
	// changed is closed and replaced at each change of anything above.
	changed chan struct{}
}

func newMember(cfg Config) (*Member, error) {
	e, err := newEngine()
	if err != nil {
		return nil, err
	}
	m := &Member{
		cfg:     cfg,
		engine:  e,
		writer:  make(chan struct{}, 1),
		adopted: 1,
		heard:   time.Now(),
		follow:  cfg.Follow,
		leader:  cfg.FollowID,
		changed: make(chan struct{}),
	}
	if cfg.Primary {
		m.role = cwgroup.RolePrimary
		m.log = []record{{Term: 1}}
		m.applied = 1
	}
	return m, nil
}

// notify wakes those that wait for a change. The caller holds mu.
func (m *Member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Member) markAt(p cwgroup.LogIndex) cwgroup.LogPosition {
	if p == 0 {
		return cwgroup.LogPosition{}
	}
	return cwgroup.LogPosition{Term: m.log[p-1].Term, Index: p}
}

// Status returns what the member reports about itself.
func (m *Member) Status() cwgroup.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.statusLocked()
}

func (m *Member) statusLocked() cwgroup.Status {
	s := cwgroup.Status{
		Member:      m.cfg.ID,
		Role:        m.role,
		AdoptedTerm: m.adopted,
		Claim:       m.claim,
		Durable:     m.markAt(cwgroup.LogIndex(len(m.log))),
		Applied:     m.markAt(m.applied),
		OpenWrites:  m.open,
	}
	if m.role != cwgroup.RolePrimary {
		s.UpstreamAge = time.Since(m.heard)
	}
	return s
}

// SetFaults replaces the faults.
func (m *Member) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.notify()
}

// Faults returns the present faults.
func (m *Member) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// StaleOrderError reports an order of a term that is over.
type StaleOrderError struct {
	Order, Adopted cwgroup.Term
}

func (e *StaleOrderError) Error() string { return "the member has adopted another term or claim" }

// obeys reports whether an order of the term and claim counts.
func (m *Member) obeys(t cwgroup.Term, c cwgroup.ClaimID) bool {
	if !m.cfg.ChecksTerm {
		return true
	}
	return t > m.adopted || t == m.adopted && (m.claim == c || m.claim == "")
}

// adopt moves the member to a term; from then on it accepts nothing of an
// earlier one.
func (m *Member) adopt(t cwgroup.Term, c cwgroup.ClaimID) (cwgroup.Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.obeys(t, c) || m.cfg.ChecksTerm && t == m.adopted && m.claim == "" {
		return m.statusLocked(), &StaleOrderError{Order: t, Adopted: m.adopted}
	}
	if t != m.adopted || c != m.claim {
		m.adopted, m.claim = t, c
		m.setRole(cwgroup.RoleFenced)
		m.follow, m.leader = "", ""
	}
	m.notify()
	return m.statusLocked(), nil
}

// promote makes the member the primary of a term that it adopted. Whatever its
// log holds is applied first, and a start-of-term record follows.
func (m *Member) promote(ctx context.Context, t cwgroup.Term, c cwgroup.ClaimID) (cwgroup.Status, error) {
	if err := m.lockWriter(ctx); err != nil {
		return m.Status(), err
	}
	defer func() { <-m.writer }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cfg.ChecksTerm && (t != m.adopted || c != m.claim) {
		return m.statusLocked(), &StaleOrderError{Order: t, Adopted: m.adopted}
	}
	if m.role == cwgroup.RolePrimary && m.adopted == t {
		return m.statusLocked(), nil
	}
	for int(m.applied) < len(m.log) {
		if err := m.engine.replicate(ctx, m.log[m.applied].Stmts); err != nil {
			return m.statusLocked(), err
		}
		m.applied++
	}
	m.adopted, m.claim = t, c
	m.role = cwgroup.RolePrimary
	m.follow, m.leader = "", ""
	m.log = append(m.log, record{Term: t})
	m.applied++
	m.notify()
	return m.statusLocked(), nil
}

// followOrder makes the member copy the primary at an address.
func (m *Member) followOrder(t cwgroup.Term, c cwgroup.ClaimID, id cwgroup.MemberID, addr string) (cwgroup.Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.obeys(t, c) {
		return m.statusLocked(), &StaleOrderError{Order: t, Adopted: m.adopted}
	}
	if m.role == cwgroup.RolePrimary && m.adopted == t && m.cfg.ChecksTerm {
		return m.statusLocked(), &StaleOrderError{Order: t, Adopted: m.adopted}
	}
	m.adopted, m.claim = t, c
	m.setRole(cwgroup.RoleReplica)
	m.follow, m.leader = addr, id
	m.notify()
	return m.statusLocked(), nil
}

// setRole changes the role. A member that stops leading ends its sessions'
// open write transactions, as a database that is demoted does.
func (m *Member) setRole(r cwgroup.Role) {
	if m.role == cwgroup.RolePrimary && r != cwgroup.RolePrimary && m.server != nil {
		go m.server.endWriters()
	}
	m.role = r
}

func (m *Member) lockWriter(ctx context.Context) error {
	select {
	case m.writer <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NotPrimaryError reports a write at a member that does not lead.
type NotPrimaryError struct{ Role cwgroup.Role }

func (e *NotPrimaryError) Error() string { return "cannot write at a " + e.Role.String() }

// begin opens a write transaction. It returns the term in which the
// transaction may commit.
func (m *Member) begin(ctx context.Context) (cwgroup.Term, error) {
	if err := m.checkPrimary(); err != nil {
		return 0, err
	}
	if err := m.lockWriter(ctx); err != nil {
		return 0, err
	}
	m.mu.Lock()
	term, role := m.adopted, m.role
	if role == cwgroup.RolePrimary {
		m.open++
	}
	m.mu.Unlock()
	if role != cwgroup.RolePrimary {
		<-m.writer
		return 0, &NotPrimaryError{Role: role}
	}
	if _, err := m.engine.write.ExecContext(context.WithoutCancel(ctx), "BEGIN"); err != nil {
		m.end()
		return 0, Error.Wrap(err)
	}
	return term, nil
}

func (m *Member) checkPrimary() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != cwgroup.RolePrimary {
		return &NotPrimaryError{Role: m.role}
	}
	return nil
}

func (m *Member) end() {
	m.mu.Lock()
	m.open--
	m.mu.Unlock()
	<-m.writer
}

// rollback ends the open transaction without effect.
func (m *Member) rollback() {
	_, _ = m.engine.write.ExecContext(context.Background(), "ROLLBACK")
	m.end()
}

// commit ends the open transaction and appends its record.
func (m *Member) commit(term cwgroup.Term, stmts []statement) (cwgroup.LogPosition, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer func() {
		m.open--
		<-m.writer
	}()
	ctx := context.Background()
	if m.role != cwgroup.RolePrimary || m.adopted != term {
		_, _ = m.engine.write.ExecContext(ctx, "ROLLBACK")
		return cwgroup.LogPosition{}, &NotPrimaryError{Role: m.role}
	}
	if _, err := m.engine.write.ExecContext(ctx, "COMMIT"); err != nil {
		_, _ = m.engine.write.ExecContext(ctx, "ROLLBACK")
		return cwgroup.LogPosition{}, Error.Wrap(err)
	}
	if len(stmts) == 0 {
		return m.markAt(cwgroup.LogIndex(len(m.log))), nil
	}
	if err := m.engine.apply(ctx, stmts); err != nil {
		return cwgroup.LogPosition{}, err
	}
	m.log = append(m.log, record{Term: term, Stmts: stmts})
	m.applied = cwgroup.LogIndex(len(m.log))
	m.notify()
	return m.markAt(m.applied), nil
}

// rebuild makes the data anew from the log, after a tail was cut. The caller
// holds mu and the writer.
func (m *Member) rebuild(ctx context.Context) error {
	e, err := newEngine()
	if err != nil {
		return err
	}
	for _, r := range m.log {
		if err := e.replicate(ctx, r.Stmts); err != nil {
			return err
		}
	}
	old := m.engine
	old.readMu.Lock()
	oldCommitted, oldWorking, oldWrite := old.committed, old.working, old.write
	old.committed, old.working, old.write = e.committed, e.working, e.write
	old.readMu.Unlock()
	_ = oldWrite.Close()
	_ = oldWorking.Close()
	_ = oldCommitted.Close()
	m.applied = cwgroup.LogIndex(len(m.log))
	return nil
}

// sleep waits, or returns early if ctx ends.
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
