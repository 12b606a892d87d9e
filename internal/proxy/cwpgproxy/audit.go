package cwpgproxy

import (
	"context"
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk/internal/wire/cwcataloguestore"
)

// Limits of the audit recorder.
const (
	// maxQueuedActions is the maximum number of queued actions; beyond it the oldest is
	// dropped.
	maxQueuedActions = 256
	// auditRetryPause is the pause between attempts while the platform's table is
	// unavailable.
	auditRetryPause = time.Second
)

// auditRecorder writes the actions that the proxy took on its own to the audit trail
// in the platform's table. While the table is unavailable, actions are queued in
// memory, and are lost if the process ends.
type auditRecorder struct {
	store   cwcataloguestore.Store
	cfg     Config
	actions chan cwcataloguestore.Action
}

func newAuditRecorder(store cwcataloguestore.Store, cfg Config) *auditRecorder {
	return &auditRecorder{store: store, cfg: cfg, actions: make(chan cwcataloguestore.Action, maxQueuedActions)}
}

// Record implements cwmonitor.Journal. It never blocks; if the queue is full, it drops
// and logs the oldest action.
func (j *auditRecorder) Record(kind, subject, before, after string) {
	a := cwcataloguestore.Action{
		Who: "proxy " + j.cfg.Instance, At: j.cfg.Clock.Now().UTC(),
		Kind: kind, Subject: subject, Before: before, After: after,
	}
	for {
		select {
		case j.actions <- a:
			return
		default:
		}
		select {
		case lost := <-j.actions:
			j.cfg.Log.Warn("auditLost", "kind", lost.Kind, "subject", lost.Subject)
		default:
		}
	}
}

// writeLoop writes queued actions until ctx ends. It always returns nil.
func (j *auditRecorder) writeLoop(ctx context.Context) error {
	for n := 0; ; n++ {
		select {
		case a := <-j.actions:
			j.write(ctx, fmt.Sprintf("%s-%s-%d", j.cfg.Instance, j.cfg.RunID, n), a)
		case <-ctx.Done():
			return nil
		}
	}
}

// write writes an action and retries until that succeeds or ctx ends. The id makes the
// retries idempotent.
func (j *auditRecorder) write(ctx context.Context, id string, a cwcataloguestore.Action) {
	for ctx.Err() == nil {
		if j.store.RecordAction(ctx, id, a) == nil {
			return
		}
		select {
		case <-j.cfg.Clock.After(auditRetryPause):
		case <-ctx.Done():
		}
	}
}
