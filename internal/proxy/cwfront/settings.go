package cwfront

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwrequest"
)

// Names of the session's own settings, in lower case as the parser gives them.
const (
	settingToken  = "cicadawalk.sessiontoken"
	settingKey    = "cicadawalk.requestkey"
	settingMaxAge = "cicadawalk.maxage"
	settingShard  = "cicadawalk.shard"
	ownPrefix     = "cicadawalk."
	// tokenParameter is the name under which the token is reported.
	tokenParameter = "cicadawalk.sessionToken"
	readOnlyName   = "default_transaction_read_only"
)

// Bounds of what a session may set.
const (
	maxSettings     = 64
	maxSettingBytes = 1024
	maxMaxAge       = time.Hour
)

// settings are the session's settings that targets know. It is immutable; the
// zero value has none.
type settings struct {
	m map[string]string
}

func (s settings) with(name, value string) settings {
	m := maps.Clone(s.m)
	if m == nil {
		m = make(map[string]string, 1)
	}
	m[name] = value
	return settings{m: m}
}

func (s settings) without(name string) settings {
	if _, ok := s.m[name]; !ok {
		return s
	}
	m := maps.Clone(s.m)
	delete(m, name)
	return settings{m: m}
}

// diff returns the statements that bring a connection from applied to s, and
// changes applied.
func (s settings) diff(applied map[string]string) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(applied)) {
		if _, ok := s.m[name]; !ok {
			b.WriteString("RESET " + quoteName(name) + ";")
			delete(applied, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.m)) {
		if v, ok := applied[name]; ok && v == s.m[name] {
			continue
		}
		b.WriteString("SET " + quoteName(name) + " = " + quoteValue(s.m[name]) + ";")
		applied[name] = s.m[name]
	}
	return b.String()
}

func quoteName(name string) string {
	parts := strings.Split(name, ".")
	for i, p := range parts {
		parts[i] = `"` + strings.ReplaceAll(p, `"`, `""`) + `"`
	}
	return strings.Join(parts, ".")
}

func quoteValue(v string) string {
	return "'" + strings.ReplaceAll(v, "'", "''") + "'"
}

// own are the settings of the system's own.
type own struct {
	// requestKey applies to the next write only.
	requestKey string
	maxAge     time.Duration
	shard      string
}

// parseMaxAge reads a duration as milliseconds, or with a unit as in 5s.
func parseMaxAge(v string) (time.Duration, error) {
	if v == "" {
		return 0, nil
	}
	if ms, err := strconv.ParseUint(v, 10, 32); err == nil {
		v = strconv.FormatUint(ms, 10) + "ms"
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 || d > maxMaxAge {
		return 0, badSetting("cicadawalk.maxAge", v, "milliseconds, or a duration as in 5s, up to 1h")
	}
	return d, nil
}

func badSetting(name, value, allowed string) error {
	return cwrefusal.NotRun(cwrefusal.InvalidParameter, 0, "invalid value for parameter %q: %q; allowed: %s", name, value, allowed)
}

// setOwn changes one of the system's own settings.
func (s *session) setOwn(name, value string) error {
	switch name {
	case settingToken:
		return s.takeToken(value)
	case settingKey:
		if value != "" {
			if err := cwrequest.CheckKey(value); err != nil {
				return badSetting("cicadawalk.requestKey", "", err.Error())
			}
		}
		s.own.requestKey = value
	case settingMaxAge:
		d, err := parseMaxAge(value)
		if err != nil {
			return err
		}
		s.own.maxAge = d
	case settingShard:
		if len(value) > maxSettingBytes {
			return badSetting("cicadawalk.shard", "", "at most 1024 bytes")
		}
		if s.tx != nil {
			return badSetting("cicadawalk.shard", value, "no change inside a transaction")
		}
		s.own.shard = value
		return s.chooseGroup()
	default:
		return cwrefusal.NotRun(cwrefusal.InvalidParameter, 0, "unrecognized configuration parameter %q", name)
	}
	return nil
}

func (s *session) showOwn(name string) (string, error) {
	switch name {
	case settingToken:
		return s.token.String(), nil
	case settingKey:
		return s.own.requestKey, nil
	case settingMaxAge:
		return s.own.maxAge.String(), nil
	case settingShard:
		return s.own.shard, nil
	}
	return "", cwrefusal.NotRun(cwrefusal.InvalidParameter, 0, "unrecognized configuration parameter %q", name)
}
