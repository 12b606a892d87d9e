package cicadawalk_test

import (
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk"
)

// A group of three members loses its primary. The example acknowledges a write, routes a
// read of the session that wrote, and lets a Supervisor start to replace the primary. A
// program would send the commands and pass the responses back.
func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	members := []cicadawalk.MemberID{"a", "b", "c"}
	report := func(id cicadawalk.MemberID, role cicadawalk.Role, pos cicadawalk.LogIndex) cicadawalk.Report {
		m := cicadawalk.LogPosition{Term: 1, Index: pos}
		return cicadawalk.Report{
			Status:    cicadawalk.Status{Member: id, Role: role, AdoptedTerm: 1, Durable: m, Applied: m, UpstreamAge: time.Second},
			At:        now,
			Reachable: true,
		}
	}
	sup := cicadawalk.NewSupervisor("proxy-1", "seed", "g", members)
	sup.AddReport(report("a", cicadawalk.Primary, 7), "", now)
	sup.AddReport(report("b", cicadawalk.Replica, 7), "a", now)
	sup.AddReport(report("c", cicadawalk.Replica, 5), "a", now)

	wrote := cicadawalk.LogPosition{Term: 1, Index: 7}
	var tracker cicadawalk.Tracker
	tracker.Add(cicadawalk.PendingWrite{Position: wrote, Deadline: now.Add(time.Second), Notify: func(o cicadawalk.Outcome) {
		fmt.Println("write:", o)
	}})
	tracker.Update(sup.View(), now)

	token := cicadawalk.Token{}.WithPosition("g", wrote)
	read := cicadawalk.Read{Floor: cicadawalk.FloorOf(token, "g")}
	candidates := []cicadawalk.Candidate{{Member: "b"}, {Member: "c"}}
	d := cicadawalk.Router[cicadawalk.PrimaryFallback]{}.Route(sup.View(), candidates, read, now)
	fmt.Println("read at:", d.Member)

	now = now.Add(time.Second)
	sup.SetUnreachable("a", now)
	now = now.Add(100 * time.Millisecond)
	sup.AddReport(report("b", cicadawalk.Replica, 7), "a", now)
	sup.AddReport(report("c", cicadawalk.Replica, 5), "a", now)
	for _, o := range sup.Tick(now, cicadawalk.TickInputs{ListedProxies: 1, MembersCheckTerm: true}) {
		fmt.Println("order:", o.Kind, "for term", o.Term)
	}
	// Output:
	// write: acknowledged
	// read at: b
	// order: claimRow for term 2
}
