// Package cwload generates load on proxies and checks the consistency guarantees.
//
// A Plan describes sessions that write records, read their own records, move from proxy
// to proxy with their session token, and repeat writes that were refused as not run.
// Each session keeps a ledger of the outcomes of its writes. At the end the ledgers are
// compared with the records in the database: an acknowledged record that is missing was
// lost, a record that is there more than once was duplicated, and a record that is there
// although each answer said "not run" shows a wrong answer. A read that returned fewer
// records than the session had acknowledged was stale.
package cwload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of errors that prevent a run, as opposed to violations.
var Error = errs.Class("load")

// Plan describes a load.
type Plan struct {
	// URLs are connection strings, one for each proxy.
	URLs []string
	// Sessions is the number of concurrent sessions.
	Sessions int
	// Duration is how long operations are started.
	Duration time.Duration
	// WriteShare is the fraction of operations that write, 0 to 1.
	WriteShare float64
	// Rate is the number of operations per second of all sessions together, on a
	// fixed schedule. Latency is measured from the scheduled start, also if an
	// operation starts late because the one before it took long. Zero means that
	// each session starts an operation when the last one ends.
	Rate float64
	// SwitchProxyEvery is the number of operations after which a session moves to the
	// next proxy; zero means never.
	SwitchProxyEvery int
	// MaxAge is the greatest age of data that reads accept; zero sets no limit, so that
	// only the session token counts.
	MaxAge time.Duration
	// RequestKeys makes each write carry a request key, so that a write with an unknown
	// outcome can be repeated.
	RequestKeys bool
	// DropToken makes sessions move between proxies without their session token.
	DropToken bool
	// Seed is the seed of the random choices.
	Seed uint64
	// Table is the table for the records, "ronda" if empty. It is created if it does
	// not exist, and must have no records.
	Table string
	// OnStart is called when the table is ready, right before the sessions start; it may
	// be nil.
	OnStart func()
}

// Report is the result of a load.
type Report struct {
	// Operations is the number of completed operations: Acknowledged writes and Reads.
	Operations   int
	Acknowledged int
	Reads        int
	// NotRun, Unknown and Errors are the numbers of answers that refused an operation
	// as not run, that left its outcome unknown, and of other errors.
	NotRun  int
	Unknown int
	Errors  int
	// FirstRefusal is the first answer that said "not run".
	FirstRefusal string
	// FirstError is the first of Errors.
	FirstError string
	// StaleOwnReads is the number of reads that lacked a record which the session had
	// acknowledged.
	StaleOwnReads int
	// Lost, Duplicated and FalseNotRun are the numbers of records that were acknowledged
	// and are missing, that are there more than once, and that are there although
	// each answer said that the write did not run.
	Lost        int
	Duplicated  int
	FalseNotRun int
	// Elapsed is the time from the start of the sessions to the end of the last one.
	Elapsed time.Duration
	// ReadLatency and WriteLatency are the latencies of completed operations, in
	// microseconds.
	ReadLatency, WriteLatency *hdrhistogram.Histogram
	// Acks are the acknowledged writes.
	Acks []AcknowledgedWrite
}

// AcknowledgedWrite is when an acknowledged write was started and when its
// acknowledgement arrived.
type AcknowledgedWrite struct{ StartedAt, AckedAt time.Time }

// NoViolations reports whether no consistency guarantee was violated.
func (r *Report) NoViolations() bool {
	return r.Lost == 0 && r.Duplicated == 0 && r.StaleOwnReads == 0 && r.FalseNotRun == 0
}

