// Package cwholder decides which instances hold a group of targets.
//
// A holder keeps connections to the group's targets and runs the statements of
// other instances' callers there. With many instances before few connections
// each instance alone would have less than one: connections would be opened and
// closed for single statements, which costs a target more than many a statement,
// and whoever comes while all are taken is refused. A few holders in each data
// centre keep theirs open and know how busy the targets are.
//
// Before many groups an instance has callers for more of them than it could keep
// connections for, and each group has few statements a second. Then a few holders of
// the whole deployment serve a group, and all instances hand its statements to the
// same one first: what is known of a group is fresh where all of its traffic goes.
//
// Every instance computes the same holders from the same list, by rendezvous
// hashing, without talking to the others. Lists that differ for a while do no
// harm: who may write and what was acknowledged is guarded by the targets and the
// claims, and any instance may run any statement.
package cwholder

import (
	"slices"

	"cicadawalk.example/cicadawalk/internal/core/cwplace"
)

// Instance is one instance that can hold groups.
type Instance struct {
	ID         string
	DataCentre string
	// Address is where it takes the statements of other instances, IP:port.
	Address string
}

// Demand is what a group's targets take from all instances together.
type Demand struct {
	// Connections and Slots are those of one target.
	Connections, Slots int
	// Many is true if the group is one of more than ManyGroups.
	Many bool
}

// Figures of holders.
const (
	// connectionsPerSlot is how many connections a holder wants for each
	// statement that a target runs at once: one for the statement that runs, one
	// for a transaction that rests between two of its own.
	connectionsPerSlot = 2
	// MinPerDataCentre is the least number of holders in a data centre: while
	// one is restarted, the other one serves without a detour through another
	// data centre.
	MinPerDataCentre = 2
	// ManyGroups is up to how many groups an instance has ready, and their holders
	// connected, before a statement comes. Before more of them it uses few: it holds
	// some and has callers for others, and those that it has no part in are made when a
	// statement comes for them. Each group takes an instance its pools, its view of the
	// members, and a goroutine.
	ManyGroups = 128
	// holdersOfMany is how many holders each of many groups has, in as many data
	// centres as there are: one is left if two data centres are lost with another
	// instance.
	holdersOfMany = 4
)

// inDataCentre returns how many holders a group has in one of some data centres. Rank
// is the data centre's place among them in the order of the group.
func (d Demand) inDataCentre(rank, dataCentres int) int {
	if !d.Many {
		return d.perDataCentre(dataCentres)
	}
	if rank >= holdersOfMany {
		return 0
	}
	return (holdersOfMany-rank-1)/max(1, dataCentres) + 1
}

// perDataCentre returns how many holders one of a few groups has in each data centre.
func (d Demand) perDataCentre(dataCentres int) int {
	wanted := max(1, d.Slots*connectionsPerSlot)
	return max(MinPerDataCentre, d.Connections/wanted/max(1, dataCentres))
}

// Holders returns the holders of a group among all instances, as Placement does.
func Holders(group string, all []Instance, d Demand) []Instance {
	var p Placement
	for _, i := range all {
		p.Set(i)
	}
	return p.Holders(group, d)
}

// Order returns the holders in the order in which self hands statements to
// them: itself, then those of its own data centre, then the others. Instances
// begin with different holders, so that these share the work.
func Order(self Instance, group string, holders []Instance) []Instance {
	var mine, near, far []Instance
	for _, h := range holders {
		switch {
		case h == self:
			mine = append(mine, h)
		case h.DataCentre == self.DataCentre:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	key := self.ID + "/" + group
	return slices.Concat(mine, first(key, near, len(near)), first(key, far, len(far)))
}

// first returns the first n instances in the order of the key.
func first(key string, list []Instance, n int) []Instance {
	ids := make([]string, 0, len(list))
	byID := make(map[string]Instance, len(list))
	for _, i := range list {
		ids = append(ids, i.ID)
		byID[i.ID] = i
	}
	var out []Instance
	for _, id := range cwplace.First(key, ids, n) {
		out = append(out, byID[id])
	}
	return out
}
