package cwengine

import (
	"context"
	"testing"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwleadership"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// otherHolders has the engine of another instance as the only holder of every group, to
// which no statements can be forwarded. It implements cwport.Holders and cwport.Observers.
type otherHolders struct{ holder *Engine }

func (h otherHolders) Holder(string, cwholder.TargetCapacity, []string) (cwport.Holder, bool) {
	return nil, false
}
func (h otherHolders) Connect(string, cwholder.TargetCapacity) {}
func (h otherHolders) HolderRank(string, cwholder.TargetCapacity) (int, bool) {
	return -1, false
}

func (h otherHolders) Observers(string, cwholder.TargetCapacity) []cwport.Observer {
	return []cwport.Observer{{Name: "x", Ask: func(ctx context.Context, q cwport.MembersRequest) (cwport.MembersResponse, error) {
		return h.holder.ServeMembers(ctx, q), nil
	}}}
}

// Guards against an engine whose groups don't ask the holders that it knows, or that
// doesn't answer other instances.
func TestGroupAsksHolder(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	x := env.engine("x")
	env.waitForPrimary(x)
	assertOK(env.c, env.session(x).ask(cwstatement.Write, "WRITE i 1"))
	answers := make(chan cwevidence.Outcome, 1000)
	var y *Engine
	env.onStart = func(e *Engine) { y = e }
	env.engineWithConfig("y", func(cfg *Config) {
		h := otherHolders{holder: x}
		cfg.Holders, cfg.Observers = h, h
		cfg.NewGroup = func(service string) *cwleadership.Group {
			return cwleadership.New(cwleadership.Config{
				Self: cwfailover.InstanceID(cfg.Name), DataCentre: "dc-a", Service: service, Clock: env.clock, Log: cfg.Log, Dialer: env.group.DialerFrom("y"),
				Table: env.table, Promoter: env.group, ClaimSeed: "test", RemotePath: cfg.RemotePath,
				Observers:   func() []cwport.Observer { return y.Observers(service) },
				CountAnswer: func(o cwevidence.Outcome) { answers <- o },
			})
		}
	})
	env.clock.Sleep(time.Second)
	assertRead(env.c, env.session(y).ask(cwstatement.Read, "READ i"), "1")
	env.eventually("an answer is used", func() bool { return <-answers == cwevidence.Used })
}
