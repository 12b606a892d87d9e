package cwsql

import (
	"hash/maphash"
	"strconv"
)

var hashSeed = maphash.MakeSeed()

func shardOf(text string) uint64 {
	return maphash.String(hashSeed, text) % cacheShards
}

func itoa(n int32) string { return strconv.FormatInt(int64(n), 10) }

// readFunctions holds the functions that do not write. A statement that calls any other
// function runs on the primary, because user-defined functions may write, and built-in
// ones such as nextval do.
var readFunctions = nameSet(
	"abs", "ceil", "ceiling", "floor", "round", "trunc", "sign", "sqrt", "power", "mod", "exp", "ln", "log",
	"count", "sum", "avg", "min", "max", "bool_and", "bool_or", "every", "string_agg", "array_agg",
	"json_agg", "jsonb_agg", "json_object_agg", "jsonb_object_agg", "total", "group_concat",
	"row_number", "rank", "dense_rank", "ntile", "lag", "lead", "first_value", "last_value", "nth_value",
	"lower", "upper", "length", "char_length", "octet_length", "substr", "substring", "left", "right",
	"trim", "btrim", "ltrim", "rtrim", "replace", "split_part", "strpos", "position", "concat", "concat_ws",
	"format", "repeat", "reverse", "lpad", "rpad", "md5", "encode", "decode", "initcap", "ascii", "chr",
	"to_char", "to_date", "to_timestamp", "to_number", "date_trunc", "date_part", "extract", "age", "now",
	"date", "strftime", "julianday", "unixepoch", "timezone", "make_date", "make_timestamp",
	"clock_timestamp", "statement_timestamp", "transaction_timestamp",
	"array_length", "unnest", "cardinality", "array_to_string", "string_to_array", "generate_series",
	"json_build_object", "jsonb_build_object", "json_extract_path", "json_extract_path_text",
	"jsonb_extract_path", "jsonb_extract_path_text", "to_json", "to_jsonb", "json_array_length",
	"jsonb_array_length", "json_extract", "json_each", "jsonb_each",
	"version", "current_setting", "current_database", "current_schema", "pg_is_in_recovery", "pg_sleep",
	"pg_backend_pid", "pg_typeof", "greatest", "least", "ifnull", "random", "typeof", "hex", "zeroblob",
)

func nameSet(names ...string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}
