package cwfailover

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Repairs returns the orders that bring members back which are not following
// the current primary: a replaced primary that returned, a member that was
// fenced and then forgotten. The member cuts off whatever its log has beyond
// the common part before it follows.
func Repairs(v cwgroup.View, following map[cwgroup.MemberID]cwgroup.MemberID, now time.Time) []Order {
	p, ok := v.Primary()
	if !ok || !p.Reachable || now.Sub(p.At) > FreshMember {
		return nil
	}
	var orders []Order
	for _, r := range v.Reports() {
		astray := r.Role != cwgroup.RoleReplica || r.Adopted < p.Adopted || following[r.Member] != p.Member
		if r.Member == p.Member || !r.Reachable || r.Adopted > p.Adopted || !astray {
			continue
		}
		orders = append(orders, Order{
			Kind:     Follow,
			Member:   r.Member,
			Term:     p.Adopted,
			Claim:    p.Claim,
			Primary:  p.Member,
			NotAfter: now.Add(RecheckLife),
		})
	}
	return orders
}

// Stranded reports whether a member cannot follow the primary in its term: it
// adopted a later one, for a change that failed, or the same one for
// the claim of another keeper. It can follow only in a later term yet.
func Stranded(v cwgroup.View, now time.Time) bool {
	p, ok := v.Primary()
	if !ok {
		return false
	}
	for _, r := range v.Reports() {
		if r.Member == p.Member || !r.Reachable || now.Sub(r.At) > FreshMember {
			continue
		}
		if r.Adopted > p.Adopted || r.Adopted == p.Adopted && r.Claim != p.Claim {
			return true
		}
	}
	return false
}
