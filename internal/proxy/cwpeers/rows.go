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

// KeyPrefix is where the rows of the instances are in the table.
const KeyPrefix = "instance/"

// Times of the rows.
const (
	// registerEvery is how often the own row is looked at, and the pause after
	// it could not be written.
	registerEvery = time.Second
	// registerTimeout bounds one write of it.
	registerTimeout = 2 * time.Second
	// lostFor is how long an instance counts without a row: it hears of the loss
	// within about a second, writes the row with the next look at it, and a write can
	// take its whole time.
	lostFor = registerEvery + registerTimeout + time.Second
)

type instanceBody struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// Rows takes rows of the table; whole is true if these are all.
func (p *Peers) Rows(rows []cwport.Row, whole bool) {
	p.takeRows(rows, whole)
	if whole {
		p.tell()
	}
}

// tell says that the holders of groups may have changed.
//
// The failure: hundreds of instances start together, each one's row reaches all
// others by itself, and each works out the holders of every group for each of
// them: work that grows with the square of the instances, before the first caller
// has come. The first rows are told at once, changes once a second.
func (p *Peers) tell() {
	p.mu.Lock()
	dirty := p.dirty
	p.dirty = false
	p.mu.Unlock()
	if dirty && p.Changed != nil {
		p.Changed()
	}
}

func (p *Peers) takeRows(rows []cwport.Row, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dirty = p.dirty || whole
	before := p.instances
	if p.instances == nil || whole {
		p.instances, p.version = make(map[string]cwholder.Instance), ""
	}
	p.listed = p.listed || whole
	for _, r := range rows {
		if name, ok := strings.CutPrefix(r.Key, KeyPrefix); ok {
			p.row(name, r, before)
			p.dirty = true
		}
	}
	if whole {
		p.keepLost(before)
	}
	if p.dirty {
		p.reorder()
	}
}

// reorder forgets what follows from the rows. The caller holds mu.
func (p *Peers) reorder() {
	p.centre, p.centres = nil, nil
	clear(p.orders)
	clear(p.issuers)
	p.unlink()
}

// keepLost keeps the instances that all rows lack. The caller holds mu.
//
// The failure: the store comes back from an older copy and lacks the rows of
// instances that registered a moment ago. Taken for gone, the statements that were
// handed to them are cut off with an unknown outcome, and their groups and quotas move
// to others and back. Nobody removes the row of an instance from the store, so one that
// is missing was lost, and the instance, if it lives, writes it again.
func (p *Peers) keepLost(before map[string]cwholder.Instance) {
	now := p.Clock.Now()
	if p.lost == nil {
		p.lost = make(map[string]time.Time)
	}
	for name, i := range before {
		if _, ok := p.instances[name]; ok {
			continue
		}
		p.instances[name] = i
		if _, known := p.lost[name]; !known {
			p.lost[name] = now
			p.Log.Warn("instanceRowLost", "instance", name)
		}
	}
}

// dropLost drops the instances that have not written their rows again.
func (p *Peers) dropLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, since := range p.lost {
		if name == p.Self.ID || p.Clock.Since(since) < lostFor {
			continue
		}
		p.Log.Info("instanceGone", "instance", name)
		delete(p.lost, name)
		delete(p.instances, name)
		p.dirty = true
		p.reorder()
	}
}

// row takes one instance's row; before are the instances that were known. The
// caller holds mu.
func (p *Peers) row(name string, r cwport.Row, before map[string]cwholder.Instance) {
	if name == p.Self.ID {
		p.version = r.Tag()
	}
	delete(p.lost, name)
	if r.Removed {
		delete(p.instances, name)
		return
	}
	var b instanceBody
	if err := json.Unmarshal(r.Value, &b); err != nil {
		p.Log.Error("instanceUnreadable", "key", r.Key, "cause", err)
		return
	}
	i := cwholder.Instance{ID: name, DataCentre: b.DataCentre, Address: b.Address}
	if before[name] != i {
		p.Log.Info("instanceListed", "instance", name, "dataCentre", i.DataCentre, "address", i.Address)
	}
	p.instances[name] = i
}

// unlink closes the connections to instances that are gone or have moved. The
// caller holds mu.
func (p *Peers) unlink() {
	for name, l := range p.links {
		if p.instances[name] != l.to {
			l.close()
			delete(p.links, name)
		}
	}
}

// unregistered reports whether the table is known to lack the own row.
func (p *Peers) unregistered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, lost := p.lost[p.Self.ID]
	return p.listed && (lost || p.instances[p.Self.ID] != p.Self)
}

// register writes the own row. An answer that was lost is made up for by the
// next look, since the row comes back with the others.
func (p *Peers) register(ctx context.Context) {
	value, err := json.Marshal(instanceBody{Address: p.Self.Address, DataCentre: p.Self.DataCentre})
	if err != nil {
		p.Log.Error("notRegistered", "cause", err)
		return
	}
	p.mu.Lock()
	version := p.version
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	key := KeyPrefix + p.Self.ID
	err = p.Table.Commit(ctx, cwplatform.Change{
		Expect: []cwplatform.Expect{{Key: key, ETag: version}},
		Put:    []cwplatform.Put{{Key: key, Value: value}},
	})
	if err != nil {
		p.Log.Warn("notRegistered", "cause", err)
	}
}
