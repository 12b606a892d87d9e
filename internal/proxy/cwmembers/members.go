// Package cwmembers remembers in the platform's table which targets a group has.
//
// The platform's list of targets is no record of that: an entry lapses when its
// target, or the store, is away for some seconds. An instance that was there
// goes on counting such a target. One that starts meanwhile has never seen it,
// and would take two of three members for all of them. So the holders of a group
// keep one row with the members that they count, and write it when that changes.
package cwmembers

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// KeyPrefix is where the rows are in the table; a service's name follows.
const KeyPrefix = "members/"

// Times of writing.
const (
	// step is how often the rows are compared with what is counted.
	step = time.Second
	// placeDelay is how much longer than the one before it each holder of a group
	// waits with a difference: some steps, so that the first one's row arrives.
	placeDelay = 3 * time.Second
	// lostDelay is the same where there is no row: an instance that starts finds none.
	lostDelay = step / 2
	// spacing is the time between the first rows of two groups, over all instances: a
	// third of what one part of the table takes.
	spacing = 10 * time.Millisecond
	// writeTimeout bounds one write.
	writeTimeout = 2 * time.Second
)

// Record keeps the rows of the groups. Set the fields before Run.
type Record struct {
	Table cwplatform.Table
	Clock clockwork.Clock
	Log   *log.Logger
	// Counted returns the members of each group, by service; nil if the store does not
	// tell at present which targets there are.
	Counted func() map[string]Count
	// Place returns this instance's place among the holders of a group; false if
	// it is none.
	Place func(service string) (int, bool)
	// Groups returns how many groups there are, held or not. Like Counted and Place it is
	// called without the record's lock: who answers may ask the record meanwhile.
	Groups func() int

	mu   sync.Mutex
	rows map[string]row
	// seen are the groups that had a row at some time.
	seen map[string]bool
	// differs is since when a group's row and what is counted differ.
	differs map[string]time.Time
}

// Count is the members of a group, and how many there are without those that it is about
// to exchange.
type Count struct {
	Members []cwport.Listing
	Of      int
}

// row is a group's row as it was last read.
type row struct {
	members []cwport.Listing
	// of is how many members the group has without those that it is about to exchange.
	of  int
	tag string
	// unreadable is true if members are those of an earlier state of the row.
	unreadable bool
}

// Rows takes rows of the product's own; whole is true if these are all.
func (r *Record) Rows(rows []cwport.Row, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == nil || whole {
		r.rows = make(map[string]row)
	}
	for _, w := range rows {
		service, ok := strings.CutPrefix(w.Key, KeyPrefix)
		if !ok {
			continue
		}
		members, of, err := decode(service, w)
		if err != nil {
			// What was known stays, and the row is written anew.
			r.Log.Error("membersUnreadable", "key", w.Key, "cause", err)
			r.rows[service] = row{members: r.rows[service].members, of: r.rows[service].of, tag: w.Tag(), unreadable: true}
			continue
		}
		r.rows[service] = row{members: members, of: of, tag: w.Tag()}
		if r.seen == nil {
			r.seen = make(map[string]bool)
		}
		r.seen[service] = true
	}
}

// Remembered returns the members of all groups by their rows.
func (r *Record) Remembered() []cwport.Listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []cwport.Listing
	for _, w := range r.rows {
		out = append(out, w.members...)
	}
	return out
}

// Recorded returns how many members a service's group has by its row; zero if there is
// none.
func (r *Record) Recorded(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[service].of
}

// Run keeps the rows of the groups that this instance holds until ctx ends.
func (r *Record) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-r.Clock.After(step):
		case <-ctx.Done():
			return nil
		}
		counted := r.Counted()
		for service, c := range counted {
			if tag, due := r.due(service, c); due {
				r.write(ctx, service, c, tag)
			}
		}
		if counted != nil {
			r.forget(counted)
		}
	}
	return nil
}

// forget forgets differences of groups that are not counted here any more.
func (r *Record) forget(counted map[string]Count) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.differs, func(service string, _ time.Time) bool {
		_, ok := counted[service]
		return !ok
	})
}

