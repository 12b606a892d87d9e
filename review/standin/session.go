package main

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
)

// dbSession is a session of a connection at a database.
type dbSession struct {
	database *database
	settings map[string]string
	// prepared has the mode and the shape of each prepared statement.
	prepared map[string]string
	// state is I, T or E. readOnly, writes and term belong to the open transaction.
	state    string
	readOnly bool
	term     uint64
	writes   map[string]string
}

// end returns the position of the database's log.
func (s *dbSession) end() string {
	s.database.group.mu.Lock()
	defer s.database.group.mu.Unlock()
	return s.database.position()
}

func failure(code, text string) string { return "ERROR " + code + " " + text + "\r\n" }

// query runs a query and returns its answer up to READY; false if the connection is to
// be closed without one.
func (s *dbSession) query(id, text string) (string, bool) {
	d, g := s.database, s.database.group
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		term, index := parsePosition(position)
		g.mu.Lock()
		endTerm, endIndex := parsePosition(d.position())
		g.mu.Unlock()
		if endTerm < term || endTerm == term && endIndex < index {
			return failure(names.BehindCode, d.id), true
		}
		text = statement
	}
	answer, written, wrote := s.run(id, text)
	if wrote && !g.awaitReplica(d, written) {
		return "", false
	}
	if strings.HasPrefix(answer, "ERROR") && s.state == "T" {
		s.state = "E"
	}
	return answer, true
}

// run runs a query. If it commits a write, it returns the record.
func (s *dbSession) run(id, text string) (answer string, written record, wrote bool) {
	d, g := s.database, s.database.group
	g.mu.Lock()
	defer g.mu.Unlock()
	verb, rest, _ := strings.Cut(text, " ")
	done := fmt.Sprintf("COMPLETE %s.%s.%d\r\n", d.id, id, len(g.runs))
	if s.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return failure("MALFORMED", "the transaction has failed"), written, false
	}
	switch verb {
	case "STATUS", "PAUSE", "DEMOTE", "RESUME":
		return d.control(verb, rest), written, false
	case "RESET":
		s.settings, s.prepared = map[string]string{}, map[string]string{}
		return "COMPLETE -\r\n", written, false
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.settings[name] = value
		return "COMPLETE -\r\n", written, false
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return "COMPLETE -\r\n", written, false
	case "DEALLOCATE":
		delete(s.prepared, rest)
		return "COMPLETE -\r\n", written, false
	case "BEGIN":
		if rest != "READ" && !d.primary {
			return failure(names.NotPrimaryCode, d.id), written, false
		}
		s.state, s.readOnly, s.term, s.writes = "T", rest == "READ", d.term, map[string]string{}
		return "COMPLETE -\r\n", written, false
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return "COMPLETE -\r\n", written, false
	}
	if id != "-" {
		g.runs = append(g.runs, statementRun{database: d.id, id: id, text: text})
		g.rec.printf("database %s runs %s %q", d.id, id, text)
	}
	if verb == "COMMIT" {
		return s.commit(id, done)
	}
	if verb == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return failure(names.NotPreparedCode, name), written, false
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = args
	}
	item, data, _ := strings.Cut(rest, " ")
	if verb == "READ" {
		return "ROW " + s.value(item) + "\r\n" + done, written, false
	}
	lead := d.primary && (s.state == "I" || d.term == s.term)
	switch {
	case !lead || s.state == "T" && s.readOnly:
		return failure(names.NotPrimaryCode, d.id), written, false
	case s.state == "T":
		s.writes[item] = data
		return done, written, false
	}
	return done, d.commit(id, map[string]string{item: data}), true
}

// value returns the data of an item. The caller holds the lock of the group.
func (s *dbSession) value(item string) string {
	if v, ok := s.writes[item]; ok {
		return v
	}
	log := s.database.log
	for i := len(log) - 1; i >= 0; i-- {
		if v, ok := log[i].writes[item]; ok {
			return v
		}
	}
	return ""
}

// commit ends the transaction. The caller holds the lock of the group.
func (s *dbSession) commit(id, done string) (answer string, written record, wrote bool) {
	d := s.database
	failed, writes := s.state != "T", maps.Clone(s.writes)
	lead := d.primary && d.term == s.term
	s.state, s.writes = "I", nil
	switch {
	case failed:
		return failure("ABORTED", "no transaction"), written, false
	case len(writes) == 0:
		return done, written, false
	case !lead:
		return failure(names.NotPrimaryCode, d.id), written, false
	}
	return done, d.commit(id, writes), true
}

// control runs an order or a question of the system. The caller holds the lock of the
// group.
func (d *database) control(verb, argument string) string {
	term, _ := strconv.ParseUint(argument, 10, 64)
	switch {
	case verb == "PAUSE" && !d.primary:
		d.fence = max(d.fence, term)
	case verb == "RESUME":
		d.fence = 0
	case verb == "DEMOTE" && d.primary && d.term < term:
		d.primary = false
		d.list()
	}
	if verb != "STATUS" {
		d.group.rec.printf("database %s gets %s %s, log end %s", d.id, verb, argument, d.position())
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nCOMPLETE -\r\n", role, d.term, d.position(), d.fence, len(d.conns))
}
