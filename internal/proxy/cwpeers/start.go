package cwpeers

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Times of a start.
const (
	// lookTimeout bounds one reading of the rows of a data centre, which the store answers
	// in some milliseconds, or some hundreds when it is slow.
	lookTimeout = 700 * time.Millisecond
	// lookRetry is the pause after one without an answer.
	lookRetry = 200 * time.Millisecond
	// firstLook is how long instances that start for the first time give each other to
	// write their rows.
	firstLook = 1500 * time.Millisecond
)

// loopStart reads the rows of this instance's data centre, and writes its own if it is
// missing, until this instance has a place among them.
//
// The load it answers: hundreds of instances start at once. With the few rows of its data
// centre an instance finds the one that tells it all the others, and reads no more than
// these from the store.
func (p *Peers) loopStart(ctx context.Context) {
	if p.FirstStart && !p.isPlaced() && p.register(ctx) {
		p.sleep(ctx, firstLook)
	}
	for ctx.Err() == nil && !p.isPlaced() {
		rows, err := p.look(ctx)
		switch {
		case err != nil:
			p.Log.Warn("instancesNotRead", "cause", err)
			p.sleep(ctx, lookRetry)
		case p.placeAmong(rows):
		case !p.register(ctx):
			// All that start together were refused together.
			p.sleep(ctx, registerEvery+rand.N(2*registerEvery))
		case p.FirstStart:
			p.sleep(ctx, firstLook)
		default:
			p.place(append(rows, p.Self))
		}
	}
}

// look returns the instances of the data centre, and notes the version of the own row.
func (p *Peers) look(ctx context.Context) ([]cwholder.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	rows, err := p.Table.List(ctx, keyOf(p.Self.DataCentre, ""))
	if err != nil {
		return nil, err
	}
	var out []cwholder.Instance
	for _, r := range rows {
		name, ok := nameOf(r.Key)
		if !ok {
			continue
		}
		if name == p.Self.ID {
			p.noteVersion(r.ETag)
		}
		if i, ok := p.decode(name, cwport.Row{Key: r.Key, Value: r.Value}); ok {
			out = append(out, i)
		}
	}
	return out, nil
}

// placeAmong places this instance among others if its own row is there.
func (p *Peers) placeAmong(rows []cwholder.Instance) bool {
	for _, i := range rows {
		if i == p.Self {
			p.place(rows)
			return true
		}
	}
	return false
}

// place takes the instances of the data centre, until all are known.
func (p *Peers) place(rows []cwholder.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placement.Self = p.Self
	for _, i := range rows {
		p.set(i)
	}
	p.placed = true
	p.Log.Info("placed", "dataCentre", p.Self.DataCentre, "instances", len(p.placement.Centre(p.Self.DataCentre)))
}

func (p *Peers) isPlaced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placed || p.listed
}

func (p *Peers) noteVersion(tag string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = tag
}

func (p *Peers) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-p.Clock.After(d):
	case <-ctx.Done():
	}
}
