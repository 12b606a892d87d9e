package cwpeers

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// InstanceKeyPrefix is the prefix of the keys of instance rows in the table. The data
// centre, a slash and the instance's name follow.
const InstanceKeyPrefix = "instance/"

// InstanceKey returns the key of an instance's row in the table.
func InstanceKey(i cwholder.Instance) string { return rowKey(i.DataCentre, i.ID) }

func rowKey(dataCentre, name string) string { return InstanceKeyPrefix + dataCentre + "/" + name }

// instanceOfKey returns the name of the instance whose row has the key; false if the
// key is not that of an instance row.
func instanceOfKey(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, InstanceKeyPrefix)
	if !ok {
		return "", false
	}
	_, name, ok := strings.Cut(rest, "/")
	return name, ok
}

// Times of the rows.
const (
	// registerInterval is how often Run checks that this instance's row exists, and the
	// pause after it could not be written.
	registerInterval = time.Second
	// registerTimeout bounds one write of the row.
	registerTimeout = 2 * time.Second
	// ownRowGrace is how long this instance's row may be missing before it is written
	// again: a feeder may not have received yet a row that was written a moment ago.
	ownRowGrace = 2 * registerInterval
	// missingRowTimeout is how long an instance whose row is missing is kept. It learns of
	// the loss within about a second, writes the row at the first check after
	// ownRowGrace, and the write may take up to registerTimeout.
	missingRowTimeout = ownRowGrace + registerInterval + registerTimeout + time.Second
)

// maxCapacity is the largest capacity that is accepted from a row, a million cores.
const maxCapacity = 1_000_000_000

// instanceRow is the JSON value of an instance's row.
type instanceRow struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Capacity is the capacity in thousandths of a core; absent if it is unknown.
	Capacity int `json:"capacity,omitempty"`
}

// ApplyRows applies rows of the table; whole is true if these are all rows, otherwise
// they are changes. Rows of other kinds are ignored.
func (p *Peers) ApplyRows(rows []cwport.Row, whole bool) {
	p.applyRows(rows, whole)
	if whole {
		p.notifyChanged()
	}
}

// notifyChanged calls OnChange if the set of instances has changed since the last call.
//
// When hundreds of instances start together, each row reaches all instances separately.
// If each of them recomputed the holders of every group for each row, the work would
// grow with the square of the number of instances, before the first caller connects. So
// a complete list is reported at once and single changes once a second.
func (p *Peers) notifyChanged() {
	p.mu.Lock()
	dirty := p.dirty
	p.dirty = false
	p.mu.Unlock()
	if dirty && p.OnChange != nil {
		p.OnChange()
	}
}

func (p *Peers) applyRows(rows []cwport.Row, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placement.Self = p.Self
	p.dirty = p.dirty || whole && !p.allRowsRead
	p.allRowsRead = p.allRowsRead || whole
	present := make(map[string]bool)
	var changedInstances []cwholder.Instance
	for _, r := range rows {
		name, ok := instanceOfKey(r.Key)
		if !ok {
			continue
		}
		present[name] = true
		if i, changed := p.applyRow(name, r); changed {
			changedInstances = append(changedInstances, i)
		}
	}
	if whole {
		p.recordMissing(present)
		p.recordFirstList()
	}
	p.logInstances(changedInstances)
}

// maxSingleLogLines is the largest number of instances listed at the same time that are
// logged one per line; more are logged as a count.
const maxSingleLogLines = 8

func (p *Peers) logInstances(changed []cwholder.Instance) {
	if len(changed) > maxSingleLogLines {
		p.Log.Info("instancesListed", "count", len(changed), "known", len(p.placement.Instances()))
		return
	}
	for _, i := range changed {
		p.Log.Info("instanceListed", "instance", i.ID, "dataCentre", i.DataCentre, "address", i.Address, "capacity", p.placement.Capacity(i.ID))
	}
}

// recordMissing records the known instances that a complete list of rows lacks. They
// are kept until missingRowTimeout has passed. The caller holds mu.
//
// A store that is restored from an older copy lacks the rows of instances that
// registered a moment before. If they counted as gone, statements forwarded to them
// would be cut off with an unknown outcome, and their groups and quotas would move to
// other instances and back. Instance rows are never deleted from the store, so a missing
// row was lost, and the instance writes it again if it is alive.
func (p *Peers) recordMissing(present map[string]bool) {
	now := p.Clock.Now()
	if p.missingSince == nil {
		p.missingSince = make(map[string]time.Time)
	}
	if !present[p.Self.ID] {
		p.ownRowETag = ""
	}
	for name := range p.placement.Instances() {
		if _, known := p.missingSince[name]; present[name] || known {
			continue
		}
		p.missingSince[name] = now
		p.Log.Warn("instanceRowLost", "instance", name)
	}
}

