package cwengine

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Metrics counts what an engine does.
type Metrics struct {
	set *metrics.Set
	// Attempts counts commands sent to targets for callers, Retries those after
	// the first for a statement.
	Attempts, Retries *metrics.Counter
	// HandedOver counts statements given to holders.
	HandedOver *metrics.Counter
	// StoreQuestions counts the questions to the platform's store about its rows,
	// FeederAnswers the answers of another instance in their place, and NewsTold
	// the answers to other instances.
	StoreQuestions, FeederAnswers, NewsTold *metrics.Counter
	// StoreRestores counts the times that the store was seen to have come back
	// from an older copy, StoreOutdated its answers that were left out since what
	// was known was newer.
	StoreRestores, StoreOutdated *metrics.Counter
	// QuotaRefused counts operations beyond the quota of their workspace,
	// QuotaUnknown those whose quota could not be checked, and Unauthorised
	// statements and sessions with a key that is not known.
	QuotaRefused, QuotaUnknown, Unauthorised *metrics.Counter
	// Startups counts the connections opened to targets.
	Startups *metrics.Counter
	// AckWait is how long commits waited for a second member, in seconds.
	AckWait *metrics.Histogram
	// ReadAge is how old the data of reads may have been, in seconds.
	ReadAge *metrics.Histogram
	// Statement is how long statements took, in seconds.
	Statement *metrics.Histogram
}

// NewMetrics returns metrics that start at zero.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		set:        set,
		Attempts:   set.NewCounter("cicadawalk_attempts_total"),
		Retries:    set.NewCounter("cicadawalk_retries_total"),
		HandedOver: set.NewCounter("cicadawalk_handed_over_total"),

		StoreQuestions: set.NewCounter("cicadawalk_store_questions_total"),
		FeederAnswers:  set.NewCounter("cicadawalk_feeder_answers_total"),
		NewsTold:       set.NewCounter("cicadawalk_news_told_total"),
		StoreRestores:  set.NewCounter("cicadawalk_store_restores_total"),
		StoreOutdated:  set.NewCounter("cicadawalk_store_answers_outdated_total"),

		QuotaRefused: set.NewCounter("cicadawalk_quota_refused_total"),
		QuotaUnknown: set.NewCounter("cicadawalk_quota_unknown_total"),
		Unauthorised: set.NewCounter("cicadawalk_unauthorised_total"),
		Startups:     set.NewCounter("cicadawalk_target_connections_total"),

		AckWait:   set.NewHistogram("cicadawalk_ack_wait_seconds"),
		ReadAge:   set.NewHistogram("cicadawalk_read_age_seconds"),
		Statement: set.NewHistogram("cicadawalk_statement_seconds"),
	}
}

// ShowAge shows how old the desired state in force may be, in seconds.
func (m *Metrics) ShowAge(age func() float64) {
	m.set.NewGauge("cicadawalk_desired_state_age_seconds", age)
}

// ShowRevision shows the desired state in force, so that instances can be
// compared.
func (m *Metrics) ShowRevision(revision func() float64) {
	m.set.NewGauge("cicadawalk_desired_revision", revision)
}

// ShowEra shows the newest era of the platform's store that is known.
func (m *Metrics) ShowEra(era func() float64) { m.set.NewGauge("cicadawalk_store_era", era) }

// answered counts the answer to a statement.
func (m *Metrics) answered(v cwstatement.Verb, c cwstatement.Code) {
	m.set.GetOrCreateCounter(`cicadawalk_statements_total{verb="` + v.String() + `",outcome="` + c.String() + `"}`).Inc()
}

// served counts a read, or a transaction that began, by what its place rested on.
func (m *Metrics) served(primary bool, basis string, age time.Duration) {
	role := "replica"
	if primary {
		role = "primary"
	}
	m.set.GetOrCreateCounter(`cicadawalk_reads_total{role="` + role + `",basis="` + basis + `"}`).Inc()
	m.ReadAge.Update(age.Seconds())
}

// Write writes the metrics as text.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }
