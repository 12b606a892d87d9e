package cwdatabase

import (
	"context"
	"strconv"
	"strings"
	"time"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// waitHeartbeat waits for a change, at most one heartbeat.
func waitHeartbeat(changed <-chan struct{}) {
	select {
	case <-changed:
	case <-time.After(heartbeat):
	}
}

func (m *Member) reportLocked() cwtarget.Report {
	return cwtarget.Report{Status: m.statusLocked(), Following: m.leader}
}

func textResult(name, value, tag string) *result {
	return &result{
		columns: []column{{name: name, oid: oidText}},
		rows:    [][]any{{value}},
		tag:     tag,
	}
}

// special runs the statements that a real server has functions for and the
// engine has not: the group's orders, pg_sleep, and a look at one session.
func (c *session) special(ctx context.Context, text string) (*result, bool, error) {
	call, ok := parseCall(text)
	if !ok {
		return nil, false, nil
	}
	var err error
	m := c.member
	switch call.name {
	case "pg_sleep":
		return c.sleepFor(ctx, call.float(0))
	case "pg_is_in_recovery":
		return textResult(call.name, strconv.FormatBool(m.checkPrimary() != nil), "SELECT 1"), true, nil
	case "pg_stat_activity":
		return textResult("state", c.server.activity(uint32(call.float(0))), "SELECT 1"), true, nil
	case "group_status":
	case "group_adopt":
		_, err = m.adopt(cwgroup.Term(call.float(0)), cwgroup.ClaimID(call.text(1)))
	case "group_promote":
		_, err = m.promote(ctx, cwgroup.Term(call.float(0)), cwgroup.ClaimID(call.text(1)))
	case "group_follow":
		_, err = m.followOrder(cwgroup.Term(call.float(0)), cwgroup.ClaimID(call.text(1)), cwgroup.MemberID(call.text(2)), call.text(3))
	default:
		return nil, false, nil
	}
	if err != nil {
		return nil, true, &sqlError{"55000", err.Error()}
	}
	m.mu.Lock()
	rep := m.reportLocked()
	m.mu.Unlock()
	return textResult("status", cwtarget.FormatStatus(rep), "SELECT 1"), true, nil
}

func (c *session) sleepFor(ctx context.Context, seconds float64) (*result, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setCancel(cancel)
	defer c.setCancel(nil)
	release, err := c.server.slot(ctx)
	if err != nil {
		return nil, true, canceled
	}
	defer release()
	sleep(ctx, time.Duration(seconds*float64(time.Second)))
	if ctx.Err() != nil {
		return nil, true, canceled
	}
	return textResult("pg_sleep", "", "SELECT 1"), true, nil
}

// call is a statement that is nothing but one function call: SELECT f(...),
// SELECT * FROM f(...), or a look at one row of pg_stat_activity by pid.
type call struct {
	name string
	args []*pgquery.Node
}

func parseCall(text string) (call, bool) {
	if !strings.Contains(text, "pg_") && !strings.Contains(text, "group_") {
		return call{}, false // spares the parser
	}
	tree, err := pgquery.Parse(text)
	if err != nil || len(tree.Stmts) != 1 {
		return call{}, false
	}
	sel := tree.Stmts[0].Stmt.GetSelectStmt()
	if sel == nil || len(sel.TargetList) != 1 {
		return call{}, false
	}
	var f *pgquery.FuncCall
	switch {
	case len(sel.FromClause) == 0:
		f = sel.TargetList[0].GetResTarget().GetVal().GetFuncCall()
	case len(sel.FromClause) == 1:
		if sel.FromClause[0].GetRangeVar().GetRelname() == "pg_stat_activity" {
			return call{"pg_stat_activity", []*pgquery.Node{sel.WhereClause.GetAExpr().GetRexpr()}}, true
		}
		f = rangeFunction(sel.FromClause[0])
	}
	if f == nil || len(f.Funcname) == 0 {
		return call{}, false
	}
	return call{f.Funcname[len(f.Funcname)-1].GetString_().GetSval(), f.Args}, true
}

func rangeFunction(n *pgquery.Node) *pgquery.FuncCall {
	fs := n.GetRangeFunction().GetFunctions()
	if len(fs) != 1 || len(fs[0].GetList().GetItems()) == 0 {
		return nil
	}
	return fs[0].GetList().Items[0].GetFuncCall()
}

func (f call) float(i int) float64 {
	if i >= len(f.args) {
		return 0
	}
	c := f.args[i].GetAConst()
	if v := c.GetFval(); v != nil {
		n, _ := strconv.ParseFloat(v.Fval, 64)
		return n
	}
	return float64(c.GetIval().GetIval())
}

func (f call) text(i int) string {
	if i >= len(f.args) {
		return ""
	}
	return f.args[i].GetAConst().GetSval().GetSval()
}
