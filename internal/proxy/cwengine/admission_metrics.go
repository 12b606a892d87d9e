package cwengine

import (
	"fmt"
	"strconv"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// memberLabel identifies a member of a group in metrics.
type memberLabel struct {
	group  string
	member cwgroup.MemberID
}

// countAdmissionRefused counts a statement that could not start in time at a target.
func (m *Metrics) countAdmissionRefused(priority int) {
	m.set.GetOrCreateCounter(`cicadawalk_admission_refused_total{priority="` + strconv.Itoa(priority) + `"}`).Inc()
}

// setAdmission sets the gauges of the waiting statements by priority, and of this
// instance's share of the slots of each member whose slots are divided. A share that no
// longer applies is removed.
func (m *Metrics) setAdmission(waiting map[int]int, shares map[memberLabel]int) {
	m.admissionMu.Lock()
	defer m.admissionMu.Unlock()
	for p := range waiting {
		m.waitingPriorities[p] = true
	}
	for p := range m.waitingPriorities {
		m.set.GetOrCreateGauge(waitingGauge(p), nil).Set(float64(waiting[p]))
	}
	current := make(map[string]bool, len(shares))
	for l, n := range shares {
		name := fmt.Sprintf("cicadawalk_admission_slot_share{group=%q,member=%q}", l.group, l.member)
		current[name] = true
		m.set.GetOrCreateGauge(name, nil).Set(float64(n))
	}
	for name := range m.shareGauges {
		if !current[name] {
			m.set.UnregisterMetric(name)
		}
	}
	m.shareGauges = current
}

func waitingGauge(priority int) string {
	return `cicadawalk_admission_waiting{priority="` + strconv.Itoa(priority) + `"}`
}
