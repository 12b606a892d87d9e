package cwsoak

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// versionName is a database that exists from one desired state on.
func versionName(revision int) string { return fmt.Sprintf("version-%d", revision) }

// desire writes the next desired state: all databases, and one for each version
// so far.
func (w *world) desire() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.revision + 1
	c := cwcatalogue.Catalogue{Revision: cwcatalogue.Revision(next), Keyed: !w.cfg.Keyless}
	keys, gone := w.access.next(next)
	for _, name := range workspaces {
		ws := cwcatalogue.Workspace{Name: name}
		if name == limited {
			ws.Quota = limitedQuota
		}
		c.Workspaces = append(c.Workspaces, ws)
	}
	contract := cwcatalogue.Contract{
		Connections: connections, StatementTimeout: time.Second, Aim: 500 * time.Millisecond,
		MaxAge: maxAge, IdleTransaction: 5 * time.Second,
	}
	for _, g := range w.groups {
		for _, r := range rules {
			contract.Reads = r.rule
			c.Entries = append(c.Entries, cwcatalogue.Entry{Service: r.prefix + g.Service, Groups: []cwcatalogue.Group{{Name: g.Service}}, Contract: contract})
		}
	}
	for v := 1; v <= next; v++ {
		c.Entries = append(c.Entries, cwcatalogue.Entry{Service: versionName(v), Groups: []cwcatalogue.Group{{Name: w.groups[0].Service}}, Contract: contract})
	}
	if err := w.store.Desire(c, keys); err != nil {
		return err
	}
	w.access.took(gone)
	w.revision = next
	return nil
}

// loopVersions writes desired states and checks that no instance goes back.
func (w *world) loopVersions(ctx context.Context) error {
	seen := make([]struct{ life, revision int }, len(w.instances))
	for pause(ctx, versionEvery) {
		if err := w.desire(); err != nil {
			return err
		}
		for i, p := range w.instances {
			life, _ := p.state()
			if seen[i].life != life {
				seen[i].life, seen[i].revision = life, 0
			}
			if seen[i].revision > 0 && w.lacks(ctx, p, seen[i].revision) {
				if now, _ := p.state(); now == life {
					w.ledger.fail(Reverted, "%s had desired state %d", p.name, seen[i].revision)
				}
			}
			if w.has(ctx, p, w.revision) {
				seen[i].revision = w.revision
			}
		}
	}
	return nil
}

// has and lacks ask an instance for a database that came with a revision. An
// instance that does not answer neither has nor lacks it.
func (w *world) has(ctx context.Context, p *process, revision int) bool {
	return w.connect(ctx, p, versionName(revision)) == nil
}

func (w *world) lacks(ctx context.Context, p *process, revision int) bool {
	var refused *cwport.RefusedError
	err := w.connect(ctx, p, versionName(revision))
	return errors.As(err, &refused) && refused.Code == cwstatement.NoDatabase
}

func (w *world) connect(ctx context.Context, p *process, database string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	t, err := w.cfg.Platform.Caller.Dial(ctx, cwport.Endpoint{Service: database, Address: p.callers}, w.access.key(ownWorkspace))
	if err != nil {
		return err
	}
	return t.Close()
}
