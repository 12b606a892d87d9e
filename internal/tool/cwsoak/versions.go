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

// revisionDatabase returns the name of a database that exists from a desired state on.
func revisionDatabase(revision int) string { return fmt.Sprintf("version-%d", revision) }

// writeDesiredState writes the next desired state. It has the databases of all groups, and
// one database for each revision so far, which shows the revisions that an instance has.
func (env *environment) writeDesiredState() error {
	env.mu.Lock()
	defer env.mu.Unlock()
	next := env.revision + 1
	c := cwcatalogue.Catalogue{Revision: cwcatalogue.Revision(next), KeyRequired: !env.cfg.Keyless}
	keys, revoked := env.access.nextKeys(next)
	for _, name := range workspaces {
		ws := cwcatalogue.Workspace{Name: name}
		if name == limitedWorkspace {
			ws.Quota = limitedQuota
		}
		c.Workspaces = append(c.Workspaces, ws)
	}
	contract := cwcatalogue.Contract{
		Connections: connectionsPerTarget, StatementTimeout: time.Second, Aim: 500 * time.Millisecond,
		MaxAge: maxAge, IdleTransaction: 5 * time.Second,
	}
	if env.cfg.Stops {
		contract.StatementTimeout = stopsStatementTimeout
	}
	for _, g := range env.groups {
		for _, r := range readRules {
			contract.Reads = r.rule
			c.Entries = append(c.Entries, cwcatalogue.Entry{Service: r.prefix + g.Service, Groups: []cwcatalogue.Group{{Name: g.Service}}, Contract: contract})
		}
	}
	for v := 1; v <= next; v++ {
		c.Entries = append(c.Entries, cwcatalogue.Entry{Service: revisionDatabase(v), Groups: []cwcatalogue.Group{{Name: env.groups[0].Service}}, Contract: contract})
	}
	if err := env.store.SetDesiredState(c, keys); err != nil {
		return err
	}
	env.access.recordRevoked(revoked)
	env.revision = next
	return nil
}

// runDesiredStates writes desired states at regular intervals and checks that no instance
// returns to an older one, except by a restart.
func (env *environment) runDesiredStates(ctx context.Context) error {
	seen := make([]struct{ startCount, revision int }, len(env.instances))
	for sleep(ctx, desiredStateInterval) {
		if err := env.writeDesiredState(); err != nil {
			return err
		}
		for i, p := range env.instances {
			startCount, _ := p.state()
			if seen[i].startCount != startCount {
				seen[i].startCount, seen[i].revision = startCount, 0
			}
			if seen[i].revision > 0 && env.lacksRevision(ctx, p, seen[i].revision) {
				if now, _ := p.state(); now == startCount {
					env.ledger.addViolation(DesiredStateReverted, "%s no longer has desired state %d", p.name, seen[i].revision)
				}
			}
			if env.hasRevision(ctx, p, env.revision) {
				seen[i].revision = env.revision
			}
		}
	}
	return nil
}

// hasRevision reports whether an instance serves the database of a revision. It is false
// if the instance does not answer.
func (env *environment) hasRevision(ctx context.Context, p *process, revision int) bool {
	return env.connect(ctx, p, revisionDatabase(revision)) == nil
}

// lacksRevision reports whether an instance answers that the database of a revision does
// not exist. It is false if the instance does not answer.
func (env *environment) lacksRevision(ctx context.Context, p *process, revision int) bool {
	var refused *cwport.RefusedError
	err := env.connect(ctx, p, revisionDatabase(revision))
	return errors.As(err, &refused) && refused.Code == cwstatement.NoDatabase
}

// connect opens a session to a database through an instance and closes it.
func (env *environment) connect(ctx context.Context, p *process, database string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	t, err := env.cfg.Platform.Caller.Dial(ctx, cwport.Endpoint{Service: database, Address: p.callerAddress}, env.access.currentKey(soakWorkspace))
	if err != nil {
		return err
	}
	return t.Close()
}
