package main

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"strings"
	"time"
)

// readMessage reads one message of the line protocol without its terminator.
func readMessage(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for !strings.HasSuffix(b.String(), "\r\n") {
		part, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		b.WriteString(part)
	}
	return strings.TrimSuffix(b.String(), "\r\n"), nil
}

// dbSession is one connection to a database. Its fields are used by its goroutine only.
type dbSession struct {
	db   *database
	conn net.Conn
	in   *bufio.Reader

	prepared map[string]string
	// open is true inside a transaction, failed once a statement of it failed.
	open, readOnly, failed bool
	term                   uint64
	writes                 map[string]string
	statements             []string
}

// run accepts connections until the listener is closed.
func (d *database) run(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s := &dbSession{db: d, conn: c, in: bufio.NewReader(c), prepared: make(map[string]string)}
		go s.run()
	}
}

func (s *dbSession) run() {
	d, g := s.db, s.db.group
	defer func() { _ = s.conn.Close() }()
	first, err := readMessage(s.in)
	f := strings.Fields(first)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" {
		return
	}
	if f[1] != g.service || len(f) > 3 && f[3] != d.id {
		_, _ = fmt.Fprintf(s.conn, "ERROR %s %s\r\n", names["wrongDatabase"], d.id)
		return
	}
	g.mu.Lock()
	full, down := len(d.conns) >= maxConns, d.down
	if !full && !down {
		d.conns[s.conn] = struct{}{}
	}
	end := d.end()
	g.mu.Unlock()
	if full {
		_, _ = fmt.Fprint(s.conn, "ERROR TOOMANY connections\r\n")
	}
	if full || down {
		return
	}
	defer s.forget()
	time.Sleep(handshake)
	if _, err := fmt.Fprintf(s.conn, "READY I %v\r\n", end); err != nil {
		return
	}
	for {
		m, err := readMessage(s.in)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(m, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if _, err := fmt.Fprint(s.conn, s.answer(id, text)); err != nil {
			return
		}
	}
}

func (s *dbSession) forget() {
	g := s.db.group
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(s.db.conns, s.conn)
}

// errRefused is the answer to a statement that is no success.
type errRefused struct{ code, detail string }

func (e *errRefused) Error() string { return e.code + " " + e.detail }

// answer runs one query and returns the messages that answer it.
func (s *dbSession) answer(id, text string) string {
	rows, proof, err := s.query(id, text)
	var out strings.Builder
	var refused *errRefused
	if errors.As(err, &refused) {
		if s.open {
			s.failed = true
		}
		fmt.Fprintf(&out, "ERROR %s %s\r\n", refused.code, refused.detail)
	} else {
		for _, r := range rows {
			fmt.Fprintf(&out, "ROW %s\r\n", r)
		}
		fmt.Fprintf(&out, "COMPLETE %s\r\n", proof)
	}
	state := "I"
	switch {
	case s.open && s.failed:
		state = "E"
	case s.open:
		state = "T"
	}
	s.db.group.mu.Lock()
	end := s.db.end()
	s.db.group.mu.Unlock()
	fmt.Fprintf(&out, "READY %s %v\r\n", state, end)
	return out.String()
}

func (s *dbSession) query(id, text string) (rows []string, proof string, err error) {
	word, rest, _ := strings.Cut(text, " ")
	floor := position{}
	if word == "AFTER" {
		var at string
		at, text, _ = strings.Cut(rest, " ")
		t, n, _ := strings.Cut(at, ".")
		floor = position{term: parseTerm(t), number: parseTerm(n)}
		word, rest, _ = strings.Cut(text, " ")
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		s.db.group.mu.Lock()
		defer s.db.group.mu.Unlock()
		s.db.control(word, parseTerm(rest))
		return []string{s.db.status()}, "-", nil
	case "SET":
		return nil, "-", nil
	case "RESET":
		s.prepared = make(map[string]string)
		return nil, "-", nil
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return nil, "-", nil
	case "ROLLBACK":
		s.end()
		return nil, "-", nil
	}
	if s.open && s.failed {
		if word == "COMMIT" {
			s.end()
		}
		return nil, "", &errRefused{"MALFORMED", "the transaction has failed"}
	}
	if word == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return nil, "", &errRefused{names["notPrepared"], name}
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = args
	}
	if word == "BEGIN" && rest == "READ" {
		word = text
	}
	if err := s.begin(word, floor); err != nil {
		return nil, "", err
	}
	if strings.HasPrefix(word, "BEGIN") {
		return nil, "-", nil
	}
	if err := s.db.takeTurn(); err != nil {
		return nil, "", err
	}
	defer s.db.endTurn()
	time.Sleep(work)
	return s.execute(id, word, rest)
}

