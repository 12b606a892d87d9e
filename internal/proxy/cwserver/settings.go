package cwserver

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwrequestkey"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// Names of the settings that the proxy itself handles, in lower case as the
// parser returns them, and of the target's read-only setting.
const (
	settingToken       = "cicadawalk.sessiontoken"
	settingRequestKey  = "cicadawalk.requestkey"
	settingMaxAge      = "cicadawalk.maxage"
	settingShard       = "cicadawalk.shard"
	proxySettingPrefix = "cicadawalk."
	// tokenParameter is the name of the ParameterStatus that reports the token.
	tokenParameter  = "cicadawalk.sessionToken"
	settingReadOnly = "default_transaction_read_only"
)

// Limits on the settings of a session.
const (
	maxSettings     = 64
	maxSettingBytes = 1024
	maxAgeLimit     = time.Hour
)

// settings are the session's settings that are applied to target connections,
// by name. The value is immutable; the zero value has no settings.
type settings struct {
	// values holds the SQL string literals that SET takes. A list has several, separated by
	// commas: as one literal it would be a single element.
	values map[string]string
}

// with returns the settings with another value, given as SQL string literals.
func (s settings) with(name, literals string) settings {
	m := maps.Clone(s.values)
	if m == nil {
		m = make(map[string]string, 1)
	}
	m[name] = literals
	return settings{values: m}
}

func (s settings) without(name string) settings {
	if _, ok := s.values[name]; !ok {
		return s
	}
	m := maps.Clone(s.values)
	delete(m, name)
	return settings{values: m}
}

// identifierLists are the settings whose value is a list of identifiers.
var identifierLists = map[string]bool{"search_path": true, "temp_tablespaces": true, "local_preload_libraries": true, "session_preload_libraries": true}

// startupLiterals returns the SQL string literals for the value of a start-up parameter. A target
// would read a list of identifiers in it as in its configuration file, not as in SET.
func startupLiterals(name, value string) string {
	if !identifierLists[name] {
		return cwsql.QuoteLiteral(value)
	}
	var elements []string
	for value != "" {
		var e string
		e, value = cutIdentifier(value)
		elements = append(elements, e)
	}
	if len(elements) == 0 {
		elements = []string{""}
	}
	return cwsql.QuoteLiterals(elements...)
}

// cutIdentifier returns the first identifier of a list and the rest of the list. An identifier in
// double quotes may contain commas and blanks and keeps its case.
func cutIdentifier(list string) (id, rest string) {
	var out []byte
	// end is the length of out without trailing blanks.
	quoted, end := false, 0
	for i := 0; i < len(list); i++ {
		switch c := list[i]; {
		case c == '"' && quoted && strings.HasPrefix(list[i+1:], `"`):
			out = append(out, c)
			i++
		case c == '"':
			quoted = !quoted
		case c == ',' && !quoted:
			return string(out[:end]), list[i+1:]
		case isBlank(c) && !quoted:
			if end > 0 {
				out = append(out, c)
			}
			continue
		case 'A' <= c && c <= 'Z' && !quoted:
			out = append(out, c-'A'+'a')
		default:
			out = append(out, c)
		}
		end = len(out)
	}
	return string(out[:end]), ""
}

func isBlank(c byte) bool { return strings.IndexByte(" \t\r\n", c) >= 0 }

// diff returns the SET and RESET statements that change a connection's settings
// from applied to s, and updates applied to match. It returns an empty string if
// they are equal.
func (s settings) diff(applied map[string]string) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(applied)) {
		if _, ok := s.values[name]; !ok {
			b.WriteString("RESET " + quoteIdentifier(name) + ";")
			delete(applied, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		if v, ok := applied[name]; ok && v == s.values[name] {
			continue
		}
		b.WriteString("SET " + quoteIdentifier(name) + " = " + s.values[name] + ";")
		applied[name] = s.values[name]
	}
	return b.String()
}

func quoteIdentifier(name string) string {
	parts := strings.Split(name, ".")
	for i, p := range parts {
		parts[i] = `"` + strings.ReplaceAll(p, `"`, `""`) + `"`
	}
	return strings.Join(parts, ".")
}

// proxySettings are the cicadawalk.* settings of a session, which the proxy
// handles itself. The session token is kept apart from them.
type proxySettings struct {
	// requestKey identifies the next write, and is cleared once it is used.
	requestKey string
	// maxAge is the greatest permitted staleness of a read, passed to the router.
	maxAge time.Duration
	// shard selects one of the entry's groups.
	shard string
}

// parseMaxAge parses cicadawalk.maxAge: a number of milliseconds, or a Go
// duration such as 5s. The empty string means zero; the maximum is one hour.
func parseMaxAge(v string) (time.Duration, error) {
	if v == "" {
		return 0, nil
	}
	if ms, err := strconv.ParseUint(v, 10, 32); err == nil {
		v = strconv.FormatUint(ms, 10) + "ms"
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 || d > maxAgeLimit {
		return 0, invalidSetting("cicadawalk.maxAge", v, "milliseconds, or a duration as in 5s, up to 1h")
	}
	return d, nil
}

// invalidSetting returns the refusal of a setting's value; allowed describes the
// values that are accepted.
func invalidSetting(name, value, allowed string) error {
	return cwrefusal.NotRun(cwrefusal.InvalidParameter, 0, "invalid value for parameter %q: %q; allowed: %s", name, value, allowed)
}

// setProxySetting changes a cicadawalk.* setting; name is in lower case. Its
// error is sent to the client.
func (s *session) setProxySetting(name, value string) error {
	switch name {
	case settingToken:
		return s.setToken(value)
	case settingRequestKey:
		if value != "" {
			if err := cwrequestkey.CheckKey(value); err != nil {
				return invalidSetting("cicadawalk.requestKey", "", err.Error())
			}
		}
		s.proxySettings.requestKey = value
	case settingMaxAge:
		d, err := parseMaxAge(value)
		if err != nil {
			return err
		}
		s.proxySettings.maxAge = d
	case settingShard:
		if len(value) > maxSettingBytes {
			return invalidSetting("cicadawalk.shard", "", "at most 1024 bytes")
		}
		if s.tx != nil {
			return invalidSetting("cicadawalk.shard", value, "no change inside a transaction")
		}
		s.proxySettings.shard = value
		return s.selectGroup()
	default:
		return cwrefusal.NotRun(cwrefusal.InvalidParameter, 0, "unrecognized configuration parameter %q", name)
	}
	return nil
}

// showProxySetting returns the value of a cicadawalk.* setting; name is in lower
// case.
func (s *session) showProxySetting(name string) (string, error) {
	switch name {
	case settingToken:
		return s.token.String(), nil
	case settingRequestKey:
		return s.proxySettings.requestKey, nil
	case settingMaxAge:
		return s.proxySettings.maxAge.String(), nil
	case settingShard:
		return s.proxySettings.shard, nil
	}
	return "", cwrefusal.NotRun(cwrefusal.InvalidParameter, 0, "unrecognized configuration parameter %q", name)
}
