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

// KeyPrefix is where the rows of the instances are in the table; the data centre and the
// instance's name follow.
const KeyPrefix = "instance/"

// KeyOf returns the key of an instance's row.
func KeyOf(i cwholder.Instance) string { return keyOf(i.DataCentre, i.ID) }

func keyOf(dataCentre, name string) string { return KeyPrefix + dataCentre + "/" + name }

// nameOf returns whose row a key is of; false if it is no instance's.
func nameOf(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return "", false
	}
	_, name, ok := strings.Cut(rest, "/")
	return name, ok
}

// Times of the rows.
const (
	// registerEvery is how often the own row is looked at, and the pause after
	// it could not be written.
	registerEvery = time.Second
	// registerTimeout bounds one write of it.
	registerTimeout = 2 * time.Second
	// lostGrace is how long the own row may be missing before it is written again: a
	// feeder may not have heard yet of one that was written a moment ago.
	lostGrace = 2 * registerEvery
	// lostFor is how long an instance counts without a row: it hears of the loss
	// within about a second, writes the row with the first look after lostGrace, and a
	// write can take its whole time.
	lostFor = lostGrace + registerEvery + registerTimeout + time.Second
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
	p.placement.Self = p.Self
	p.dirty = p.dirty || whole && !p.listed
	p.listed = p.listed || whole
	told := make(map[string]bool)
	var listed []cwholder.Instance
	for _, r := range rows {
		name, ok := nameOf(r.Key)
		if !ok {
			continue
		}
		told[name] = true
		if i, news := p.row(name, r); news {
			listed = append(listed, i)
		}
	}
	if whole {
		p.keepLost(told)
	}
	p.logListed(listed)
}

// logEach is up to how many instances that are told together are logged one by one.
const logEach = 8

func (p *Peers) logListed(listed []cwholder.Instance) {
	if len(listed) > logEach {
		p.Log.Info("instancesListed", "count", len(listed), "known", len(p.placement.Instances()))
		return
	}
	for _, i := range listed {
		p.Log.Info("instanceListed", "instance", i.ID, "dataCentre", i.DataCentre, "address", i.Address)
	}
}

// keepLost keeps the instances that all rows lack; told has the names of those that they
// have. The caller holds mu.
//
// The failure: the store comes back from an older copy and lacks the rows of
// instances that registered a moment ago. Taken for gone, the statements that were
// handed to them are cut off with an unknown outcome, and their groups and quotas move
// to others and back. Nobody removes the row of an instance from the store, so one that
// is missing was lost, and the instance, if it lives, writes it again.
func (p *Peers) keepLost(told map[string]bool) {
	now := p.Clock.Now()
	if p.lost == nil {
		p.lost = make(map[string]time.Time)
	}
	if !told[p.Self.ID] {
		p.version = ""
	}
	for name := range p.placement.Instances() {
		if _, known := p.lost[name]; told[name] || known {
			continue
		}
		p.lost[name] = now
		p.Log.Warn("instanceRowLost", "instance", name)
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
		p.remove(name)
	}
}

// set takes an instance, and reports whether it is new or has moved. The caller holds mu.
func (p *Peers) set(i cwholder.Instance) bool {
	news := p.placement.Set(i)
	if news {
		p.noteChange(i.ID)
	}
	return news
}

// remove takes an instance out. The caller holds mu.
func (p *Peers) remove(name string) {
	if p.placement.Remove(name) {
		p.noteChange(name)
	}
}

// noteChange takes what follows from a change of an instance: the connection to where it
// was is closed. The caller holds mu.
func (p *Peers) noteChange(name string) {
	p.dirty = true
	clear(p.issuers)
	l, linked := p.links[name]
	if i, ok := p.placement.Instance(name); linked && (!ok || i != l.to) {
		l.close()
		delete(p.links, name)
	}
}

// row takes one instance's row, and returns the instance if it is new or has moved. The
// caller holds mu.
func (p *Peers) row(name string, r cwport.Row) (i cwholder.Instance, news bool) {
	if name == p.Self.ID {
		p.version = r.Tag()
	}
	delete(p.lost, name)
	if r.Removed {
		p.remove(name)
		return i, false
	}
	i, ok := p.decode(name, r)
	return i, ok && p.set(i)
}

// decode reads an instance's row; false if it makes no sense.
func (p *Peers) decode(name string, r cwport.Row) (cwholder.Instance, bool) {
	var b instanceBody
	if err := json.Unmarshal(r.Value, &b); err != nil {
		p.Log.Error("instanceUnreadable", "key", r.Key, "cause", err)
		return cwholder.Instance{}, false
	}
	return cwholder.Instance{ID: name, DataCentre: b.DataCentre, Address: b.Address}, true
}

// unregistered reports whether the table is known to lack the own row.
func (p *Peers) unregistered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, lost := p.lost[p.Self.ID]
	lost = lost && p.Clock.Since(since) >= lostGrace
	own, _ := p.placement.Instance(p.Self.ID)
	return p.listed && (lost || own != p.Self)
}

// register writes the own row, and reports whether that is certain. An answer that was
// lost is made up for by the next look, since the row comes back with the others.
func (p *Peers) register(ctx context.Context) bool {
	value, err := json.Marshal(instanceBody{Address: p.Self.Address, DataCentre: p.Self.DataCentre})
	if err != nil {
		p.Log.Error("notRegistered", "cause", err)
		return false
	}
	p.mu.Lock()
	version := p.version
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	key := KeyOf(p.Self)
	err = p.Table.Commit(ctx, cwplatform.Change{
		Expect: []cwplatform.Expect{{Key: key, ETag: version}},
		Put:    []cwplatform.Put{{Key: key, Value: value}},
	})
	if err != nil {
		p.Log.Warn("notRegistered", "cause", err)
	}
	return err == nil
}
