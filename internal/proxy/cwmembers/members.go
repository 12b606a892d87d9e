// Package cwmembers records in the platform's table which targets are the members of
// each group.
//
// The platform's list of targets can't serve as that record: an entry lapses when its
// target, or the store, is unavailable for some seconds. A running instance still
// counts such a target, but one that starts in the meantime has never seen it and would
// take two of three members for the whole group. The holders of a group therefore keep
// one row with the members that they count, and rewrite it when those change.
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

// KeyPrefix is the prefix of the rows' keys in the table; the service's name follows
// it.
const KeyPrefix = "members/"

// Timeouts and intervals of writing.
const (
	// compareInterval is how often the rows are compared with the members that are
	// counted.
	compareInterval = time.Second
	// rankDelay is how much longer each holder of a group waits before it writes a
	// difference than the holder of the rank before it: a few intervals, so that the
	// earlier holder's row has time to arrive.
	rankDelay = 3 * time.Second
	// missingRowDelay is used instead of rankDelay if the row is missing, since an
	// instance that starts without the row doesn't know the members.
	missingRowDelay = compareInterval / 2
	// firstRowSpacing is the mean time between the first rows of two groups, over all
	// instances. It corresponds to a third of the rate of writes that one partition of
	// the table accepts.
	firstRowSpacing = 10 * time.Millisecond
	// writeTimeout bounds one write.
	writeTimeout = 2 * time.Second
)

// Recorder keeps the rows of the groups up to date. Set the exported fields before
// calling Run. Its methods are safe for concurrent use.
type Recorder struct {
	Table cwplatform.Table
	Clock clockwork.Clock
	Log   *log.Logger
	// Counted returns the members of each group, by service; nil while the store
	// doesn't report which targets exist.
	Counted func() map[string]CountedMembers
	// HolderRank returns this instance's rank among the holders of a group, and false if
	// it doesn't hold the group. A negative rank counts as the first, 0.
	HolderRank func(service string) (int, bool)
	// GroupCount returns the number of groups, held or not. The Recorder calls
	// GroupCount, Counted and HolderRank without holding its lock, because their
	// implementations may call methods of the Recorder.
	GroupCount func() int

	mu   sync.Mutex
	rows map[string]groupRow
	// hadRow holds the groups that have had a row at some time.
	hadRow map[string]bool
	// differsSince holds, by service, the time since which the row has differed from the
	// members that are counted.
	differsSince map[string]time.Time
}

// CountedMembers is the members of a group as an instance counts them.
type CountedMembers struct {
	Members []cwport.ListedTarget
	// StableSize is the number of members without those that are about to be exchanged.
	StableSize int
}

// groupRow is a group's row as last read.
type groupRow struct {
	members []cwport.ListedTarget
	// stableSize is the number of members without those that are about to be
	// exchanged.
	stableSize int
	etag       string
	// unreadable is true if the row's current value couldn't be decoded, so that
	// members are from an earlier value.
	unreadable bool
}

// ObserveRows records rows of the table that belong to this product. whole is true if
// these are all of them.
func (r *Recorder) ObserveRows(rows []cwport.Row, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == nil || whole {
		r.rows = make(map[string]groupRow)
	}
	for _, w := range rows {
		service, ok := strings.CutPrefix(w.Key, KeyPrefix)
		if !ok {
			continue
		}
		members, stableSize, err := decode(service, w)
		if err != nil {
			// Keep the known members; Run rewrites the row.
			r.Log.Error("membersUnreadable", "key", w.Key, "cause", err)
			r.rows[service] = groupRow{members: r.rows[service].members, stableSize: r.rows[service].stableSize, etag: w.ETag(), unreadable: true}
			continue
		}
		r.rows[service] = groupRow{members: members, stableSize: stableSize, etag: w.ETag()}
		if r.hadRow == nil {
			r.hadRow = make(map[string]bool)
		}
		r.hadRow[service] = true
	}
}

// RecordedMembers returns the members of all groups according to their rows.
func (r *Recorder) RecordedMembers() []cwport.ListedTarget {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []cwport.ListedTarget
	for _, w := range r.rows {
		out = append(out, w.members...)
	}
	return out
}

// RecordedSize returns the number of members of a service's group according to its row,
// without those that are about to be exchanged; zero if there is no row.
func (r *Recorder) RecordedSize(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[service].stableSize
}

// Run keeps the rows of the groups that this instance holds up to date until ctx ends.
// It always returns nil.
func (r *Recorder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-r.Clock.After(compareInterval):
		case <-ctx.Done():
			return nil
		}
		counted := r.Counted()
		for service, c := range counted {
			if tag, due := r.writeDue(service, c); due {
				r.writeRow(ctx, service, c, tag)
			}
		}
		if counted != nil {
			r.dropUncounted(counted)
		}
	}
	return nil
}

// dropUncounted removes the differences of groups that are no longer counted here.
func (r *Recorder) dropUncounted(counted map[string]CountedMembers) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.differsSince, func(service string, _ time.Time) bool {
		_, ok := counted[service]
		return !ok
	})
}

