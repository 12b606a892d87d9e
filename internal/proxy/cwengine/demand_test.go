package cwengine

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargetpool"
)

// workspaceRecorder records the workspaces for which a holder is selected; each statement
// runs here.
type workspaceRecorder struct{ workspaces []string }

func (r *workspaceRecorder) WorkspaceHolder(workspace, _ string, _ cwholder.TargetCapacity, _ []string) (cwport.Holder, bool) {
	r.workspaces = append(r.workspaces, workspace)
	return nil, false
}

func TestHolderIsSelectedByWorkspace(t *testing.T) {
	env := newKeyedEnv(t)
	recorder := &workspaceRecorder{}
	env.engine = env.engineWithConfig("through", func(cfg *Config) {
		env.configureKeys(cfg)
		cfg.Holders, cfg.WorkspaceHolders = &holdsAllGroups{}, recorder
	})
	env.setKeys(map[string][]string{"north": {"n1"}})
	env.waitForPrimary(env.engine)
	assertOK(env.c, env.caller("n1").ask(cwstatement.Write, "WRITE a 1"))
	env.c.Assert(recorder.workspaces, qt.DeepEquals, []string{"north"})
}

// Guards against slots that are divided where the catalogue has no workspaces.
func TestSlotsAreDividedWithWorkspaces(t *testing.T) {
	env := newKeyedEnv(t)
	e := env.engine
	group, ok := e.Group(testService)
	env.c.Assert(ok, qt.IsTrue)
	place, err := group.Primary()
	env.c.Assert(err, qt.IsNil)
	busy := cwlimit.Demand{Running: 5, Waiting: map[int]int{0: 90}}
	record := func() {
		e.RecordDemand(testService, "other", []cwport.MemberDemand{{Member: place.ID, Demand: busy}, {Member: "unknown", Demand: busy}}, env.clock.Now())
	}
	turns := make(chan cwtargetpool.Admission, 8)
	for range cap(turns) {
		go func() {
			turn, err := place.Pool.Admit(cwtargetpool.Urgency{Deadline: env.clock.Now().Add(time.Hour), Priority: 7})
			env.c.Check(err, qt.IsNil)
			turns <- turn
		}()
	}
	var d cwlimit.Demand
	env.eventually("all statements wait or run", func() bool {
		record()
		d = place.Pool.Demand()
		return d.Running+d.Waiting[7] == cap(turns)
	})
	env.c.Check(e.ContendedGroups(), qt.HasLen, 1)
	for workspace, contended := range map[string]bool{"north": true, "": false} {
		s := &session{engine: e, workspace: workspace}
		r := s.newForwardResponse(cwport.ForwardRequest{Entry: env.entry}, group, cwstatement.Response{})
		env.c.Check(r.Contended, qt.Equals, contended)
	}
	record()
	e.UpdateAdmissionMetrics()
	var text bytes.Buffer
	e.cfg.Metrics.Write(&text)
	env.c.Check(strings.Contains(text.String(), `cicadawalk_admission_waiting{priority="7"} `+strconv.Itoa(d.Waiting[7])), qt.IsTrue, qt.Commentf("%s", text.String()))
	env.c.Check(strings.Contains(text.String(), `cicadawalk_admission_slot_share{group="ledger",member="`+string(place.ID)+`"} 1`), qt.IsTrue, qt.Commentf("%s", text.String()))

	env.revision++
	e.SetCatalogue(cwcatalogue.Catalogue{Revision: env.revision, Entries: []cwcatalogue.Entry{env.entry}})
	env.c.Check(e.ContendedGroups(), qt.HasLen, 0)
	for range cap(turns) {
		(<-turns).DoneUnmeasured()
	}
}
