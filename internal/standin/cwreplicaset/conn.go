package cwreplicaset

import (
	"maps"
	"strings"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// conn is a connection from an instance to a member. It implements
// cwport.TargetConn. Except for queue and timeout, its fields are guarded by the
// group's lock.
type conn struct {
	group  *Group
	member *Member
	// incarnation is the member's at the time of the dial. The connection fails
	// once the member has restarted.
	incarnation int
	instance    string
	// workspace is the workspace whose statements run on the connection; empty for
	// statements of the proxy itself and of callers without a workspace.
	workspace string

	// queue holds the commands sent and not yet answered.
	queue []cwstatement.Command
	state cwstatement.TransactionState
	// readOnly, term and writes belong to the open transaction: whether it only
	// reads, the member's term when it began, and its uncommitted writes by item.
	readOnly bool
	term     cwgroup.Term
	writes   map[string]string
	// settings are those of the session, and prepared maps the name of each
	// prepared statement to its verb.
	settings map[string]string
	prepared map[string]string
	closed   bool
	// broken is true once a cut path has dropped data of the connection.
	broken bool
	// timeout is how long the connection waits for an unresponsive member.
	timeout time.Duration
}

// Send implements cwport.TargetConn.
func (c *conn) Send(cmd cwstatement.Command) { c.queue = append(c.queue, cmd) }

// SetMemory implements cwport.TargetConn. Answers are not charged.
func (c *conn) SetMemory(cwport.Memory) {}

// Flush implements cwport.TargetConn.
func (c *conn) Flush() error { return nil }

// Receive implements cwport.TargetConn.
func (c *conn) Receive() (cwstatement.Response, error) {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	c.awaitMember()
	if err := c.checkPath(); err != nil || len(c.queue) == 0 {
		return cwstatement.Response{}, errLost
	}
	cmd := c.queue[0]
	c.queue = c.queue[1:]
	before := c.member.lastReceived()
	a := c.run(cmd)
	if c.group.synchronous && c.member.lastReceived() != before && !c.awaitReplica() {
		return cwstatement.Response{}, errLost
	}
	c.spendWorkTime(cmd)
	if c.member.loseAnswers {
		return cwstatement.Response{}, errLost
	}
	a.State, a.LogEnd = c.state, lastPosition(c.visibleLog())
	return a, nil
}

// cutPollInterval is the interval at which a connection that hangs on a cut path
// checks whether the path has been restored.
const cutPollInterval = 20 * time.Millisecond

// awaitMember waits for the timeout if the member is unresponsive. If the path is
// cut and cuts make connections hang, it also waits until the path is restored or
// the member restarts; the connection is broken after such a wait. The caller
// holds the group's lock, which is released meanwhile.
func (c *conn) awaitMember() {
	if c.member.unresponsive {
		c.sleep(c.timeout)
	}
	for c.group.cutsHang && c.group.cutPaths[c.ownPath()] && c.member.incarnation == c.incarnation {
		c.sleep(cutPollInterval)
		// The data in transit is lost.
		c.broken = true
	}
}

// awaitReplica waits until a replica has received what the member has committed. It returns
// false if none has within the timeout, or if the connection has broken. The caller holds
// the group's lock, which is released meanwhile.
func (c *conn) awaitReplica() bool {
	for waited := time.Duration(0); !c.group.hasReplica(c.member); waited += cutPollInterval {
		if waited > c.timeout || c.checkPath() != nil {
			return false
		}
		c.sleep(cutPollInterval)
	}
	return true
}

// spendWorkTime waits for as long as the member takes for a caller's command, which has
// run. The caller holds the group's lock, which is released meanwhile.
func (c *conn) spendWorkTime(cmd cwstatement.Command) {
	if c.group.workTime == nil || cmd.ID == "" {
		return
	}
	c.sleep(c.group.workTime(cmd.ID))
}

// sleep waits by the group's clock and releases the group's lock meanwhile.
func (c *conn) sleep(d time.Duration) {
	clock := c.group.clock
	c.group.mu.Unlock()
	clock.Sleep(d)
	c.group.mu.Lock()
}

// ownPath returns the path from the instance to the member.
func (c *conn) ownPath() path { return path{c.instance, string(c.member.id)} }

// checkPath returns errLost if the connection or its member cannot be used.
func (c *conn) checkPath() error {
	m := c.member
	if c.closed || c.broken || m.unresponsive || m.down || m.incarnation != c.incarnation || c.group.cutPaths[c.ownPath()] {
		return errLost
	}
	return nil
}

// visibleLog returns the part of the member's log that reads see.
func (c *conn) visibleLog() []record { return c.member.visibleLog(c.group.now()) }

// run runs a command, unless the transaction has failed or the member's reads do
// not see the command's floor. An error inside a transaction makes it fail.
func (c *conn) run(cmd cwstatement.Command) cwstatement.Response {
	if cmd.ID != "" {
		c.group.callerCommands = append(c.group.callerCommands, CallerCommand{ID: cmd.ID, Workspace: c.workspace, Settings: maps.Clone(c.settings)})
	}
	if c.state == cwstatement.InFailedTransaction && cmd.Verb != cwstatement.Commit && cmd.Verb != cwstatement.Rollback {
		return cwstatement.Failure(cwstatement.Malformed, "failed")
	}
	if !containsPosition(c.visibleLog(), cmd.Floor) {
		return cwstatement.Failure(cwstatement.Behind, "")
	}
	a := c.execute(cmd)
	if a.Code != cwstatement.OK && c.state == cwstatement.InTransaction {
		c.state = cwstatement.InFailedTransaction
	}
	return a
}

// execute runs a command of any verb. Answers to statements and commits carry a
// proof with the command's id.
func (c *conn) execute(cmd cwstatement.Command) cwstatement.Response {
	done := cwstatement.Response{Proof: "proof-" + cmd.ID}
	switch cmd.Verb {
	case cwstatement.Begin, cwstatement.BeginRead:
		if cmd.Verb == cwstatement.Begin && c.member.role != cwgroup.RolePrimary {
			return cwstatement.Failure(cwstatement.NotPrimary, string(c.member.id))
		}
		c.state, c.readOnly, c.term = cwstatement.InTransaction, cmd.Verb == cwstatement.BeginRead, c.member.term
		c.writes = map[string]string{}
		return cwstatement.Response{}
	case cwstatement.Rollback:
		c.state, c.writes = cwstatement.Idle, nil
		return cwstatement.Response{}
	case cwstatement.Commit:
		return c.commit(done)
	case cwstatement.Set:
		c.settings[cmd.Name] = cmd.Args
		return cwstatement.Response{}
	case cwstatement.Prepare:
		c.prepared[cmd.Name] = verbName(cmd.Writes)
		return cwstatement.Response{}
	case cwstatement.Reset:
		clear(c.settings)
		clear(c.prepared)
		return cwstatement.Response{}
	case cwstatement.Execute:
		verb, ok := c.prepared[cmd.Name]
		if !ok {
			return cwstatement.Failure(cwstatement.NotPrepared, cmd.Name)
		}
		return c.execStatement(cmd.ID, verb+" "+cmd.Args, done)
	}
	return c.execStatement(cmd.ID, cmd.Text, done)
}

// verbName returns the verb of a prepared statement.
func verbName(writes bool) string {
	if writes {
		return "WRITE"
	}
	return "READ"
}

// execStatement runs a READ or WRITE statement. It fails with NotPrimary for a
// write that the member cannot take, and for any statement of a write transaction
// that began before the member was demoted or changed its term.
func (c *conn) execStatement(id, text string, done cwstatement.Response) cwstatement.Response {
	item, data := parseItem(text)
	demoted := c.state == cwstatement.InTransaction && !c.readOnly && !c.isPrimary()
	if strings.HasPrefix(text, "READ") {
		if demoted {
			return cwstatement.Failure(cwstatement.NotPrimary, string(c.member.id))
		}
		done.Rows = []string{c.readItem(item)}
		if id != "" {
			c.group.reads = append(c.group.reads, ReadExecution{ID: id, Member: c.member.id, Log: Log{records: c.visibleLog()}})
		}
		return done
	}
	if demoted || !c.isPrimary() && c.state == cwstatement.Idle || c.state == cwstatement.InTransaction && c.readOnly {
		return cwstatement.Failure(cwstatement.NotPrimary, string(c.member.id))
	}
	if c.state == cwstatement.InTransaction {
		c.writes[item] = data
		return done
	}
	c.group.commit(c.member, map[string]string{item: data})
	return done
}

// isPrimary reports whether the member is the primary, and, inside a transaction,
// still in the term in which the transaction began.
func (c *conn) isPrimary() bool {
	return c.member.role == cwgroup.RolePrimary && (c.state == cwstatement.Idle || c.member.term == c.term)
}

// readItem returns the value of an item: that of the open transaction's own write
// if there is one, else that of the visible log.
func (c *conn) readItem(item string) string {
	if v, ok := c.writes[item]; ok {
		return v
	}
	return itemValue(c.visibleLog(), item)
}

// commit ends the transaction. It fails with Aborted if the transaction has failed
// or none is open, and with NotPrimary if there are writes and the member is no
// longer the primary of the transaction's term.
func (c *conn) commit(done cwstatement.Response) cwstatement.Response {
	state := c.state
	isPrimary := c.isPrimary()
	c.state = cwstatement.Idle
	switch {
	case state != cwstatement.InTransaction:
		return cwstatement.Failure(cwstatement.Aborted, "")
	case len(c.writes) > 0 && !isPrimary:
		return cwstatement.Failure(cwstatement.NotPrimary, string(c.member.id))
	}
	c.group.commit(c.member, c.writes)
	c.writes = nil
	return done
}

// withMember applies f to the member and returns the member's health. It fails
// with errLost if the connection cannot be used.
func (c *conn) withMember(f func(m *Member)) (cwstatement.Health, error) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.awaitMember()
	if err := c.checkPath(); err != nil {
		return cwstatement.Health{}, err
	}
	f(c.member)
	c.group.replicate()
	return c.member.health(), nil
}

