package cwcatalogue

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Limits of the values in a catalogue. MaxNameLen is in bytes, MinTargets and
// MaxTargets are per group, MaxGroups is per entry.
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

// InvalidField is one invalid field of a catalogue.
type InvalidField struct {
	// Path locates the field, as in entries[0].groups[1].targets[2].address.
	Path string
	// Value is the invalid value.
	Value string
	// Allowed describes the valid values.
	Allowed string
}

// String formats the invalid field as a message for an operator.
func (f InvalidField) String() string {
	return fmt.Sprintf("%s: %q is not allowed; %s", f.Path, f.Value, f.Allowed)
}

// checker collects the invalid fields of a catalogue. The maps lead from a value
// that must be unique to the path of the field that has it.
type checker struct {
	catalogue    Catalogue
	invalid      []InvalidField
	targetPaths  map[cwgroup.MemberID]string
	addressPaths map[string]string
	groupPaths   map[string]string
}

// Validate returns every invalid field of the catalogue: first data centres and
// links, then entries, then planned stops, each in their order. The result is
// empty if the catalogue is valid. The entries in EntryTable are not
// checked.
func Validate(c Catalogue) []InvalidField {
	k := &checker{
		catalogue:    c,
		targetPaths:  make(map[cwgroup.MemberID]string),
		addressPaths: make(map[string]string),
		groupPaths:   make(map[string]string),
	}
	k.checkTopology()
	services := make(map[string]bool)
	for i, e := range c.Entries {
		path := fmt.Sprintf("entries[%d]", i)
		k.checkName(path+".service", e.Service)
		k.require(!services[e.Service], path+".service", e.Service, "each service has one entry")
		services[e.Service] = true
		k.require(e.Owner != "", path+".owner", e.Owner, "the name of the team or person responsible for this service")
		k.checkContract(path+".contract", e.Contract)
		k.checkGroups(path, e)
	}
	for i, s := range c.PlannedStops {
		path := fmt.Sprintf("stops[%d].target", i)
		k.require(c.HasTarget(s.Target), path, string(s.Target), "the id of a target of some entry")
	}
	return k.invalid
}

// require records an invalid field if ok is false.
func (k *checker) require(ok bool, path, value, allowed string) {
	if !ok {
		k.invalid = append(k.invalid, InvalidField{Path: path, Value: value, Allowed: allowed})
	}
}

// checkName records an invalid field if s is not a valid name.
func (k *checker) checkName(path, s string) {
	ok := s != "" && len(s) <= MaxNameLen
	for _, r := range s {
		ok = ok && (r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-')
	}
	k.require(ok, path, s, "1 to 63 characters of a-z, 0-9 and -")
}

func (k *checker) checkRange(path string, n, low, high int) {
	k.require(n >= low && n <= high, path, fmt.Sprint(n), fmt.Sprintf("%d to %d", low, high))
}

func (k *checker) checkDuration(path string, d, low, high time.Duration) {
	k.require(d >= low && d <= high, path, d.String(), fmt.Sprintf("%v to %v", low, high))
}

// checkTopology checks data centres and links.
func (k *checker) checkTopology() {
	seen := make(map[string]bool)
	for i, d := range k.catalogue.DataCentres {
		path := fmt.Sprintf("dataCentres[%d]", i)
		k.checkName(path+".name", d.Name)
		k.require(!seen[d.Name], path+".name", d.Name, "each data centre is listed once")
		seen[d.Name] = true
	}
	for i, l := range k.catalogue.Links {
		path := fmt.Sprintf("links[%d]", i)
		k.checkDataCentre(path+".a", l.A)
		k.checkDataCentre(path+".b", l.B)
		k.checkDuration(path+".delayMs", l.Delay, 0, MaxLinkDelay)
	}
}

// checkDataCentre records an invalid field if the catalogue has no data centre
// with the name.
func (k *checker) checkDataCentre(path, name string) {
	ok := slices.ContainsFunc(k.catalogue.DataCentres, func(d DataCentre) bool { return d.Name == name })
	k.require(ok, path, name, "a data centre of this catalogue")
}

func (k *checker) checkContract(path string, c Contract) {
	k.require(c.Class == ClassReplicaReads || c.Class == ClassFastWrites, path+".class", string(c.Class), "replicaReads or fastWrites")
	k.checkRange(path+".connections", c.Connections, MinConnections, MaxConnections)
	k.checkRange(path+".slots", c.Slots, 1, c.Connections)
	k.checkRange(path+".queueLimit", c.QueueLimit, 0, 100000)
	k.checkDuration(path+".statementTimeoutMs", c.StatementTimeout, time.Millisecond, MaxStatementTimeout)
	k.checkDuration(path+".ackTimeoutMs", c.AckTimeout, time.Millisecond, MaxAckTimeout)
	k.checkDuration(path+".readWaitMs", c.ReadWait, 0, MaxReadWait)
	k.require(c.ChecksTerm || !c.FailoverWithoutTable, path+".failoverWithoutTable", "true",
		"true only if checksTerm is true, since otherwise only the table prevents two failovers at once")
}

func (k *checker) checkGroups(path string, e Entry) {
	k.checkRange(path+".groups", len(e.Groups), 1, MaxGroups)
	for i, g := range e.Groups {
		gp := fmt.Sprintf("%s.groups[%d]", path, i)
		k.checkName(gp+".name", g.Name)
		k.checkUnique(k.groupPaths, gp+".name", g.Name)
		k.checkRange(gp+".targets", len(g.Targets), MinTargets, MaxTargets)
		for j, t := range g.Targets {
			k.checkTarget(fmt.Sprintf("%s.targets[%d]", gp, j), t)
		}
	}
}

func (k *checker) checkTarget(path string, t Target) {
	k.checkName(path+".id", string(t.ID))
	if at, twice := k.targetPaths[t.ID]; twice {
		k.require(false, path+".id", string(t.ID), "an id that is not used at "+at+" already")
	}
	k.targetPaths[t.ID] = path + ".id"
	k.checkDataCentre(path+".dataCentre", t.DataCentre)
	ap, err := netip.ParseAddrPort(t.Address)
	k.require(err == nil && ap.Port() != 0, path+".address", t.Address, "an IP address and port, as in 127.0.0.1:5432")
	k.checkUnique(k.addressPaths, path+".address", t.Address)
}

// checkUnique records an invalid field if an earlier field has the same value.
func (k *checker) checkUnique(seen map[string]string, path, value string) {
	if at, twice := seen[value]; twice {
		k.require(false, path, value, "a value that is not used at "+at+" already")
	}
	seen[value] = path
}
