package cwengine

import (
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Metrics are the counters and histograms of an engine and its instance.
type Metrics struct {
	set *metrics.Set
	// Attempts counts commands that were sent to targets for callers, Retries those
	// after the first one of a statement.
	Attempts, Retries *metrics.Counter
	// Forwarded counts statements forwarded to holders.
	Forwarded *metrics.Counter
	// StoreRequests counts the requests to the platform's store for its rows.
	// FeederAnswers counts the answers of another instance that were used instead,
	// and FeedAnswersSent the answers to other instances.
	StoreRequests, FeederAnswers, FeedAnswersSent *metrics.Counter
	// StoreRestores counts how often the store was found to have been restored from an
	// older copy, and OutdatedStoreAnswers its answers that were ignored because newer
	// data was known.
	StoreRestores, OutdatedStoreAnswers *metrics.Counter
	// QuotaRefused counts operations over the quota of their workspace, QuotaUnknown
	// those whose quota could not be checked, and Unauthorised statements and
	// sessions with an unknown key.
	QuotaRefused, QuotaUnknown, Unauthorised *metrics.Counter
	// QuotaContendedIssued and QuotaContendedAllowed sum up, over the times at which an
	// operation was refused or delayed by this instance as an issuer, the operations
	// issued in the last window and the limit of the window. QuotaReturned counts
	// grants that were returned to it, QuotaDelayed operations that it delayed, and
	// QuotaIssuerRefused those that it refused, by priority.
	QuotaContendedIssued, QuotaContendedAllowed, QuotaReturned, QuotaDelayed *metrics.Counter
	QuotaIssuerRefused                                                       [cwquota.Priorities]*metrics.Counter
	// TargetConnections counts the connections opened to targets.
	TargetConnections *metrics.Counter
	// AckWait is how long commits waited for a second member, in seconds.
	AckWait *metrics.Histogram
	// ReadAge is the maximum possible age of the data of reads, in seconds.
	ReadAge *metrics.Histogram
	// Statement is the duration of statements, in seconds.
	Statement *metrics.Histogram
}

// NewMetrics returns a new set of metrics, all zero.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	m := &Metrics{
		set:       set,
		Attempts:  set.NewCounter("cicadawalk_attempts_total"),
		Retries:   set.NewCounter("cicadawalk_retries_total"),
		Forwarded: set.NewCounter("cicadawalk_handed_over_total"),

		StoreRequests:        set.NewCounter("cicadawalk_store_questions_total"),
		FeederAnswers:        set.NewCounter("cicadawalk_feeder_answers_total"),
		FeedAnswersSent:      set.NewCounter("cicadawalk_news_told_total"),
		StoreRestores:        set.NewCounter("cicadawalk_store_restores_total"),
		OutdatedStoreAnswers: set.NewCounter("cicadawalk_store_answers_outdated_total"),

		QuotaRefused: set.NewCounter("cicadawalk_quota_refused_total"),
		QuotaUnknown: set.NewCounter("cicadawalk_quota_unknown_total"),
		Unauthorised: set.NewCounter("cicadawalk_unauthorised_total"),

		QuotaContendedIssued:  set.NewCounter("cicadawalk_quota_contended_issued_total"),
		QuotaContendedAllowed: set.NewCounter("cicadawalk_quota_contended_allowed_total"),
		QuotaReturned:         set.NewCounter("cicadawalk_quota_returned_total"),
		QuotaDelayed:          set.NewCounter("cicadawalk_quota_delayed_total"),

		TargetConnections: set.NewCounter("cicadawalk_target_connections_total"),

		AckWait:   set.NewHistogram("cicadawalk_ack_wait_seconds"),
		ReadAge:   set.NewHistogram("cicadawalk_read_age_seconds"),
		Statement: set.NewHistogram("cicadawalk_statement_seconds"),
	}
	for p := range m.QuotaIssuerRefused {
		m.QuotaIssuerRefused[p] = set.NewCounter(`cicadawalk_quota_issuer_refused_total{priority="` + strconv.Itoa(p) + `"}`)
	}
	return m
}

// AddAgeGauge adds a gauge of the maximum possible age of the desired state in force,
// in seconds. It must be called at most once.
func (m *Metrics) AddAgeGauge(age func() float64) {
	m.set.NewGauge("cicadawalk_desired_state_age_seconds", age)
}

// AddRevisionGauge adds a gauge of the revision of the desired state in force, by which
// instances can be compared. It must be called at most once.
func (m *Metrics) AddRevisionGauge(revision func() float64) {
	m.set.NewGauge("cicadawalk_desired_revision", revision)
}

// AddEraGauge adds a gauge of the newest known era of the platform's store. It must be
// called at most once.
func (m *Metrics) AddEraGauge(era func() float64) { m.set.NewGauge("cicadawalk_store_era", era) }

// countStatement counts the answer to a statement.
func (m *Metrics) countStatement(v cwstatement.Verb, c cwstatement.Code) {
	m.set.GetOrCreateCounter(`cicadawalk_statements_total{verb="` + v.String() + `",outcome="` + c.String() + `"}`).Inc()
}

// countRead counts a read, or the beginning of a transaction, by the role of the
// member that ran it and by the evidence that its data was new enough.
func (m *Metrics) countRead(primary bool, basis string, age time.Duration) {
	role := "replica"
	if primary {
		role = "primary"
	}
	m.set.GetOrCreateCounter(`cicadawalk_reads_total{role="` + role + `",basis="` + basis + `"}`).Inc()
	m.ReadAge.Update(age.Seconds())
}

// Write writes the metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }
