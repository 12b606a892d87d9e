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
	Counted func() map[string][]cwport.Listing
	// Place returns this instance's place among the holders of a group; false if
	// it is none.
	Place func(service string) (int, bool)

	mu   sync.Mutex
	rows map[string]row
	// differs is since when a group's row and what is counted differ.
	differs map[string]time.Time
}

// row is a group's row as it was last read.
type row struct {
	members []cwport.Listing
	tag     string
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
		members, err := decode(service, w)
		if err != nil {
			// What was known stays, and the row is written anew.
			r.Log.Error("membersUnreadable", "key", w.Key, "cause", err)
			r.rows[service] = row{members: r.rows[service].members, tag: w.Tag(), unreadable: true}
			continue
		}
		r.rows[service] = row{members: members, tag: w.Tag()}
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
	return len(r.rows[service].members)
}

// Run keeps the rows of the groups that this instance holds until ctx ends.
func (r *Record) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-r.Clock.After(step):
		case <-ctx.Done():
			return nil
		}
		for service, members := range r.Counted() {
			if tag, due := r.due(service, members); due {
				r.write(ctx, service, members, tag)
			}
		}
	}
	return nil
}

// due reports whether this instance is to write a group's row now, and the tag
// of the row that it replaces.
func (r *Record) due(service string, members []cwport.Listing) (tag string, due bool) {
	place, held := r.Place(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	now, w := r.Clock.Now(), r.rows[service]
	equal := !w.unreadable && slices.EqualFunc(sorted(members), sorted(w.members), same)
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
	return w.tag, now.Sub(since) >= time.Duration(max(place, 0))*placeDelay
}

// write sets a group's row. Another instance may have been first, and an answer
// may be lost: either shows with the row, which comes back with the others.
func (r *Record) write(ctx context.Context, service string, members []cwport.Listing, tag string) {
	value, err := encode(members)
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
	r.Log.Info("membersWritten", "group", service, "members", len(members))
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
}

func encode(members []cwport.Listing) ([]byte, error) {
	var out []memberBody
	for _, l := range sorted(members) {
		out = append(out, memberBody{ID: string(l.ID), Address: l.Address, DataCentre: l.DataCentre, Slots: l.Slots})
	}
	return json.Marshal(out)
}

// decode reads a group's row. A member counts as a replica that stays: whether it
// leads or leaves is learnt from itself.
func decode(service string, w cwport.Row) ([]cwport.Listing, error) {
	if w.Removed {
		return nil, nil
	}
	var bodies []memberBody
	if err := json.Unmarshal(w.Value, &bodies); err != nil {
		return nil, err
	}
	var out []cwport.Listing
	for _, b := range bodies {
		out = append(out, cwport.Listing{
			ID: cwgroup.MemberID(b.ID), Service: service, Address: b.Address, DataCentre: b.DataCentre, Slots: b.Slots,
			Role: cwport.LeadershipReplica,
		})
	}
	return out, nil
}
