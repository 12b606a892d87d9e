package cwdemo

import (
	"context"
	"fmt"
	"io"
	"time"

	"cicadawalk.example/cicadawalk/internal/tool/cwload"
)

// Times of the demo.
const (
	onceDuration = 5 * time.Second
	killAfter    = 1500 * time.Millisecond
	onceSessions = 12
)

// Once runs writes and reads in sessions that roam, kills the primary in the
// middle, checks the ledger and prints one key=value line for each figure. It
// fails if a promise was broken.
func Once(ctx context.Context, w, logs io.Writer) error {
	b, err := Start(Options{Proxies: 2, ListLag: 100 * time.Millisecond, Log: logs})
	if err != nil {
		return err
	}
	defer b.Stop()
	timer := time.AfterFunc(killAfter, func() { b.Databases[b.Primary()].Stop() })
	defer timer.Stop()
	rep, err := cwload.Run(ctx, cwload.Plan{
		URLs:       []string{b.URL(0), b.URL(1)},
		Sessions:   onceSessions,
		Duration:   onceDuration,
		WriteShare: 0.2,
		Rate:       1200,
		RoamEvery:  40,
		Keys:       true,
		Seed:       uint64(time.Now().UnixNano()),
	}, b.URL(0))
	if err != nil {
		return err
	}
	var replica, primary uint64
	for _, p := range b.Proxies {
		r, q := p.ReadsAt()
		replica, primary = replica+r, primary+q
	}
	share := 0.0
	if replica+primary > 0 {
		share = float64(replica) / float64(replica+primary)
	}
	for _, kv := range []struct {
		key   string
		value any
	}{
		{"acknowledged", rep.Acknowledged},
		{"reads", rep.Reads},
		{"lost", rep.Lost},
		{"doubled", rep.Doubled},
		{"staleOwnReads", rep.StaleOwnReads},
		{"falseNotRun", rep.FalseNotRun},
		{"notRun", rep.NotRun},
		{"unknown", rep.Unknown},
		{"errors", rep.Errors},
		{"replicaReadShare", fmt.Sprintf("%.3f", share)},
		{"failoverGapMs", rep.LongestPause().Milliseconds()},
		{"readP50Us", rep.ReadLatency.ValueAtQuantile(50)},
		{"writeP50Us", rep.WriteLatency.ValueAtQuantile(50)},
	} {
		fmt.Fprintf(w, "%s=%v\n", kv.key, kv.value)
	}
	if rep.FirstRefusal != "" {
		fmt.Fprintf(w, "firstRefusal=%q\n", rep.FirstRefusal)
	}
	if rep.FirstError != "" {
		fmt.Fprintf(w, "firstError=%q\n", rep.FirstError)
	}
	if !rep.OK() {
		return Error.New("a promise was broken: lost %d, doubled %d, stale own reads %d, false not run %d",
			rep.Lost, rep.Doubled, rep.StaleOwnReads, rep.FalseNotRun)
	}
	return nil
}

// Serve runs until ctx ends, after printing a connection string for each proxy.
func Serve(ctx context.Context, w, logs io.Writer, listen []string) error {
	b, err := Start(Options{Proxies: max(2, len(listen)), Listen: listen, ListLag: 100 * time.Millisecond, Log: logs})
	if err != nil {
		return err
	}
	defer b.Stop()
	for i := range b.Proxies {
		fmt.Fprintln(w, b.URL(i))
	}
	<-ctx.Done()
	return nil
}
