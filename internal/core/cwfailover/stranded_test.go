package cwfailover

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Guards against a group whose replicas stay fenced above a living primary, since only the proxy of the
// first rank may change that, which has ended.
func TestProxiesOfAllRanksHelpStrandedMembers(t *testing.T) {
	const step = 50 * time.Millisecond
	for rank := range 4 {
		s := NewSupervisor("x", "seed", "g", []cwgroup.MemberID{"a", "b", "c"})
		began := time.Unix(1000, 0)
		now := began
		for ; len(s.Tick(now, TickInputs{ListedProxies: 2, Rank: rank})) == 0 || !s.ChangingPrimary(); now = now.Add(step) {
			for id, st := range map[cwgroup.MemberID]cwgroup.Status{
				"a": {Role: cwgroup.RolePrimary, AdoptedTerm: 2}, "b": {Role: cwgroup.RoleReplica, AdoptedTerm: 3}, "c": {Role: cwgroup.RoleReplica, AdoptedTerm: 3},
			} {
				st.Member = id
				s.AddLatestReport(cwgroup.Report{Status: st, Reachable: true, At: now}, now)
			}
			qt.Assert(t, now.Sub(began) < 10*time.Second, qt.IsTrue, qt.Commentf("rank %d", rank))
		}
		qt.Assert(t, now.Sub(began) >= StrandedTimeout+time.Duration(rank)*RankDelay, qt.IsTrue)
	}
}
