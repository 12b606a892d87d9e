package cwnode

import (
	"context"
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk/internal/wire/cwstore"
)

// Bounds of the journal.
const (
	// journalLen is how many acts wait for the table at most; the oldest give
	// way.
	journalLen = 256
	// journalRetry is the pause while the table is away.
	journalRetry = time.Second
)

// journal records what the proxy did by itself in the audit trail. While the
// table is away the acts wait in memory; they are lost if the proxy is.
type journal struct {
	store cwstore.Store
	cfg   Config
	acts  chan cwstore.Act
}

func newJournal(store cwstore.Store, cfg Config) *journal {
	return &journal{store: store, cfg: cfg, acts: make(chan cwstore.Act, journalLen)}
}

// Record implements cwwatch.Journal. It never blocks.
func (j *journal) Record(kind, subject, before, after string) {
	a := cwstore.Act{
		Who: "proxy " + j.cfg.Instance, At: j.cfg.Clock.Now().UTC(),
		Kind: kind, Subject: subject, Before: before, After: after,
	}
	for {
		select {
		case j.acts <- a:
			return
		default:
		}
		select {
		case lost := <-j.acts:
			j.cfg.Log.Warn("auditLost", "kind", lost.Kind, "subject", lost.Subject)
		default:
		}
	}
}

func (j *journal) loop(ctx context.Context) error {
	for n := 0; ; n++ {
		select {
		case a := <-j.acts:
			j.write(ctx, fmt.Sprintf("%s-%s-%d", j.cfg.Instance, j.cfg.Seed, n), a)
		case <-ctx.Done():
			return nil
		}
	}
}

// write repeats until the table took the act. The id makes that idempotent.
func (j *journal) write(ctx context.Context, id string, a cwstore.Act) {
	for ctx.Err() == nil {
		if j.store.Record(ctx, id, a) == nil {
			return
		}
		select {
		case <-j.cfg.Clock.After(journalRetry):
		case <-ctx.Done():
		}
	}
}
