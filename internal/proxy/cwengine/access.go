package cwengine

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Bounds of keys.
const (
	// keyShare is how old the desired state may be, in percent of the bound in
	// which a key that was taken away must be out of use, while callers with keys
	// are served. The rest covers a clock that runs slower than the store's.
	keyShare = 90
	// staleRetry is what callers are told whose key cannot be checked: a store
	// that is away is asked twice a second.
	staleRetry = 500 * time.Millisecond
)

// access is who may do what, by the desired state in force. Its maps are
// replaced, never changed.
type access struct {
	// keyed is true if callers need a key.
	keyed bool
	// byKey names the workspace of each key; a key that was taken away is not
	// in it.
	byKey  map[cwcatalogue.KeyDigest]string
	quotas map[string]cwcatalogue.Quota
}

func accessOf(c cwcatalogue.Catalogue) access {
	a := access{
		keyed:  c.Keyed,
		byKey:  make(map[cwcatalogue.KeyDigest]string),
		quotas: make(map[string]cwcatalogue.Quota, len(c.Workspaces)),
	}
	for _, w := range c.Workspaces {
		a.quotas[w.Name] = w.Quota
		for _, k := range w.Keys {
			a.byKey[k] = w.Name
		}
	}
	return a
}

// logAccess logs what a new catalogue changed for workspaces. The caller holds mu.
func (e *Engine) logAccess(before access) {
	if before.quotas == nil {
		return
	}
	gone := 0
	for k := range before.byKey {
		if _, ok := e.access.byKey[k]; !ok {
			gone++
		}
	}
	if gone > 0 {
		e.cfg.Log.Info("keysTakenAway", "revision", e.revision, "keys", gone)
	}
	for name, q := range e.access.quotas {
		if old, ok := before.quotas[name]; ok && old != q {
			e.cfg.Log.Info("quotaChanged", "revision", e.revision, "workspace", name, "rate", q.Rate, "burst", q.Burst,
				"rateBefore", old.Rate, "burstBefore", old.Burst)
		}
	}
}

// currentAccess returns the access in force.
func (e *Engine) currentAccess() access {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.access
}

// Quota returns the quota of a workspace; false if there is no such workspace.
func (e *Engine) Quota(workspace string) (cwcatalogue.Quota, bool) {
	q, ok := e.currentAccess().quotas[workspace]
	return q, ok
}

// keysStale reports whether keys cannot be checked at a time, because the
// desired state was not confirmed for too long.
//
// The failure: a key is taken away, an instance that is cut off from the store
// does not hear of it, and goes on serving its holder for as long as the cut
// lasts. Every statement is judged by how long before it came the store had
// certainly nothing newer than what is in force here, which counts the time that
// a process was suspended as well.
func (e *Engine) keysStale(at time.Time) bool {
	if e.cfg.KeyBound == 0 || e.cfg.Confirmed == nil {
		return false
	}
	return at.Sub(e.cfg.Confirmed()) > e.cfg.KeyBound*keyShare/100
}

// workspaceOf returns the workspace of a caller of an entry for a statement that
// came at a time, or the answer that refuses it.
func (e *Engine) workspaceOf(entry cwcatalogue.Entry, key cwcatalogue.KeyDigest, came time.Time) (string, cwstatement.Answer) {
	// The age is read before the keys: what was confirmed until then is in force
	// by now.
	stale := e.keysStale(came)
	a := e.currentAccess()
	if !a.keyed || entry.Public {
		return "", cwstatement.Answer{}
	}
	if stale {
		return "", cwstatement.RetryLater(cwstatement.Aborted, "the instance cannot check keys at the moment", staleRetry)
	}
	workspace, ok := a.byKey[key]
	if !ok {
		e.cfg.Metrics.Unauthorised.Inc()
		return "", cwstatement.Failure(cwstatement.Unauthorised, "the key is not known notRun=true")
	}
	return workspace, cwstatement.Answer{}
}

// needsKey reports whether a statement reaches a target, or opens what does.
func needsKey(v cwstatement.Verb) bool {
	switch v {
	case cwstatement.Begin, cwstatement.BeginRead, cwstatement.Read, cwstatement.Write, cwstatement.Execute, cwstatement.Commit:
		return true
	}
	return false
}

// authorise settles for which workspace a statement runs, or refuses it. Nothing
// of an open transaction is kept then.
func (s *session) authorise(st cwstatement.Statement, came time.Time) cwstatement.Answer {
	if s.given != nil || !needsKey(st.Verb) || s.tx != nil && s.tx.failed {
		return cwstatement.Answer{}
	}
	entry, ok := s.lookup()
	if !ok {
		return cwstatement.Answer{}
	}
	workspace, a := s.engine.workspaceOf(entry, s.key, came)
	if a.Code == cwstatement.OK && s.inTransaction() && workspace != s.workspace {
		a = cwstatement.RetryLater(cwstatement.Aborted, "the key belongs to another workspace now", unreachableRetry)
	}
	if a.Code != cwstatement.OK {
		return s.refuseOpen(st.Verb, a)
	}
	s.workspace = workspace
	return cwstatement.Answer{}
}

// refuseOpen refuses a statement and drops the open transaction, if there is one.
func (s *session) refuseOpen(v cwstatement.Verb, a cwstatement.Answer) cwstatement.Answer {
	if !s.inTransaction() {
		return a
	}
	s.failOpen("")
	if v == cwstatement.Commit {
		s.tx = nil
		return a
	}
	return a.WithState(cwstatement.Failed)
}

// sendRevokedAway ends sessions that rest and whose key was taken away.
func (e *Engine) sendRevokedAway() {
	for s := range e.sessions {
		s.sendRevokedAway()
	}
}

func (s *session) sendRevokedAway() {
	s.mu.Lock()
	resting, key, database := s.resting, s.key, s.database
	s.mu.Unlock()
	if !resting {
		// Its next statement is refused.
		return
	}
	e := s.engine
	entry, ok := e.entries.Entry(database)
	if _, known := e.access.byKey[key]; ok && e.access.keyed && !entry.Public && !known {
		s.sendAway(true)
	}
}
