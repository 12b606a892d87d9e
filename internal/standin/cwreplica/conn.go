package cwreplica

import (
	"maps"
	"strings"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// conn is one session at a member. It implements cwport.Target.
type conn struct {
	group  *Group
	member *Member
	// life is that of the member in which the session was opened.
	life     int
	instance string
	// workspace is what the session was opened for.
	workspace string

	queue    []cwstatement.Command
	state    cwstatement.TransactionState
	reads    bool
	term     cwgroup.Term
	writes   map[string]string
	values   map[string]string
	prepared map[string]string
	closed   bool
	// broken is true once something was lost on the way.
	broken  bool
	timeout time.Duration
}

// Send implements cwport.Target.
func (c *conn) Send(cmd cwstatement.Command) { c.queue = append(c.queue, cmd) }

// Flush implements cwport.Target.
func (c *conn) Flush() error { return nil }

// Receive implements cwport.Target.
func (c *conn) Receive() (cwstatement.Response, error) {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	c.hang()
	if err := c.path(); err != nil || len(c.queue) == 0 {
		return cwstatement.Response{}, errLost
	}
	cmd := c.queue[0]
	c.queue = c.queue[1:]
	a := c.run(cmd)
	if c.member.lose {
		return cwstatement.Response{}, errLost
	}
	a.State, a.Mark = c.state, markOf(c.visible())
	return a, nil
}

// cutPoll is how often a path that is silent is looked at.
const cutPoll = 20 * time.Millisecond

// hang waits for the time limit at a member that is dark, and until a silent path is
// mended.
func (c *conn) hang() {
	if c.member.dark {
		c.sleep(c.timeout)
	}
	for c.group.silent && c.group.cut[c.way()] && c.member.life == c.life {
		c.sleep(cutPoll)
		// What was on its way is lost.
		c.broken = true
	}
}

// sleep waits without the group's lock.
func (c *conn) sleep(d time.Duration) {
	clock := c.group.clock
	c.group.mu.Unlock()
	clock.Sleep(d)
	c.group.mu.Lock()
}

// way is the path of the session.
func (c *conn) way() path { return path{c.instance, string(c.member.id)} }

func (c *conn) path() error {
	m := c.member
	if c.closed || c.broken || m.dark || m.down || m.life != c.life || c.group.cut[c.way()] {
		return errLost
	}
	return nil
}

// visible returns the log that the session's reads see.
func (c *conn) visible() []record { return c.member.visible(c.group.now()) }

func (c *conn) run(cmd cwstatement.Command) cwstatement.Response {
	if cmd.ID != "" {
		c.group.ran = append(c.group.ran, Context{ID: cmd.ID, Workspace: c.workspace, Values: maps.Clone(c.values)})
	}
	if c.state == cwstatement.InFailedTransaction && cmd.Verb != cwstatement.Commit && cmd.Verb != cwstatement.Rollback {
		return cwstatement.Failure(cwstatement.Malformed, "failed")
	}
	if !holds(c.visible(), cmd.Floor) {
		return cwstatement.Failure(cwstatement.Behind, "")
	}
	a := c.execute(cmd)
	if a.Code != cwstatement.OK && c.state == cwstatement.InTransaction {
		c.state = cwstatement.InFailedTransaction
	}
	return a
}

func (c *conn) execute(cmd cwstatement.Command) cwstatement.Response {
	done := cwstatement.Response{Proof: "proof-" + cmd.ID}
	switch cmd.Verb {
	case cwstatement.Begin, cwstatement.BeginRead:
		if cmd.Verb == cwstatement.Begin && c.member.role != cwgroup.RolePrimary {
			return cwstatement.Failure(cwstatement.NotPrimary, string(c.member.id))
		}
		c.state, c.reads, c.term = cwstatement.InTransaction, cmd.Verb == cwstatement.BeginRead, c.member.term
		c.writes = map[string]string{}
		return cwstatement.Response{}
	case cwstatement.Rollback:
		c.state, c.writes = cwstatement.Idle, nil
		return cwstatement.Response{}
	case cwstatement.Commit:
		return c.commit(done)
	case cwstatement.Set:
		c.values[cmd.Name] = cmd.Args
		return cwstatement.Response{}
	case cwstatement.Prepare:
		c.prepared[cmd.Name] = verbWord(cmd.Writes)
		return cwstatement.Response{}
	case cwstatement.Reset:
		clear(c.values)
		clear(c.prepared)
		return cwstatement.Response{}
	case cwstatement.Execute:
		word, ok := c.prepared[cmd.Name]
		if !ok {
			return cwstatement.Failure(cwstatement.NotPrepared, cmd.Name)
		}
		return c.statement(cmd.ID, word+" "+cmd.Args, done)
	}
	return c.statement(cmd.ID, cmd.Text, done)
}

func verbWord(writes bool) string {
	if writes {
		return "WRITE"
	}
	return "READ"
}

func (c *conn) statement(id, text string, done cwstatement.Response) cwstatement.Response {
	item, data := itemOf(text)
	lost := c.state == cwstatement.InTransaction && !c.reads && !c.leads()
	if strings.HasPrefix(text, "READ") {
		if lost {
			return cwstatement.Failure(cwstatement.NotPrimary, string(c.member.id))
		}
		done.Rows = []string{c.seen(item)}
		if id != "" {
			c.group.reads = append(c.group.reads, Run{ID: id, Member: c.member.id, Log: Log{records: c.visible()}})
		}
		return done
	}
	if lost || !c.leads() && c.state == cwstatement.Idle || c.state == cwstatement.InTransaction && c.reads {
		return cwstatement.Failure(cwstatement.NotPrimary, string(c.member.id))
	}
	if c.state == cwstatement.InTransaction {
		c.writes[item] = data
		return done
	}
	c.group.commit(c.member, map[string]string{item: data})
	return done
}

// leads reports whether the member leads, and, inside a transaction, still the
// term in which that began.
func (c *conn) leads() bool {
	return c.member.role == cwgroup.RolePrimary && (c.state == cwstatement.Idle || c.member.term == c.term)
}

func (c *conn) seen(item string) string {
	if v, ok := c.writes[item]; ok {
		return v
	}
	return value(c.visible(), item)
}

func (c *conn) commit(done cwstatement.Response) cwstatement.Response {
	state := c.state
	leads := c.leads()
	c.state = cwstatement.Idle
	switch {
	case state != cwstatement.InTransaction:
		return cwstatement.Failure(cwstatement.Aborted, "")
	case len(c.writes) > 0 && !leads:
		return cwstatement.Failure(cwstatement.NotPrimary, string(c.member.id))
	}
	c.group.commit(c.member, c.writes)
	c.writes = nil
	return done
}

func (c *conn) order(f func(m *Member)) (cwstatement.Health, error) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.hang()
	if err := c.path(); err != nil {
		return cwstatement.Health{}, err
	}
	f(c.member)
	c.group.replicate()
	return c.member.health(), nil
}

