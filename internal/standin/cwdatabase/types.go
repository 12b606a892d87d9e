package cwdatabase

import (
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// oidOfTypeName returns the PostgreSQL type of a declared column type. Every
// integer type maps to int8, every unknown one to text.
func oidOfTypeName(decl string) uint32 {
	word, _, _ := strings.Cut(strings.ToUpper(decl), "(")
	switch {
	case strings.Contains(word, "INT") || strings.Contains(word, "SERIAL"):
		return oidInt8
	case strings.HasPrefix(word, "BOOL"):
		return oidBool
	case word == "REAL" || strings.HasPrefix(word, "DOUBLE") || strings.HasPrefix(word, "FLOAT"):
		return oidFloat8
	case word == "BYTEA" || word == "BLOB":
		return oidBytes
	default:
		return oidText
	}
}

// targetList returns the result expressions of a SELECT, or those of a RETURNING
// clause; nil if there are none or the text cannot be parsed.
func targetList(text string) []*pgquery.Node {
	tree, err := pgquery.Parse(text)
	if err != nil || len(tree.Stmts) == 0 {
		return nil
	}
	s := tree.Stmts[0].Stmt
	switch {
	case s.GetSelectStmt() != nil:
		return s.GetSelectStmt().TargetList
	case s.GetInsertStmt() != nil:
		return s.GetInsertStmt().ReturningList
	case s.GetUpdateStmt() != nil:
		return s.GetUpdateStmt().ReturningList
	case s.GetDeleteStmt() != nil:
		return s.GetDeleteStmt().ReturningList
	}
	return nil
}

// oidOfExpr infers the type of an expression from its syntax, because SQLite
// declares no type for it and Describe is answered before the statement runs.
// The default is text.
func oidOfExpr(n *pgquery.Node) uint32 {
	switch {
	case n.GetAConst() != nil:
		return oidOfConst(n.GetAConst())
	case n.GetFuncCall() != nil:
		return oidOfFunc(n.GetFuncCall())
	case n.GetTypeCast() != nil:
		names := n.GetTypeCast().TypeName.GetNames()
		return oidOfTypeName(names[len(names)-1].GetString_().GetSval())
	case n.GetAExpr() != nil:
		return oidOfOperator(n.GetAExpr())
	case n.GetBoolExpr() != nil, n.GetNullTest() != nil:
		return oidBool
	case n.GetCoalesceExpr() != nil && len(n.GetCoalesceExpr().Args) > 0:
		return oidOfExpr(n.GetCoalesceExpr().Args[0])
	}
	return oidText
}

func oidOfConst(c *pgquery.A_Const) uint32 {
	switch {
	case c.GetBoolval() != nil:
		return oidBool
	case c.GetFval() != nil:
		return oidFloat8
	case c.GetSval() != nil, c.Isnull:
		return oidText
	default:
		return oidInt8
	}
}

func oidOfFunc(f *pgquery.FuncCall) uint32 {
	switch f.Funcname[len(f.Funcname)-1].GetString_().GetSval() {
	case "count", "sum", "length", "octet_length", "row_number", "rank", "max", "min", "abs":
		return oidInt8
	case "avg", "total":
		return oidFloat8
	}
	return oidText
}

func oidOfOperator(e *pgquery.A_Expr) uint32 {
	if len(e.Name) == 0 {
		return oidText
	}
	switch e.Name[0].GetString_().GetSval() {
	case "=", "<", ">", "<=", ">=", "<>", "~~":
		return oidBool
	case "||":
		return oidText
	}
	if oidOfExpr(e.Lexpr) == oidFloat8 || oidOfExpr(e.Rexpr) == oidFloat8 {
		return oidFloat8
	}
	return oidInt8
}
