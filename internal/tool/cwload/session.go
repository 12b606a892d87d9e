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

// outcome is what a session was told about one of its writes.
type outcome uint8

const (
	// unknown means that the answer was lost, or said that the outcome is unknown.
	unknown outcome = iota
	// acknowledged means that the write succeeded.
	acknowledged
	// notRun means that each answer said that the write did not run.
	notRun
)

// ledger is what a session was told about its writes, by sequence number.
type ledger struct {
	outcomes map[int]outcome
	// acked is the number of acknowledged writes.
	acked int
}

// session is one caller.
type session struct {
	runner *Runner
	id     int
	ledger *ledger
	rng    *rand.Rand

	// conn is the open connection, to the proxy with the index proxy in Plan.URLs; nil
	// if there is none.
	conn  *pgx.Conn
	proxy int
	// token is the session token that a proxy sent last.
	token string
	// lastSeq is the sequence number of the last write.
	lastSeq        int
	operationCount int
}

// Limits and delays of operations.
const (
	// operationTimeout is the timeout of one attempt.
	operationTimeout = 15 * time.Second
	// connectRetryDelay is the delay after a failure to connect.
	connectRetryDelay = 50 * time.Millisecond
	// defaultRetryDelay is the delay before a retry if the answer specifies none.
	defaultRetryDelay = 50 * time.Millisecond
	// maxAttempts bounds the attempts at one operation.
	maxAttempts = 40
)