// begin checks whether the database may run a statement, and opens the transaction of BEGIN.
func (s *dbSession) begin(word string, floor position) error {
	d := s.db
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.end().less(floor) {
		return &errRefused{names["behind"], d.end().String()}
	}
	lost := !d.primary || s.open && s.term != d.term
	switch {
	case s.open && !s.readOnly && lost && (word != "COMMIT" || len(s.writes) > 0):
		return &errRefused{names["notPrimary"], d.id}
	case !s.open && lost && (word == "WRITE" || word == "BEGIN"):
		return &errRefused{names["notPrimary"], d.id}
	case word == "BEGIN":
		s.open, s.term, s.writes = true, d.term, make(map[string]string)
	case word == "BEGIN READ":
		s.open, s.readOnly, s.writes = true, true, make(map[string]string)
	}
	return nil
}

// end ends the transaction.
func (s *dbSession) end() {
	s.open, s.readOnly, s.failed, s.writes, s.statements = false, false, false, nil, nil
}

// takeTurn waits for one of the slots.
func (d *database) takeTurn() error {
	d.group.mu.Lock()
	full := d.busy >= slots+queue
	if !full {
		d.busy++
	}
	d.group.mu.Unlock()
	if full {
		return &errRefused{"BUSY", "queue"}
	}
	d.turn <- struct{}{}
	return nil
}

func (d *database) endTurn() {
	<-d.turn
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.busy = max(0, d.busy-1)
}

// execute runs a read, a write or a commit.
func (s *dbSession) execute(id, word, rest string) (rows []string, proof string, err error) {
	d := s.db
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	item, data, _ := strings.Cut(rest, " ")
	if d.down {
		return nil, "", &errRefused{"BUSY", "down"}
	}
	d.group.rec.ran(id, d.id, word, rest)
	switch word {
	case "READ":
		value, ok := s.writes[item]
		for i := len(d.log) - 1; i >= 0 && !ok; i-- {
			value, ok = d.log[i].items[item]
		}
		return []string{value}, proofOf(id, value), nil
	case "WRITE":
		if s.open {
			s.writes[item] = data
			s.statements = append(s.statements, id)
			return nil, proofOf(id, data), nil
		}
		if !d.primary {
			return nil, "", &errRefused{names["notPrimary"], d.id}
		}
		d.append(map[string]string{item: data}, []string{id})
		return nil, proofOf(id, data), nil
	case "COMMIT":
		if len(s.writes) > 0 {
			if !d.primary || d.term != s.term {
				s.end()
				return nil, "", &errRefused{names["notPrimary"], d.id}
			}
			d.append(maps.Clone(s.writes), s.statements)
		}
		s.end()
		return nil, proofOf(id, ""), nil
	}
	return nil, "", &errRefused{"MALFORMED", word}
}

// append adds a commit to the log. The caller holds the group's lock.
func (d *database) append(items map[string]string, statements []string) {
	next := position{term: d.term, number: d.end().number + 1}
	d.log = append(slices0(d.log), commit{at: next, statements: statements, items: items})
}

// slices0 returns the log for an append that does not write into a shared array.
func slices0(log []commit) []commit { return log[:len(log):len(log)] }

func proofOf(id, value string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id + "/" + value))
	return fmt.Sprintf("7.%x", h.Sum64())
}
