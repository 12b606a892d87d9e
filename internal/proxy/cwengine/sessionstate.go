package cwengine

import (
	"strings"

	"cicadawalk.example/cicadawalk/internal/core/cwmemory"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargetpool"
)

// Limits of what a session keeps.
const (
	// maxSettings and maxPrepared are the numbers of settings and prepared statements.
	maxSettings = 256
	maxPrepared = 256
	// maxSettingBytes is the length of all settings together, in bytes: that of the longest
	// message. Settings are applied again to each connection that a statement of the session gets,
	// so this bounds what a statement costs a target.
	maxSettingBytes = 1 << 20
	// maxPreparedBytes is the length of all prepared statements together, in bytes.
	maxPreparedBytes = 4 << 20
	// entryBytes is what the entry of a map takes beside its texts, in bytes.
	entryBytes = 128
)

// sessionState is what a session keeps between its statements.
type sessionState struct {
	settings cwtargetpool.Settings
	prepared map[string]preparedStatement
	// settingBytes and preparedBytes are the lengths of all settings and of all prepared
	// statements, in bytes.
	settingBytes, preparedBytes int
}

// preparedStatement is a statement that the session has prepared.
type preparedStatement struct {
	// name is the name under which targets know it. It is derived from the content,
	// since callers use the same names for different statements.
	name string
	// text is the statement as it was prepared.
	text   string
	writes bool
}

// updateSession answers a statement that only changes the session's settings or
// prepared statements.
func (s *session) updateSession(st cwstatement.Statement) cwstatement.Response {
	switch st.Verb {
	case cwstatement.Set:
		return s.set(st)
	case cwstatement.Prepare:
		return s.prepare(st)
	}
	return s.deallocate(st.Name)
}

func (s *session) deallocate(name string) cwstatement.Response {
	p, ok := s.prepared[name]
	if !ok {
		return cwstatement.Failure(cwstatement.NotPrepared, "no statement is named "+name)
	}
	delete(s.prepared, name)
	n := stateBytes(name, p.text)
	s.preparedBytes -= n
	s.memory.Release(cwmemory.Session, int64(n))
	return cwstatement.Response{}
}

// stateBytes returns what an entry of the session's settings or prepared statements takes in bytes.
func stateBytes(name, text string) int { return entryBytes + len(name) + len(text) }

// replaceState charges the session for an entry that replaces one of oldBytes, zero if there is none.
func (s *session) replaceState(newBytes, oldBytes int) error {
	if newBytes > oldBytes {
		return s.memory.Charge(cwmemory.Session, int64(newBytes-oldBytes))
	}
	s.memory.Release(cwmemory.Session, int64(oldBytes-newBytes))
	return nil
}

// set changes a setting. The copies of its texts keep them from holding all of the message.
func (s *session) set(st cwstatement.Statement) cwstatement.Response {
	old, exists := s.settings.Value(st.Name)
	n, before := stateBytes(st.Name, st.Args), 0
	if exists {
		before = stateBytes(st.Name, old)
	}
	switch {
	case !exists && s.settings.Len() >= maxSettings:
		return cwstatement.Failure(cwstatement.Malformed, "too many settings")
	case s.settingBytes+n-before > maxSettingBytes:
		return cwstatement.Failure(cwstatement.Malformed, "the settings are too long together")
	}
	if err := s.replaceState(n, before); err != nil {
		return memoryRefusal(err)
	}
	s.settings = s.settings.With(strings.Clone(st.Name), strings.Clone(st.Args))
	s.settingBytes += n - before
	return cwstatement.Response{}
}

// prepare adds a prepared statement. The copies of its texts keep them from holding all of the
// message.
func (s *session) prepare(st cwstatement.Statement) cwstatement.Response {
	old, exists := s.prepared[st.Name]
	n, before := stateBytes(st.Name, st.Args), 0
	if exists {
		before = stateBytes(st.Name, old.text)
	}
	switch {
	case !exists && len(s.prepared) >= maxPrepared:
		return cwstatement.Failure(cwstatement.Malformed, "too many prepared statements")
	case s.preparedBytes+n-before > maxPreparedBytes:
		return cwstatement.Failure(cwstatement.Malformed, "the prepared statements are too long together")
	}
	if err := s.replaceState(n, before); err != nil {
		return memoryRefusal(err)
	}
	if s.prepared == nil {
		s.prepared = make(map[string]preparedStatement, 1)
	}
	text := strings.Clone(st.Args)
	s.prepared[strings.Clone(st.Name)] = preparedStatement{name: preparedName(st.Writes, text), text: text, writes: st.Writes}
	s.preparedBytes += n - before
	return cwstatement.Response{}
}
