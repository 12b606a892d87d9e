package cwdatabase

import (
	"context"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	pgquery "github.com/pganalyze/pg_query_go/v6"

	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// prepared is a statement of the extended protocol.
type prepared struct {
	stmt cwsql.Statement
	// empty is true for a text without a statement.
	empty  bool
	params []uint32
}

// portal is a bound statement.
type portal struct {
	prep    *prepared
	args    []arg
	formats []int16
	// res is the answer once it ran, sent the number of rows that went out.
	res  *result
	sent int
}

func (c *session) parse(m *pgproto3.Parse) error {
	stmts, err := statements.Parse(m.Query)
	if err != nil {
		return err
	}
	if len(stmts) > 1 {
		return &sqlError{"42601", "cannot insert multiple commands into a prepared statement"}
	}
	p := &prepared{empty: len(stmts) == 0}
	if !p.empty {
		p.stmt = stmts[0]
	}
	n, err := countParams(m.Query)
	if err != nil {
		return err
	}
	p.params = make([]uint32, max(n, len(m.ParameterOIDs)))
	copy(p.params, m.ParameterOIDs)
	if _, ok := c.prepared[m.Name]; ok && m.Name != "" {
		return &sqlError{"42P05", "prepared statement " + strconv.Quote(m.Name) + " already exists"}
	}
	c.prepared[m.Name] = p
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func countParams(text string) (int, error) {
	scan, err := pgquery.Scan(text)
	if err != nil {
		return 0, &sqlError{"42601", err.Error()}
	}
	n := 0
	for _, t := range scan.Tokens {
		if t.Token != pgquery.Token_PARAM {
			continue
		}
		i, err := strconv.Atoi(text[t.Start+1 : t.End])
		if err != nil {
			return 0, &sqlError{"42601", "parameter number out of range"}
		}
		n = max(n, i)
	}
	return n, nil
}

func (c *session) bind(m *pgproto3.Bind) error {
	p, ok := c.prepared[m.PreparedStatement]
	if !ok {
		return &sqlError{"26000", "prepared statement " + strconv.Quote(m.PreparedStatement) + " does not exist"}
	}
	if len(m.Parameters) != len(p.params) {
		return &sqlError{"08P01", "bind message supplies the wrong number of parameters"}
	}
	po := &portal{prep: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, raw := range m.Parameters {
		a, err := decodeParam(raw, p.params[i], formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		po.args = append(po.args, a)
	}
	c.portals[m.DestinationPortal] = po
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// decodeParam reads a parameter. Text stays text: the engine converts by the
// column's type.
func decodeParam(raw []byte, oid uint32, format int16) (arg, error) {
	if raw == nil {
		return arg{}, nil
	}
	if format == 0 && oid != oidBytes {
		s := string(raw)
		return arg{Text: &s}, nil
	}
	if oid == oidBytes && format == 1 {
		return arg{Bytes: append([]byte{}, raw...)}, nil
	}
	if oid == oidText || oid == 0 {
		s := string(raw)
		return arg{Text: &s}, nil
	}
	m := pgTypes()
	t, ok := m.TypeForOID(oid)
	if !ok {
		return arg{}, &sqlError{"42704", "unknown parameter type"}
	}
	v, err := t.Codec.DecodeDatabaseSQLValue(m, oid, format, raw)
	if err != nil {
		return arg{}, &sqlError{"22P03", err.Error()}
	}
	return toArg(v), nil
}

func (c *session) describe(ctx context.Context, m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, ok := c.prepared[m.Name]
		if !ok {
			return &sqlError{"26000", "prepared statement " + strconv.Quote(m.Name) + " does not exist"}
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
		return c.describeStatement(ctx, p, nil)
	}
	po, ok := c.portals[m.Name]
	if !ok {
		return &sqlError{"34000", "portal " + strconv.Quote(m.Name) + " does not exist"}
	}
	return c.describeStatement(ctx, po.prep, po.formats)
}

func (c *session) describeStatement(ctx context.Context, p *prepared, formats []int16) error {
	res, err := c.shape(ctx, p)
	if err != nil {
		return err
	}
	if res == nil || res.columns == nil {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	c.backend.Send(res.rowDescription(formats))
	return nil
}

// shape finds the columns of a statement without running it.
func (c *session) shape(ctx context.Context, p *prepared) (*result, error) {
	switch {
	case p.empty:
		return nil, nil
	case p.stmt.Kind == cwsql.Show:
		return textResult(p.stmt.Name, "", ""), nil
	case p.stmt.Kind == cwsql.Read:
		if f, ok := parseCall(p.stmt.Text); ok {
			return textResult(f.name, "", ""), nil
		}
		return c.shapeOf(ctx, p.stmt.Text, len(p.params))
	case p.stmt.Kind == cwsql.Write:
		return c.shapeOfReturning(ctx, p.stmt.Text)
	}
	return nil, nil
}

// shapeOf runs a read with NULL for each argument.
func (c *session) shapeOf(ctx context.Context, text string, params int) (*result, error) {
	query, err := toEngine(text)
	if err != nil {
		return nil, err
	}
	st := statement{SQL: "SELECT * FROM (" + query + ") LIMIT 0", Args: make([]arg, params)}
	if c.tx.writing {
		return shapeQuery(ctx, c.member.engine.write, text, st)
	}
	c.member.engine.readMu.RLock()
	defer c.member.engine.readMu.RUnlock()
	return shapeQuery(ctx, c.member.engine.committed, text, st)
}

func shapeQuery(ctx context.Context, q querier, text string, st statement) (*result, error) {
	rows, err := q.QueryContext(ctx, st.SQL, st.values()...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	res := &result{}
	res.columns, err = columnsOf(rows, text)
	return res, err
}

// shapeOfReturning looks at the columns that a RETURNING clause names.
func (c *session) shapeOfReturning(ctx context.Context, text string) (*result, error) {
	targets := targetList(text)
	if len(targets) == 0 {
		return nil, nil
	}
	tree, err := pgquery.Parse(text)
	if err != nil {
		return nil, &sqlError{"42601", err.Error()}
	}
	from := &pgquery.Node{Node: &pgquery.Node_RangeVar{RangeVar: tableOf(tree.Stmts[0].Stmt)}}
	sel := &pgquery.SelectStmt{TargetList: targets, FromClause: []*pgquery.Node{from}}
	tree.Stmts[0] = &pgquery.RawStmt{Stmt: &pgquery.Node{Node: &pgquery.Node_SelectStmt{SelectStmt: sel}}}
	query, err := pgquery.Deparse(tree)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return c.shapeOf(ctx, query, 0)
}

func tableOf(s *pgquery.Node) *pgquery.RangeVar {
	switch {
	case s.GetInsertStmt() != nil:
		return s.GetInsertStmt().Relation
	case s.GetUpdateStmt() != nil:
		return s.GetUpdateStmt().Relation
	default:
		return s.GetDeleteStmt().GetRelation()
	}
}

func (c *session) execute(ctx context.Context, m *pgproto3.Execute) error {
	po, ok := c.portals[m.Portal]
	if !ok {
		return &sqlError{"34000", "portal " + strconv.Quote(m.Portal) + " does not exist"}
	}
	if po.prep.empty {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if po.res == nil {
		res, err := c.exec(ctx, po.prep.stmt, po.args)
		if err != nil {
			return err
		}
		po.res = res
	}
	rows := po.res.rows[po.sent:]
	if m.MaxRows > 0 && len(rows) > int(m.MaxRows) {
		rows = rows[:m.MaxRows]
	}
	if err := c.sendRows(&result{columns: po.res.columns, rows: rows}, po.formats); err != nil {
		return err
	}
	po.sent += len(rows)
	if po.sent < len(po.res.rows) {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(po.res.tag)})
	return nil
}

func (c *session) closeNamed(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(c.prepared, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
}