// removeMissing removes the instances that have not written their rows again within
// missingRowTimeout.
func (p *Peers) removeMissing() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, since := range p.missingSince {
		if name == p.Self.ID || p.Clock.Since(since) < missingRowTimeout {
			continue
		}
		p.Log.Info("instanceGone", "instance", name)
		delete(p.missingSince, name)
		p.removeInstance(name)
	}
}

// setInstance adds or updates an instance, and reports whether it is new or has another
// address or data centre. The caller holds mu.
func (p *Peers) setInstance(i cwholder.Instance) bool {
	before, known := p.placement.Instance(i.ID)
	changed := p.placement.Set(i)
	if !known || before.DataCentre != i.DataCentre {
		p.recordAddition(i)
	}
	if changed {
		p.instanceChanged(i.ID)
	}
	return changed
}

// removeInstance removes an instance. The caller holds mu.
func (p *Peers) removeInstance(name string) {
	i, _ := p.placement.Instance(name)
	if p.placement.Remove(name) {
		p.recordRemoval(i)
		p.instanceChanged(name)
	}
}

// instanceChanged invalidates what depends on an instance that was added, changed or
// removed: cached quota issuers, and the connection to its previous address, which is
// closed. The caller holds mu.
func (p *Peers) instanceChanged(name string) {
	p.dirty = true
	clear(p.issuers)
	l, linked := p.links[name]
	if i, ok := p.placement.Instance(name); linked && (!ok || i != l.remote) {
		l.close()
		delete(p.links, name)
	}
}

// applyRow applies the row of one instance, and returns the instance and true if it is
// new or has another address or data centre. The caller holds mu.
func (p *Peers) applyRow(name string, r cwport.Row) (i cwholder.Instance, changed bool) {
	if name == p.Self.ID {
		p.ownRowETag = r.ETag()
	}
	delete(p.missingSince, name)
	if r.Removed {
		p.removeInstance(name)
		return i, false
	}
	i, capacity, ok := p.decodeRow(name, r)
	if !ok {
		return i, false
	}
	changed = p.setInstance(i)
	if p.placement.SetCapacity(name, capacity) {
		p.dirty = true
	}
	return i, changed
}

// decodeRow decodes the row of an instance and its capacity, which is zero if it is
// unknown or out of range. It logs the error and returns false if the value is
// malformed.
func (p *Peers) decodeRow(name string, r cwport.Row) (cwholder.Instance, int, bool) {
	var b instanceRow
	if err := json.Unmarshal(r.Value, &b); err != nil {
		p.Log.Error("instanceUnreadable", "key", r.Key, "cause", err)
		return cwholder.Instance{}, 0, false
	}
	if b.Capacity < 0 || b.Capacity > maxCapacity {
		p.Log.Warn("capacityOutOfRange", "instance", name, "capacity", b.Capacity)
		b.Capacity = 0
	}
	return cwholder.Instance{ID: name, DataCentre: b.DataCentre, Address: b.Address}, b.Capacity, true
}

// needsRegistration reports whether this instance's row must be written: it differs from
// Self or Capacity, is absent, or has been missing from the complete list for ownRowGrace.
func (p *Peers) needsRegistration() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, missing := p.missingSince[p.Self.ID]
	missing = missing && p.Clock.Since(since) >= ownRowGrace
	own, _ := p.placement.Instance(p.Self.ID)
	return p.allRowsRead && (missing || own != p.Self || p.placement.Capacity(p.Self.ID) != p.Capacity)
}

// register writes this instance's row, and reports whether the write is certain to have
// succeeded. If only the answer was lost, the row arrives with those of the others and
// the next check finds it.
func (p *Peers) register(ctx context.Context) bool {
	value, err := json.Marshal(instanceRow{Address: p.Self.Address, DataCentre: p.Self.DataCentre, Capacity: p.Capacity})
	if err != nil {
		p.Log.Error("notRegistered", "cause", err)
		return false
	}
	p.mu.Lock()
	etag := p.ownRowETag
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	key := InstanceKey(p.Self)
	err = p.Table.Commit(ctx, cwplatform.Change{
		Expect: []cwplatform.Condition{{Key: key, ETag: etag}},
		Put:    []cwplatform.RowWrite{{Key: key, Value: value}},
	})
	if err != nil {
		p.Log.Warn("notRegistered", "cause", err)
	}
	return err == nil
}
