// Package cwload drives callers against proxies and checks what they were told.
//
// A Plan has sessions that write records and read their own back, roam between
// proxies, and repeat what was refused as not run. Each session keeps a ledger
// of what was acknowledged. At the end the ledger is compared with the
// databases: a record that was acknowledged and is not there is lost, one that
// is there twice is doubled, and a read that did not show the session's own
// acknowledged records was stale.
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

// Error is the class of failures to run a load.
var Error = errs.Class("load")

// Plan says what load to make.
type Plan struct {
	// URLs are connection strings, one for each proxy.
	URLs     []string
	Sessions int
	Duration time.Duration
	// WriteShare is the part of the operations that write, 0 to 1.
	WriteShare float64
	// Rate is the operations a second of all sessions together, started on a
	// schedule whether or not earlier ones have ended; latency counts from the
	// schedule. Zero means that each session starts the next when one ends.
	Rate float64
	// RoamEvery is the number of operations after which a session moves to the
	// next proxy; zero means never.
	RoamEvery int
	// MaxAge is the age of data that reads accept; zero means none.
	MaxAge time.Duration
	// Keys gives each write a request key.
	Keys bool
	// DropToken makes a session roam without its token.
	DropToken bool
	Seed      uint64
	// Table is where the records go; it is created if it is not there.
	Table string
	// Begin is called when the table is ready and the sessions begin; it may be nil.
	Begin func()
}

// Report is what a load led to.
type Report struct {
	Operations   int
	Acknowledged int
	Reads        int
	NotRun       int
	Unknown      int
	Errors       int
	// FirstRefusal is the first answer that said "not run".
	FirstRefusal string
	// FirstError is the first error that was no refusal.
	FirstError    string
	StaleOwnReads int
	Lost          int
	Doubled       int
	FalseNotRun   int
	Elapsed       time.Duration
	// ReadLatency and WriteLatency are in microseconds.
	ReadLatency, WriteLatency *hdrhistogram.Histogram
	// Acks are the times at which writes were acknowledged, with their starts.
	Acks []Ack
}

// Ack is one acknowledged write.
type Ack struct{ Began, Ended time.Time }

// OK reports whether no promise was broken.
func (r *Report) OK() bool {
	return r.Lost == 0 && r.Doubled == 0 && r.StaleOwnReads == 0 && r.FalseNotRun == 0
}

// LongestPause returns the longest time between two acknowledgements: while the
// primary is replaced, nothing is acknowledged.
func (r *Report) LongestPause() time.Duration {
	ends := make([]time.Time, 0, len(r.Acks))
	for _, a := range r.Acks {
		ends = append(ends, a.Ended)
	}
	slices.SortFunc(ends, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(ends); i++ {
		longest = max(longest, ends[i].Sub(ends[i-1]))
	}
	return longest
}

// maxLatency is the longest latency that the histograms hold, in microseconds.
const maxLatency = 60_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, 3) }

// Load is a running plan.
type Load struct {
	plan Plan

	mu     sync.Mutex
	report Report
	ledger map[int]*ledger
}

// Run carries out a plan and checks the ledger through check, a connection
// string for a database or proxy that shows the final state.
func Run(ctx context.Context, p Plan, check string) (*Report, error) {
	if p.Table == "" {
		p.Table = "ronda"
	}
	if len(p.URLs) == 0 || p.Sessions < 1 {
		return nil, Error.New("a plan needs at least one URL and one session")
	}
	l := &Load{plan: p, ledger: make(map[int]*ledger)}
	l.report.ReadLatency, l.report.WriteLatency = newHistogram(), newHistogram()
	if err := l.prepare(ctx); err != nil {
		return nil, err
	}
	if p.Begin != nil {
		p.Begin()
	}
	began := time.Now()
	if err := l.drive(ctx); err != nil {
		return nil, err
	}
	l.report.Elapsed = time.Since(began)
	if err := l.compare(ctx, check); err != nil {
		return nil, err
	}
	return &l.report, nil
}

// prepareWait bounds the time for which the table is tried while it is refused as not run.
const prepareWait = 10 * time.Second

// prepare makes the table ready. What is refused as not run is tried again when the answer
// says so, as sessions do: proxies that have just started refuse until they know their
// groups.
func (l *Load) prepare(ctx context.Context) error {
	end := time.Now().Add(prepareWait)
	for {
		err := l.createTable(ctx)
		var pe *pgconn.PgError
		if !errors.As(err, &pe) {
			return err
		}
		after, refused := refusal(pe)
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

func (l *Load) createTable(ctx context.Context) error {
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

// drive runs the sessions until the duration is over.
func (l *Load) drive(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.plan.Duration)
	defer cancel()
	g := &errgroup.Group{}
	for i := range l.plan.Sessions {
		led := &ledger{state: make(map[int]outcome)}
		l.ledger[i] = led
		s := &session{load: l, id: i, ledger: led, rng: rand.New(rand.NewPCG(l.plan.Seed, uint64(i)))}
		g.Go(func() error { return s.run(ctx) })
	}
	return g.Wait()
}

// compare reads every record and holds it against the ledger.
func (l *Load) compare(ctx context.Context, check string) error {
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
	for id, led := range l.ledger {
		for seq, o := range led.state {
			n := found[[2]int{id, seq}]
			switch {
			case n > 1:
				l.report.Doubled++
			case o == acknowledged && n == 0:
				l.report.Lost++
			case o == notRun && n > 0:
				l.report.FalseNotRun++
			}
		}
	}
	return nil
}