// due reports whether this instance is to write a group's row now, and the tag
// of the row that it replaces.
//
// The failure: the row was lost with a restore of the table, and an instance that has
// just started writes it with the members that it finds. Others that start count too
// few, until the turn of one comes that knows better. That one does not wait for it.
func (r *Record) due(service string, c Count) (tag string, due bool) {
	place, held := r.Place(service)
	groups := r.Groups()
	r.mu.Lock()
	defer r.mu.Unlock()
	now, w := r.Clock.Now(), r.rows[service]
	equal := !w.unreadable && c.Of == w.of && slices.EqualFunc(sorted(c.Members), sorted(w.members), same)
	if !held || r.rows == nil || equal {
		delete(r.differs, service)
		return "", false
	}
	if r.differs == nil {
		r.differs = make(map[string]time.Time)
	}
	since, known := r.differs[service]
	if !known {
		since = now
		r.differs[service] = now
	}
	wait := time.Duration(max(place, 0)) * delayOf(c, w)
	if w.tag == "" && !r.seen[service] {
		wait = turn(service, groups) + time.Duration(max(place, 0))*firstDelay(groups)
	}
	return w.tag, now.Sub(since) >= wait
}

// firstDelay returns how much longer each holder waits than the one before it with the
// first row of a group. Among many groups the row of the one before takes its time to
// arrive, and who does not wait for it writes in vain.
func firstDelay(groups int) time.Duration {
	return min(placeDelay, lostDelay+time.Duration(groups)*spacing)
}

// turn returns how long the first row of a group waits for those of others.
//
// The load it answers: all instances start at once before a thousand groups. The table
// takes some hundred rows a second; what is beyond is refused, tried again by all after
// the same pause, and refused once more. A row that was lost is written at once.
func turn(service string, groups int) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	share := float64(h.Sum32()) / (1 << 32)
	return time.Duration(share * float64(groups) * float64(spacing))
}

// delayOf returns how much longer each holder waits than the one before it.
func delayOf(c Count, w row) time.Duration {
	switch {
	case w.tag == "":
		return lostDelay
	case c.Of > w.of:
		return 0
	}
	return placeDelay
}

// write sets a group's row. Another instance may have been first, and an answer
// may be lost: either shows with the row, which comes back with the others.
func (r *Record) write(ctx context.Context, service string, c Count, tag string) {
	value, err := encode(c)
	if err != nil {
		r.Log.Error("membersNotWritten", "group", service, "cause", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := KeyPrefix + service
	err = r.Table.Commit(ctx, cwplatform.Change{
		Expect: []cwplatform.Expect{{Key: key, ETag: tag}},
		Put:    []cwplatform.Put{{Key: key, Value: value}},
	})
	if errors.As(err, new(*cwplatform.ConflictError)) {
		return
	}
	if err != nil {
		r.Log.Warn("membersNotWritten", "group", service, "cause", err)
		return
	}
	r.Log.Info("membersWritten", "group", service, "members", len(c.Members), "of", c.Of)
}

func sorted(members []cwport.Listing) []cwport.Listing {
	return slices.SortedFunc(slices.Values(members), func(a, b cwport.Listing) int { return cmp.Compare(a.ID, b.ID) })
}

// same reports whether a row need not be written for a member: what else its
// entry tells is not remembered.
func same(a, b cwport.Listing) bool { return a.ID == b.ID && a.Address == b.Address }

type memberBody struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Slots      int    `json:"slots"`
	// Of is the same for all members of a row; it is missing in rows of instances that
	// did not write it.
	Of int `json:"of"`
}

func encode(c Count) ([]byte, error) {
	var out []memberBody
	for _, l := range sorted(c.Members) {
		out = append(out, memberBody{ID: string(l.ID), Address: l.Address, DataCentre: l.DataCentre, Slots: l.Slots, Of: c.Of})
	}
	return json.Marshal(out)
}

// decode reads a group's row. A member counts as a replica that stays: whether it
// leads or leaves is learnt from itself.
func decode(service string, w cwport.Row) (members []cwport.Listing, of int, err error) {
	if w.Removed {
		return nil, 0, nil
	}
	var bodies []memberBody
	if err := json.Unmarshal(w.Value, &bodies); err != nil {
		return nil, 0, err
	}
	for _, b := range bodies {
		of = b.Of
		members = append(members, cwport.Listing{
			ID: cwgroup.MemberID(b.ID), Service: service, Address: b.Address, DataCentre: b.DataCentre, Slots: b.Slots,
			Role: cwport.LeadershipReplica,
		})
	}
	if of == 0 {
		of = len(members)
	}
	return members, of, nil
}
