package cwleadership

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// primaryAwayFrom returns which member leads for the instances outside a data centre; empty
// while it is not the same one for all of them.
func (p *play) primaryAwayFrom(centre int) string {
	var leader string
	for _, in := range p.instances {
		if in.centre == centre {
			continue
		}
		pl, err := in.Primary()
		if err != nil || leader != "" && leader != string(pl.ID) {
			return ""
		}
		leader = string(pl.ID)
	}
	return leader
}

// Guards against a group without a primary for as long as a data centre is cut off in which a
// member was promoted out of sight: the others refuse to be fenced for the term of that
// promotion.
func TestMembersAreFencedAfterAPromotionOutOfSight(t *testing.T) {
	runPlay(t, true, func(p *play) {
		p.cutMember("m1", 1, true)
		for _, in := range p.instances {
			if in.centre == 1 {
				p.members.Cut("m0", in.name, true)
				p.members.Cut("m2", in.name, true)
			}
		}
		qt.Assert(t, p.members.Promote(context.Background(), cwport.Promotion{ID: "m1"}), qt.IsNil)
		p.members.Restart("m0", time.Second, clockwork.NewRealClock())
		began := time.Now()
		for len(p.members.Promotions()) < 2 || p.primaryAwayFrom(1) == "" {
			if time.Since(began) > 7*time.Second {
				p.t.Fatal("no primary within 7 s")
			}
			time.Sleep(10 * time.Millisecond)
		}
		p.t.Logf("%s leads after %v", p.primaryAwayFrom(1), time.Since(began))
	})
}
