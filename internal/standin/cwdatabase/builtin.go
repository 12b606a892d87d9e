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

// waitForChange waits until changed is closed, at most for notifyInterval.
func waitForChange(changed <-chan struct{}) {
	select {
	case <-changed:
	case <-time.After(notifyInterval):
	}
}

// reportLocked returns the status report that clients receive. The caller holds
// mu.
func (m *Member) reportLocked() cwtarget.Report {
	return cwtarget.Report{Status: m.statusLocked(), Following: m.primaryID}
}

// textResult returns a result of one row with one text column.
func textResult(name, value, tag string) *result {
	return &result{
		columns: []column{{name: name, oid: oidText}},
		rows:    [][]any{{value}},
		tag:     tag,
	}
}

// execBuiltin runs the functions of a PostgreSQL server of a group that SQLite
// lacks: the group's control functions, pg_sleep, pg_is_in_recovery, and a query
// of one session's state in pg_stat_activity. It returns false for any other
// statement.
func (c *session) execBuiltin(ctx context.Context, text string) (*result, bool, error) {
	call, ok := parseFunctionCall(text)
	if !ok {
		return nil, false, nil
	}
	var err error
	m := c.member
	switch call.name {
	case "pg_sleep":
		return c.pgSleep(ctx, call.floatArg(0))
	case "pg_is_in_recovery":
		return textResult(call.name, strconv.FormatBool(m.checkPrimary() != nil), "SELECT 1"), true, nil
	case "pg_stat_activity":
		return textResult("state", c.server.sessionState(uint32(call.floatArg(0))), "SELECT 1"), true, nil
	case "group_status":
	case "group_adopt":
		_, err = m.adoptTerm(cwgroup.Term(call.floatArg(0)), cwgroup.ClaimID(call.textArg(1)))
	case "group_promote":
		_, err = m.promote(ctx, cwgroup.Term(call.floatArg(0)), cwgroup.ClaimID(call.textArg(1)))
	case "group_follow":
		_, err = m.followPrimary(cwgroup.Term(call.floatArg(0)), cwgroup.ClaimID(call.textArg(1)), cwgroup.MemberID(call.textArg(2)), call.textArg(3))
	default:
		return nil, false, nil
	}
	if err != nil {
		return nil, true, &sqlError{"55000", err.Error()}
	}
	m.mu.Lock()
	report := m.reportLocked()
	m.mu.Unlock()
	return textResult("status", cwtarget.FormatStatus(report), "SELECT 1"), true, nil
}

// pgSleep executes pg_sleep. It occupies a slot and can be canceled.
func (c *session) pgSleep(ctx context.Context, seconds float64) (*result, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setCancelFunc(cancel)
	defer c.setCancelFunc(nil)
	release, err := c.server.acquireSlot(ctx)
	if err != nil {
		return nil, true, errCanceled
	}
	defer release()
	sleep(ctx, time.Duration(seconds*float64(time.Second)))
	if ctx.Err() != nil {
		return nil, true, errCanceled
	}
	return textResult("pg_sleep", "", "SELECT 1"), true, nil
}

// functionCall is a statement that consists of one function call: SELECT f(...) or
// SELECT * FROM f(...). A query of pg_stat_activity for one pid is treated as a
// call with the pid as its argument.
type functionCall struct {
	name string
	args []*pgquery.Node
}

// parseFunctionCall returns the function call that a statement consists of; false
// if it is another statement.
func parseFunctionCall(text string) (functionCall, bool) {
	if !strings.Contains(text, "pg_") && !strings.Contains(text, "group_") {
		return functionCall{}, false // avoids parsing the text
	}
	tree, err := pgquery.Parse(text)
	if err != nil || len(tree.Stmts) != 1 {
		return functionCall{}, false
	}
	sel := tree.Stmts[0].Stmt.GetSelectStmt()
	if sel == nil || len(sel.TargetList) != 1 {
		return functionCall{}, false
	}
	var f *pgquery.FuncCall
	switch {
	case len(sel.FromClause) == 0:
		f = sel.TargetList[0].GetResTarget().GetVal().GetFuncCall()
	case len(sel.FromClause) == 1:
		if sel.FromClause[0].GetRangeVar().GetRelname() == "pg_stat_activity" {
			return functionCall{"pg_stat_activity", []*pgquery.Node{sel.WhereClause.GetAExpr().GetRexpr()}}, true
		}
		f = rangeFunction(sel.FromClause[0])
	}
	if f == nil || len(f.Funcname) == 0 {
		return functionCall{}, false
	}
	return functionCall{f.Funcname[len(f.Funcname)-1].GetString_().GetSval(), f.Args}, true
}

// rangeFunction returns the function call of a FROM item; nil if it is none.
func rangeFunction(n *pgquery.Node) *pgquery.FuncCall {
	fs := n.GetRangeFunction().GetFunctions()
	if len(fs) != 1 || len(fs[0].GetList().GetItems()) == 0 {
		return nil
	}
	return fs[0].GetList().Items[0].GetFuncCall()
}

// floatArg returns the numeric constant at index i; 0 if there is none.
func (f functionCall) floatArg(i int) float64 {
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

// textArg returns the text constant at index i; empty if there is none.
func (f functionCall) textArg(i int) string {
	if i >= len(f.args) {
		return ""
	}
	return f.args[i].GetAConst().GetSval().GetSval()
}
