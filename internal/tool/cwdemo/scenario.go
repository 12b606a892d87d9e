package cwdemo

import (
	"context"
	"fmt"
	"io"
	"time"

	"cicadawalk.example/cicadawalk/internal/tool/cwload"
)

// Parameters of the scenario.
const (
	// scenarioDuration is how long the sessions run.
	scenarioDuration = 5 * time.Second
	// primaryStopDelay is when the primary is stopped, after the start.
	primaryStopDelay = 1500 * time.Millisecond
	// scenarioSessions is the number of concurrent sessions.
	scenarioSessions = 12
)

// RunScenario runs the failover scenario: sessions write, read and move between two
// proxies, and the primary is stopped meanwhile. It prints one key=value line for each
// result to w, and the log lines of the proxies to logs. It returns an error if a
// consistency guarantee was violated.
func RunScenario(ctx context.Context, w, logs io.Writer) error {
	b, err := Start(Options{Proxies: 2, ListLag: 100 * time.Millisecond, Log: logs})
	if err != nil {
		return err
	}
	defer b.Stop()
	timer := time.AfterFunc(primaryStopDelay, func() { b.Databases[b.PrimaryIndex()].Stop() })
	defer timer.Stop()
	rep, err := cwload.Run(ctx, cwload.Plan{
		URLs:             []string{b.URL(0), b.URL(1)},
		Sessions:         scenarioSessions,
		Duration:         scenarioDuration,
		WriteShare:       0.2,
		Rate:             1200,
		SwitchProxyEvery: 40,
		RequestKeys:      true,
		Seed:             uint64(time.Now().UnixNano()),
	}, b.URL(0))
	if err != nil {
		return err
	}
	var replica, primary uint64
	for _, p := range b.Proxies {
		r, q := p.ReadCounts()
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
		{"doubled", rep.Duplicated},
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
	if !rep.NoViolations() {
		return Error.New("a consistency guarantee was violated: %d records lost, %d duplicated, %d stale reads of own writes, %d wrong \"not run\" answers",
			rep.Lost, rep.Duplicated, rep.StaleOwnReads, rep.FalseNotRun)
	}
	return nil
}

// Serve starts a deployment with at least two proxies, prints the connection string of
// each to w, and runs until ctx ends.
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
