package cwdatabase

import (
	"context"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	pgquery "github.com/pganalyze/pg_query_go/v6"

	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// preparedStatement is a prepared statement of the extended protocol.
type preparedStatement struct {
	stmt cwsql.Statement
	// empty is true if the text had no statement.
	empty bool
	// params has the type of each parameter as an object id, 0 for unspecified.
	params []uint32
}

// portal is a prepared statement with arguments bound to it.
type portal struct {
	prepared *preparedStatement
	args     []arg
	formats  []int16
	// result is set by the first Execute. rowsSent is the number of its rows that
	// were sent, since Execute can limit the rows.
	result   *result
	rowsSent int
}

func (c *session) parse(m *pgproto3.Parse) error {
	stmts, err := parseCache.Parse(m.Query)
	if err != nil {
		return err
	}
	if len(stmts) > 1 {
		return &sqlError{"42601", "cannot insert multiple commands into a prepared statement"}
	}
	p := &preparedStatement{empty: len(stmts) == 0}
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

// countParams returns the highest parameter number in the text.
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
	po := &portal{prepared: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
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

// decodeParam decodes a parameter of a Bind message. Parameters in text format
// stay text, because SQLite converts them by the type of the column; a bytea in
// text format is decoded.
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
	m := takeTypeMap()
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
	return c.describeStatement(ctx, po.prepared, po.formats)
}

// describeStatement sends the row description of a statement, or NoData.
func (c *session) describeStatement(ctx context.Context, p *preparedStatement, formats []int16) error {
	res, err := c.columnsOf(ctx, p)
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

// columnsOf returns a result without rows that has the columns of a statement;
// nil if the statement returns no rows. The statement itself is not run.
func (c *session) columnsOf(ctx context.Context, p *preparedStatement) (*result, error) {
	switch {
	case p.empty:
		return nil, nil
	case p.stmt.Kind == cwsql.Show:
		return textResult(p.stmt.Name, "", ""), nil
	case p.stmt.Kind == cwsql.Read:
		if f, ok := parseFunctionCall(p.stmt.Text); ok {
			return textResult(f.name, "", ""), nil
		}
		return c.columnsOfQuery(ctx, p.stmt.Text, len(p.params))
	case p.stmt.Kind == cwsql.Write:
		return c.columnsOfReturning(ctx, p.stmt.Text)
	}
	return nil, nil
}

// columnsOfQuery returns the columns of a query. It runs the query as a subquery
// with LIMIT 0 and with NULL for each parameter.
func (c *session) columnsOfQuery(ctx context.Context, text string, params int) (*result, error) {
	query, err := toSQLiteParams(text)
	if err != nil {
		return nil, err
	}
	st := statement{SQL: "SELECT * FROM (" + query + ") LIMIT 0", Args: make([]arg, params)}
	if c.tx.writing {
		return queryColumns(ctx, c.member.engine.writeConn, text, st)
	}
	c.member.engine.readMu.RLock()
	defer c.member.engine.readMu.RUnlock()
	return queryColumns(ctx, c.member.engine.committed, text, st)
}

// queryColumns runs st and returns its columns. The text is the query in
// PostgreSQL's syntax.
func queryColumns(ctx context.Context, q querier, text string, st statement) (*result, error) {
	rows, err := q.QueryContext(ctx, st.SQL, st.values()...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	res := &result{}
	res.columns, err = resultColumns(rows, text)
	return res, err
}

// columnsOfReturning returns the columns of a RETURNING clause. It describes a
// SELECT of the same expressions from the modified table.
func (c *session) columnsOfReturning(ctx context.Context, text string) (*result, error) {
	targets := targetList(text)
	if len(targets) == 0 {
		return nil, nil
	}
	tree, err := pgquery.Parse(text)
	if err != nil {
		return nil, &sqlError{"42601", err.Error()}
	}
	from := &pgquery.Node{Node: &pgquery.Node_RangeVar{RangeVar: modifiedTable(tree.Stmts[0].Stmt)}}
	sel := &pgquery.SelectStmt{TargetList: targets, FromClause: []*pgquery.Node{from}}
	tree.Stmts[0] = &pgquery.RawStmt{Stmt: &pgquery.Node{Node: &pgquery.Node_SelectStmt{SelectStmt: sel}}}
	query, err := pgquery.Deparse(tree)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return c.columnsOfQuery(ctx, query, 0)
}

// modifiedTable returns the table that an INSERT, UPDATE or DELETE names.
func modifiedTable(s *pgquery.Node) *pgquery.RangeVar {
	switch {
	case s.GetInsertStmt() != nil:
		return s.GetInsertStmt().Relation
	case s.GetUpdateStmt() != nil:
		return s.GetUpdateStmt().Relation
	default:
		return s.GetDeleteStmt().GetRelation()
	}
}

func (c *session) executePortal(ctx context.Context, m *pgproto3.Execute) error {
	po, ok := c.portals[m.Portal]
	if !ok {
		return &sqlError{"34000", "portal " + strconv.Quote(m.Portal) + " does not exist"}
	}
	if po.prepared.empty {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if po.result == nil {
		res, err := c.exec(ctx, po.prepared.stmt, po.args)
		if err != nil {
			return err
		}
		po.result = res
	}
	rows := po.result.rows[po.rowsSent:]
	if m.MaxRows > 0 && len(rows) > int(m.MaxRows) {
		rows = rows[:m.MaxRows]
	}
	if err := c.sendRows(&result{columns: po.result.columns, rows: rows}, po.formats); err != nil {
		return err
	}
	po.rowsSent += len(rows)
	if po.rowsSent < len(po.result.rows) {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(po.result.tag)})
	return nil
}

func (c *session) closeStatementOrPortal(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(c.prepared, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
}
