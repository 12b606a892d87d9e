package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// answer is what a client got for a statement. code is "OK" for a success, and "CUT" where the
// connection ended without an answer.
type answer struct {
	code, detail string
	rows         []string
	state        string
}

// client is a session with a machine.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	rec  *record
}

// dialClient opens a session for a database.
func dialClient(address, database string, rec *record) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReader(conn), rec: rec}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s u1\r\n", database); err != nil {
		_ = conn.Close()
		return nil, err
	}
	m, err := readMessage(c.in)
	if err == nil && !strings.HasPrefix(m, "READY") {
		err = fmt.Errorf("startup: %s", m)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// query sends one statement and reads its answer.
func (c *client) query(id, text string) answer {
	_ = c.conn.SetDeadline(time.Now().Add(8 * time.Second))
	c.rec.line("sent %s: %s", id, shortened(text))
	a := c.exchange(id, text)
	c.rec.line("answered %s: %s %s %s", id, a.code, a.detail, strings.Join(a.rows, " "))
	return a
}

// shortened returns a text as it is recorded.
func shortened(text string) string {
	const most = 80
	if len(text) <= most {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:most], len(text))
}

func (c *client) exchange(id, text string) answer {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{code: "CUT", detail: err.Error()}
	}
	a := answer{code: "OK"}
	for {
		m, err := readMessage(c.in)
		if err != nil {
			return answer{code: "CUT", detail: err.Error()}
		}
		word, rest, _ := strings.Cut(m, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "ERROR":
			a.code, a.detail, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

// writer writes numbered items at one machine after another, and remembers what was acknowledged.
type writer struct {
	name     string
	machines []*machine
	database string
	rec      *record
	interval time.Duration

	mu sync.Mutex
	// acknowledged has the ids of the writes that were answered with a success.
	acknowledged []string
}

// run writes until stop is closed. An operation that was refused as not kept is sent again at
// the next machine with a new id.
func (w *writer) run(stop <-chan struct{}) {
	var c *client
	at := 0
	for n := 1; ; n++ {
		select {
		case <-stop:
			if c != nil {
				_ = c.conn.Close()
			}
			return
		case <-time.After(w.interval):
		}
		if c == nil {
			var err error
			if c, err = dialClient(w.machines[at%len(w.machines)].front, w.database, w.rec); err != nil {
				c = nil
				at++
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", w.name, n)
		a := c.query(id, fmt.Sprintf("WRITE %s %s", id, id))
		switch a.code {
		case "OK":
			w.mu.Lock()
			w.acknowledged = append(w.acknowledged, id)
			w.mu.Unlock()
		default:
			_ = c.conn.Close()
			c = nil
			at++
		}
	}
}

// all returns the ids that were acknowledged.
func (w *writer) all() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.acknowledged...)
}