// Health implements cwport.TargetConn.
func (c *conn) Health() (cwstatement.Health, error) {
	return c.withMember(func(*Member) { c.group.healthChecks++ })
}

// Fence implements cwport.TargetConn. It changes nothing unless the term is above the newest
// one.
func (c *conn) Fence(t cwgroup.Term) (cwstatement.Health, error) {
	if err := c.fenceFault(); err != nil {
		return cwstatement.Health{}, err
	}
	return c.withMember(func(m *Member) {
		if t > c.group.newestTerm() {
			m.fenceTerm = max(m.fenceTerm, t)
		}
	})
}

// fenceFault returns the error that the next fence order is to fail with; nil if
// no fault is set.
func (c *conn) fenceFault() error {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	switch m := c.member; {
	case m.lostFences > 0:
		m.lostFences--
		return errLost
	case m.busyFences > 0:
		m.busyFences--
		return &cwport.RefusedError{Code: cwstatement.Busy, Detail: string(m.id)}
	}
	return nil
}

// Unfence implements cwport.TargetConn.
func (c *conn) Unfence() error {
	_, err := c.withMember(func(m *Member) { m.fenceTerm = 0 })
	return err
}

// Demote implements cwport.TargetConn.
func (c *conn) Demote(t cwgroup.Term) (cwstatement.Health, error) {
	return c.withMember(func(m *Member) {
		if m.role == cwgroup.RolePrimary && m.term < t {
			m.role = cwgroup.RoleReplica
		}
	})
}

// SetTimeout implements cwport.TargetConn.
func (c *conn) SetTimeout(d time.Duration) error {
	c.timeout = d
	return nil
}

// NoUnreadInput implements cwport.TargetConn.
func (c *conn) NoUnreadInput() bool { return true }

// Close implements cwport.TargetConn.
func (c *conn) Close() error {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.member.connections--
	}
	return nil
}

var _ cwport.TargetConn = (*conn)(nil)
