package cwdirectory

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwcompress"
)

// maxResponseWait bounds how long a request of another instance is held, whatever wait
// it asks for, because each occupies a goroutine.
const maxResponseWait = 10 * time.Second

// ServeChanges implements cwport.ChangesServer. It answers as soon as there are changes after
// the versions in q or the desired state is confirmed anew, and otherwise when q.Wait, at
// most maxResponseWait, has passed. The error is a *cwport.NotLoadedError while a topic has
// no snapshot, or that of ctx.
func (d *Directory) ServeChanges(ctx context.Context, q cwport.ChangesRequest) (cwport.ChangesResponse, error) {
	d.initState()
	received := d.Clock.Now()
	end := d.Clock.After(min(q.Wait, maxResponseWait))
	lastConfirmed, ok := d.recordRequest()
	if !ok {
		return cwport.ChangesResponse{}, &cwport.NotLoadedError{}
	}
	for {
		n, ready, changesAvailable := d.responseSince(q, lastConfirmed)
		if ready {
			n.Held = d.Clock.Since(received)
			inc(d.Counts.FeedAnswersSent)
			for _, t := range n.Topics {
				for i, r := range t.Rows {
					t.Rows[i] = d.packedRow(r)
				}
			}
			return n, nil
		}
		select {
		case <-changesAvailable:
		case <-end:
			// Answer without changes or a new confirmation, so that the other instance
			// learns that this one is alive. The ages in the answer say how old its data is.
			lastConfirmed = time.Time{}
		case <-ctx.Done():
			return cwport.ChangesResponse{}, ctx.Err()
		}
	}
}

// recordRequest records that another instance requests changes, and returns when the
// desired state was last confirmed; false if a topic has no snapshot yet.
func (d *Directory) recordRequest() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRequestAt = d.Clock.Now()
	for i := range d.topics {
		if !d.topics[i].loaded {
			return time.Time{}, false
		}
	}
	return d.topics[cwport.TopicDesired].confirmed, true
}

// responseSince returns the answer to a request. ready is false if there are no changes
// for it and the desired state was not confirmed after lastConfirmed. changesAvailable is
// closed when to check again.
func (d *Directory) responseSince(q cwport.ChangesRequest, lastConfirmed time.Time) (n cwport.ChangesResponse, ready bool, changesAvailable <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ready = d.topics[cwport.TopicDesired].confirmed.After(lastConfirmed)
	for i := range d.topics {
		ready = ready || d.topics[i].changeLog.HasChangesSince(q.After[i])
	}
	if !ready {
		return n, false, d.changesAvailable
	}
	now := d.Clock.Now()
	n.TargetsUnavailable, n.TargetsIncomplete = d.unavailable, !d.listComplete(now)
	for i := range d.topics {
		s := &d.topics[i]
		rows, whole := s.changeLog.ChangesSince(q.After[i])
		version, _ := s.changeLog.Version()
		n.Topics[i] = cwport.TopicChanges{Version: version, Complete: whole, Rows: rows, Age: now.Sub(s.confirmed)}
	}
	return n, true, d.changesAvailable
}

// listComplete reports whether the list of targets can serve as the first list of a
// starting instance: this instance uses no target that the list lacks, and entries that
// lapsed while the store was unavailable have had the time to be written again. The
// caller holds mu.
func (d *Directory) listComplete(now time.Time) bool {
	return !d.unavailable && len(d.missingSince) == 0 && now.Sub(d.availableSince) >= MinRemovalDelay
}

// packedRow returns a row as it is sent to other instances: compressed if it is large.
func (d *Directory) packedRow(r cwport.Row) cwport.Row {
	if len(r.Value) < cwcompress.MinSize {
		return r
	}
	packed, err := cwcompress.Compress(r.Value)
	if err != nil {
		d.Log.Error("rowNotPacked", "key", r.Key, "cause", err)
		return r
	}
	r.Value, r.Packed = nil, packed
	return r
}

// rowForChangeLog returns a row as it is kept for other instances: a large one is
// compressed if it was received compressed, or if compress is true, as it is while other
// instances send requests.
//
// A desired state with thousands of routes takes megabytes. If every instance kept it as
// text, and the root of a data centre encoded a message for each of sixteen followers at
// once, the busiest of 302 instances would take 168 MB, more than they have.
func (d *Directory) rowForChangeLog(r cwport.Row, compress bool) cwport.Row {
	if len(r.Value) < cwcompress.MinSize {
		return r
	}
	if len(r.Packed) > 0 {
		r.Value = nil
		return r
	}
	if !compress {
		return r
	}
	return d.packedRow(r)
}

// requestedRecently reports whether another instance has requested changes within
// maxResponseWait.
func (d *Directory) requestedRecently() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Clock.Since(d.lastRequestAt) < maxResponseWait
}
