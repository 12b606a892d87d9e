package cwload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// outcome is what a session knows about one of its writes.
type outcome uint8

const (
	// unknown means that the answer was lost, or said so.
	unknown outcome = iota
	acknowledged
	// notRun means that every answer to the write said that it was not run.
	notRun
)

// ledger is what a session was told about its writes, by sequence number.
type ledger struct {
	state map[int]outcome
	acked int
}

// session is one caller that roams.
type session struct {
	load   *Load
	id     int
	ledger *ledger
	rng    *rand.Rand

	conn  *pgx.Conn
	proxy int
	token string
	seq   int
	ops   int
}

// operation bounds and pauses.
const (
	opTimeout    = 15 * time.Second
	connectPause = 50 * time.Millisecond
	defaultRetry = 50 * time.Millisecond
	maxTries     = 40
)

func (s *session) run(ctx context.Context) error {
	defer s.close()
	s.proxy = s.id % len(s.load.plan.URLs)
	due := time.Now()
	step := time.Duration(0)
	if s.load.plan.Rate > 0 {
		step = time.Duration(float64(time.Second) * float64(s.load.plan.Sessions) / s.load.plan.Rate)
		due = due.Add(time.Duration(s.rng.Float64() * float64(step)))
	}
	for ctx.Err() == nil {
		if step > 0 {
			wait(ctx, time.Until(due))
			due = due.Add(step)
		} else {
			due = time.Now()
		}
		if ctx.Err() != nil {
			return nil
		}
		intended := due
		if step > 0 {
			intended = due.Add(-step)
		}
		s.one(intended)
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// one carries out one operation to its end, also after the plan's time is over.
func (s *session) one(intended time.Time) {
	s.ops++
	if r := s.load.plan.RoamEvery; r > 0 && s.ops%r == 0 {
		s.roam()
	}
	if s.rng.Float64() < s.load.plan.WriteShare {
		s.write(intended)
		return
	}
	s.read(intended)
}

func (s *session) roam() {
	s.close()
	s.proxy = (s.proxy + 1) % len(s.load.plan.URLs)
}

func (s *session) close() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
}

// connected returns the connection, making one if there is none.
func (s *session) connected(ctx context.Context) (*pgx.Conn, error) {
	if s.conn != nil && !s.conn.IsClosed() {
		return s.conn, nil
	}
	cfg, err := pgx.ParseConfig(s.load.plan.URLs[s.proxy])
	if err != nil {
		return nil, err
	}
	if s.token != "" && !s.load.plan.DropToken {
		cfg.RuntimeParams["cicadawalk.sessionToken"] = s.token
	}
	if a := s.load.plan.MaxAge; a > 0 {
		cfg.RuntimeParams["cicadawalk.maxAge"] = strconv.FormatInt(a.Milliseconds(), 10)
	}
	s.conn, err = pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		s.conn = nil
		s.proxy = (s.proxy + 1) % len(s.load.plan.URLs)
		time.Sleep(connectPause)
	}
	return s.conn, err
}

func (s *session) keepToken() {
	if s.conn == nil {
		return
	}
	if t := s.conn.PgConn().ParameterStatus("cicadawalk.sessionToken"); t != "" {
		s.token = t
	}
}

// write writes one record, repeating it while it is certain, or made certain by
// its key, that it did not run.
func (s *session) write(intended time.Time) {
	s.seq++
	seq := s.seq
	began := time.Now()
	state := notRun
	for range maxTries {
		err := s.insert(seq)
		if err == nil {
			s.keepToken()
			s.acknowledge(seq, began, intended)
			return
		}
		refused, pause := s.note(err)
		if !refused {
			state = unknown
			if !s.load.plan.Keys {
				break
			}
		}
		time.Sleep(pause)
	}
	s.ledger.state[seq] = state
}

func (s *session) insert(seq int) error {
	ctx, cancel := context.WithTimeout(context.Background(), opTimeout)
	defer cancel()
	conn, err := s.connected(ctx)
	if err != nil {
		return &notSentError{cause: err}
	}
	if s.load.plan.Keys {
		key := fmt.Sprintf("SET cicadawalk.requestKey = '%s-%d-%d'", s.load.plan.Table, s.id, seq)
		if _, err := conn.Exec(ctx, key); err != nil {
			return &notSentError{cause: err}
		}
	}
	_, err = conn.Exec(ctx, fmt.Sprintf("INSERT INTO %s VALUES ($1, $2, $3)", s.load.plan.Table), s.id, seq, "ronda")
	return err
}

// notSentError says that the write was never sent.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

func (s *session) acknowledge(seq int, began, intended time.Time) {
	ended := time.Now()
	s.ledger.state[seq] = acknowledged
	s.ledger.acked++
	l := s.load
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Operations++
	l.report.Acknowledged++
	l.report.Acks = append(l.report.Acks, Ack{Began: began, Ended: ended})
	_ = l.report.WriteLatency.RecordValue(min(ended.Sub(intended).Microseconds()+1, maxLatency))
}

var retryAfterText = regexp.MustCompile(`retryAfterMs=(\d+)`)

// refusal returns when to come back with a request that certainly did not run; false if
// that is not said.
func refusal(pe *pgconn.PgError) (time.Duration, bool) {
	m := retryAfterText.FindStringSubmatch(pe.Detail)
	if m == nil || !strings.Contains(pe.Detail, "notRun=true") {
		return 0, false
	}
	ms, err := strconv.Atoi(m[1])
	if err != nil {
		return defaultRetry, true
	}
	return max(time.Duration(ms)*time.Millisecond, time.Millisecond), true
}

// note counts an error. It returns whether the request certainly did not run,
// and the pause before a repeat.
func (s *session) note(err error) (refused bool, pause time.Duration) {
	l := s.load
	var pe *pgconn.PgError
	var ns *notSentError
	isPG, isNotSent := errors.As(err, &pe), errors.As(err, &ns)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !isPG {
		s.conn = nil
		s.proxy = (s.proxy + 1) % len(l.plan.URLs)
		if !isNotSent {
			l.report.Unknown++
		}
		return isNotSent, defaultRetry
	}
	if s.conn != nil && s.conn.IsClosed() {
		s.conn = nil
	}
	if after, refused := refusal(pe); refused {
		l.report.NotRun++
		if l.report.FirstRefusal == "" {
			l.report.FirstRefusal = err.Error()
		}
		return true, after
	}
	if pe.Code == "08007" {
		l.report.Unknown++
		return isNotSent, defaultRetry
	}
	l.report.Errors++
	if l.report.FirstError == "" {
		l.report.FirstError = err.Error()
	}
	return isNotSent, defaultRetry
}

// read reads the session's own records and checks that none is missing.
func (s *session) read(intended time.Time) {
	want := s.ledger.acked
	for range maxTries {
		n, err := s.count()
		if err != nil {
			_, pause := s.note(err)
			time.Sleep(pause)
			continue
		}
		l := s.load
		l.mu.Lock()
		l.report.Operations++
		l.report.Reads++
		if n < want {
			l.report.StaleOwnReads++
		}
		_ = l.report.ReadLatency.RecordValue(min(time.Since(intended).Microseconds()+1, maxLatency))
		l.mu.Unlock()
		return
	}
}

func (s *session) count() (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), opTimeout)
	defer cancel()
	conn, err := s.connected(ctx)
	if err != nil {
		return 0, &notSentError{cause: err}
	}
	var n int64
	err = conn.QueryRow(ctx, fmt.Sprintf("SELECT count(*) FROM %s WHERE session = $1", s.load.plan.Table), s.id).Scan(&n)
	return int(n), err
}
