package cwquotameter

import (
	"context"
	"strings"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Times of the watch over rows.
const (
	// watchInterval is the interval at which leases and active rows are checked. Rows
	// are cleared after tens of seconds.
	watchInterval = 2 * time.Second
	// listRetry is the pause after the rows could not be read.
	listRetry = 200 * time.Millisecond
)

// recordTable is what an instance knows of the rows of window mode.
type recordTable struct {
	// complete is true once the rows were read after the start, or need not be read, and
	// none can be missing.
	complete bool
	// active are the workspaces whose rows were active then.
	active map[string]bool
	// watched are the rows that are expected to be active.
	watched map[string]*watchedRow
}

// watchedRow is a row that is expected to be active.
type watchedRow struct {
	// seen is the row as last read; zero before that.
	seen cwquota.Watch
	// leaseUntil is the end of this instance's last lease.
	leaseUntil time.Time
}

// activeAtStart reports whether a predecessor may have used window mode.
func (t *recordTable) activeAtStart(workspace string) bool { return !t.complete || t.active[workspace] }

// expectActive records that this instance has a lease.
func (t *recordTable) expectActive(workspace string, leaseUntil time.Time) {
	if t.watched == nil {
		t.watched = make(map[string]*watchedRow)
	}
	row := t.watched[workspace]
	if row == nil {
		row = &watchedRow{}
		t.watched[workspace] = row
	}
	row.leaseUntil = leaseUntil
}

// dueAt returns when the row is to be read. The first issuer reads it when its lease has
// ended. The others first leave it to the first one to clear it.
func (r *watchedRow) dueAt(window time.Duration, firstIssuer bool) time.Time {
	switch {
	case r.seen.Version != "":
		return r.seen.ClearAt(window, firstIssuer)
	case firstIssuer:
		return r.leaseUntil
	}
	return cwquota.Watch{SeenAt: r.leaseUntil}.ClearAt(window, false)
}

// ObserveRows records changed rows of the store, so that the time of the last change of a
// watched row is known without reading it. Rows of other kinds are ignored.
//
// A row that is received late only looks younger, so it is cleared later.
func (m *Meter) ObserveRows(rows []cwport.Row) {
	for _, r := range rows {
		workspace, ok := strings.CutPrefix(r.Key, KeyPrefix)
		if !ok {
			continue
		}
		rec := cwquota.Record{}
		if !r.Removed {
			rec = m.store().decode(cwplatform.Row{Key: r.Key, Value: r.Value, ETag: r.ETag()})
		}
		m.observeRow(workspace, rec)
	}
}

func (m *Meter) observeRow(workspace string, r cwquota.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, now := m.records.watched[workspace], m.Clock.Now()
	switch {
	case row == nil || r.Version == row.seen.Version:
	case r.Active:
		row.seen = cwquota.Watch{Version: r.Version, SeenAt: now}
	case now.After(row.leaseUntil):
		delete(m.records.watched, workspace)
	}
}

// Prepare makes the instance read the rows of window mode. It is called when a workspace
// with a quota is known. Only the first call has an effect.
func (m *Meter) Prepare() {
	m.Start()
	m.neededOnce.Do(func() { close(m.needed) })
}

// Run reads the rows of window mode once a workspace has a quota, and clears those that
// are no longer used, until ctx ends. It always returns nil.
func (m *Meter) Run(ctx context.Context) error {
	m.Start()
	select {
	case <-m.needed:
	case <-ctx.Done():
		return nil
	}
	if m.Table == nil || m.FirstStart {
		m.applyRows(nil, true, m.Clock.Now())
	} else {
		m.loopList(ctx)
	}
	if m.Table != nil {
		m.loopWatch(ctx)
	}
	return nil
}

// loopList reads the rows until that succeeds, or until no predecessor can matter any
// more.
func (m *Meter) loopList(ctx context.Context) {
	end := m.started.Add(m.Tolerance.Window + cwquota.MaxDelay(m.Tolerance.Window))
	for ctx.Err() == nil && m.Clock.Now().Before(end) {
		listCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		rows, complete, err := m.listRows(listCtx)
		cancel()
		if err == nil {
			m.applyRows(rows, complete, m.Clock.Now())
			return
		}
		m.Log.Warn("quotaRowsNotRead", "cause", err)
		m.sleep(ctx, listRetry)
	}
}

// listRows returns the rows, and whether none can be missing.
func (m *Meter) listRows(ctx context.Context) (rows map[string]cwquota.Record, complete bool, err error) {
	if rows, err = m.store().list(ctx); err != nil {
		return nil, false, err
	}
	era := m.currentEra()
	if era.number == 0 {
		return rows, true, nil
	}
	settled, _, err := m.store().readEra(ctx)
	return rows, settled == era.number, err
}

func (m *Meter) store() recordStore { return recordStore{table: m.Table, clock: m.Clock, log: m.Log} }

// applyRows applies all rows as they were after the start of this instance.
func (m *Meter) applyRows(rows map[string]cwquota.Record, complete bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &m.records
	t.complete, t.active = complete, make(map[string]bool)
	for workspace, r := range rows {
		if r.Active {
			t.active[workspace] = true
			t.expectActive(workspace, time.Time{})
			t.watched[workspace].seen = cwquota.Watch{Version: r.Version, SeenAt: now}
		}
	}
	for workspace, s := range m.shards {
		if !t.activeAtStart(workspace) {
			s.shard.PredecessorInactive()
		}
	}
	m.Log.Info("quotaRowsRead", "rows", len(rows), "active", len(t.active), "complete", complete)
}

// loopWatch logs the end of window mode, and clears rows that are no longer used.
func (m *Meter) loopWatch(ctx context.Context) {
	for m.sleep(ctx, watchInterval) {
		m.settleEra(ctx)
		for _, workspace := range m.dueRows() {
			m.checkRow(ctx, workspace)
		}
	}
}

// sleep waits for d, and returns false if ctx has ended.
func (m *Meter) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-m.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// dueRows returns the workspaces whose rows are to be read now.
func (m *Meter) dueRows() (due []string) {
	m.mu.Lock()
	watched := make([]string, 0, len(m.records.watched))
	for workspace := range m.records.watched {
		watched = append(watched, workspace)
	}
	m.mu.Unlock()
	for _, workspace := range watched {
		l := m.Issuers.QuotaListing(workspace)
		if m.isDue(workspace, l) {
			due = append(due, workspace)
		}
	}
	return due
}

// isDue reports whether a workspace's row is to be read now. Rows of shards that this
// instance doesn't keep are left to their issuers.
func (m *Meter) isDue(workspace string, l cwquota.Listing) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if s := m.shards[workspace]; s != nil && s.windowMode && !s.shard.WindowMode(now) {
		s.windowMode = false
		m.Log.Info("quotaBucketMode", "workspace", workspace)
	}
	row := m.records.watched[workspace]
	if row != nil && l.Known && !l.Issuer && now.After(row.leaseUntil) {
		delete(m.records.watched, workspace)
		return false
	}
	return row != nil && !now.Before(row.dueAt(m.Tolerance.Window, l.Rank == 0))
}

