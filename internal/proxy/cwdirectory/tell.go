package cwdirectory

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwpack"
)

// maxHold bounds how long a question of another instance is held, whatever it
// asks for: it takes a goroutine here.
const maxHold = 10 * time.Second

// TellNews implements cwport.NewsTeller.
func (d *Directory) TellNews(ctx context.Context, q cwport.NewsQuestion) (cwport.News, error) {
	d.prepare()
	came := d.Clock.Now()
	end := d.Clock.After(min(q.Wait, maxHold))
	before, ok := d.confirmedDesired()
	if !ok {
		return cwport.News{}, &cwport.NoNewsError{}
	}
	for {
		n, news, renewed := d.newsFor(q, before)
		if news {
			n.Held = d.Clock.Since(came)
			inc(d.Counts.Told)
			for _, t := range n.Topics {
				for i, r := range t.Rows {
					t.Rows[i] = d.told(r)
				}
			}
			return n, nil
		}
		select {
		case <-renewed:
		case <-end:
			// Nothing to tell, and no confirmation: this instance lives, and its
			// ages say what its word is worth.
			before = time.Time{}
		case <-ctx.Done():
			return cwport.News{}, ctx.Err()
		}
	}
}

// confirmedDesired notes that somebody asks, and returns when the desired state
// was last confirmed; false if a topic was not read yet.
func (d *Directory) confirmedDesired() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.askedAt = d.Clock.Now()
	for i := range d.topics {
		if !d.topics[i].read {
			return time.Time{}, false
		}
	}
	return d.topics[cwport.Desired].confirmed, true
}

// newsFor returns what is to be told now; news is false if the asker knows it
// all and the desired state was not confirmed after the time given.
func (d *Directory) newsFor(q cwport.NewsQuestion, before time.Time) (n cwport.News, news bool, renewed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	news = d.topics[cwport.Desired].confirmed.After(before)
	for i := range d.topics {
		news = news || d.topics[i].history.HasSince(q.After[i])
	}
	if !news {
		return n, false, d.renewed
	}
	now := d.Clock.Now()
	n.TargetsAway, n.TargetsUnsettled = d.away, !d.settled(now)
	for i := range d.topics {
		s := &d.topics[i]
		rows, whole := s.history.Since(q.After[i])
		version, _ := s.history.Version()
		n.Topics[i] = cwport.TopicNews{Version: version, Whole: whole, Rows: rows, Age: now.Sub(s.confirmed)}
	}
	return n, true, d.renewed
}

// settled reports whether the list of targets can be the first one of an instance that
// starts: nothing that is missing in it counts here, and no entry that lapsed while the
// store was away has yet to come back. The caller holds mu.
func (d *Directory) settled(now time.Time) bool {
	return !d.away && len(d.vanished) == 0 && now.Sub(d.backAt) >= MinGoneAfter
}

// told returns a row as it is told: a large one packed.
func (d *Directory) told(r cwport.Row) cwport.Row {
	if len(r.Value) < cwpack.Above {
		return r
	}
	packed, err := cwpack.Pack(r.Value)
	if err != nil {
		d.Log.Error("rowNotPacked", "key", r.Key, "cause", err)
		return r
	}
	r.Value, r.Packed = nil, packed
	return r
}

// kept returns a row as it is kept for other instances: a large one packed, if it
// came so or others ask this instance.
//
// The failure: a desired state of thousands of routes is megabytes, every instance
// keeps it as text for those that may ask, and the root of a data centre makes a
// message of it for each of sixteen followers at once. With 302 instances the busiest
// ones took 168 MB, more than they have.
func (d *Directory) kept(r cwport.Row, asked bool) cwport.Row {
	if len(r.Value) < cwpack.Above {
		return r
	}
	if len(r.Packed) > 0 {
		r.Value = nil
		return r
	}
	if !asked {
		return r
	}
	return d.told(r)
}

// asked reports whether other instances have asked for news lately.
func (d *Directory) asked() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Clock.Since(d.askedAt) < maxHold
}
