package cwengine

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Limits of the use of keys.
const (
	// keyBoundPercent is the percentage of Config.KeyRevocationBound that the desired
	// state may reach in age while callers with keys are still served. The rest allows
	// for a local clock that runs slower than the store's.
	keyBoundPercent = 90
	// staleKeysRetryAfter is the retry delay for callers whose key cannot be checked:
	// an unavailable store is asked twice a second.
	staleKeysRetryAfter = 500 * time.Millisecond
)

// accessRules are the keys and quotas of the workspaces in the catalogue in force.
// The maps are replaced as a whole and never modified.
type accessRules struct {
	// keysRequired is true if callers need a key.
	keysRequired bool
	// workspaceByKey maps each valid key to the name of its workspace. Revoked keys
	// are not in it.
	workspaceByKey map[cwcatalogue.KeyDigest]string
	quotas         map[string]cwcatalogue.Quota
}

func newAccessRules(c cwcatalogue.Catalogue) accessRules {
	a := accessRules{
		keysRequired:   c.KeyRequired,
		workspaceByKey: make(map[cwcatalogue.KeyDigest]string),
		quotas:         make(map[string]cwcatalogue.Quota, len(c.Workspaces)),
	}
	for _, w := range c.Workspaces {
		a.quotas[w.Name] = w.Quota
		for _, k := range w.Keys {
			a.workspaceByKey[k] = w.Name
		}
	}
	return a
}

// logAccessChanges logs how many keys a new catalogue revoked and which quotas it
// changed. The caller holds mu.
func (e *Engine) logAccessChanges(before accessRules) {
	if before.quotas == nil {
		return
	}
	revoked := 0
	for k := range before.workspaceByKey {
		if _, ok := e.access.workspaceByKey[k]; !ok {
			revoked++
		}
	}
	if revoked > 0 {
		e.cfg.Log.Info("keysTakenAway", "revision", e.revision, "keys", revoked)
	}
	for name, q := range e.access.quotas {
		if old, ok := before.quotas[name]; ok && old != q {
			e.cfg.Log.Info("quotaChanged", "revision", e.revision, "workspace", name, "rate", q.Rate, "burst", q.Burst,
				"rateBefore", old.Rate, "burstBefore", old.Burst)
		}
	}
}

// currentAccess returns the rules in force.
func (e *Engine) currentAccess() accessRules {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.access
}

// Quota returns the quota of a workspace, and false if there is no such workspace.
func (e *Engine) Quota(workspace string) (cwcatalogue.Quota, bool) {
	q, ok := e.currentAccess().quotas[workspace]
	return q, ok
}

// keysStale reports whether a key cannot be checked for a statement that arrived at
// a given time, because the desired state had not been confirmed for too long.
//
// An instance that is cut off from the store does not learn that a key was revoked,
// and without this check would serve its holder for as long as the cut lasts. The
// check compares the arrival of the statement with the last time at which the store
// certainly had nothing newer than the catalogue in force. That includes time during
// which the process was suspended.
func (e *Engine) keysStale(at time.Time) bool {
	if e.cfg.KeyRevocationBound == 0 || e.cfg.CatalogueConfirmedAt == nil {
		return false
	}
	return at.Sub(e.cfg.CatalogueConfirmedAt()) > e.cfg.KeyRevocationBound*keyBoundPercent/100
}

// workspaceOf returns the workspace of a caller of an entry, or the answer that
// refuses the caller. The statement arrived at the given time. Public entries and
// catalogues without keys need no key; the workspace is empty then.
func (e *Engine) workspaceOf(entry cwcatalogue.Entry, key cwcatalogue.KeyDigest, arrived time.Time) (string, cwstatement.Response) {
	// The age is read before the keys: whatever had been confirmed by then is in
	// force now.
	stale := e.keysStale(arrived)
	a := e.currentAccess()
	if !a.keysRequired || entry.Public {
		return "", cwstatement.Response{}
	}
	if stale {
		return "", cwstatement.RetryLater(cwstatement.Aborted, "the instance cannot check keys at the moment", staleKeysRetryAfter)
	}
	workspace, ok := a.workspaceByKey[key]
	if !ok {
		e.cfg.Metrics.Unauthorised.Inc()
		return "", cwstatement.Failure(cwstatement.Unauthorised, "the key is not known notRun=true")
	}
	return workspace, cwstatement.Response{}
}

// requiresAuthorisation reports whether a statement reaches a target or begins a
// transaction that will.
func requiresAuthorisation(v cwstatement.Verb) bool {
	switch v {
	case cwstatement.Begin, cwstatement.BeginRead, cwstatement.Read, cwstatement.Write, cwstatement.Execute, cwstatement.Commit:
		return true
	}
	return false
}

// authorise determines the workspace for which a statement runs, or refuses the
// statement. A refusal rolls back the open transaction.
func (s *session) authorise(st cwstatement.Statement, arrived time.Time) cwstatement.Response {
	if s.forwarded != nil || !requiresAuthorisation(st.Verb) || s.tx != nil && s.tx.failed {
		return cwstatement.Response{}
	}
	entry, ok := s.resolveEntry()
	if !ok {
		return cwstatement.Response{}
	}
	workspace, a := s.engine.workspaceOf(entry, s.key, arrived)
	if a.Code == cwstatement.OK && s.inTransaction() && workspace != s.workspace {
		a = cwstatement.RetryLater(cwstatement.Aborted, "the key belongs to another workspace now", unreachableRetryAfter)
	}
	if a.Code != cwstatement.OK {
		return s.refuseAndFail(st.Verb, a)
	}
	s.workspace = workspace
	return cwstatement.Response{}
}

// refuseAndFail refuses a statement and rolls back the open transaction, if there is
// one.
func (s *session) refuseAndFail(v cwstatement.Verb, a cwstatement.Response) cwstatement.Response {
	if !s.inTransaction() {
		return a
	}
	s.failTransaction("")
	if v == cwstatement.Commit {
		s.tx = nil
		return a
	}
	return a.WithState(cwstatement.InFailedTransaction)
}

// closeRevokedSessions ends idle sessions whose key was revoked. The caller holds mu.
func (e *Engine) closeRevokedSessions() {
	for s := range e.sessions {
		s.closeIfRevoked()
	}
}

func (s *session) closeIfRevoked() {
	s.mu.Lock()
	idle, key, database := s.idle, s.key, s.database
	s.mu.Unlock()
	if !idle {
		// The session's next statement will be refused.
		return
	}
	e := s.engine
	entry, ok := e.entries.Entry(database)
	if _, known := e.access.workspaceByKey[key]; ok && e.access.keysRequired && !entry.Public && !known {
		s.closeIfIdle(true, cwstatement.Failure(cwstatement.Unauthorised, "the key was revoked"))
	}
}