// run runs operations until ctx ends, on the schedule of Plan.Rate if it is set.
func (s *session) run(ctx context.Context) error {
	defer s.close()
	s.proxy = s.id % len(s.runner.plan.URLs)
	due := time.Now()
	step := time.Duration(0)
	if s.runner.plan.Rate > 0 {
		step = time.Duration(float64(time.Second) * float64(s.runner.plan.Sessions) / s.runner.plan.Rate)
		due = due.Add(time.Duration(s.rng.Float64() * float64(step)))
	}
	for ctx.Err() == nil {
		if step > 0 {
			sleep(ctx, time.Until(due))
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
		s.runOperation(intended)
	}
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// runOperation runs one operation, a read or a write. It completes the operation even if
// the plan's duration is over by then. intended is when the operation was scheduled.
func (s *session) runOperation(intended time.Time) {
	s.operationCount++
	if r := s.runner.plan.SwitchProxyEvery; r > 0 && s.operationCount%r == 0 {
		s.switchProxy()
	}
	if s.rng.Float64() < s.runner.plan.WriteShare {
		s.write(intended)
		return
	}
	s.read(intended)
}

// switchProxy closes the connection; the next one goes to the next proxy.
func (s *session) switchProxy() {
	s.close()
	s.proxy = (s.proxy + 1) % len(s.runner.plan.URLs)
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

// connected returns the open connection, or opens one. After a failure to connect it
// selects the next proxy and waits for connectRetryDelay.
func (s *session) connected(ctx context.Context) (*pgx.Conn, error) {
	if s.conn != nil && !s.conn.IsClosed() {
		return s.conn, nil
	}
	cfg, err := pgx.ParseConfig(s.runner.plan.URLs[s.proxy])
	if err != nil {
		return nil, err
	}
	if s.token != "" && !s.runner.plan.DropToken {
		cfg.RuntimeParams["cicadawalk.sessionToken"] = s.token
	}
	if a := s.runner.plan.MaxAge; a > 0 {
		cfg.RuntimeParams["cicadawalk.maxAge"] = strconv.FormatInt(a.Milliseconds(), 10)
	}
	s.conn, err = pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		s.conn = nil
		s.proxy = (s.proxy + 1) % len(s.runner.plan.URLs)
		time.Sleep(connectRetryDelay)
	}
	return s.conn, err
}

// keepToken stores the session token that the proxy sent last.
func (s *session) keepToken() {
	if s.conn == nil {
		return
	}
	if t := s.conn.PgConn().ParameterStatus("cicadawalk.sessionToken"); t != "" {
		s.token = t
	}
}

// write writes one record. It repeats the write while the answers say that it did not run
// and, with a request key, also after an unknown outcome: the key prevents that the write
// takes effect twice.
func (s *session) write(intended time.Time) {
	s.lastSeq++
	seq := s.lastSeq
	began := time.Now()
	result := notRun
	for range maxAttempts {
		err := s.insert(seq)
		if err == nil {
			s.keepToken()
			s.acknowledge(seq, began, intended)
			return
		}
		refused, pause := s.recordError(err)
		if !refused {
			result = unknown
			if !s.runner.plan.RequestKeys {
				break
			}
		}
		time.Sleep(pause)
	}
	s.ledger.outcomes[seq] = result
}

// insert sends one attempt to write a record. A notSentError means that the write was
// never sent.
func (s *session) insert(seq int) error {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	conn, err := s.connected(ctx)
	if err != nil {
		return &notSentError{cause: err}
	}
	if s.runner.plan.RequestKeys {
		key := fmt.Sprintf("SET cicadawalk.requestKey = '%s-%d-%d'", s.runner.plan.Table, s.id, seq)
		if _, err := conn.Exec(ctx, key); err != nil {
			return &notSentError{cause: err}
		}
	}
	_, err = conn.Exec(ctx, fmt.Sprintf("INSERT INTO %s VALUES ($1, $2, $3)", s.runner.plan.Table), s.id, seq, "ronda")
	return err
}

// notSentError reports that an operation was never sent, so that it did not run.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// acknowledge records an acknowledged write. Latency is measured from intended.
func (s *session) acknowledge(seq int, began, intended time.Time) {
	ended := time.Now()
	s.ledger.outcomes[seq] = acknowledged
	s.ledger.acked++
	l := s.runner
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Operations++
	l.report.Acknowledged++
	l.report.Acks = append(l.report.Acks, AcknowledgedWrite{StartedAt: began, AckedAt: ended})
	_ = l.report.WriteLatency.RecordValue(min(ended.Sub(intended).Microseconds()+1, maxLatencyMicros))
}

// retryAfterPattern finds the delay in the detail of a refusal, in milliseconds.
var retryAfterPattern = regexp.MustCompile(`retryAfterMs=(\d+)`)

// parseRefusal returns the delay after which to repeat a request that did not run; false if
// the error does not say that it did not run.
func parseRefusal(pe *pgconn.PgError) (time.Duration, bool) {
	m := retryAfterPattern.FindStringSubmatch(pe.Detail)
	if m == nil || !strings.Contains(pe.Detail, "notRun=true") {
		return 0, false
	}
	ms, err := strconv.Atoi(m[1])
	if err != nil {
		return defaultRetryDelay, true
	}
	return max(time.Duration(ms)*time.Millisecond, time.Millisecond), true
}

// recordError counts an error. It returns whether the request did not run for certain, and
// the delay before it is repeated. After an error that is not an answer of the proxy, the
// session moves to the next proxy.
func (s *session) recordError(err error) (refused bool, pause time.Duration) {
	l := s.runner
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
		return isNotSent, defaultRetryDelay
	}
	if s.conn != nil && s.conn.IsClosed() {
		s.conn = nil
	}
	if after, refused := parseRefusal(pe); refused {
		l.report.NotRun++
		if l.report.FirstRefusal == "" {
			l.report.FirstRefusal = err.Error()
		}
		return true, after
	}
	// 08007 is transaction_resolution_unknown.
	if pe.Code == "08007" {
		l.report.Unknown++
		return isNotSent, defaultRetryDelay
	}
	l.report.Errors++
	if l.report.FirstError == "" {
		l.report.FirstError = err.Error()
	}
	return isNotSent, defaultRetryDelay
}

// read counts the session's own records and checks that no acknowledged one is missing.
func (s *session) read(intended time.Time) {
	want := s.ledger.acked
	for range maxAttempts {
		n, err := s.count()
		if err != nil {
			_, pause := s.recordError(err)
			time.Sleep(pause)
			continue
		}
		l := s.runner
		l.mu.Lock()
		l.report.Operations++
		l.report.Reads++
		if n < want {
			l.report.StaleOwnReads++
		}
		_ = l.report.ReadLatency.RecordValue(min(time.Since(intended).Microseconds()+1, maxLatencyMicros))
		l.mu.Unlock()
		return
	}
}

// count returns the number of the session's own records.
func (s *session) count() (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	conn, err := s.connected(ctx)
	if err != nil {
		return 0, &notSentError{cause: err}
	}
	var n int64
	err = conn.QueryRow(ctx, fmt.Sprintf("SELECT count(*) FROM %s WHERE session = $1", s.runner.plan.Table), s.id).Scan(&n)
	return int(n), err
}
