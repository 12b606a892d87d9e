// Package cwholder selects the holders of each group of targets.
//
// A holder of a group is an instance that keeps connection pools to the group's
// targets and runs statements there, also those that other instances forward.
// If there are more instances than connections, each instance's share is less
// than one connection: instances would open and close connections for single
// statements, which costs a target more than many of the statements themselves,
// and would refuse statements while all connections are in use. Therefore a few
// holders in each data centre keep their connections open and know the load of
// the targets.
//
// With more than ManyGroupsThreshold groups, an instance has callers for more
// groups than it could keep connections for, and each group gets few statements per
// second. A group then has a few holders in the whole deployment, and all instances
// forward its statements to the same holder first, whose knowledge of the group is
// current because all of the group's traffic passes it.
//
// While statements wait for the targets of a group, the statements of one workspace prefer
// one holder, so that they reuse connections; see WorkspaceAffinity.
//
// Every instance computes the same holders from the same list of instances by
// rendezvous hashing, without communication. An instance holds groups in proportion to
// its capacity, within bounds. Lists that differ for a while do no
// harm: the targets and the claims ensure who may write and what was
// acknowledged, and any instance may run any statement.
package cwholder

import (
	"slices"

	"cicadawalk.example/cicadawalk/internal/core/cwrendezvous"
)

// Instance describes an instance that can be a holder.
type Instance struct {
	ID         string
	DataCentre string
	// Address is the IP:port at which the instance accepts statements that other
	// instances forward.
	Address string
}

// TargetCapacity describes the capacity of a group's targets, which determines the
// number of its holders.
type TargetCapacity struct {
	// Connections is the connection limit of one target, and Slots the number of
	// statements that it executes concurrently.
	Connections, Slots int
	// ManyGroups is true if there are more than ManyGroupsThreshold groups.
	ManyGroups bool
}

// Numbers of holders, connections and groups.
const (
	// connectionsPerSlot is the number of connections that a holder needs for
	// each statement that a target executes concurrently: one for the
	// statement, and one for a transaction that is idle between two of its
	// statements.
	connectionsPerSlot = 2
	// MinPerDataCentre is the minimum number of holders in a data centre. While
	// one restarts, the other one serves without forwarding to another data
	// centre.
	MinPerDataCentre = 2
	// ManyGroupsThreshold is the number of groups up to which an instance sets up
	// every group, and connects to its holders, in advance. With more groups, an
	// instance uses only a few of them: it holds some and has callers for others,
	// and it sets up the remaining ones on the first statement. Each group costs an
	// instance its pools, its view of the members, and a goroutine.
	ManyGroupsThreshold = 128
	// holdersWithManyGroups is the number of holders of each group if there are
	// more than ManyGroupsThreshold groups, spread over as many data centres as
	// possible. One is left if two data centres and one more instance are lost.
	holdersWithManyGroups = 4
)

// holdersInDataCentre returns the number of holders of a group in one data
// centre out of dataCentres. rank is the position of that data centre in the
// group's rendezvous order.
func (d TargetCapacity) holdersInDataCentre(rank, dataCentres int) int {
	if !d.ManyGroups {
		return d.holdersPerDataCentre(dataCentres)
	}
	if rank >= holdersWithManyGroups {
		return 0
	}
	return (holdersWithManyGroups-rank-1)/max(1, dataCentres) + 1
}

// holdersPerDataCentre returns the number of holders of a group in each data
// centre if there are at most ManyGroupsThreshold groups.
func (d TargetCapacity) holdersPerDataCentre(dataCentres int) int {
	wanted := max(1, d.Slots*connectionsPerSlot)
	return max(MinPerDataCentre, d.Connections/wanted/max(1, dataCentres))
}

// Holders returns the holders of a group among all instances, in the order of
// Placement.Holders.
func Holders(group string, all []Instance, d TargetCapacity) []Instance {
	var p Placement
	for _, i := range all {
		p.Set(i)
	}
	return p.Holders(group, d)
}

// ForwardingOrder returns the holders in the order in which self forwards
// statements to them: self if it is a holder, then those in its own data centre,
// then the others. The order differs between instances, so that the holders share
// the load.
func ForwardingOrder(self Instance, group string, holders []Instance) []Instance {
	p := Placement{Self: self}
	return p.forwardingOrder(group, holders)
}

// forwardingOrder returns the same as ForwardingOrder, except that holders with a
// larger capacity come first more often.
func (p *Placement) forwardingOrder(group string, holders []Instance) []Instance {
	var mine, near, far []Instance
	for _, h := range holders {
		switch {
		case h == p.Self:
			mine = append(mine, h)
		case h.DataCentre == p.Self.DataCentre:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	key := p.Self.ID + "/" + group
	return slices.Concat(mine, p.inOrder(key, near), p.inOrder(key, far))
}

// inOrder returns the instances in the rendezvous order of the key.
func (p *Placement) inOrder(key string, list []Instance) []Instance {
	nodes := make([]cwrendezvous.Node, 0, len(list))
	byID := make(map[string]Instance, len(list))
	for _, i := range list {
		nodes = append(nodes, p.node(i.ID))
		byID[i.ID] = i
	}
	var out []Instance
	for _, id := range cwrendezvous.OrderWeighted(key, nodes) {
		out = append(out, byID[id])
	}
	return out
}