// Health implements cwport.Target.
func (c *conn) Health() (cwstatement.Health, error) {
	return c.order(func(*Member) { c.group.asked++ })
}

// Fence implements cwport.Target.
func (c *conn) Fence(t cwgroup.Term) (cwstatement.Health, error) {
	if err := c.refuseFence(); err != nil {
		return cwstatement.Health{}, err
	}
	return c.order(func(m *Member) { m.fence = max(m.fence, t) })
}

func (c *conn) refuseFence() error {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	switch m := c.member; {
	case m.refuse > 0:
		m.refuse--
		return errLost
	case m.busy > 0:
		m.busy--
		return &cwport.RefusedError{Code: cwstatement.Busy, Detail: string(m.id)}
	}
	return nil
}

// Unfence implements cwport.Target.
func (c *conn) Unfence() error {
	_, err := c.order(func(m *Member) { m.fence = 0 })
	return err
}

// Demote implements cwport.Target.
func (c *conn) Demote(t cwgroup.Term) (cwstatement.Health, error) {
	return c.order(func(m *Member) {
		if m.role == cwgroup.RolePrimary && m.term < t {
			m.role = cwgroup.RoleReplica
		}
	})
}

// SetTimeout implements cwport.Target.
func (c *conn) SetTimeout(d time.Duration) error {
	c.timeout = d
	return nil
}

// Silent implements cwport.Target.
func (c *conn) Silent() bool { return true }

// Close implements cwport.Target.
func (c *conn) Close() error {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.member.opened--
	}
	return nil
}

var _ cwport.Target = (*conn)(nil)
