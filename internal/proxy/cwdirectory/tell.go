package cwdirectory

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

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
			d.packs.pack(&n, d.Log)
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
	n.TargetsAway = d.away
	for i := range d.topics {
		s := &d.topics[i]
		rows, whole := s.history.Since(q.After[i])
		version, _ := s.history.Version()
		n.Topics[i] = cwport.TopicNews{Version: version, Whole: whole, Rows: rows, Age: now.Sub(s.confirmed)}
	}
	return n, true, d.renewed
}

// packs keeps the packed values of large rows, so that one that all ask for is
// packed once. Of each topic and key it keeps the newest.
type packs struct {
	mu   sync.Mutex
	rows map[rowName]cwport.Row
}

// pack replaces large values of an answer.
//
// The failure: a desired state of thousands of routes is megabytes, and the root
// of a data centre makes a message of it for each of sixteen followers at once.
// With 302 instances the busiest ones took 168 MB, more than they have.
func (p *packs) pack(n *cwport.News, l *log.Logger) {
	for _, t := range cwport.Topics {
		rows := n.Topics[t].Rows
		for i, r := range rows {
			if len(r.Value) < cwpack.Above {
				continue
			}
			packed, err := p.packed(rowName{t, r.Key}, r)
			if err != nil {
				l.Error("rowNotPacked", "topic", t, "key", r.Key, "cause", err)
				continue
			}
			rows[i] = packed
		}
	}
}

func (p *packs) packed(name rowName, r cwport.Row) (cwport.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if have, ok := p.rows[name]; ok && have.Version == r.Version {
		return have, nil
	}
	b, err := cwpack.Pack(r.Value)
	if err != nil {
		return r, err
	}
	r.Value, r.Packed = nil, b
	if p.rows == nil {
		p.rows = make(map[rowName]cwport.Row)
	}
	p.rows[name] = r
	return r, nil
}