// checkRow reads a workspace's row, and clears it if it is active and has not changed
// since it was last read.
func (m *Meter) checkRow(ctx context.Context, workspace string) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	store := m.store()
	r, err := store.read(ctx, workspace)
	if err != nil {
		m.Log.Warn("quotaRowNotCleared", "workspace", workspace, "cause", err)
		return
	}
	if !m.mayClear(workspace, r) {
		return
	}
	if err := store.write(ctx, workspace, r, recordBody{Writer: m.Name}); err != nil {
		// The row is read again before the next write.
		m.Log.Warn("quotaRowNotCleared", "workspace", workspace, "cause", err)
		return
	}
	m.Log.Info("quotaRowCleared", "workspace", workspace)
	m.mu.Lock()
	defer m.mu.Unlock()
	if row := m.records.watched[workspace]; row != nil && row.seen.Version == r.Version {
		delete(m.records.watched, workspace)
	}
}

// mayClear reports whether a row that was just read may be cleared, and records it.
func (m *Meter) mayClear(workspace string, r cwquota.Record) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, now := m.records.watched[workspace], m.Clock.Now()
	switch {
	case row == nil || now.Before(row.leaseUntil):
		return false
	case !r.Active:
		delete(m.records.watched, workspace)
		return false
	case r.Version == row.seen.Version:
		return true
	}
	row.seen = cwquota.Watch{Version: r.Version, SeenAt: now}
	return false
}
