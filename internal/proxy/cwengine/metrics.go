package cwengine

import (
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwoutlier"
	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwleadership"
)

// Metrics are the counters and histograms of an engine and its instance.
type Metrics struct {
	set *metrics.Set
	// Attempts counts commands that were sent to targets for callers, Retries those
	// after the first one of a statement.
	Attempts, Retries *metrics.Counter
	// Behind counts the reads that a member refused because it had not applied their
	// floor.
	Behind *metrics.Counter
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
	// operation was refused by this instance as an issuer, the operations
	// issued in the last window and the limit of the window. QuotaReturned counts
	// grants that were returned to it, QuotaIssuerRefused operations that it refused, by
	// priority, and QuotaDelayed operations of this instance that waited for quota.
	QuotaContendedIssued, QuotaContendedAllowed, QuotaReturned, QuotaDelayed *metrics.Counter
	QuotaIssuerRefused                                                       [cwquota.Priorities]*metrics.Counter
	// TargetConnections counts the connections opened to targets.
	TargetConnections *metrics.Counter
	// PathReports counts the path reports sent, PathReportsLost those without an answer,
	// PathReportsReceived those that were processed, and PathReportsIgnored those from
	// another data centre or before the list of instances was known.
	PathReports, PathReportsLost, PathReportsReceived, PathReportsIgnored *metrics.Counter
	// PathPings counts the pings to instances of other data centres.
	PathPings *metrics.Counter
	// AckWait is how long commits waited for a second member, in seconds.
	AckWait *metrics.Histogram
	// ReadAge is the maximum possible age of the data of reads, in seconds.
	ReadAge *metrics.Histogram
	// ReadHold is how long reads waited for a replica to apply their floor, in seconds.
	// Reads that did not wait are not counted.
	ReadHold *metrics.Histogram
	// Statement is the duration of statements, in seconds.
	Statement *metrics.Histogram

	admissionMu sync.Mutex
	// waitingPriorities are the priorities with a gauge of waiting statements, and
	// shareGauges the names of the gauges of slot shares.
	waitingPriorities map[int]bool
	shareGauges       map[string]bool
}

// NewMetrics returns a new set of metrics, all zero.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	m := &Metrics{
		set:       set,
		Attempts:  set.NewCounter("cicadawalk_attempts_total"),
		Retries:   set.NewCounter("cicadawalk_retries_total"),
		Behind:    set.NewCounter("cicadawalk_behind_total"),
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

		PathReports:         set.NewCounter("cicadawalk_path_reports_sent_total"),
		PathReportsLost:     set.NewCounter("cicadawalk_path_reports_unanswered_total"),
		PathReportsReceived: set.NewCounter("cicadawalk_path_reports_received_total"),
		PathReportsIgnored:  set.NewCounter("cicadawalk_path_reports_ignored_total"),
		PathPings:           set.NewCounter("cicadawalk_path_pings_total"),

		AckWait:   set.NewHistogram("cicadawalk_ack_wait_seconds"),
		ReadAge:   set.NewHistogram("cicadawalk_read_age_seconds"),
		ReadHold:  set.NewHistogram("cicadawalk_read_hold_seconds"),
		Statement: set.NewHistogram("cicadawalk_statement_seconds"),

		waitingPriorities: make(map[int]bool), shareGauges: make(map[string]bool),
	}
	for p := range m.QuotaIssuerRefused {
		m.QuotaIssuerRefused[p] = set.NewCounter(`cicadawalk_quota_issuer_refused_total{priority="` + strconv.Itoa(p) + `"}`)
	}
	return m
}

// Set returns the set to which other parts of the instance add their metrics.
func (m *Metrics) Set() *metrics.Set { return m.set }

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

// AddIsolationGauges adds gauges that are 1 while the path to other data centres is
// suspected and while the instance is isolated, and 0 otherwise. It must be called at
// most once.
func (m *Metrics) AddIsolationGauges(suspected, isolated func() bool) {
	m.set.NewGauge("cicadawalk_path_suspected", func() float64 { return indicator(suspected()) })
	m.set.NewGauge("cicadawalk_isolated", func() float64 { return indicator(isolated()) })
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// countPathSuspicion counts the beginning of a suspicion, by whether a request of this
// instance or a report of another one is the cause.
func (m *Metrics) countPathSuspicion(direct bool) {
	cause := "report"
	if direct {
		cause = "overdue"
	}
	m.set.GetOrCreateCounter(`cicadawalk_path_suspicions_total{cause="` + cause + `"}`).Inc()
}

// CountMalformed counts a message of another instance that was dropped because it is
// malformed.
func (m *Metrics) CountMalformed(method string) {
	m.set.GetOrCreateCounter(`cicadawalk_messages_malformed_total{method="` + method + `"}`).Inc()
}

// CountHealthCheck counts a health check of a target that begins, by its cause.
func (m *Metrics) CountHealthCheck(cause cwleadership.CheckCause) {
	m.set.GetOrCreateCounter(`cicadawalk_health_checks_total{cause="` + string(cause) + `"}`).Inc()
}

// CountObserverAnswer counts a request to an observer that ended, by its outcome.
func (m *Metrics) CountObserverAnswer(o cwevidence.Outcome) {
	m.set.GetOrCreateCounter(`cicadawalk_observer_answers_total{outcome="` + string(o) + `"}`).Inc()
}

// CountOutlier counts that a member was ejected from reads or readmitted, by reason.
func (m *Metrics) CountOutlier(e cwoutlier.Event) {
	name := "cicadawalk_member_readmissions_total"
	if e.For > 0 {
		name = "cicadawalk_member_ejections_total"
	}
	m.set.GetOrCreateCounter(name + `{reason="` + string(e.Reason) + `"}`).Inc()
}

// countStatement counts the answer to a statement.
func (m *Metrics) countStatement(v cwstatement.Verb, c cwstatement.Code) {
	m.set.GetOrCreateCounter(`cicadawalk_statements_total{verb="` + v.String() + `",outcome="` + c.String() + `"}`).Inc()
}

// countUnanswered counts a statement that had no answer when the process ended.
func (m *Metrics) countUnanswered(from origin) {
	m.set.GetOrCreateCounter(`cicadawalk_statements_unanswered_total{from="` + string(from) + `"}`).Inc()
}

// countInterrupted counts a statement that a shutdown gave up: its answer does not come
// from a target.
func (m *Metrics) countInterrupted(from origin) {
	m.set.GetOrCreateCounter(`cicadawalk_statements_interrupted_total{from="` + string(from) + `"}`).Inc()
}

// addOpenGauges adds gauges of the statements that were read and not yet answered, by
// their sender. It must be called at most once.
func (m *Metrics) addOpenGauges(count func() openCounts) {
	m.set.NewGauge(`cicadawalk_statements_open{from="caller"}`, func() float64 { return float64(count().callers) })
	m.set.NewGauge(`cicadawalk_statements_open{from="instance"}`, func() float64 { return float64(count().instances) })
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