// LongestPause returns the longest time between two acknowledgements. It measures the
// gap of a failover: no write is acknowledged while the primary is replaced.
func (r *Report) LongestPause() time.Duration {
	ends := make([]time.Time, 0, len(r.Acks))
	for _, a := range r.Acks {
		ends = append(ends, a.AckedAt)
	}
	slices.SortFunc(ends, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(ends); i++ {
		longest = max(longest, ends[i].Sub(ends[i-1]))
	}
	return longest
}

// maxLatencyMicros is the greatest latency that the histograms record, in
// microseconds; greater ones are recorded as this value.
const maxLatencyMicros = 60_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

// Runner runs a Plan.
type Runner struct {
	plan Plan

	mu     sync.Mutex
	report Report
	// ledger has the ledger of each session, by its id.
	ledger map[int]*ledger
}

// Run runs a plan and compares the ledgers with the records that it reads through check,
// the connection string of a database or proxy. It returns an error if the plan could not
// be run; violations are in the report.
func Run(ctx context.Context, p Plan, check string) (*Report, error) {
	if p.Table == "" {
		p.Table = "ronda"
	}
	if len(p.URLs) == 0 || p.Sessions < 1 {
		return nil, Error.New("a plan needs at least one URL and one session")
	}
	l := &Runner{plan: p, ledger: make(map[int]*ledger)}
	l.report.ReadLatency, l.report.WriteLatency = newHistogram(), newHistogram()
	if err := l.prepareTable(ctx); err != nil {
		return nil, err
	}
	if p.OnStart != nil {
		p.OnStart()
	}
	began := time.Now()
	if err := l.runSessions(ctx); err != nil {
		return nil, err
	}
	l.report.Elapsed = time.Since(began)
	if err := l.checkRecords(ctx, check); err != nil {
		return nil, err
	}
	return &l.report, nil
}

// prepareTimeout bounds the time for which the creation of the table is retried while it
// is refused as not run.
const prepareTimeout = 10 * time.Second

// prepareTable creates the table. Like the sessions, it retries statements that were
// refused as not run, after the delay that the answer specifies: proxies that have just
// started refuse statements until they know their groups.
func (l *Runner) prepareTable(ctx context.Context) error {
	end := time.Now().Add(prepareTimeout)
	for {
		err := l.createTable(ctx)
		var pe *pgconn.PgError
		if !errors.As(err, &pe) {
			return err
		}
		after, refused := parseRefusal(pe)
		if !refused || time.Now().Add(after).After(end) {
			return err
		}
		select {
		case <-time.After(after):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// createTable creates the table with its index and checks that it is empty.
func (l *Runner) createTable(ctx context.Context) error {
	conn, err := pgx.Connect(ctx, l.plan.URLs[0])
	if err != nil {
		return Error.Wrap(err)
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, fmt.Sprintf("CREATE TABLE IF NOT EXISTS %s (session bigint, seq bigint, note text)", l.plan.Table))
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = conn.Exec(ctx, fmt.Sprintf("CREATE INDEX IF NOT EXISTS %s_session ON %s (session, seq)", l.plan.Table, l.plan.Table))
	if err != nil {
		return Error.Wrap(err)
	}
	var n int64
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM "+l.plan.Table).Scan(&n); err != nil {
		return Error.Wrap(err)
	}
	if n > 0 {
		return Error.New("table %s has %d records of an earlier run, which would count as doubled; name another one", l.plan.Table, n)
	}
	return nil
}

// runSessions runs the sessions for the plan's duration.
func (l *Runner) runSessions(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.plan.Duration)
	defer cancel()
	g := &errgroup.Group{}
	for i := range l.plan.Sessions {
		sessionLedger := &ledger{outcomes: make(map[int]outcome)}
		l.ledger[i] = sessionLedger
		s := &session{runner: l, id: i, ledger: sessionLedger, rng: rand.New(rand.NewPCG(l.plan.Seed, uint64(i)))}
		g.Go(func() error { return s.run(ctx) })
	}
	return g.Wait()
}

// checkRecords reads all records and compares them with the ledgers.
func (l *Runner) checkRecords(ctx context.Context, check string) error {
	conn, err := pgx.Connect(ctx, check)
	if err != nil {
		return Error.Wrap(err)
	}
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, fmt.Sprintf("SELECT session, seq, count(*) FROM %s GROUP BY session, seq", l.plan.Table))
	if err != nil {
		return Error.Wrap(err)
	}
	found := make(map[[2]int]int)
	for rows.Next() {
		var session, seq, n int64
		if err := rows.Scan(&session, &seq, &n); err != nil {
			return Error.Wrap(err)
		}
		found[[2]int{int(session), int(seq)}] = int(n)
	}
	if err := rows.Err(); err != nil {
		return Error.Wrap(err)
	}
	for id, sessionLedger := range l.ledger {
		for seq, o := range sessionLedger.outcomes {
			n := found[[2]int{id, seq}]
			switch {
			case n > 1:
				l.report.Duplicated++
			case o == acknowledged && n == 0:
				l.report.Lost++
			case o == notRun && n > 0:
				l.report.FalseNotRun++
			}
		}
	}
	return nil
}
