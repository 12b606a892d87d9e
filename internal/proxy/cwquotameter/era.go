package cwquotameter

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// EraKey is the key of the row with the last era of the store in which the rows of window
// mode are known to be complete.
const EraKey = "quotaEra"

type eraBody struct {
	Era uint64 `json:"era"`
}

// storeEra is the newest known era of the store, which increases when the store is
// restored from an older copy.
//
// The copy may lack rows on which issuers rely. An instance that starts can't know of
// them if everybody else was killed as well. It therefore trusts the rows only in an era
// in which some instance has lived until all leases of earlier ones were over, and has
// written that to the row EraKey. The first era needs no such row.
type storeEra struct {
	number uint64
	// since is when this instance learned of the era.
	since time.Time
	// settled is true if the rows are known to be complete.
	settled bool
}

// SetEra ends window mode if the store was restored from an older copy.
func (m *Meter) SetEra(era uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era <= m.era.number {
		return
	}
	m.era = storeEra{number: era, since: m.Clock.Now()}
	for _, s := range m.shards {
		s.shard.DropLease()
	}
}

// currentEra returns the newest era in any answer of the store.
func (m *Meter) currentEra() storeEra {
	if m.Era != nil {
		m.SetEra(m.Era())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// readEra returns the era in the row EraKey, zero if there is none, and the row's tag.
// The error is that of the table or of decoding.
func (s recordStore) readEra(ctx context.Context) (uint64, string, error) {
	row, err := s.table.Get(ctx, EraKey)
	var notFound *cwplatform.NotFoundError
	if errors.As(err, &notFound) {
		return 0, "", nil
	}
	var b eraBody
	if err == nil {
		err = json.Unmarshal(row.Value, &b)
	}
	return b.Era, row.ETag, err
}

// writeEra writes the row EraKey unless it has the era already. The error is that of the
// table or of decoding.
func (s recordStore) writeEra(ctx context.Context, era uint64) error {
	written, tag, err := s.readEra(ctx)
	if err != nil || written >= era {
		return err
	}
	value, err := json.Marshal(eraBody{Era: era})
	if err != nil {
		return err
	}
	return s.table.Commit(ctx, cwplatform.Change{
		Expect: []cwplatform.Condition{{Key: EraKey, ETag: tag}},
		Put:    []cwplatform.RowWrite{{Key: EraKey, Value: value}},
	})
}

// settleEra writes the row EraKey once all leases of earlier eras are over.
func (m *Meter) settleEra(ctx context.Context) {
	e := m.currentEra()
	over := cwquota.Watch{SeenAt: e.since}.ClearAt(m.Tolerance.Window, true)
	if e.number == 0 || e.settled || m.Clock.Now().Before(over) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := m.store().writeEra(ctx, e.number); err != nil {
		m.Log.Warn("quotaEraNotWritten", "era", e.number, "cause", err)
		return
	}
	m.Log.Info("quotaEraSettled", "era", e.number)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era.number == e.number {
		m.era.settled = true
	}
}
