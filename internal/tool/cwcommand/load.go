package cwcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"cicadawalk.example/cicadawalk/internal/tool/cwload"
)

// LoadCommand returns the root command of the program cicadaload.
func LoadCommand() *cobra.Command {
	var p cwload.Plan
	var check, output string
	cmd := &cobra.Command{
		Use:   "cicadaload",
		Short: "Generate load on proxies and check what callers were told",
		Long: `Runs sessions that write, read their own writes and move between the URLs, and
compares the acknowledged writes with the records in the database at the end.
Exits with code 1 if a record was lost or duplicated, a session did not read its
own writes, or a write that was refused as "not run" took effect.`,
		Example: `  cicadaload --urls postgres://u@127.0.1.1:6543/libro-rondas,postgres://u@127.0.2.1:6543/libro-rondas \
    --sessions 50 --duration 30s --rate 2000 --write-share 0.1 --roam-every 20 --keys`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSettings(cmd, func(s *flagChecker) {
				s.require("urls", len(p.URLs) > 0, "connection strings, separated by commas")
				s.require("sessions", p.Sessions > 0 && p.Sessions <= 10000, "1 to 10000")
				s.require("duration", p.Duration > 0 && p.Duration <= time.Hour, "more than 0s, up to 1h")
				s.require("write-share", p.WriteShare >= 0 && p.WriteShare <= 1, "0 to 1")
				s.require("rate", p.Rate >= 0, "0 or more")
				s.require("output", output == "text" || output == "json", "text or json")
			}); err != nil {
				return err
			}
			if check == "" {
				check = p.URLs[0]
			}
			rep, err := cwload.Run(cmd.Context(), p, check)
			if err != nil {
				return err
			}
			if err := printReport(cmd.OutOrStdout(), rep, output == "json"); err != nil {
				return err
			}
			if !rep.NoViolations() {
				return &ExitError{Code: ExitFailed, Err: &GuaranteeError{}}
			}
			return nil
		},
	}
	fs := cmd.Flags()
	fs.StringSliceVar(&p.URLs, "urls", nil, "connection strings of the proxies or databases")
	fs.StringVar(&check, "check", "", "connection string used to read the records at the end (default the first of --urls)")
	fs.IntVar(&p.Sessions, "sessions", 10, "number of concurrent sessions")
	fs.DurationVar(&p.Duration, "duration", 10*time.Second, "how long to run")
	fs.Float64Var(&p.Rate, "rate", 0, "operations per second of all sessions, on a fixed schedule; 0 starts each operation when the last one ends")
	fs.Float64Var(&p.WriteShare, "write-share", 0.1, "fraction of operations that write, 0 to 1")
	fs.IntVar(&p.SwitchProxyEvery, "roam-every", 0, "number of operations after which a session moves to the next URL; 0 never")
	fs.DurationVar(&p.MaxAge, "max-age", 0, "greatest age of the data that reads accept; 0 sets no limit")
	fs.BoolVar(&p.RequestKeys, "keys", false, "send a request key with each write, so that it can be retried safely")
	fs.BoolVar(&p.DropToken, "drop-token", false, "move between URLs without the session token")
	fs.Uint64Var(&p.Seed, "seed", 1, "seed of the random number generator")
	fs.StringVar(&p.Table, "table", "ronda", "table for the records; use a new one for each run")
	fs.StringVar(&output, "output", "text", "text or json")
	return cmd
}

// GuaranteeError reports that a consistency guarantee was violated during a load run.
type GuaranteeError struct{}

func (*GuaranteeError) Error() string { return "a consistency guarantee was violated; see the report" }

// reportBody is the JSON report of a load run.
type reportBody struct {
	Operations     int         `json:"operations"`
	Acknowledged   int         `json:"acknowledged"`
	Reads          int         `json:"reads"`
	Lost           int         `json:"lost"`
	Doubled        int         `json:"doubled"`
	StaleOwnReads  int         `json:"staleOwnReads"`
	FalseNotRun    int         `json:"falseNotRun"`
	NotRun         int         `json:"notRun"`
	Unknown        int         `json:"unknown"`
	Errors         int         `json:"errors"`
	FirstError     string      `json:"firstError"`
	ElapsedMs      int64       `json:"elapsedMs"`
	PerSecond      float64     `json:"perSecond"`
	LongestPauseMs int64       `json:"longestPauseMs"`
	ReadUs         latencyBody `json:"readUs"`
	WriteUs        latencyBody `json:"writeUs"`
}

// latencyBody is the percentiles of a latency histogram, in microseconds.
type latencyBody struct {
	P50 int64 `json:"p50"`
	P90 int64 `json:"p90"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// newLatencyBody returns the percentiles of a histogram.
func newLatencyBody(h *hdrhistogram.Histogram) latencyBody {
	return latencyBody{P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

// printReport writes the report as one JSON object or as lines of key=value pairs.
func printReport(w io.Writer, r *cwload.Report, asJSON bool) error {
	b := reportBody{
		Operations: r.Operations, Acknowledged: r.Acknowledged, Reads: r.Reads,
		Lost: r.Lost, Doubled: r.Duplicated, StaleOwnReads: r.StaleOwnReads, FalseNotRun: r.FalseNotRun,
		NotRun: r.NotRun, Unknown: r.Unknown, Errors: r.Errors, FirstError: r.FirstError,
		ElapsedMs: r.Elapsed.Milliseconds(), PerSecond: float64(r.Operations) / r.Elapsed.Seconds(),
		LongestPauseMs: r.LongestPause().Milliseconds(),
		ReadUs:         newLatencyBody(r.ReadLatency), WriteUs: newLatencyBody(r.WriteLatency),
	}
	if asJSON {
		return json.NewEncoder(w).Encode(b)
	}
	_, err := fmt.Fprintf(w, `operations=%d
acknowledged=%d
reads=%d
lost=%d
doubled=%d
staleOwnReads=%d
falseNotRun=%d
notRun=%d
unknown=%d
errors=%d
firstError=%q
perSecond=%.0f
longestPauseMs=%d
readUs p50=%d p90=%d p99=%d max=%d
writeUs p50=%d p90=%d p99=%d max=%d
`, b.Operations, b.Acknowledged, b.Reads, b.Lost, b.Doubled, b.StaleOwnReads, b.FalseNotRun, b.NotRun, b.Unknown,
		b.Errors, b.FirstError, b.PerSecond, b.LongestPauseMs,
		b.ReadUs.P50, b.ReadUs.P90, b.ReadUs.P99, b.ReadUs.Max,
		b.WriteUs.P50, b.WriteUs.P90, b.WriteUs.P99, b.WriteUs.Max)
	return err
}
