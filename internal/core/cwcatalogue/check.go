package cwcatalogue

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Bounds of the values in a catalogue.
const (
	MaxNameLen          = 63
	MaxGroups           = 16
	MinTargets          = 1
	MaxTargets          = 7
	MinConnections      = 4
	MaxConnections      = 10000
	MaxStatementTimeout = 10 * time.Minute
	MaxAckTimeout       = 30 * time.Second
	MaxReadWait         = 5 * time.Second
)

// Fault is one thing that is wrong with a catalogue.
type Fault struct {
	// Path is the field, as in entries[0].groups[1].targets[2].address.
	Path string
	// Value is what stands there.
	Value string
	// Allowed says what may stand there.
	Allowed string
}

// String formats the fault for an operator.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %q is not allowed; %s", f.Path, f.Value, f.Allowed)
}

type checker struct {
	cat     Catalogue
	faults  []Fault
	targets map[cwgroup.MemberID]string
	addrs   map[string]string
	groups  map[string]string
}

// Check returns every fault of the catalogue, in the order of the document.
func Check(c Catalogue) []Fault {
	k := &checker{
		cat:     c,
		targets: make(map[cwgroup.MemberID]string),
		addrs:   make(map[string]string),
		groups:  make(map[string]string),
	}
	k.places()
	services := make(map[string]bool)
	for i, e := range c.Entries {
		path := fmt.Sprintf("entries[%d]", i)
		k.name(path+".service", e.Service)
		k.unless(!services[e.Service], path+".service", e.Service, "each service has one entry")
		services[e.Service] = true
		k.unless(e.Owner != "", path+".owner", e.Owner, "name who answers for this service")
		k.contract(path+".contract", e.Contract)
		k.groupsOf(path, e)
	}
	for i, s := range c.Stops {
		path := fmt.Sprintf("stops[%d].target", i)
		k.unless(c.HasTarget(s.Target), path, string(s.Target), "the id of a target of some entry")
	}
	return k.faults
}

func (k *checker) unless(ok bool, path, value, allowed string) {
	if !ok {
		k.faults = append(k.faults, Fault{Path: path, Value: value, Allowed: allowed})
	}
}

func (k *checker) name(path, s string) {
	ok := s != "" && len(s) <= MaxNameLen
	for _, r := range s {
		ok = ok && (r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-')
	}
	k.unless(ok, path, s, "1 to 63 of a-z, 0-9 and -")
}

func (k *checker) between(path string, n, low, high int) {
	k.unless(n >= low && n <= high, path, fmt.Sprint(n), fmt.Sprintf("%d to %d", low, high))
}

func (k *checker) duration(path string, d, low, high time.Duration) {
	k.unless(d >= low && d <= high, path, d.String(), fmt.Sprintf("%v to %v", low, high))
}

func (k *checker) places() {
	seen := make(map[string]bool)
	for i, d := range k.cat.DataCentres {
		path := fmt.Sprintf("dataCentres[%d]", i)
		k.name(path+".name", d.Name)
		k.unless(!seen[d.Name], path+".name", d.Name, "each data centre once")
		seen[d.Name] = true
	}
	for i, l := range k.cat.Links {
		path := fmt.Sprintf("links[%d]", i)
		k.dataCentre(path+".a", l.A)
		k.dataCentre(path+".b", l.B)
		k.duration(path+".delayMs", l.Delay, 0, FarAway)
	}
}

func (k *checker) dataCentre(path, name string) {
	ok := slices.ContainsFunc(k.cat.DataCentres, func(d DataCentre) bool { return d.Name == name })
	k.unless(ok, path, name, "a data centre of this catalogue")
}

func (k *checker) contract(path string, c Contract) {
	k.unless(c.Class == ClassReads || c.Class == ClassWrites, path+".class", string(c.Class), "replicaReads or fastWrites")
	k.between(path+".connections", c.Connections, MinConnections, MaxConnections)
	k.between(path+".slots", c.Slots, 1, c.Connections)
	k.between(path+".queueLimit", c.QueueLimit, 0, 100000)
	k.duration(path+".statementTimeoutMs", c.StatementTimeout, time.Millisecond, MaxStatementTimeout)
	k.duration(path+".ackTimeoutMs", c.AckTimeout, time.Millisecond, MaxAckTimeout)
	k.duration(path+".readWaitMs", c.ReadWait, 0, MaxReadWait)
	k.unless(c.ChecksTerm || !c.FailoverWithoutTable, path+".failoverWithoutTable", "true",
		"true only where checksTerm is true, since otherwise only the table keeps two changes apart")
}

func (k *checker) groupsOf(path string, e Entry) {
	k.between(path+".groups", len(e.Groups), 1, MaxGroups)
	for i, g := range e.Groups {
		gp := fmt.Sprintf("%s.groups[%d]", path, i)
		k.name(gp+".name", g.Name)
		k.once(k.groups, gp+".name", g.Name)
		k.between(gp+".targets", len(g.Targets), MinTargets, MaxTargets)
		for j, t := range g.Targets {
			k.target(fmt.Sprintf("%s.targets[%d]", gp, j), t)
		}
	}
}

func (k *checker) target(path string, t Target) {
	k.name(path+".id", string(t.ID))
	if at, twice := k.targets[t.ID]; twice {
		k.unless(false, path+".id", string(t.ID), "an id that is not at "+at+" already")
	}
	k.targets[t.ID] = path + ".id"
	k.dataCentre(path+".dataCentre", t.DataCentre)
	ap, err := netip.ParseAddrPort(t.Address)
	k.unless(err == nil && ap.Port() != 0, path+".address", t.Address, "an IP address and port, as in 127.0.0.1:5432")
	k.once(k.addrs, path+".address", t.Address)
}

func (k *checker) once(seen map[string]string, path, value string) {
	if at, twice := seen[value]; twice {
		k.unless(false, path, value, "a value that is not at "+at+" already")
	}
	seen[value] = path
}