// writeDue reports whether this instance is to write a group's row now, and returns the
// tag of the row to be replaced.
//
// If a restore of the table loses the row, an instance that has just started may
// rewrite it with only the members that it finds. Other starting instances then count
// too few members until a holder that knows more gets its turn. A holder that counts
// more members than the row therefore doesn't wait for its rank.
func (r *Recorder) writeDue(service string, c CountedMembers) (tag string, due bool) {
	rank, held := r.HolderRank(service)
	groups := r.GroupCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	now, w := r.Clock.Now(), r.rows[service]
	equal := !w.unreadable && c.StableSize == w.stableSize && slices.EqualFunc(sortedByID(c.Members), sortedByID(w.members), sameRecorded)
	if !held || r.rows == nil || equal {
		delete(r.differsSince, service)
		return "", false
	}
	if r.differsSince == nil {
		r.differsSince = make(map[string]time.Time)
	}
	since, known := r.differsSince[service]
	if !known {
		since = now
		r.differsSince[service] = now
	}
	wait := time.Duration(max(rank, 0)) * rewriteRankDelay(c, w)
	if w.etag == "" && !r.hadRow[service] {
		wait = firstRowDelay(service, groups) + time.Duration(max(rank, 0))*firstRowRankDelay(groups)
	}
	return w.etag, now.Sub(since) >= wait
}

// firstRowRankDelay returns how much longer each holder waits with the first row of a
// group than the holder of the rank before it. With many groups the earlier holder's
// row takes longer to arrive, and the write of a holder that doesn't wait for it is
// refused as a conflict.
func firstRowRankDelay(groups int) time.Duration {
	return min(rankDelay, missingRowDelay+time.Duration(groups)*firstRowSpacing)
}

// firstRowDelay returns how long the first holder waits with the first row of a group.
// It spreads the groups evenly over the time that their rows take at firstRowSpacing.
//
// When all instances start at once with a thousand groups, the table accepts some
// hundred rows a second; the other writes are refused, repeated by all instances after
// the same pause, and refused again. A row that was lost is not delayed in this way.
func firstRowDelay(service string, groups int) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	share := float64(h.Sum32()) / (1 << 32)
	return time.Duration(share * float64(groups) * float64(firstRowSpacing))
}

// rewriteRankDelay returns how much longer each holder waits before it rewrites a row
// than the holder of the rank before it.
func rewriteRankDelay(c CountedMembers, w groupRow) time.Duration {
	switch {
	case w.etag == "":
		return missingRowDelay
	case c.StableSize > w.stableSize:
		return 0
	}
	return rankDelay
}

// writeRow writes a group's row. If another instance was first, or if the answer is
// lost, the actual row arrives with the next rows passed to ObserveRows.
func (r *Recorder) writeRow(ctx context.Context, service string, c CountedMembers, tag string) {
	value, err := encode(c)
	if err != nil {
		r.Log.Error("membersNotWritten", "group", service, "cause", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := KeyPrefix + service
	err = r.Table.Commit(ctx, cwplatform.Change{
		Expect: []cwplatform.Condition{{Key: key, ETag: tag}},
		Put:    []cwplatform.RowWrite{{Key: key, Value: value}},
	})
	if errors.As(err, new(*cwplatform.ConflictError)) {
		return
	}
	if err != nil {
		r.Log.Warn("membersNotWritten", "group", service, "cause", err)
		return
	}
	r.Log.Info("membersWritten", "group", service, "members", len(c.Members), "of", c.StableSize)
}

func sortedByID(members []cwport.ListedTarget) []cwport.ListedTarget {
	return slices.SortedFunc(slices.Values(members), func(a, b cwport.ListedTarget) int { return cmp.Compare(a.ID, b.ID) })
}

// sameRecorded reports whether two entries agree in the properties whose change
// requires a new row.
func sameRecorded(a, b cwport.ListedTarget) bool { return a.ID == b.ID && a.Address == b.Address }

// memberJSON is one member in the value of a row, which is a JSON array.
type memberJSON struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Slots      int    `json:"slots"`
	// StableSize is the same for all members of a row. It is missing in rows written
	// by instances that don't know the field.
	StableSize int `json:"of"`
}

// encode returns the value of a group's row, with the members in the order of their ids.
func encode(c CountedMembers) ([]byte, error) {
	var out []memberJSON
	for _, l := range sortedByID(c.Members) {
		out = append(out, memberJSON{ID: string(l.ID), Address: l.Address, DataCentre: l.DataCentre, Slots: l.Slots, StableSize: c.StableSize})
	}
	return json.Marshal(out)
}

// decode reads a group's row. Each member is listed as a replica that stays; whether it
// leads or leaves is learnt from the member itself.
func decode(service string, w cwport.Row) (members []cwport.ListedTarget, stableSize int, err error) {
	if w.Removed {
		return nil, 0, nil
	}
	var bodies []memberJSON
	if err := json.Unmarshal(w.Value, &bodies); err != nil {
		return nil, 0, err
	}
	for _, b := range bodies {
		stableSize = b.StableSize
		members = append(members, cwport.ListedTarget{
			ID: cwgroup.MemberID(b.ID), Service: service, Address: b.Address, DataCentre: b.DataCentre, Slots: b.Slots,
			Role: cwport.RoleReplica,
		})
	}
	if stableSize == 0 {
		stableSize = len(members)
	}
	return members, stableSize, nil
}
