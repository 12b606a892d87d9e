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
	// centreReadTimeout bounds one read of the rows of a data centre, which the store
	// answers in some milliseconds, or some hundreds of them when it is slow.
	centreReadTimeout = 700 * time.Millisecond
	// centreReadRetry is the pause after a failed read.
	centreReadRetry = 200 * time.Millisecond
	// firstStartWait is how long an instance of a deployment that starts for the first time
	// waits for the others to write their rows.
	firstStartWait = 1500 * time.Millisecond
)

// loopStartup reads the rows of this instance's data centre, and writes its own if it
// is missing, until it is among them.
//
// This bounds the load on the store when hundreds of instances start at once: the few
// rows of its data centre are all that an instance reads from the store to find its
// feeder, which supplies all the other rows.
func (p *Peers) loopStartup(ctx context.Context) {
	if p.FirstStart && !p.hasPlacement() && p.register(ctx) {
		p.sleep(ctx, firstStartWait)
	}
	for ctx.Err() == nil && !p.hasPlacement() {
		instances, err := p.readDataCentre(ctx)
		switch {
		case err != nil:
			p.Log.Warn("instancesNotRead", "cause", err)
			p.sleep(ctx, centreReadRetry)
		case p.placeIfRegistered(instances):
		case !p.register(ctx):
			// The random pause spreads the retries of instances that start, and are refused,
			// together.
			p.sleep(ctx, registerInterval+rand.N(2*registerInterval))
		case p.FirstStart:
			p.sleep(ctx, firstStartWait)
		default:
			p.setDataCentreInstances(append(instances, p.Self))
		}
	}
}

// readDataCentre returns the instances of this data centre from the table, and records
// the tag of this instance's row.
func (p *Peers) readDataCentre(ctx context.Context) ([]cwholder.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, centreReadTimeout)
	defer cancel()
	rows, err := p.Table.List(ctx, rowKey(p.Self.DataCentre, ""))
	if err != nil {
		return nil, err
	}
	var out []cwholder.Instance
	registered := false
	for _, r := range rows {
		name, ok := instanceOfKey(r.Key)
		if !ok {
			continue
		}
		if name == p.Self.ID {
			registered = true
			p.setOwnRowETag(r.ETag)
		}
		if i, _, ok := p.decodeRow(name, cwport.Row{Key: r.Key, Value: r.Value}); ok {
			out = append(out, i)
		}
	}
	if !registered {
		p.recordNewcomer()
	}
	return out, nil
}

// placeIfRegistered accepts the instances of the data centre if this instance, as it is
// now, is one of them, and reports whether it is.
func (p *Peers) placeIfRegistered(instances []cwholder.Instance) bool {
	for _, i := range instances {
		if i == p.Self {
			p.setDataCentreInstances(instances)
			return true
		}
	}
	return false
}

// setDataCentreInstances records the instances of the data centre. They determine the
// feeder until the rows of all data centres are known.
func (p *Peers) setDataCentreInstances(instances []cwholder.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placement.Self = p.Self
	for _, i := range instances {
		p.setInstance(i)
	}
	p.placement.SetCapacity(p.Self.ID, p.Capacity)
	p.centreRowsRead = true
	p.recordFirstList()
	p.Log.Info("placed", "dataCentre", p.Self.DataCentre, "instances", len(p.placement.InstanceIDs(p.Self.DataCentre)))
}

func (p *Peers) hasPlacement() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.centreRowsRead || p.allRowsRead
}

func (p *Peers) setOwnRowETag(tag string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownRowETag = tag
}

func (p *Peers) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-p.Clock.After(d):
	case <-ctx.Done():
	}
}
